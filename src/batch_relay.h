/// \file batch_relay.h Sends batch requests to the coordinators of their pools.
#ifndef FULMARSTEP_BATCH_RELAY_H
#define FULMARSTEP_BATCH_RELAY_H

#include "batch_service.h"
#include "core/random.h"

namespace fulmar {

class MemberService;
class PeerService;
struct PeerMessage;

/// Counters for metrics.
struct RelayCounts {
  std::uint64_t Local = 0;  ///< Batch requests served by this node's own pools.
  std::uint64_t Remote = 0; ///< Batch requests sent to another node.
  std::uint64_t Reassigned = 0; ///< Batch requests sent to a second node.
  std::uint64_t Served = 0;     ///< Batch requests of other nodes.
};

/// How long a node waits for the answer to a reservation: several round trips
/// between failure domains (2 to 3 ms), and a short wait for the processor. The
/// request waits for as long at most.
inline constexpr Duration ReserveTimeout = std::chrono::milliseconds(40);

/// Submits batch requests to the coordinators of their pools, and serves those
/// of other nodes.
class BatchRelay : public Service {
public:
  using DoneFn = BatchService::DoneFn;
  using ReadFn = BatchService::ReadFn;
  /// Called with the answer of a pool's coordinator; nothing: there was none.
  using ReserveFn =
      std::function<void(const std::optional<BatchReserveAnswer> &)>;

  /// \param Seed differs at each start. Tickets are counted from a random
  /// number derived from it: other nodes still work on requests of this host's
  /// earlier process, and would take a new request with the same ticket for a
  /// repeat. It would be given the results of another request.
  BatchRelay(Kernel &K, std::uint64_t Seed)
      : Services(K), LastTicket(Random(Seed)()) {}

  void start() override;

  /// Submits a batch request. \p Done is called once, not before this returns.
  /// \param Read is called if the inputs have been read before that.
  BatchTicket ask(const std::string &Pool, const BatchRequest &Request,
                  DoneFn Done, ReadFn Read);
  /// Reserves room for a stage in the part of \p Service that will be asked for
  /// it. \p Done is called once, within ReserveTimeout, and before this returns
  /// if this node coordinates the part.
  void reserve(const std::string &Service, BatchReserve Reserve,
               ReserveFn Done);
  /// Drops the reservation of a stage that is not requested.
  void unreserve(const std::string &Service, const std::string &RequestId,
                 int Stage);
  /// Cancels a batch request; \p Done is not called.
  void cancel(BatchTicket Ticket);
  /// Frees results that \p Service made for a request and that are not needed
  /// any more.
  void free(const std::string &Service, const std::string &RequestId,
            const std::vector<std::string> &Handles);

  /// \return The latest forecast of a pool at this priority that this node was
  /// sent; nothing when it is stale.
  std::optional<BatchForecast> forecast(const std::string &Pool,
                                        int Priority) const;

  /// \return The counters.
  const RelayCounts &counts() const { return Counts; }

private:
  /// A batch request of this node.
  struct OwnRequest {
    std::string Service; ///< Name of the pool.
    std::string Pool;    ///< Name of its part.
    BatchRequest Request;
    TimePoint Asked{}; ///< Submitted; the times in Request count from then.
    DoneFn Done;       ///< Called with the result.
    ReadFn Read;       ///< Called when the inputs have been read.
    std::string Coordinator; ///< Node that serves it; empty: this one.
    BatchTicket Local;       ///< Ticket at this node's own pools.
    TimePoint NextSend{};    ///< When to send it again.
    bool Held = false;       ///< Until this node knows the other members.
    int Unanswered = 0;      ///< Consecutive sends without a response.
  };
  /// A batch request of another node.
  struct ServedRequest {
    std::string Pool;     ///< Name of the part of its pool.
    BatchTicket Local;    ///< Ticket at this node's own pools; 0: ended.
    BatchResult Result;   ///< Once it has ended.
    TimePoint ForgetAt{}; ///< Once it has ended: when it is removed.
    TimePoint NextSend{}; ///< When to send the result again.
    int Sends = 0;        ///< Number of sends of the result.
  };
  using ServedKey = std::pair<std::string, std::uint64_t>; ///< Node, ticket.

  /// The latest forecast that a pool's coordinator sent.
  struct CachedForecast {
    BatchForecast Forecast;
    TimePoint At{}; ///< When it was received.
  };

  /// A reservation that was sent to another node.
  struct OwnReserve {
    std::string Coordinator; ///< The other node.
    ReserveFn Done;          ///< Called with the answer.
    TimerId Timeout;         ///< Ends the wait for the answer.
  };
  /// Consecutive reservations that a node has not answered.
  struct Unanswered {
    int Count = 0;     ///< Their number.
    TimePoint Since{}; ///< When the wait for the first of them was over.
  };

  std::string partFor(const std::string &Pool,
                      const std::string &RequestId) const;
  std::string coordinatorOf(const std::string &Part) const;
  void reserveAnswered(const std::string &Node,
                       const BatchReserveAnswer &Answer);
  void reserveTimedOut(BatchTicket Ticket);
  void dispatch(BatchTicket Ticket);
  void cacheForecast(const std::string &Pool, int Priority,
                     const BatchForecast &Forecast);
  void send(BatchTicket Ticket, OwnRequest &Mine);
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

  Kernel &Services; ///< Looks up other services.
  TimerService *Timers = nullptr;
  BatchService *Pools = nullptr;    ///< Pools that this node coordinates.
  MemberService *Members = nullptr; ///< Membership view.
  PeerService *Peers = nullptr;     ///< Sends messages to other nodes.
  std::map<BatchTicket, OwnRequest> OwnRequests; ///< By ticket.
  std::map<ServedKey, ServedRequest> Served;     ///< In progress or just ended.
  std::map<std::string, TimePoint> Unresponsive; ///< Avoided until then.
  std::map<BatchTicket, OwnReserve> OwnReserves; ///< Not answered yet.
  std::map<std::string, Unanswered> UnansweredReserves; ///< By node.
  std::map<std::pair<std::string, std::string>, BatchReleaseMessage>
      Releases; ///< To be sent, by node and pool.
  std::map<std::pair<std::string, int>, CachedForecast>
      Forecasts;                 ///< By pool and priority.
  bool ReleaseScheduled = false; ///< flushReleases() is scheduled.
  std::uint64_t LastTicket;      ///< Last ticket assigned.
  RelayCounts Counts;
};

} // namespace fulmar

#endif
