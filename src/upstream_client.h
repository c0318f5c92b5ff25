/// \file upstream_client.h Calls upstreams, through other nodes where this node
/// cannot connect to them.
#ifndef FULMARSTEP_UPSTREAM_CLIENT_H
#define FULMARSTEP_UPSTREAM_CLIENT_H

#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

#include "client_budget.h"
#include "core/random.h"
#include "http_client.h"
#include "kernel.h"
#include "member_type.h"
#include "route_type.h"
#include "timer_base.h"
#include "upstream_path_base.h"

namespace fulmar {

class MemberService;
class PeerService;
class UpstreamFeed;

/// Whether a call may be made through another node.
enum class RelayUse {
  Never,    ///< No: it is made for another node already.
  Isolated, ///< If this node is isolated. Else the caller has other upstreams.
  Allowed,  ///< Whenever this node cannot connect to the upstream.
  Count,    ///< Number of values.
  Invalid,  ///< Not a value.
};

/// How a call to an upstream is made.
struct UpstreamCallPlan {
  RelayUse Relay = RelayUse::Isolated; ///< Use of other nodes.
  /// Time without a response after which the path is probed.
  Duration SilentAfter = std::chrono::milliseconds(400);
  /// Called when the call is silent and a probe shows that the path is down.
  /// The call stays open.
  std::function<void()> OnPathLost;
};

/// What a new connection shows of an upstream whose connection has ended.
enum class UpstreamLife {
  Alive,   ///< It accepts connections.
  Ended,   ///< Its host refuses them: the process has ended.
  Unknown, ///< Neither, as with a host that cannot be reached.
  Count,   ///< Number of values.
  Invalid, ///< Not a value.
};

/// Counters for metrics.
struct UpstreamClientCounts {
  std::uint64_t Relayed = 0;      ///< Calls made through other nodes.
  std::uint64_t RelayRefused = 0; ///< Times another node refused one.
  std::uint64_t Probes = 0;       ///< Connections opened to test a path.
  std::uint64_t Isolations = 0;   ///< Times this node became isolated.
};

/// Makes this node's calls to upstreams.
///
/// A call is sent once at most: it goes to another node only while no byte of
/// it has been sent, and the other node calls the upstream itself. So nothing
/// runs twice and no call goes through more than one other node.
class UpstreamClient : public Service {
public:
  UpstreamClient(Kernel &K, std::uint64_t Seed);

  void start() override;

  /// Starts a call. No callback runs before this returns. OnSent may be
  /// followed by a response that says that nothing was sent, if another node
  /// says so.
  HttpCallId start(const Incarnation &Upstream, HttpCall Call,
                   HttpCallbacks Callbacks, const UpstreamCallPlan &Plan = {});
  /// Closes a call's connection; its callbacks are no longer run.
  void cancel(HttpCallId Id);
  /// Stops reading a call's response while its consumer is slow.
  void pause(HttpCallId Id);
  /// Resumes reading.
  void resume(HttpCallId Id);

  /// Closes the idle connections to \p Address.
  void closeIdle(const std::string &Address) { Client->closeIdle(Address); }

  /// \return How this node reaches an upstream.
  UpstreamPath path(const std::string &Address) const;
  /// \return Whether this node can connect to no upstream.
  bool isolated() const;
  /// \return The counters since the start of the node.
  const UpstreamClientCounts &counts() const { return Counts; }

  /// Finds out by a new connection, which is kept for later calls, whether the
  /// process at \p Address has ended.
  void checkLife(const std::string &Address,
                 std::function<void(UpstreamLife)> Fn);

  /// Calls \p Fn when paths have changed.
  void onChange(std::function<void()> Fn) {
    Subscribers.push_back(std::move(Fn));
  }

private:
  /// A call in progress.
  struct OpenCall {
    Incarnation Upstream;    ///< Start of the upstream.
    HttpCall Call;           ///< Without its body once it is sent directly.
    HttpCallbacks Callbacks; ///< Of the caller.
    UpstreamCallPlan Plan;   ///< How it is made.
    HttpCallId Current;      ///< Call of the HTTP client.
    TimePoint Started{};     ///< When the caller started it.
    BudgetCharge Sealed;     ///< Memory of the copy for another node.
    bool Direct = false;     ///< Sent without another node.
    bool Refused = false;    ///< The response is the other node's own.
    bool HasBody = false;    ///< A part of the body was passed on.
    TimePoint HeardAt{};     ///< Latest byte received, or when it was sent;
                             ///< zero: not sent.
    std::vector<std::string> Via; ///< Nodes that it was sent to, in order.
    bool Unreachable = false;     ///< Another node could not connect either.
    bool Declined = false;        ///< Another node may not call the upstream.
  };

  /// A connection that is being established as a test.
  struct PathProbe {
    bool OfPath = false; ///< A failure says something about this node's paths.
    bool Begun = false;  ///< The connection is being established, or is open.
    bool Proof = false;  ///< The connection must stay open for a while.
    TimePoint Started{}; ///< When the connection was begun.
    std::vector<std::function<void(UpstreamLife)>> Waiting; ///< Get the result.
    std::vector<std::function<void(UpstreamLife)>>
        Later; ///< Get the result of the next probe.
  };

  bool livesOn(const std::string &Address, HttpReuse Reuse) const;
  void sendDirect(HttpCallId Id);
  bool sendRelayed(HttpCallId Id);
  HttpCallbacks callbacks(HttpCallId Id);
  void sent(HttpCallId Id);
  void head(HttpCallId Id, const HttpResponse &Answer);
  void chunk(HttpCallId Id, std::string_view Bytes);
  void directDone(HttpCallId Id, const HttpResponse &Answer);
  void relayDone(HttpCallId Id, const HttpResponse &Answer);
  void relayRefused(HttpCallId Id, const HttpResponse &Answer);
  void finish(HttpCallId Id, const HttpResponse &Answer);
  bool mayRelay(const OpenCall &C, const MemberInfo &Node) const;
  const MemberInfo *chooseRelay(const OpenCall &C);
  void confirmEnd(HttpCallId Id, const HttpResponse &Answer);
  void probe(const std::string &Address);
  PathProbe &probeTo(const std::string &Address);
  void beginProbe(const std::string &Address);
  void probeDone(const std::string &Address, const HttpResponse &Answer);
  void silentCallsLost(const std::string &Address);
  void connectFailed(const std::string &Address, TimePoint Since);
  void connectionReset(const std::string &Address);
  void probeSilent();
  void probeOthers();
  void tick();
  void noteChanges();
  OpenCall *find(HttpCallId Id);

  Kernel &Services; ///< Finds the other services.
  Random Rng;       ///< Chooses other nodes.
  TimerService *Timers = nullptr;
  HttpClient *Client = nullptr;      ///< Sends the calls.
  MemberService *Members = nullptr;  ///< Lists the nodes.
  PeerService *Peers = nullptr;      ///< Authenticates relayed calls.
  UpstreamFeed *Upstreams = nullptr; ///< Lists the upstreams.
  ClientBudget *Clients = nullptr;   ///< Counts copies of bodies.
  UpstreamPaths Paths;               ///< Paths of this node.
  std::unordered_map<HttpCallId, OpenCall> Calls; ///< In progress.
  std::uint64_t LastId = 0;                       ///< Of the latest call.
  std::map<std::string, TimePoint> AvoidedNodes;  ///< Until then, by node.
  std::map<std::string, TimePoint> Probed;        ///< Latest probe, by address.
  TimePoint NextOthers{}; ///< When to probe upstreams without trouble again.
  std::map<std::string, PathProbe> Probing; ///< Probes in progress, by address.
  std::map<std::string, UpstreamPath> Known; ///< Paths other than Direct that
                                             ///< subscribers know.
  bool KnownIsolated = false;                ///< Same for isolation.
  TimePoint NextPrune{};                     ///< When to prune Paths.
  std::vector<std::function<void()>> Subscribers; ///< Called after changes.
  UpstreamClientCounts Counts;                    ///< For metrics.
};

} // namespace fulmar

#endif
