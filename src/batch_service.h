/// \file batch_service.h Batch requests for the pools that this node
/// coordinates.
#ifndef FULMARSTEP_BATCH_SERVICE_H
#define FULMARSTEP_BATCH_SERVICE_H

#include <set>

#include "batch_backend.h"
#include "batch_func.h"
#include "http_client.h"
#include "kernel.h"
#include "restart_func.h"
#include "timer_base.h"
#include "upstream_registry.h"
#include "wire_format.h"

namespace fulmar {

class QuarantineService;
struct CrashReport;
class RateLimitService;
class UpstreamClient;
class UpstreamNoticeService;

/// Runs the pools that this node coordinates: sends their calls and carries out
/// their other actions.
class BatchService : public Service, public BatchBackend {
public:
  BatchService(Kernel &K, const WireFormat &W);

  void start() override;

  BatchTicket ask(const std::string &Pool, const BatchRequest &Request,
                  DoneFn Done, ReadFn Read) override;
  std::optional<BatchForecast> forecast(const std::string &Pool,
                                        const BatchRequest &Request) override;
  BatchReserveAnswer reserve(const BatchReserve &Reserve) override;
  void unreserve(const BatchUnreserve &Unused) override;
  void cancel(BatchTicket Ticket) override;
  void free(const std::string &Pool,
            const std::vector<std::string> &Handles) override;
  std::size_t size(const std::string &Pool) const override;
  /// Applies another version of the configuration, or another upstream list.
  void update(const RouteTable &Table,
              const std::map<std::string, UpstreamEntry> &Listed,
              const RetryAllowance &Allowance);
  /// Applies changed upstream entries.
  void change(const UpstreamChanges &Changes);
  /// Applies a new retry allowance, after the number of nodes changed.
  void share(const RetryAllowance &Allowance);
  /// Handles the restart of an upstream; to be called before update() or
  /// change().
  void restarted(const UpstreamRestart &Restart);

  /// \return The pool parts that were used on this node, for metrics.
  const std::map<std::string, BatchPool> &pools() const { return Pools; }

private:
  /// A pool whose upstreams work on batches.
  struct Listing {
    BatchSpec Spec;                 ///< Limits and call times of its upstreams.
    std::vector<UpstreamEntry> All; ///< Sorted by failure domain and instance.
  };

  BatchPool *find(const std::string &Part);
  void updatePart(BatchPool &P);
  void setAllowance(BatchPool &P, std::size_t Upstreams) const;
  void perform(BatchPool &P, const BatchActions &Actions);
  void send(BatchPool &P, const SendBatchAction &Send);
  void reportCall(const CrashReport &Runs, const BatchCallResult &Result,
                  bool Relayed);
  void applyNotices(BatchPool &P);
  void noticeChanged(const Incarnation &Start);
  void pathsChanged();
  void callSilent(const std::string &Pool, BatchCallId Id);
  void callEnded(const std::string &Pool, BatchCallId Id,
                 const BatchCallResult &Result);
  const BatchUpstream *upstreamAt(const std::string &Address) const;
  void scheduleDispatch(const BatchPool &P);
  void queueFree(const std::string &Handle);
  void flushFrees();
  void sendFrees(const std::string &Address);
  void holdFrees(const std::string &Address, TimePoint Until);
  void tick();

  Kernel &Services;       ///< Looks up other services.
  const WireFormat &Wire; ///< Encodes and decodes calls.
  TimerService *Timers = nullptr;
  UpstreamClient *Client = nullptr;         ///< Sends calls.
  QuarantineService *Quarantined = nullptr; ///< Receives reports of crashes.
  RateLimitService *RateLimited = nullptr;  ///< Announced rate limits.
  UpstreamNoticeService *Notices = nullptr; ///< Announcements of upstreams.
  std::map<std::string, Listing> Listings;  ///< By pool.
  std::map<std::string, BatchPool> Pools;   ///< Pool parts, by name.
  std::set<std::string> ActiveParts; ///< Pool parts with work in progress.
  RetryAllowance Allowance;          ///< Retry allowance per pool.
  BatchTickets Tickets;              ///< Callbacks of batch requests.
  std::map<std::string, std::vector<std::string>>
      PendingFrees;                ///< Handles to free, by upstream address.
  std::set<std::string> HeldFrees; ///< Addresses in PendingFrees whose frees
                                   ///< wait for the end of a backoff.
  std::set<std::string> ScheduledDispatches; ///< Names of pool parts.
  bool FlushScheduled = false;               ///< flushFrees() is scheduled.
};

} // namespace fulmar

#endif
