/// \file state_sync_service.cpp Follows the key-value service through other
/// nodes.
#include "state_sync_service.h"

#include <algorithm>
#include <utility>

#include "core/enum_names.h"
#include "event_loop.h"
#include "join_service.h"
#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "route_feed.h"
#include "state_sync_func.h"
#include "upstream_feed.h"

namespace fulmar {

/// Interval between requests of a relay; followers send half as many. With the
/// reader's pause of 900 ms between reads, a change reaches all nodes after at
/// most 1.3 s where nodes query readers, and somewhat later through relays.
static constexpr Duration RequestPeriod = std::chrono::milliseconds(150);
/// After this time without a response another node is queried.
static constexpr Duration ResponseTimeout = std::chrono::milliseconds(450);
/// The same while lists are compared: to send a large part of a list over a
/// small host's link takes some hundred ms.
static constexpr Duration CompareTimeout = std::chrono::milliseconds(900);
/// Maximum age of a source's configuration. In a large fleet an older source is
/// excluded for a while: the key-value service may be refusing its calls, or
/// those of the nodes that it queries.
static constexpr Duration MaxSourceAge = std::chrono::milliseconds(1300);
/// Timeout of the next part of a response.
static constexpr Duration NextPartTimeout = std::chrono::milliseconds(300);
/// How long an unresponsive or stale node is excluded.
static constexpr Duration ExclusionTime = std::chrono::seconds(2);
/// Maximum number of requests in flight.
static constexpr std::size_t MaxPendingRequests = 8;
/// Interval between checks whether membership has settled.
static constexpr Duration SettlePeriod = std::chrono::milliseconds(10);
/// Fleet size from which on nodes leave reading to the readers. In a smaller
/// fleet the service can handle reads of all nodes at once, as after a restart
/// of the fleet.
static constexpr std::size_t MinDelegatingFleet = 128;

/// The retry factor rises by one per NodesPerRetryFactor nodes, up to
/// MaxRetryFactor: then about two seconds between two calls of a node.
static constexpr int NodesPerRetryFactor = 10;
static constexpr int MaxRetryFactor = 12;

/// Forces a new selection of the source; no count of changes.
static constexpr std::uint64_t NeverSelected = ~0ULL;

static constexpr EnumNames<SyncRole> RoleNames = {"reader", "relay",
                                                  "follower"};

static std::string_view syncRoleName(SyncRole Role) {
  return nameIn(RoleNames, Role);
}

void StateSyncService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Members = &Services.find<MemberService>(service::Members);
  Peers = &Services.find<PeerService>(service::Peers);
  Routes = &Services.find<RouteFeed>(service::Routes);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Epochs = &Services.find<KvEpochs>(service::Kv);
  Peers->on<StateSyncRequest>(
      [this](const PeerMessage &From, const StateSyncRequest &Asked) {
        answer(From.Sender, Asked);
      });
  Peers->on<StateSyncResponse>(
      [this](const PeerMessage &From, const StateSyncResponse &Answer) {
        receive(From.Sender, Answer);
      });
  Peers->on<ConfigFetch>(
      [this](const PeerMessage &From, const ConfigFetch &Asked) {
        sendConfig(From.Sender, Asked);
      });
  Peers->on<ConfigCopy>([this](const PeerMessage &, const ConfigCopy &Copy) {
    auto Pending = removePending(Fetches, Copy.Nonce);
    if (!Pending)
      return; // Response to an earlier request: its age would be too small.
    for (const ConfigFn &Fn : ConfigSubscribers)
      Fn(ReceivedConfig{Pending->Boot, Copy});
  });
  Services.find<JoinService>(service::Join)
      .onItems([this](const KvItems &Found) { applyListed(Found); });
  Timers->every(RequestPeriod, [this] { tick(); });
  waitSettled();
}

void StateSyncService::waitSettled() {
  if (Members->settled())
    return begin();
  Timers->after(SettlePeriod, [this] { waitSettled(); });
}

void StateSyncService::begin() const {
  for (const auto &Fn : BeginSubscribers)
    Fn();
}

/// Handles the entries read before this node joins. If few other nodes are
/// listed, it need not wait until it knows them; writing its own entry may take
/// a while.
void StateSyncService::applyListed(const KvItems &Found) {
  bool First = ListedNodes == 0;
  ListedNodes = 1 + static_cast<std::size_t>(std::count_if(
                        Found.Items.begin(), Found.Items.end(), isNodeEntry));
  if (Found.Partial)
    ListedNodes = std::max(ListedNodes, MinDelegatingFleet);
  if (First && !delegatesReading())
    begin();
}

void StateSyncService::tick() {
  if (!Members->settled())
    return;
  if (!Excluded.empty() &&
      std::erase_if(Excluded, [Now = Timers->now()](const auto &Item) {
        return Item.second <= Now;
      }) > 0)
    SourceChanges = NeverSelected;
  if (++Ticks % 2 == 0 || source().Role == SyncRole::Relay)
    ask();
}

/// Removes a request that has been answered, and all earlier ones: responses to
/// those are less recent, and are ignored.
/// \return The request, or nullopt if it is not in flight.
std::optional<StateSyncService::PendingRequest>
StateSyncService::removePending(std::deque<PendingRequest> &From,
                                std::uint64_t Nonce) {
  auto Found =
      std::find_if(From.begin(), From.end(), [Nonce](const PendingRequest &Q) {
        return Q.Nonce == Nonce;
      });
  if (Found == From.end())
    return std::nullopt;
  PendingRequest Answered = *Found;
  From.erase(From.begin(), std::next(Found));
  return Answered;
}

void StateSyncService::addPending(std::deque<PendingRequest> &To,
                                  std::uint64_t Name) const {
  To.push_back({Name, EventLoop::bootClock(), Timers->now()});
  if (To.size() > MaxPendingRequests)
    To.pop_front();
}

/// Excludes a node as source for a while.
void StateSyncService::excludeNode(const std::string &Node,
                                   std::string_view Why) {
  logRoutine("sync_source_left", {{"node", Node}, {"why", Why}});
  Excluded[Node] = Timers->now() + ExclusionTime;
  SourceChanges = NeverSelected;
  WaitingSince = TimePoint{};
}

/// \return Whether the sender's state is of no use: its configuration is old,
/// or it does not vouch for its list.
static bool isStale(const StateSyncResponse &Answer) {
  bool OldConfig = Answer.ConfigVersion != 0 && Answer.ConfigAge > MaxSourceAge;
  bool RetainedList =
      Answer.ListDigest != UnreadListDigest && Answer.ListAge >= UnknownAge;
  return OldConfig || RetainedList;
}

void StateSyncService::receive(const std::string &From,
                               const StateSyncResponse &Answer) {
  if (From == Asked)
    WaitingSince = TimePoint{};
  if (auto Pending = removePending(PendingRequests, Answer.Nonce))
    Answered = *Pending;
  else if (Answer.Nonce != Answered.Nonce)
    return; // The response to an earlier request is too old to use.
  // The next request goes to another node, and not at once: while the service
  // is unavailable, no node has newer state.
  if (delegatesReading() && isStale(Answer))
    excludeNode(From, "stale");
  PartsUntil = Answer.More ? Timers->now() + NextPartTimeout : TimePoint{};
  Epochs->observeEpoch(Answer.Epoch);
  for (const StateSyncFn &Fn : SyncSubscribers)
    Fn(StateSync{Answered.Boot, Answered.At, Answer});
}

/// The selection iterates over all members, so it is repeated only after one of
/// them has changed.
const SyncSource &StateSyncService::source() const {
  const Membership &M = Members->state();
  if (std::exchange(SourceChanges, M.Changes) == M.Changes)
    return Source;
  std::set<std::string> ExcludedIds;
  for (const auto &[Node, Until] : Excluded)
    ExcludedIds.insert(Node);
  SyncSource Next = chooseSyncSource(M, ExcludedIds);
  if (Next.Role != Source.Role || Next.Node != Source.Node)
    logRoutine("sync_source", {{"role", syncRoleName(Next.Role)},
                               {"node", Next.Node},
                               {"previous", Source.Node}});
  Source = std::move(Next);
  return Source;
}

void StateSyncService::fetchConfig() {
  addPending(Fetches, ++FetchNonce);
  Peers->sendTo(source().Node, ConfigFetch{FetchNonce});
}

/// Sends the configuration in force to a node. A configuration that is too long
/// is not sent; the requester reads it itself.
void StateSyncService::sendConfig(const std::string &Node,
                                  const ConfigFetch &Asked) {
  auto Age = Routes->age();
  if (!Routes->table() || !Age || Routes->text().empty())
    return;
  ConfigCopy Copy{Asked.Nonce, Routes->table()->Version, *Age, Routes->text()};
  Peers->sendTo(Node, std::move(Copy));
}

bool StateSyncService::settled() const { return Members->settled(); }

bool StateSyncService::reads() const {
  return !Members->settled() || source().Role == SyncRole::Reader;
}

bool StateSyncService::delegatesReading() const {
  return nodes() >= MinDelegatingFleet;
}

bool StateSyncService::mayReadInBulk() const {
  return Members->settled() && (reads() || !delegatesReading());
}

std::size_t StateSyncService::nodes() const {
  return Members->settled() ? Members->size()
                            : std::max(Members->size(), ListedNodes);
}

int StateSyncService::retryFactor() const {
  if (reads())
    return 1;
  auto Nodes = static_cast<int>(Members->size());
  return std::clamp(Nodes / NodesPerRetryFactor, 1, MaxRetryFactor);
}

void StateSyncService::ask() {
  if (!Members->settled())
    return;
  if (source().Role == SyncRole::Reader)
    return;
  TimePoint Now = Timers->now();
  bool Compares = Upstreams->behind() || !Upstreams->registry().Known;
  Duration Timeout = Compares ? CompareTimeout : ResponseTimeout;
  bool IsWaiting = WaitingSince > TimePoint{} && Now - WaitingSince <= Timeout;
  // The response to a comparison may be long, and may still be in flight.
  if (Asked == Source.Node && (Now < PartsUntil || (Compares && IsWaiting)))
    return;
  if (std::exchange(Asked, Source.Node) != Source.Node ||
      WaitingSince == TimePoint{})
    WaitingSince = Now;
  if (Now - WaitingSince > Timeout) {
    excludeNode(Asked, "silent");
    return ask();
  }
  addPending(PendingRequests, ++Nonce);
  const UpstreamRegistry &Registry = Upstreams->registry();
  StateSyncRequest Ask{Nonce, Registry.Digest, std::nullopt};
  if (Compares)
    Ask.Buckets = Registry.Buckets;
  Peers->sendTo(Asked, std::move(Ask));
}

/// Sends a response in parts that are small enough for the link. If each part
/// were requested separately, the list would change before the last one, and no
/// comparison would complete while many upstreams come and go.
void StateSyncService::answer(const std::string &Node, StateSyncRequest Asked) {
  const UpstreamRegistry &Registry = Upstreams->registry();
  for (std::size_t Part = 0; Part < RegistryBuckets; ++Part) {
    StateSyncResponse Answer = makeResponse(Asked);
    const auto &Change = Answer.ListChange;
    Answer.More = Change && Change->To != Answer.ListDigest && Asked.Buckets;
    if (Answer.More) {
      Asked.ListDigest = Change->To;
      for (std::uint32_t Bucket : Change->Whole)
        (*Asked.Buckets)[Bucket] = Registry.Buckets[Bucket];
    }
    bool More = Answer.More;
    Peers->sendTo(Node, std::move(Answer));
    if (!More)
      return;
  }
}

StateSyncResponse
StateSyncService::makeResponse(const StateSyncRequest &Asked) const {
  StateSyncResponse Out;
  Out.Nonce = Asked.Nonce;
  if (Routes->table())
    Out.ConfigVersion = Routes->table()->Version;
  Out.ConfigAge = Routes->age().value_or(UnknownAge);
  Out.Drained = Routes->drained();
  Out.Epoch = Epochs->epoch();
  const UpstreamRegistry &Registry = Upstreams->registry();
  Out.ListDigest = Registry.Digest;
  bool Vouches = registryVouches(Registry);
  Out.ListAge = Vouches ? Timers->now() - Registry.ReadAt : UnknownAge;
  if (Vouches && Asked.ListDigest != Registry.Digest)
    Out.ListChange = registryChangesSince(Registry, Asked.ListDigest);
  if (Vouches && !Out.ListChange && Asked.Buckets)
    Out.ListChange =
        registryBucketsSince(Registry, Asked.ListDigest, *Asked.Buckets);
  return Out;
}

} // namespace fulmar
