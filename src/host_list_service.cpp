/// \file host_list_service.cpp Polls the platform's host list.
#include "host_list_service.h"

#include "json_func.h"
#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "router_service.h"
#include "subset_func.h"

namespace fulmar {

static constexpr int HttpNotModified = 304;
static constexpr Duration ReadTimeout = std::chrono::seconds(1);

HostListService::HostListService(Kernel &K, const Settings &S)
    : Services(K), Config(S) {}

void HostListService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Client = &Services.find<HttpClientService>(service::Http).Client;
  Router = &Services.find<RouterService>(service::Router);
  Members = &Services.find<MemberService>(service::Members);
  Members->onChange([this] { apply(); });
  poll();
}

void HostListService::poll() {
  read([this](bool) {
    Timers->after(std::chrono::milliseconds(Config.HostListPollMs),
                  [this] { poll(); });
  });
}

void HostListService::refresh(std::function<void()> Done) {
  read([Done = std::move(Done)](bool Good) {
    if (Good)
      Done();
  });
}

void HostListService::read(std::function<void(bool)> Done) {
  HttpCall Call;
  Call.Address = Config.HostListAddress;
  Call.Method = "GET";
  Call.Path = "/v1/hosts";
  Call.Timeout = ReadTimeout;
  // An unchanged list is answered with status 304 and no body.
  if (!Tag.empty())
    Call.Headers.push_back({"If-None-Match", Tag});
  HttpCallbacks On;
  On.OnDone = [this, Done = std::move(Done)](const HttpResponse &Answer) {
    Done(handleResponse(Answer));
  };
  Client->start(std::move(Call), std::move(On));
}

/// \return Whether the list in use is the platform's current one.
bool HostListService::handleResponse(const HttpResponse &Answer) {
  bool Good = Answer.Status == HttpOk || Answer.Status == HttpNotModified;
  if (!Good) {
    // Keep the stale list: requests to removed upstreams fail and show that
    // they are gone, and new upstreams can be added later.
    if (ConsecutiveFailures++ == 0)
      logEvent(LogLevel::Warning, "host_list_unavailable", {});
    return false;
  }
  ConsecutiveFailures = 0;
  if (Answer.Status == HttpNotModified)
    return true;
  Diagnostics Wrong;
  auto Root = parseJson(Answer.Body, JsonDialect::Strict, Wrong);
  if (!Root) {
    logEvent(LogLevel::Error, "host_list_damaged", {});
    return false;
  }
  Tag = Answer.header("ETag");
  applyList(*Root);
  return true;
}

void HostListService::applyList(const Json &Root) {
  Listed.clear();
  if (const Json *List = Root.find("upstreams")) {
    for (const Json &Item : List->Items)
      Listed[Item.text("pool")].push_back(
          {Item.text("address"), Item.text("pool"), Item.text("failure_domain"),
           Item.flag("leaving")});
  }
  std::vector<HostPort> Seeds;
  if (const Json *List = Root.find("nodes")) {
    for (const Json &Item : List->Items) {
      if (auto Address = parseHostPort(Item.text("peer_address")))
        Seeds.push_back(*Address);
    }
  }
  Known = true;
  Members->seeds(Seeds);
  apply();
}

void HostListService::apply() {
  if (!Known)
    return;
  std::vector<UpstreamSpec> Used;
  std::vector<std::string> Nodes = Members->ids();
  for (const auto &[Pool, Specs] : Listed) {
    Subset &S = Subsets[Pool];
    S.Self = Config.NodeId;
    updateSubsetNodes(S, Nodes);
    for (std::size_t Index : chooseSubset(
             S, Specs, static_cast<std::size_t>(Config.UpstreamSubset)))
      Used.push_back(Specs[Index]);
  }
  Router->upstreams(std::move(Used));
}

} // namespace fulmar
