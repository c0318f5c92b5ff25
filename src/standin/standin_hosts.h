/// \file standin_hosts.h A small stand-in of the host list.
#ifndef FULMARSTEP_STANDIN_HOSTS_H
#define FULMARSTEP_STANDIN_HOSTS_H

#include "http_server.h"
#include "json_type.h"
#include "upstream_base.h"

namespace fulmar {

/// A node as the host list gives it.
struct ListedNode {
  std::string Id;            ///< Node id.
  std::string PeerAddress;   ///< IP:PORT for other nodes.
  std::string FailureDomain; ///< Where it runs.
};

/// Answers GET /v1/hosts; POST /v1/hosts replaces the list after a lag, and
/// POST /leave with an address marks that upstream as leaving.
class StandinHosts {
public:
  StandinHosts(EventLoop &Loop, TimerService &Timers, const std::string &Host,
               int Port);

  std::vector<UpstreamSpec> Upstreams; ///< Live and leaving.
  std::vector<ListedNode> Nodes;       ///< Live.
  bool Outage = false;                 ///< Connections are cut.
  std::int64_t LagMs = 0;              ///< Until a change shows.

  /// \return The port it listens on.
  int port() const { return Server.port(); }
  /// Marks an upstream as leaving or not, after the lag.
  void setLeaving(const std::string &Address, bool Leaving);

private:
  void handle(const HttpExchangePtr &Exchange);
  void replace(const Json &Root);

  TimerService &Timers; ///< For the lag.
  HttpServer Server;    ///< Last: calls the rest.
};

/// Writes a host list as JSON.
Json hostListJson(const std::vector<UpstreamSpec> &Upstreams,
                  const std::vector<ListedNode> &Nodes);

} // namespace fulmar

#endif
