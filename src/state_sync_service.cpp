/// \file state_sync_service.cpp Asks another node whether anything has changed.
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

/// Between two questions of a relay; other nodes ask half as often. With the
/// reader's own pause of 900 ms between reads, a change is known everywhere
/// after 1.3 s at most where nodes ask readers, and somewhat later by way of
/// relays.
static constexpr Duration AskPeriod = std::chrono::milliseconds(150);
/// Without an answer for this long, another node is asked.
static constexpr Duration AnswerPatience = std::chrono::milliseconds(450);
/// The same where lists are compared: a large part of one over a small host's
/// link takes some hundred ms.
static constexpr Duration ComparePatience = std::chrono::milliseconds(900);
/// In a large fleet a node that knows nothing more recent is not asked for a
/// while: the key-value service may turn it away, or those that it asks.
static constexpr Duration MostSourceAge = std::chrono::milliseconds(1300);
/// For the next part of an answer.
static constexpr Duration PartPatience = std::chrono::milliseconds(300);
/// How long a silent node is not asked.
static constexpr Duration SilentTime = std::chrono::seconds(2);
/// Questions that answers are waited for at once.
static constexpr std::size_t MostQuestions = 8;
/// Between two looks at whether this node knows the others.
static constexpr Duration SettlePeriod = std::chrono::milliseconds(10);
/// Nodes from which on each leaves reading to others. Up to it the service
/// bears that all of them read at once, as after a restart of the fleet.
static constexpr std::size_t LeaveReadingFrom = 128;

/// A fleet waits once longer for so many nodes, up to the most: about two
/// seconds between two calls of a node.
static constexpr int NodesPerFactor = 10;
static constexpr int MostFactor = 12;

/// No count of changes.
static constexpr std::uint64_t NeverChosen = ~0ULL;

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
        heard(From.Sender, Answer);
      });
  Peers->on<ConfigFetch>(
      [this](const PeerMessage &From, const ConfigFetch &Asked) {
        sendCopy(From.Sender, Asked);
      });
  Peers->on<ConfigCopy>([this](const PeerMessage &, const ConfigCopy &Copy) {
    auto Asking = takeQuestion(Fetches, Copy.Nonce);
    if (!Asking)
      return; // Asked for earlier: its age would be taken for too small.
    for (const ConfigFn &Fn : HearConfig)
      Fn(ConfigHeard{Asking->Boot, Copy});
  });
  Services.find<JoinService>(service::Join)
      .onItems([this](const KvItems &Found) { listed(Found); });
  Timers->every(AskPeriod, [this] { tick(); });
  waitSettled();
}

void StateSyncService::waitSettled() {
  if (Members->settled())
    return begin();
  Timers->after(SettlePeriod, [this] { waitSettled(); });
}

void StateSyncService::begin() const {
  for (const auto &Fn : Begin)
    Fn();
}

/// This node is about to join. Where few others are listed it need not wait
/// until it knows them; its own entry may not be written for a while.
void StateSyncService::listed(const KvItems &Found) {
  bool First = Entered == 0;
  Entered = 1 + static_cast<std::size_t>(std::count_if(
                    Found.Items.begin(), Found.Items.end(), isNodeEntry));
  if (Found.Partial)
    Entered = std::max(Entered, LeaveReadingFrom);
  if (First && !leavesReading())
    begin();
}

void StateSyncService::tick() {
  if (!Members->settled())
    return;
  if (!Silent.empty() &&
      std::erase_if(Silent, [Now = Timers->now()](const auto &Item) {
        return Item.second <= Now;
      }) > 0)
    SourceChanges = NeverChosen;
  if (++Ticks % 2 == 0 || source().Role == SyncRole::Relay)
    ask();
}

/// \return The question that is answered, if answers to it are still heard.
/// Those to earlier questions say less, and are not heard any more.
std::optional<StateSyncService::Question>
StateSyncService::takeQuestion(std::deque<Question> &From,
                               std::uint64_t Nonce) {
  auto Found =
      std::find_if(From.begin(), From.end(),
                   [Nonce](const Question &Q) { return Q.Nonce == Nonce; });
  if (Found == From.end())
    return std::nullopt;
  Question Answered = *Found;
  From.erase(From.begin(), std::next(Found));
  return Answered;
}

void StateSyncService::addQuestion(std::deque<Question> &To,
                                   std::uint64_t Name) const {
  To.push_back({Name, EventLoop::bootClock(), Timers->now()});
  if (To.size() > MostQuestions)
    To.pop_front();
}

/// A node is not asked for a while.
void StateSyncService::leaveOut(const std::string &Node, std::string_view Why) {
  logRoutine("sync_source_left", {{"node", Node}, {"why", Why}});
  Silent[Node] = Timers->now() + SilentTime;
  SourceChanges = NeverChosen;
  AskedSince = TimePoint{};
}

void StateSyncService::heard(const std::string &From,
                             const StateSyncResponse &Answer) {
  if (From == Asked)
    AskedSince = TimePoint{};
  if (auto Asking = takeQuestion(Questions, Answer.Nonce))
    Answered = *Asking;
  else if (Answer.Nonce != Answered.Nonce)
    return; // The answer to an earlier question is too old to use.
  // The next question goes to another node, and not at once: while the service
  // is away none knows more.
  if (leavesReading() && Answer.ConfigVersion != 0 &&
      Answer.ConfigAge > MostSourceAge)
    leaveOut(From, "stale");
  PartsUntil = Answer.More ? Timers->now() + PartPatience : TimePoint{};
  Epochs->heardEpoch(Answer.Epoch);
  for (const StateSyncFn &Fn : Hear)
    Fn(StateSync{Answered.Boot, Answered.At, Answer});
}

/// The choice looks at all members, so it is made again only when one of them
/// has changed.
const SyncSource &StateSyncService::source() const {
  const Membership &M = Members->state();
  if (std::exchange(SourceChanges, M.Changes) == M.Changes)
    return Source;
  std::set<std::string> Left;
  for (const auto &[Node, Until] : Silent)
    Left.insert(Node);
  SyncSource Next = chooseSyncSource(M, Left);
  if (Next.Role != Source.Role || Next.Node != Source.Node)
    logRoutine("sync_source", {{"role", syncRoleName(Next.Role)},
                               {"node", Next.Node},
                               {"previous", Source.Node}});
  Source = std::move(Next);
  return Source;
}

void StateSyncService::fetchConfig() {
  addQuestion(Fetches, ++FetchNonce);
  Peers->sendTo(source().Node, ConfigFetch{FetchNonce});
}

/// A configuration that is too long is not sent: who asks reads it itself.
void StateSyncService::sendCopy(const std::string &Node,
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

bool StateSyncService::leavesReading() const {
  return nodes() >= LeaveReadingFrom;
}

bool StateSyncService::mayReadMuch() const {
  return Members->settled() && (reads() || !leavesReading());
}

std::size_t StateSyncService::nodes() const {
  return Members->settled() ? Members->size()
                            : std::max(Members->size(), Entered);
}

int StateSyncService::retryFactor() const {
  if (reads())
    return 1;
  auto Nodes = static_cast<int>(Members->size());
  return std::clamp(Nodes / NodesPerFactor, 1, MostFactor);
}

void StateSyncService::ask() {
  if (!Members->settled())
    return;
  if (source().Role == SyncRole::Reader)
    return;
  TimePoint Now = Timers->now();
  bool Compares = Upstreams->behind() || !Upstreams->registry().Known;
  Duration Patience = Compares ? ComparePatience : AnswerPatience;
  bool Waits = AskedSince > TimePoint{} && Now - AskedSince <= Patience;
  // The answer to a comparison may be long, and is on its way.
  if (Asked == Source.Node && (Now < PartsUntil || (Compares && Waits)))
    return;
  if (std::exchange(Asked, Source.Node) != Source.Node ||
      AskedSince == TimePoint{})
    AskedSince = Now;
  if (Now - AskedSince > Patience) {
    leaveOut(Asked, "silent");
    return ask();
  }
  addQuestion(Questions, ++Nonce);
  const UpstreamRegistry &Registry = Upstreams->registry();
  StateSyncRequest Ask{Nonce, Registry.Digest, std::nullopt};
  if (Compares)
    Ask.Buckets = Registry.Buckets;
  Peers->sendTo(Asked, std::move(Ask));
}

/// Answers in parts that a link bears at once. If each part were asked for, the
/// list would have changed before the last one, and while many upstreams come
/// and go no comparison would ever end.
void StateSyncService::answer(const std::string &Node, StateSyncRequest Asked) {
  const UpstreamRegistry &Registry = Upstreams->registry();
  for (std::size_t Part = 0; Part < RegistryBuckets; ++Part) {
    StateSyncResponse Answer = ownAnswer(Asked);
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
StateSyncService::ownAnswer(const StateSyncRequest &Asked) const {
  constexpr Duration Never = std::chrono::hours(1);
  StateSyncResponse Out;
  Out.Nonce = Asked.Nonce;
  if (Routes->table())
    Out.ConfigVersion = Routes->table()->Version;
  Out.ConfigAge = Routes->age().value_or(Never);
  Out.Drained = Routes->drained();
  Out.Epoch = Epochs->epoch();
  const UpstreamRegistry &Registry = Upstreams->registry();
  Out.ListDigest = Registry.Digest;
  Out.ListAge = Registry.Known ? Timers->now() - Registry.ReadAt : Never;
  if (Registry.Known && Asked.ListDigest != Registry.Digest)
    Out.ListChange = registryChangesSince(Registry, Asked.ListDigest);
  if (Registry.Known && !Out.ListChange && Asked.Buckets)
    Out.ListChange =
        registryBucketsSince(Registry, Asked.ListDigest, *Asked.Buckets);
  return Out;
}

} // namespace fulmar
