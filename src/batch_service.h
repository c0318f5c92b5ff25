/// \file batch_service.h Has pieces of work done by pools that work on batches.
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
class RateLimitService;

/// Carries out the actions of the pools that this node forms calls for.
class BatchService : public Service, public BatchBackend {
public:
  BatchService(Kernel &K, const WireFormat &W);

  void start() override;

  BatchTicket ask(const std::string &Pool, const BatchRequest &Request,
                  DoneFn Done, ReadFn Read) override;
  std::optional<BatchForecast> forecast(const std::string &Pool,
                                        const BatchRequest &Request) override;
  void cancel(BatchTicket Ticket) override;
  void free(const std::string &Pool,
            const std::vector<std::string> &Handles) override;
  std::size_t size(const std::string &Pool) const override;
  /// Another version of the configuration, or other upstreams.
  void update(const RouteTable &Table,
              const std::map<std::string, UpstreamEntry> &Listed,
              const RetryAllowance &Allowance);
  /// Entries have changed.
  void change(const UpstreamChanges &Changes);
  /// Another number of nodes shares what may be repeated.
  void share(const RetryAllowance &Allowance);
  /// An upstream has started again; to be called before update() or change().
  void restarted(const UpstreamRestart &Restart);

  /// \return The parts of pools that were asked for work here, for metrics.
  const std::map<std::string, BatchPool> &pools() const { return Pools; }

private:
  /// A pool that works on batches.
  struct Listing {
    BatchSpec Spec;                 ///< What its upstreams can do.
    std::vector<UpstreamEntry> All; ///< By failure domain and instance.
  };

  BatchPool *find(const std::string &Part);
  void updatePart(BatchPool &P);
  void setAllowance(BatchPool &P, std::size_t Upstreams) const;
  void perform(BatchPool &P, const BatchActions &Actions);
  void send(BatchPool &P, const SendBatchAction &Send);
  void reportCall(const std::string &Address,
                  const std::vector<Fingerprint> &Contents,
                  const BatchCallResult &Result);
  void setPaces(BatchPool &P);
  void rateLimitChanged(const Incarnation &Start);
  void planPump(const BatchPool &P);
  void queueFree(const std::string &Handle);
  void flushFrees();
  void sendFrees(const std::string &Address);
  void tick();

  Kernel &Services;                         ///< Finds the others.
  const WireFormat &Wire;                   ///< Writes calls.
  TimerService *Timers = nullptr;           ///< Time.
  HttpClient *Client = nullptr;             ///< Makes calls.
  QuarantineService *Quarantined = nullptr; ///< Hears of upstreams that end.
  RateLimitService *RateLimited = nullptr;  ///< Upstreams in need.
  std::map<std::string, Listing> Listings;  ///< By pool.
  std::map<std::string, BatchPool> Pools;   ///< Parts of them, by name.
  std::set<std::string> Busy;               ///< Parts with work in progress.
  RetryAllowance Allowance;                 ///< Of all pools.
  BatchTickets Tickets;                     ///< Who waits.
  std::map<std::string, std::vector<std::string>> Frees; ///< By address.
  std::set<std::string> PumpPlanned; ///< Pools that will be pumped.
  bool FlushPlanned = false;         ///< flushFrees will run.
};

} // namespace fulmar

#endif
