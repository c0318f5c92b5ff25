/// \file upstream_client.cpp Calls upstreams, through other nodes where this
/// node cannot connect to them.
#include "upstream_client.h"

#include <algorithm>
#include <utility>

#include "call_relay_func.h"
#include "log_func.h"
#include "member_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "upstream_feed.h"
#include "upstream_path_func.h"

namespace fulmar {

/// Interval at which silent calls are looked for and paths are probed.
static constexpr Duration TickPeriod = std::chrono::milliseconds(100);
static constexpr Duration PrunePeriod = std::chrono::seconds(1);
/// Upstreams without trouble that are probed while this node may be isolated,
/// and the interval at which others are chosen.
static constexpr std::size_t OthersProbed = 3;
static constexpr Duration OthersInterval = std::chrono::milliseconds(500);
/// Timeout of connections to upstreams and to other nodes: many round trips
/// within a region.
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// A link that resets connections does so within a round trip.
static constexpr Duration ProofTime = std::chrono::milliseconds(100);
/// An upstream that is silent although it accepts connections is slow; its path
/// is not probed again before this time has passed.
static constexpr Duration MinProbeInterval = std::chrono::seconds(2);
/// Time for a node to take a call on. A process that is paused accepts
/// connections, but does not ask for the call.
static constexpr Duration TakeOnTimeout = std::chrono::milliseconds(120);
/// Nodes that one call is sent to.
static constexpr std::size_t MaxRelays = 3;
/// A call that was not sent for this long is given back to its caller: it
/// states the time left at its start.
static constexpr Duration MaxCallAge = std::chrono::milliseconds(400);
/// A node that refused a call, or did not accept the connection, is avoided for
/// this long.
static constexpr Duration AvoidTime = std::chrono::milliseconds(500);
/// Random members among which a node for a call is chosen.
static constexpr std::size_t MaxCandidates = 16;

UpstreamClient::UpstreamClient(Kernel &K, std::uint64_t Seed)
    : Services(K), Rng(Seed) {}

void UpstreamClient::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Client = &Services.find<HttpClientService>(service::Http).Client;
  Members = &Services.find<MemberService>(service::Members);
  Peers = &Services.find<PeerService>(service::Peers);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Clients = &Services.find<ClientBudget>(service::Clients);
  Timers->every(TickPeriod, [this] { tick(); });
}

UpstreamClient::OpenCall *UpstreamClient::find(HttpCallId Id) {
  auto Found = Calls.find(Id);
  return Found == Calls.end() ? nullptr : &Found->second;
}

UpstreamPath UpstreamClient::path(const std::string &Address) const {
  UpstreamPath Path = upstreamPathOf(Paths, Address, Timers->now());
  if (Path != UpstreamPath::Direct && livesOn(Address, HttpReuse::Allowed))
    return UpstreamPath::Direct;
  return Path;
}

/// \return Whether an open connection can be used although new ones fail. Those
/// that hang were closed.
bool UpstreamClient::livesOn(const std::string &Address,
                             HttpReuse Reuse) const {
  return !Paths.Hung && Client->hasIdle(Address, Reuse);
}

bool UpstreamClient::isolated() const { return pathsIsolated(Paths); }

HttpCallId UpstreamClient::start(const Incarnation &Upstream, HttpCall Call,
                                 HttpCallbacks Callbacks,
                                 const UpstreamCallPlan &Plan) {
  HttpCallId Id{++LastId};
  OpenCall &C = Calls[Id];
  C.Upstream = Upstream;
  C.Call = std::move(Call);
  C.Call.WholeTimeout = true;
  C.Call.ConnectTimeout = std::min(C.Call.ConnectTimeout, ConnectTimeout);
  C.Callbacks = std::move(Callbacks);
  C.Plan = Plan;
  C.Started = Timers->now();
  const std::string &Address = C.Call.Address;
  bool Direct =
      upstreamPathOf(Paths, Address, C.Started) == UpstreamPath::Direct;
  bool Open = !Direct && livesOn(Address, C.Call.Reuse);
  C.Call.OpenOnly = Open || (!Direct && pathLosesCalls(Paths, Address));
  bool Relay = Plan.Relay != RelayUse::Never && !Direct && !Open;
  if (!Relay || !sendRelayed(Id))
    sendDirect(Id);
  return Id;
}

void UpstreamClient::cancel(HttpCallId Id) {
  OpenCall *C = find(Id);
  if (!C)
    return;
  Client->cancel(C->Current);
  Calls.erase(Id);
}

void UpstreamClient::pause(HttpCallId Id) {
  if (OpenCall *C = find(Id))
    Client->pause(C->Current);
}

void UpstreamClient::resume(HttpCallId Id) {
  if (OpenCall *C = find(Id))
    Client->resume(C->Current);
}

/// \return Callbacks that direct and relayed calls have in common.
HttpCallbacks UpstreamClient::callbacks(HttpCallId Id) {
  HttpCallbacks On;
  On.OnSent = [this, Id] { sent(Id); };
  On.OnHead = [this, Id](const HttpResponse &Answer) { head(Id, Answer); };
  // Without OnChunk the HTTP client collects the body.
  if (find(Id)->Callbacks.OnChunk)
    On.OnChunk = [this, Id](std::string_view Bytes) { chunk(Id, Bytes); };
  return On;
}

void UpstreamClient::sendDirect(HttpCallId Id) {
  OpenCall &C = *find(Id);
  C.Direct = true;
  HttpCallbacks On = callbacks(Id);
  On.OnConnected = [this, Address = C.Call.Address] {
    pathConnected(Paths, Address, Timers->now());
    noteChanges();
  };
  On.OnDone = [this, Id](const HttpResponse &Answer) {
    directDone(Id, Answer);
  };
  C.Current = Client->start(C.Call, std::move(On));
}

void UpstreamClient::sent(HttpCallId Id) {
  OpenCall &C = *find(Id);
  C.HeardAt = Timers->now();
  if (C.Direct)
    C.Call.Body.clear();
  // The callback may cancel the call. It runs once, also if the call goes to
  // another node next.
  if (auto OnSent = std::exchange(C.Callbacks.OnSent, nullptr))
    OnSent();
}

void UpstreamClient::head(HttpCallId Id, const HttpResponse &Answer) {
  OpenCall &C = *find(Id);
  C.HeardAt = Timers->now();
  if (C.Direct && !Answer.Reused) {
    pathProven(Paths, C.Call.Address, C.Started, C.HeardAt);
    noteChanges();
  }
  C.Refused = !C.Direct && findHeader(Answer.Headers, RelayResultHeader);
  if (C.Refused)
    return;
  if (auto OnHead = C.Callbacks.OnHead)
    OnHead(Answer);
}

void UpstreamClient::chunk(HttpCallId Id, std::string_view Bytes) {
  OpenCall &C = *find(Id);
  C.HeardAt = Timers->now();
  if (C.Refused)
    return;
  C.HasBody = true;
  auto OnChunk = C.Callbacks.OnChunk;
  OnChunk(Bytes);
}

/// \return The failure of a response that has ended too early.
static HttpResponse truncated(HttpResponse Answer) {
  Answer.Status = 0;
  Answer.Failure = HttpFailure::Truncated;
  return Answer;
}

/// Ends a call that this node made itself. A success whose body has no explicit
/// end and no byte looks like one whose sender stopped after the head.
void UpstreamClient::directDone(HttpCallId Id, const HttpResponse &Answer) {
  OpenCall &C = *find(Id);
  const std::string Address = C.Call.Address;
  if (Answer.MayHaveBeenSent) {
    if (Answer.Failure == HttpFailure::Closed) {
      if (!Answer.Reused)
        connectionReset(Address);
      probe(Address);
    }
    noteChanges();
    if (Answer.Failure != HttpFailure::None || !Answer.EndedByClose)
      return finish(Id, Answer);
    bool Empty = !C.HasBody && Answer.Body.empty();
    return Empty && isSuccess(Answer.Status) ? finish(Id, truncated(Answer))
                                             : confirmEnd(Id, Answer);
  }
  // Neither an open connection that is gone by now nor a want of descriptors
  // says anything about the path.
  if (!C.Call.OpenOnly && !Answer.NoDescriptor)
    connectFailed(Address, C.Started);
  bool Relay = C.Plan.Relay == RelayUse::Allowed ||
               (C.Plan.Relay == RelayUse::Isolated && isolated());
  if (!Relay || !sendRelayed(Id))
    finish(Id, Answer);
}

/// Records that a connection could not be established.
/// \param Since when it was begun.
void UpstreamClient::connectFailed(const std::string &Address,
                                   TimePoint Since) {
  bool Hung = Timers->now() - Since >= ConnectTimeout;
  Paths.Listed = Upstreams->registry().Entries.size();
  pathFailed(Paths, Address, Hung, Timers->now());
  // Open connections share the fate of a new one that hangs.
  if (Hung)
    Client->closeIdle(Address);
  probeOthers();
  noteChanges();
}

/// Records that a new connection was closed before a response.
void UpstreamClient::connectionReset(const std::string &Address) {
  Paths.Listed = Upstreams->registry().Entries.size();
  pathReset(Paths, Address, Timers->now());
  probeOthers();
}

/// \return Whether a call may be sent to a node.
bool UpstreamClient::mayRelay(const OpenCall &C, const MemberInfo &Node) const {
  auto Avoided = AvoidedNodes.find(Node.Id);
  bool Avoid = Avoided != AvoidedNodes.end() && Avoided->second > Timers->now();
  bool Runs = memberServes(Node.State) || Node.State == MemberState::Leaving;
  return Runs && !Node.CannotReach && !Avoid &&
         std::find(C.Via.begin(), C.Via.end(), Node.Id) == C.Via.end();
}

/// \return Preference among nodes that can make a call, the best 0. One whose
/// configuration is old has trouble of its own, one that is leaving stops soon.
static int relayRank(const MemberInfo &Node) {
  if (Node.State == MemberState::Leaving)
    return 2;
  return Node.Unfit ? 1 : 0;
}

/// \return Whether a node has less load, relative to its strength.
static bool hasLessLoad(const MemberInfo &A, const MemberInfo &B) {
  return static_cast<std::uint64_t>(A.Load) * B.Strength <
         static_cast<std::uint64_t>(B.Load) * A.Strength;
}

/// Chooses a node that a call is sent to: of two random ones that say that they
/// reach upstreams, the one with less load.
const MemberInfo *UpstreamClient::chooseRelay(const OpenCall &C) {
  const MemberInfo *Best = nullptr;
  int Compared = 0;
  for (const std::string &Id : Members->randomIds(MaxCandidates)) {
    const MemberInfo *Node = Members->info(Id);
    if (!Node || !mayRelay(C, *Node))
      continue;
    int Rank = relayRank(*Node);
    int BestRank = Best ? relayRank(*Best) : Rank + 1;
    if (Rank < BestRank || (Rank == BestRank && hasLessLoad(*Node, *Best)))
      Best = Node;
    if (++Compared >= 2 && relayRank(*Best) == 0)
      break;
  }
  return Best;
}

/// Sends a call to another node.
/// \return Whether there is one.
bool UpstreamClient::sendRelayed(HttpCallId Id) {
  OpenCall &C = *find(Id);
  if (C.Via.size() >= MaxRelays || Timers->now() - C.Started > MaxCallAge)
    return false;
  const MemberInfo *Node = chooseRelay(C);
  if (!Node)
    return false;
  // The copy of a large body has to fit beside what clients hold.
  auto Charge = Clients->charge(C.Call.Body.size());
  if (!Charge)
    return false;
  RelayedCall Relayed;
  Relayed.Upstream = C.Upstream;
  Relayed.Method = C.Call.Method;
  Relayed.Path = C.Call.Path;
  Relayed.Headers = C.Call.Headers;
  Relayed.Body = C.Call.Body.text();
  Relayed.ExpectId = C.Call.ExpectId;
  Relayed.Timeout = C.Call.Timeout;
  Relayed.Repeatable = C.Call.Reuse == HttpReuse::Allowed;
  std::string Sealed = Peers->seal(std::move(Relayed));
  if (Sealed.empty())
    return false;
  C.Sealed = std::move(*Charge);
  C.Direct = false;
  C.Refused = false;
  C.Via.push_back(Node->Id);
  ++Counts.Relayed;
  HttpCall Call;
  Call.Address = formatHostPort({Node->Host, Node->OperatorPort});
  Call.Path = RelayPath;
  Call.Body = std::move(Sealed);
  Call.MaxBodyBytes = C.Call.MaxBodyBytes;
  Call.Timeout = C.Call.Timeout + ConnectTimeout;
  Call.WholeTimeout = true;
  Call.ConnectTimeout = ConnectTimeout;
  Call.ContinueTimeout = TakeOnTimeout;
  Call.Reuse = C.Call.Reuse;
  HttpCallbacks On = callbacks(Id);
  On.OnDone = [this, Id](const HttpResponse &Answer) { relayDone(Id, Answer); };
  C.Current = Client->start(std::move(Call), std::move(On));
  return true;
}

void UpstreamClient::relayDone(HttpCallId Id, const HttpResponse &Answer) {
  OpenCall &C = *find(Id);
  if (C.Refused)
    return relayRefused(Id, Answer);
  if (!Answer.MayHaveBeenSent) {
    AvoidedNodes[C.Via.back()] = Timers->now() + AvoidTime;
    if (!sendRelayed(Id))
      finish(Id, Answer);
    return;
  }
  HttpResponse Whole = Answer;
  // That the other node closed the connection says nothing about the upstream.
  if (peerClosedEarly(Whole))
    Whole.Failure = HttpFailure::RelayLost;
  finish(Id, Whole);
}

/// Handles a call that another node could not make, or whose response it did
/// not get.
void UpstreamClient::relayRefused(HttpCallId Id, const HttpResponse &Answer) {
  OpenCall &C = *find(Id);
  RelayResult Result = readRelayResult(Answer);
  HttpResponse Failed;
  Failed.MayHaveBeenSent = relayMayHaveSent(Result);
  Failed.Failure = relayFailure(Result);
  Failed.Relayed = true;
  if (Failed.MayHaveBeenSent)
    return finish(Id, Failed);
  ++Counts.RelayRefused;
  bool OfUpstream =
      Result == RelayResult::Unreachable || Result == RelayResult::Declined;
  if (!OfUpstream)
    AvoidedNodes[C.Via.back()] = Timers->now() + AvoidTime;
  C.Unreachable = C.Unreachable || Result == RelayResult::Unreachable;
  C.Declined = C.Declined || Result == RelayResult::Declined;
  // A backoff concerns only the node that was asked for it.
  if (sendRelayed(Id))
    return;
  if (C.Unreachable)
    pathFailedElsewhere(Paths, C.Call.Address, Timers->now());
  if (C.Declined)
    pathDeclined(Paths, C.Call.Address, Timers->now());
  noteChanges();
  finish(Id, Failed);
}

void UpstreamClient::finish(HttpCallId Id, const HttpResponse &Answer) {
  auto OnDone = std::move(find(Id)->Callbacks.OnDone);
  Calls.erase(Id);
  if (OnDone)
    OnDone(Answer);
}

/// Completes a call whose response ended with the connection. The end of a
/// process closes its connections in the same way, so the response is whole
/// only if the process lives on.
void UpstreamClient::confirmEnd(HttpCallId Id, const HttpResponse &Answer) {
  checkLife(find(Id)->Call.Address, [this, Id, Answer](UpstreamLife Life) {
    if (!find(Id))
      return;
    finish(Id, Life == UpstreamLife::Alive ? Answer : truncated(Answer));
  });
}

void UpstreamClient::checkLife(const std::string &Address,
                               std::function<void(UpstreamLife)> Fn) {
  PathProbe &Probe = probeTo(Address);
  // The connection of a probe that has begun may be older than what happened.
  (Probe.Begun ? Probe.Later : Probe.Waiting).push_back(std::move(Fn));
}

/// Tests the path to an address.
void UpstreamClient::probe(const std::string &Address) {
  probeTo(Address).OfPath = true;
}

/// \return The probe to an address; begins one in the next round of the loop if
/// there is none.
UpstreamClient::PathProbe &UpstreamClient::probeTo(const std::string &Address) {
  auto [Found, First] = Probing.try_emplace(Address);
  if (First)
    Timers->after(Duration::zero(), [this, Address] { beginProbe(Address); });
  return Found->second;
}

/// Tries to connect to an address.
void UpstreamClient::beginProbe(const std::string &Address) {
  PathProbe &Probe = Probing[Address];
  ++Counts.Probes;
  Probe.Begun = true;
  Probe.Started = Timers->now();
  Probe.Proof = Probe.OfPath || Paths.Troubles.count(Address) > 0;
  Probed[Address] = Probe.Started;
  HttpCall Call;
  Call.Address = Address;
  Call.ConnectOnly = true;
  Call.MaxBodyBytes = 0;
  Call.ConnectTimeout = ConnectTimeout;
  if (Probe.Proof)
    Call.StayOpen = ProofTime;
  HttpCallbacks On;
  On.OnConnected = [this, Address] {
    pathConnected(Paths, Address, Timers->now());
    noteChanges();
  };
  On.OnDone = [this, Address](const HttpResponse &Answer) {
    probeDone(Address, Answer);
  };
  Client->start(std::move(Call), std::move(On));
}

void UpstreamClient::probeDone(const std::string &Address,
                               const HttpResponse &Answer) {
  PathProbe Probe = std::move(Probing[Address]);
  Probing.erase(Address);
  if (!Probe.Later.empty())
    probeTo(Address).Waiting = std::move(Probe.Later);
  UpstreamLife Life = UpstreamLife::Alive;
  if (Answer.Failure != HttpFailure::None)
    Life = Answer.ConnectRefused ? UpstreamLife::Ended : UpstreamLife::Unknown;
  if (Life == UpstreamLife::Alive && Probe.Proof)
    pathProven(Paths, Address, Probe.Started, Timers->now());
  if (Answer.Failure == HttpFailure::Closed) {
    connectionReset(Address);
    if (!pathDown(Paths, Address))
      probe(Address);
  }
  // Several upstreams that crash at once must not look like a node without
  // links.
  if (Answer.Failure == HttpFailure::ConnectFailed && Probe.OfPath &&
      !Answer.NoDescriptor) {
    connectFailed(Address, Probe.Started);
    silentCallsLost(Address);
  }
  noteChanges();
  for (const auto &Fn : Probe.Waiting)
    Fn(Life);
}

/// Tells the callers of silent calls to an upstream that its path is down.
void UpstreamClient::silentCallsLost(const std::string &Address) {
  TimePoint Now = Timers->now();
  std::vector<HttpCallId> Lost;
  for (const auto &[Id, C] : Calls) {
    if (C.Direct && C.Call.Address == Address && C.HeardAt > TimePoint{} &&
        Now - C.HeardAt >= C.Plan.SilentAfter)
      Lost.push_back(Id);
  }
  for (HttpCallId Id : Lost) {
    OpenCall *C = find(Id);
    if (!C || !C->Plan.OnPathLost)
      continue;
    // It may end the call.
    auto OnPathLost = C->Plan.OnPathLost;
    OnPathLost();
  }
}

/// Probes the paths of calls without a response for long, unless their upstream
/// responds to others.
void UpstreamClient::probeSilent() {
  TimePoint Now = Timers->now();
  std::map<std::string, bool> SilentBy;
  for (const auto &[Id, C] : Calls) {
    if (!C.Direct || C.HeardAt == TimePoint{})
      continue;
    bool Silent = Now - C.HeardAt >= C.Plan.SilentAfter;
    auto [Found, Fresh] = SilentBy.try_emplace(C.Call.Address, Silent);
    Found->second = Found->second && Silent;
  }
  for (const auto &[Address, Silent] : SilentBy) {
    auto Last = Probed.find(Address);
    bool Lately = Last != Probed.end() && Now - Last->second < MinProbeInterval;
    if (Silent && !Lately)
      probe(Address);
  }
}

/// Probes some upstreams without trouble if this node may be isolated.
void UpstreamClient::probeOthers() {
  TimePoint Now = Timers->now();
  if (!pathsSuspicious(Paths, Now) || NextOthers > Now)
    return;
  NextOthers = Now + OthersInterval;
  std::vector<std::string> Others;
  for (const auto &[Instance, Entry] : Upstreams->registry().Entries) {
    if (!Entry.Leaving && !Paths.Troubles.count(Entry.Address))
      Others.push_back(Entry.Address);
  }
  for (std::size_t I = 0; I < OthersProbed && !Others.empty(); ++I) {
    std::size_t Index = randomIndex(Rng, Others.size());
    probe(Others[Index]);
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Index));
  }
}

void UpstreamClient::tick() {
  TimePoint Now = Timers->now();
  probeSilent();
  probeOthers();
  for (const std::string &Address : pathProbesDue(Paths, Now))
    probe(Address);
  if (NextPrune <= Now) {
    NextPrune = Now + PrunePeriod;
    std::erase_if(Probed, [Now](const auto &Item) {
      return Now - Item.second > MinProbeInterval;
    });
    std::erase_if(AvoidedNodes,
                  [Now](const auto &Item) { return Item.second <= Now; });
    Paths.Listed = Upstreams->registry().Entries.size();
    if (!Paths.Troubles.empty() || !Paths.Declined.empty()) {
      std::set<std::string> Listed;
      for (const auto &[Instance, Entry] : Upstreams->registry().Entries)
        Listed.insert(Entry.Address);
      pathsPrune(
          Paths,
          [&](const std::string &Address) { return Listed.count(Address) > 0; },
          Now);
    }
  }
  noteChanges();
}

/// Informs subscribers if paths have changed.
void UpstreamClient::noteChanges() {
  std::map<std::string, UpstreamPath> Latest;
  auto Note = [&](const std::string &Address) {
    UpstreamPath Path = path(Address);
    if (Path != UpstreamPath::Direct)
      Latest[Address] = Path;
  };
  for (const auto &[Address, T] : Paths.Troubles)
    Note(Address);
  for (const auto &[Address, Until] : Paths.Declined)
    Note(Address);
  bool Isolated = isolated();
  if (Isolated != KnownIsolated) {
    Counts.Isolations += Isolated ? 1 : 0;
    logEvent(Isolated ? LogLevel::Warning : LogLevel::Info,
             Isolated ? "upstreams_unreachable" : "upstreams_reachable",
             {{"addresses_down", Latest.size()},
              {"relayed", Counts.Relayed},
              {"refused", Counts.RelayRefused}});
  }
  if (Isolated == KnownIsolated && Latest == Known)
    return;
  for (const auto &[Address, Path] : Latest) {
    auto Before = Known.find(Address);
    if (Before == Known.end() || Before->second != Path)
      logEvent(LogLevel::Info, "upstream_path",
               {{"upstream", Address}, {"path", upstreamPathName(Path)}});
  }
  KnownIsolated = Isolated;
  Known = std::move(Latest);
  for (const auto &Fn : Subscribers)
    Fn();
}

} // namespace fulmar
