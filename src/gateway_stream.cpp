/// \file gateway_stream.cpp Streams, which continue only at the software
/// version that began them.
#include <algorithm>

#include "event_loop.h"
#include "gateway_service.h"
#include "log_func.h"
#include "route_feed.h"
#include "stream_version_service.h"
#include "upstream_feed.h"
#include "upstream_func.h"

namespace fulmar {

/// A host that slept for longer than this may have missed changes of the list.
static constexpr Duration MaxSleep = std::chrono::milliseconds(500);
/// How long a client that takes up a stream waits for a newer list, and how
/// often the list is looked at.
static constexpr Duration MaxListWait = std::chrono::milliseconds(1500);
static constexpr Duration ListCheckInterval = std::chrono::milliseconds(20);
/// Streams without a record count as this old at least: a node may not have
/// seen yet how long the clients of a route wait.
static constexpr Duration MinStreamWait = std::chrono::seconds(30);

/// \return The key of a request's stream.
static StreamKey streamKeyOf(const ForwardRequest &R) {
  bool First = R.Ask.FirstTry.empty();
  return streamKey(R.Organisation, First ? R.Ask.RequestId : R.Ask.FirstTry);
}

/// \return The record of a request's stream.
static StreamRecord streamRecordOf(const ForwardRequest &R,
                                   const StreamOrigin &Origin, TimePoint Now) {
  StreamRecord Record;
  Record.Key = streamKeyOf(R);
  Record.Origin = Origin;
  Record.Left = R.ClientDeadline - Now;
  return Record;
}

/// Tells other nodes where the stream of a request began.
void GatewayService::tellOrigin(const ForwardRequest &R,
                                const StreamOrigin &Origin) {
  StreamVersions->tell(streamRecordOf(R, Origin, Timers->now()));
}

/// Records where a stream begins, before the client gets its first event: from
/// then on the client may take it up at any node.
void GatewayService::beginStream(ForwardRequest &R) {
  if (!R.Version.empty())
    return;
  const ForwardAttempt &A = *R.Attempt;
  R.Version = A.Version;
  if (!R.Route->Resumable || R.Version.empty())
    return;
  tellOrigin(R, {R.PoolName, A.Version, A.Start.Instance});
}

/// Finds out where a stream began that a client takes up.
void GatewayService::takeUpStream(ForwardRequest &R) {
  if (R.Ask.FirstTry.empty())
    return streamFound(R.Serial, StreamFinding::Never, {});
  StreamVersions->find(streamKeyOf(R),
                       [this, Serial = R.Serial](StreamFinding Finding,
                                                 const StreamOrigin &Origin) {
                         streamFound(Serial, Finding, Origin);
                       });
}

void GatewayService::streamFound(RequestSerial Serial, StreamFinding Finding,
                                 const StreamOrigin &Origin) {
  ForwardRequest *R = find(Serial);
  if (!R)
    return;
  if (Finding == StreamFinding::Known)
    return continueStream(*R, Origin);
  // Disputed means that there were several versions.
  auto Sole =
      Finding == StreamFinding::Disputed ? std::nullopt : soleOrigin(*R);
  if (!Sole)
    return refuseStream(*R, ResultCode::StreamVersionUnknown,
                        streamFindingName(Finding));
  if (listCovers(*R))
    return continueStream(*R, *Sole);
  if (Timers->now() - R->Arrived > MaxListWait)
    return refuseStream(*R, ResultCode::StreamVersionUnknown, "list too old");
  awaitList(*R, Finding);
}

/// \return Whether the list shows all versions at which a stream may have begun
/// that a client takes up: it was read after the request arrived. Other nodes
/// may have used versions that an older list lacks.
bool GatewayService::listCovers(const ForwardRequest &R) const {
  return Upstreams->registry().ReadAt >= R.Arrived;
}

/// Waits for a newer list before the version of a stream is concluded from it.
void GatewayService::awaitList(ForwardRequest &R, StreamFinding Finding) {
  Upstreams->readSoon();
  beginWait(R, SendWaitFor::NewerList);
  limitWait(R, ListCheckInterval, [this, Finding](ForwardRequest &Waiting) {
    streamFound(Waiting.Serial, Finding, {});
  });
}

/// \return Whether a route passes requests to a pool.
static bool hasTarget(const RouteSpec &Route, const std::string &Pool) {
  return std::any_of(
      Route.Targets.begin(), Route.Targets.end(),
      [&](const RouteTarget &Target) { return Target.Pool == Pool; });
}

/// Continues a stream that a client takes up.
void GatewayService::continueStream(ForwardRequest &R,
                                    const StreamOrigin &Origin) {
  // The route may have been moved to another pool since.
  if (!hasTarget(*R.Route, Origin.Pool))
    return refuseStream(R, ResultCode::StreamVersionGone, "route moved");
  const auto &Entries = Upstreams->registry().Entries;
  auto Entry = Entries.find(Origin.Instance);
  // It may have restarted under the same name before the stream began, and the
  // list that the record was made from did not show it yet.
  if (Entry != Entries.end() && Entry->second.Version != Origin.Version)
    return refuseStream(R, ResultCode::StreamVersionUnknown, "restarted");
  R.PoolName = Origin.Pool;
  R.Version = Origin.Version;
  if (!versionServed(R))
    return refuseStream(R, ResultCode::StreamVersionGone, "version gone");
  // It has fewer upstreams than a new stream, and its client already waits.
  R.Priority = std::max(0, R.Priority - 1);
  R.Urgency = std::max(0, R.Urgency - 1);
  logEvent(LogLevel::Info, "stream_taken_up",
           {{"id", R.Ask.RequestId},
            {"first_try", R.Ask.FirstTry},
            {"pool", Origin.Pool},
            {"version", Origin.Version},
            {"began_at", Origin.Instance}});
  // Some of the nodes that held the record may have restarted.
  tellOrigin(R, Origin);
  beginStages(R);
}

void GatewayService::refuseStream(ForwardRequest &R, ResultCode Code,
                                  std::string_view Why) {
  logEvent(LogLevel::Info, "stream_refused",
           {{"id", R.Ask.RequestId},
            {"first_try", R.Ask.FirstTry},
            {"organisation", R.Organisation},
            {"why", Why}});
  R.LastFailure = Why;
  finish(R, Code);
}

/// \return Whether an upstream that is listed and not leaving has the version
/// of a request's stream; true if it may begin at any.
bool GatewayService::versionServed(const ForwardRequest &R) const {
  if (R.Version.empty())
    return true;
  auto Found = Pools.find(R.PoolName);
  if (Found == Pools.end())
    return false;
  const std::vector<Upstream> &All = Found->second.Upstreams;
  return std::any_of(All.begin(), All.end(), [&](const Upstream &U) {
    return U.Listed && !U.Leaving && hasVersion(U, R.Version);
  });
}

/// \return The policy by which upstreams are chosen for a request. A stream
/// that has begun has few of them, and one that failed lately is better than
/// none.
RouterPolicy GatewayService::policyOf(const ForwardRequest &R) const {
  RouterPolicy Own = Policy;
  Own.Ejection = Policy.Ejection && R.Version.empty();
  return Own;
}

/// \return Versions at which a stream should not begin, as others could hardly
/// continue it.
std::set<std::string>
GatewayService::avoidedVersions(const ForwardRequest &R) const {
  if (!R.Route->Resumable || !R.Version.empty())
    return {};
  return unsettledVersions(Versions, R.PoolName, Timers->now());
}

std::optional<std::size_t>
GatewayService::chooseForAttempt(const ForwardRequest &R, Pool &P,
                                 const ChoiceHints &Hints) {
  TimePoint Now = Timers->now();
  std::set<std::string> Unsettled = avoidedVersions(R);
  if (!Unsettled.empty()) {
    ChoiceHints Settled = Hints;
    Settled.Without = &Unsettled;
    if (auto Index = chooseUpstream(P, Policy, Settled, Rng, Now))
      return Index;
  }
  if (auto Index = chooseUpstream(P, Policy, Hints, Rng, Now))
    return Index;
  if (R.Version.empty())
    return std::nullopt;
  return chooseUpstream(P, policyOf(R), Hints, Rng, Now);
}

/// \return How far the boot clock is ahead of the clock of timers.
static Duration bootOffset(TimePoint Now) {
  return EventLoop::bootClock() - Now.time_since_epoch();
}

/// Begins the history of versions anew after a time in which this node did not
/// see the list of upstreams: versions may have come and gone.
void GatewayService::checkVersionHistory() {
  TimePoint Now = Timers->now();
  Duration Offset = bootOffset(Now);
  bool Slept = Offset - BootOffset > MaxSleep;
  bool Outdated = Now - Upstreams->registry().ReadAt > ListOutageAge;
  BootOffset = Offset;
  bool Unknown = !Upstreams->registry().Known || Versions.Since == TimePoint{};
  if (Slept || Outdated || Unknown)
    Versions.Since = Now;
}

/// Updates the history of versions with changes of the list.
void GatewayService::recordVersions(const UpstreamChanges &Changes) {
  TimePoint Now = Timers->now();
  for (const auto &[Before, After] : Changes) {
    if (After)
      versionListed(Versions, After->Pool, After->Version, Now);
    if (Before)
      versionUnlisted(Versions, Before->Pool, Before->Version, Now);
  }
}

/// Counts the listed upstreams of each version anew.
void GatewayService::rebuildVersions() {
  TimePoint Now = Timers->now();
  VersionHistory Earlier = Versions;
  for (auto &[Pool, Known] : Versions.Pools) {
    for (auto &[Version, Times] : Known)
      Times.Listed = 0;
  }
  for (const auto &[Instance, Entry] : Upstreams->registry().Entries)
    versionListed(Versions, Entry.Pool, Entry.Version, Now);
  for (auto &[Pool, Known] : Versions.Pools) {
    for (auto &[Version, Times] : Known) {
      bool Left = Times.Listed == 0 && Earlier.Pools[Pool][Version].Listed > 0;
      if (Left)
        Times.GoneAt = Now;
    }
  }
}

/// Records which routes a new configuration moves to other pools.
void GatewayService::recordMovedRoutes() {
  std::map<std::string, std::vector<RouteTarget>> Latest;
  for (const RouteSpec &Route : Routes->table()->Routes)
    Latest[Route.Name] = Route.Targets;
  for (const auto &[Name, Targets] : Latest) {
    auto Old = TargetsOf.find(Name);
    if (Old != TargetsOf.end() && Old->second != Targets)
      MovedAt[Name] = Timers->now();
  }
  TargetsOf = std::move(Latest);
}

/// \return For how long the client of a stream without a record may have
/// waited. A client that names its first try had a record, which may have been
/// lost with the nodes that knew how long it waits.
Duration GatewayService::longestWait(const ForwardRequest &R) const {
  if (!R.Ask.FirstTry.empty())
    return MaxStreamWait;
  auto Found = Times.find(R.Route->Name);
  Duration Longest =
      Found == Times.end() ? MinStreamWait : Found->second.Callers.Longest;
  return std::clamp<Duration>(Longest, MinStreamWait, MaxStreamWait);
}

/// \return Where the stream that a client takes up must have begun: its route
/// has one pool, whose upstreams have had one version for as long as the client
/// may have waited.
std::optional<StreamOrigin>
GatewayService::soleOrigin(const ForwardRequest &R) const {
  TimePoint Now = Timers->now();
  bool Current = bootOffset(Now) - BootOffset <= MaxSleep &&
                 Now - Upstreams->registry().ReadAt <= ListOutageAge;
  Duration Wait = longestWait(R);
  auto Moved = MovedAt.find(R.Route->Name);
  bool Stayed = Moved == MovedAt.end() || Now - Moved->second > Wait;
  if (!Current || !Stayed || R.Route->Targets.size() != 1)
    return std::nullopt;
  const std::string &Pool = R.Route->Targets.front().Pool;
  auto Version = soleVersion(Versions, Pool, Wait, Now);
  if (!Version)
    return std::nullopt;
  return StreamOrigin{Pool, *Version, ""};
}

/// Tells other nodes that the version of a stream is not known after all.
void GatewayService::disputeStream(ForwardRequest &R, const ForwardAttempt &A) {
  StreamOrigin Origin{R.PoolName, R.Version, A.Start.Instance};
  StreamRecord Record = streamRecordOf(R, Origin, Timers->now());
  Record.Disputed = true;
  StreamVersions->tell(Record);
  R.Version.clear();
}

/// \return The open attempt of a request at an upstream; null: none.
static ForwardAttempt *attemptAt(ForwardRequest &R, const Incarnation &Start) {
  if (R.Attempt && R.Attempt->Start == Start)
    return &*R.Attempt;
  for (ForwardAttempt &A : R.Silent) {
    if (A.Start == Start)
      return &A;
  }
  return nullptr;
}

/// Handles an upstream that has restarted under the same name with another
/// version. It is not known which of the two wrote the events of its streams.
void GatewayService::versionChanged(const UpstreamRestart &Restart) {
  std::vector<RequestSerial> Continued;
  for (auto &[Serial, R] : Requests) {
    ForwardAttempt *A = attemptAt(R, Restart.Earlier.incarnation());
    if (!A)
      continue;
    A->Version.clear();
    if (A->Events > 0 && !R.Version.empty())
      disputeStream(R, *A);
    if (!A->Continues)
      continue;
    if (isSilent(R, A->Number))
      dropSilent(R, A->Number, "version of the upstream changed");
    else
      Continued.push_back(Serial);
  }
  for (RequestSerial Serial : Continued) {
    if (ForwardRequest *R = find(Serial))
      abandonAttempt(*R, "version of the upstream changed");
  }
}

} // namespace fulmar
