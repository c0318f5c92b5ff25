/// \file host_list_service.h Follows the platform's host list.
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

/// Reads the host list and gives the router the upstreams that it uses.
class HostListService : public Service {
public:
  HostListService(Kernel &K, const Settings &S);

  void start() override;

  /// Reads the list at once and calls \p Done when it is in force; not at all
  /// when it cannot be read.
  void refresh(std::function<void()> Done);

  /// \return Reads that failed since the last good one; 0: it is fresh.
  int failures() const { return FailuresInRow; }
  /// \return Whether it was ever read.
  bool known() const { return Known; }

private:
  void poll();
  void read(std::function<void(bool)> Done);
  bool answered(const HttpAnswer &Answer);
  void take(const Json &Root);
  void apply();

  Kernel &Services;                 ///< Finds the others.
  const Settings &Config;           ///< Address and period.
  TimerService *Timers = nullptr;   ///< Time.
  HttpClient *Client = nullptr;     ///< Reads.
  RouterService *Router = nullptr;  ///< Gets upstreams.
  MemberService *Members = nullptr; ///< Gets seeds, knows nodes.
  std::map<std::string, std::vector<UpstreamSpec>> Listed; ///< By pool, as
                                                           ///< last read.
  std::map<std::string, Subset> Subsets;                   ///< By pool.
  std::string Tag;                                         ///< ETag of that.
  bool Known = false;    ///< Read at least once.
  int FailuresInRow = 0; ///< Since the last good read.
};

} // namespace fulmar

#endif
