/// \file batch_relay.h Asks for pieces of work, here or at another node.
#ifndef FULMARSTEP_BATCH_RELAY_H
#define FULMARSTEP_BATCH_RELAY_H

#include "batch_service.h"
#include "core/random.h"

namespace fulmar {

class MemberService;
class PeerService;
struct PeerMessage;

/// Counts for operators.
struct RelayCounts {
  std::uint64_t Local = 0;  ///< Asks served by this node's own pools.
  std::uint64_t Remote = 0; ///< Asks sent to another node.
  std::uint64_t Moved = 0;  ///< Asks sent to a second node.
  std::uint64_t Served = 0; ///< Asks of other nodes.
};

/// Asks the node that forms a pool's calls, and serves the asks of others.
class BatchRelay : public Service {
public:
  using DoneFn = BatchService::DoneFn;
  using ReadFn = BatchService::ReadFn;

  /// \param Seed differs at each start. Names of asks are counted from it on:
  /// other nodes go on with what this host's earlier process asked for, and
  /// would take a new ask under the same name for a repeat. Its request would
  /// be given another one's results.
  BatchRelay(Kernel &K, std::uint64_t Seed)
      : Services(K), LastTicket(Random(Seed)()) {}

  void start() override;

  /// Asks for pieces. \p Done is called once, not before this returns.
  /// \param Read is called if the inputs are read before that.
  BatchTicket ask(const std::string &Pool, const BatchRequest &Request,
                  DoneFn Done, ReadFn Read);
  /// Nobody waits for these pieces any more; \p Done is not called.
  void cancel(BatchTicket Ticket);
  /// Results that \p Service made for a request are not needed any more.
  void free(const std::string &Service, const std::string &RequestId,
            const std::vector<std::string> &Handles);

  /// \return What pieces of a pool take now at this priority, as far as the
  /// latest asks of this node told; nothing when that is long ago.
  std::optional<BatchForecast> forecast(const std::string &Pool,
                                        int Priority) const;

  /// \return Counts so far.
  const RelayCounts &counts() const { return Counts; }

private:
  /// An ask of this node.
  struct OwnRequest {
    std::string Service;     ///< Which pool.
    std::string Pool;        ///< Which part of it.
    BatchRequest Request;    ///< What is asked.
    TimePoint Asked{};       ///< When; its times count from then.
    DoneFn Done;             ///< Hears the result.
    ReadFn Read;             ///< Hears that the inputs were read.
    std::string Coordinator; ///< The node asked; empty: this one.
    BatchTicket Local;       ///< Name at this node's own pools.
    TimePoint NextSend{};    ///< When to ask again.
    bool Held = false;       ///< Until this node knows the others.
    int Unanswered = 0;      ///< Sends in a row that nobody answered.
  };
  /// An ask of another node.
  struct ServedRequest {
    std::string Pool;     ///< Which pool.
    BatchTicket Local;    ///< Name at this node's own pools; 0: ended.
    BatchResult Result;   ///< Once it has ended.
    TimePoint ForgetAt{}; ///< Once it has ended.
    TimePoint NextSend{}; ///< When to send the result again.
    int Sends = 0;        ///< Times that the result was sent.
  };
  using ServedKey = std::pair<std::string, std::uint64_t>; ///< Node, ticket.

  /// What an ask was told about its pool.
  struct PoolView {
    BatchForecast Forecast; ///< What pieces take.
    TimePoint At{};         ///< When that was said.
  };

  std::string partFor(const std::string &Pool,
                      const std::string &RequestId) const;
  void place(BatchTicket Ticket);
  void learn(const std::string &Pool, int Priority,
             const BatchForecast &Forecast);
  void send(BatchTicket Ticket, OwnRequest &Own);
  void ended(BatchTicket Ticket, const BatchResult &Result);
  void inputsRead(BatchTicket Ticket);
  void serve(const std::string &Node, const BatchRequestMessage &Message);
  void sendResult(const ServedKey &Key, ServedRequest &Served);
  void answered(const std::string &Node, const BatchAnswerMessage &Message);
  void released(const std::string &Node, const BatchReleaseMessage &Message);
  void release(const std::string &Node, const std::string &Pool,
               const BatchReleaseMessage &Part);
  void flushReleases();
  void tick();
  void membersChanged();

  Kernel &Services;                          ///< Finds the others.
  TimerService *Timers = nullptr;            ///< Time.
  BatchService *Pools = nullptr;             ///< This node's own pools.
  MemberService *Members = nullptr;          ///< The other nodes.
  PeerService *Peers = nullptr;              ///< Carries messages.
  std::map<BatchTicket, OwnRequest> Own;     ///< In progress.
  std::map<ServedKey, ServedRequest> Served; ///< In progress or just ended.
  std::map<std::string, TimePoint> Silent;   ///< Nodes left out until then.
  std::map<std::pair<std::string, std::string>, BatchReleaseMessage>
      Releases; ///< To be sent, by node and pool.
  std::map<std::pair<std::string, int>, PoolView> Views; ///< By priority too.
  bool ReleasePlanned = false; ///< flushReleases will run.
  std::uint64_t LastTicket;    ///< Counts asks.
  RelayCounts Counts;          ///< For operators.
};

} // namespace fulmar

#endif
