/// \file standin_hosts.cpp A small stand-in of the host list.
#include "standin/standin_hosts.h"

#include "core/hash.h"
#include "json_func.h"

namespace fulmar {

static constexpr std::size_t MaxListBytes = std::size_t{16} << 20;

StandinHosts::StandinHosts(EventLoop &Loop, TimerService &T,
                           const std::string &Host, int Port)
    : Timers(T), Server(Loop, Host, Port, MaxListBytes,
                        [this](const HttpExchangePtr &E) { handle(E); }) {}

Json hostListJson(const std::vector<UpstreamSpec> &Upstreams,
                  const std::vector<ListedNode> &Nodes) {
  Json UpstreamList;
  UpstreamList.Kind = JsonKind::List;
  for (const UpstreamSpec &U : Upstreams) {
    Json Item;
    Item.set("address", U.Address).set("pool", U.Pool);
    Item.set("failure_domain", U.FailureDomain).set("leaving", U.Leaving);
    UpstreamList.push(std::move(Item));
  }
  Json NodeList;
  NodeList.Kind = JsonKind::List;
  for (const ListedNode &N : Nodes) {
    Json Item;
    Item.set("id", N.Id).set("peer_address", N.PeerAddress);
    Item.set("failure_domain", N.FailureDomain);
    NodeList.push(std::move(Item));
  }
  Json Root;
  Root.set("upstreams", std::move(UpstreamList));
  Root.set("nodes", std::move(NodeList));
  return Root;
}

void StandinHosts::setLeaving(const std::string &Address, bool Leaving) {
  Timers.after(std::chrono::milliseconds(LagMs), [this, Address, Leaving] {
    for (UpstreamSpec &U : Upstreams) {
      if (U.Address == Address)
        U.Leaving = Leaving;
    }
  });
}

void StandinHosts::replace(const Json &Root) {
  if (const Json *List = Root.find("upstreams")) {
    Upstreams.clear();
    for (const Json &Item : List->Items)
      Upstreams.push_back({Item.text("address"), Item.text("pool"),
                           Item.text("failure_domain"), Item.flag("leaving")});
  }
  if (const Json *List = Root.find("nodes")) {
    Nodes.clear();
    for (const Json &Item : List->Items)
      Nodes.push_back({Item.text("id"), Item.text("peer_address"),
                       Item.text("failure_domain")});
  }
}

void StandinHosts::handle(const HttpExchangePtr &Exchange) {
  if (Exchange->Path == "/fault") {
    Outage = Exchange->Body.text().find("true") != std::string::npos;
    return Exchange->reply(HttpOk, "", {});
  }
  if (Exchange->Path == "/leave") {
    setLeaving(Exchange->Body, true);
    return Exchange->reply(HttpOk, "", {});
  }
  if (Outage)
    return Exchange->abort();
  if (Exchange->Path != "/v1/hosts")
    return Exchange->reply(404, "", {});
  if (Exchange->Method == "GET") {
    std::string Text = writeJson(hostListJson(Upstreams, Nodes));
    std::string Tag = "\"" + std::to_string(hash64(Text)) + "\"";
    if (Exchange->header("If-None-Match") == Tag)
      return Exchange->reply(304, "", {{"ETag", Tag}});
    return Exchange->reply(HttpOk, Text, {{"ETag", Tag}});
  }
  Diagnostics Problems;
  auto Root = parseJson(Exchange->Body, JsonDialect::Strict, Problems);
  if (!Root)
    return Exchange->reply(400, "not JSON", {});
  Timers.after(std::chrono::milliseconds(LagMs),
               [this, Root = std::move(*Root)] { replace(Root); });
  Exchange->reply(HttpOk, "", {});
}

} // namespace fulmar
