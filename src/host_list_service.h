/// \file host_list_service.h Polls the platform's host list.
#ifndef FULMARSTEP_HOST_LIST_SERVICE_H
#define FULMARSTEP_HOST_LIST_SERVICE_H

#include "http_client.h"
#include "json_type.h"
#include "kernel.h"
#include "settings_type.h"
#include "subset_base.h"
#include "upstream_base.h"

namespace fulmar {

class RouterService;
class MemberService;

/// Polls the host list and passes this node's subset of the upstreams to the
/// router.
class HostListService : public Service {
public:
  HostListService(Kernel &K, const Settings &S);

  void start() override;

  /// Reads the list at once and calls \p Done after it has been applied. Does
  /// not call \p Done when the list cannot be read.
  void refresh(std::function<void()> Done);

  /// \return Number of consecutive failed reads; 0: the list is up to date.
  int failures() const { return ConsecutiveFailures; }
  /// \return Whether the list has been read at least once.
  bool known() const { return Known; }

private:
  void poll();
  void read(std::function<void(bool)> Done);
  bool handleResponse(const HttpResponse &Answer);
  void applyList(const Json &Root);
  void apply();

  Kernel &Services;       ///< Looks up other services.
  const Settings &Config; ///< Address and poll interval of the host list.
  TimerService *Timers = nullptr;   ///< Clock and timers.
  HttpClient *Client = nullptr;     ///< Reads the host list.
  RouterService *Router = nullptr;  ///< Receives the upstreams.
  MemberService *Members = nullptr; ///< Receives seeds, provides node ids.
  std::map<std::string, std::vector<UpstreamSpec>> Listed; ///< List, by pool.
  std::map<std::string, Subset> Subsets; ///< Upstreams in use, by pool.
  std::string Tag;                       ///< ETag of the last list.
  bool Known = false; ///< Whether the list has been read at least once.
  int ConsecutiveFailures = 0; ///< Consecutive failed reads.
};

} // namespace fulmar

#endif
