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
  std::optional<BatchForecast>
  forecast(const std::string &Pool, const BatchRequest &Request) const override;
  void cancel(BatchTicket Ticket) override;
  void free(const std::string &Pool,
            const std::vector<std::string> &Handles) override;
  std::size_t size(const std::string &Pool) const override;
  /// Another version of the configuration, or other upstreams.
  void update(const RouteTable &Table,
              const std::map<std::string, UpstreamEntry> &Listed,
              const RetryAllowance &Allowance);
  /// An upstream has started again; to be called before update().
  void restarted(const UpstreamRestart &Restart);

  /// \return The pools, for status and metrics.
  const std::map<std::string, BatchPool> &pools() const { return Pools; }

private:
  void updatePart(const ServiceSpec &Spec,
                  const std::vector<UpstreamEntry> &All, std::size_t Part,
                  const RetryAllowance &Allowance);
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
  std::map<std::string, BatchPool> Pools;   ///< By name.
  std::map<std::string, std::size_t> Sizes; ///< Of each pool.
  BatchTickets Tickets;                     ///< Who waits.
  std::map<std::string, std::vector<std::string>> Frees; ///< By address.
  std::set<std::string> PumpPlanned; ///< Pools that will be pumped.
  bool FlushPlanned = false;         ///< flushFrees will run.
};

} // namespace fulmar

#endif
