/// \file standin_hosts.h A small stand-in of the host list.
#ifndef FULMARSTEP_STANDIN_HOSTS_H
#define FULMARSTEP_STANDIN_HOSTS_H

#include "http_server.h"
#include "json_type.h"
#include "upstream_base.h"

namespace fulmar {

/// A node's entry in the host list.
struct ListedNode {
  std::string Id;            ///< Node id.
  std::string PeerAddress;   ///< IP:PORT for other nodes.
  std::string FailureDomain; ///< Failure domain of the node.
};

/// Serves the host list at GET /v1/hosts. POST /v1/hosts replaces the list
/// after a delay; POST /leave with an address marks that upstream as leaving.
class StandinHosts {
public:
  StandinHosts(EventLoop &Loop, TimerService &Timers, const std::string &Host,
               int Port);

  std::vector<UpstreamSpec> Upstreams; ///< Listed, leaving ones included.
  std::vector<ListedNode> Nodes;       ///< Listed nodes.
  bool Outage = false;    ///< Aborts connections instead of responding.
  std::int64_t LagMs = 0; ///< Delay in ms before a change is visible.

  /// \return The port it listens on.
  int port() const { return Server.port(); }
  /// Marks an upstream as leaving or not, after the delay.
  void setLeaving(const std::string &Address, bool Leaving);

private:
  void handle(const HttpExchangePtr &Exchange);
  void replace(const Json &Root);

  TimerService &Timers; ///< Delays changes.
  HttpServer Server;    ///< Last member: its handler uses the others.
};

/// Writes a host list as JSON.
Json hostListJson(const std::vector<UpstreamSpec> &Upstreams,
                  const std::vector<ListedNode> &Nodes);

} // namespace fulmar

#endif
