/// \file batch_service.h Has pieces of work done by pools that work on batches.
#ifndef FULMARSTEP_BATCH_SERVICE_H
#define FULMARSTEP_BATCH_SERVICE_H

#include <functional>
#include <set>

#include "batch_func.h"
#include "http_client.h"
#include "kernel.h"
#include "timer_base.h"
#include "wire_format.h"

namespace fulmar {

struct BatchTicketTag {};
using BatchTicket = StrongId<BatchTicketTag>; ///< 0: none.

/// Carries out the actions of the pools that this node forms calls for.
class BatchService : public Service {
public:
  using DoneFn = std::function<void(const BatchResult &)>;
  using ReadFn = std::function<void()>;

  BatchService(Kernel &K, const WireFormat &W);

  void start() override;

  /// Asks for pieces. \p Done is called once, not before this returns.
  /// \param Read is called if the inputs are read before that.
  BatchTicket ask(const std::string &Pool, const BatchAsk &Ask, DoneFn Done,
                  ReadFn Read);
  /// Estimates how long pieces that are asked for now would take.
  /// \return Nothing when no upstream is known.
  std::optional<Duration> expected(const std::string &Pool,
                                   const BatchAsk &Ask) const;
  /// Nobody waits for these pieces any more; \p Done is not called.
  void cancel(BatchTicket Ticket);
  /// The results of \p Pool are not needed any more.
  void free(const std::string &Pool, const std::vector<std::string> &Handles);
  /// Another version of the configuration, or other upstreams.
  void update(const RouteTable &Table,
              const std::map<std::string, UpstreamEntry> &Listed,
              const RetryAllowance &Allowance);

  /// \return How many upstreams a pool has.
  std::size_t size(const std::string &Pool) const;

  /// \return The pools, for status and metrics.
  const std::map<std::string, BatchPool> &pools() const { return Pools; }

private:
  /// Who waits for an ask.
  struct Waiter {
    std::string Pool; ///< Which pool.
    BatchAskId Ask;   ///< Its name there.
    DoneFn Done;      ///< Hears the result.
    ReadFn Read;      ///< Hears that the inputs were read.
  };

  void updatePart(const ServiceSpec &Spec,
                  const std::vector<UpstreamEntry> &All, std::size_t Part,
                  std::size_t Count, const RetryAllowance &Allowance);
  void perform(BatchPool &P, const BatchActions &Actions);
  void send(BatchPool &P, const SendBatchAction &Send);
  void answer(const std::string &Pool, const AnswerBatchAction &Answer);
  void inputsRead(const std::string &Pool, BatchAskId Ask);
  void queueFree(const std::string &Handle);
  void flushFrees();
  void sendFrees(const std::string &Address);
  void tick();

  Kernel &Services;                         ///< Finds the others.
  const WireFormat &Wire;                   ///< Writes calls.
  TimerService *Timers = nullptr;           ///< Time.
  HttpClient *Client = nullptr;             ///< Makes calls.
  std::map<std::string, BatchPool> Pools;   ///< By name.
  std::map<std::string, std::size_t> Sizes; ///< Of each pool.
  std::map<BatchTicket, Waiter> Waiters;    ///< By ticket.
  std::map<std::pair<std::string, BatchAskId>, BatchTicket> Tickets; ///< Back.
  std::map<std::string, std::vector<std::string>> Frees; ///< By address.
  bool FlushPlanned = false;    ///< flushFrees will run.
  std::uint64_t LastTicket = 0; ///< Counts asks.
};

} // namespace fulmar

#endif
