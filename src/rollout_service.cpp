/// \file rollout_service.cpp Runs bundle roll-out: watches and messages.
#include "rollout_service.h"

#include "bundle_func.h"
#include "kv_consul.h"
#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_codec.h"
#include "peer_service.h"
#include "router_service.h"

namespace fulmar {

static constexpr Duration WatchTime = std::chrono::seconds(30);
static constexpr Duration InitialBackoff = std::chrono::milliseconds(200);
static constexpr int MaxBackoffDoublings = 4;
/// Random peers that are candidates for a notification of a new version.
static constexpr std::size_t PeerSample = 4;
/// Pause before the next watch of a key that does not exist yet.
static constexpr Duration MissingKeyDelay = std::chrono::milliseconds(500);

RolloutService::RolloutService(Kernel &K, const Settings &S, std::uint64_t Seed)
    : Services(K), Config(S), Rng(Seed) {
  State.OperatorKeys = S.OperatorKeys;
}

void RolloutService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Kv = &Services.find<ConsulKv>(service::Kv);
  Router = &Services.find<RouterService>(service::Router);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  Members->onChange([this] { updateWatch(); });
  Peers->onAny([this](const PeerMessage &Message) {
    RolloutActions Out;
    rolloutVersionSeen(State, Message.Sender, Message.BundleVersion,
                       Message.BundleRoot, Timers->now(), Out);
    perform(Out);
  });
  Peers->on<BundleFetch>(
      [this](const PeerMessage &Message, const BundleFetch &Fetch) {
        RolloutActions Out;
        rolloutHandleFetch(State, Message.Sender, Fetch.HaveVersion,
                           Fetch.HaveRoot, Out);
        perform(Out);
      });
  Peers->on<BundleDelta>(
      [this](const PeerMessage &Message, const BundleDelta &Delta) {
        RolloutActions Out;
        auto Sample = Members->randomIds(PeerSample);
        rolloutHandleDelta(State, Delta, Sample, Timers->now(), Message.Sender,
                           Out);
        perform(Out);
      });
  // Each node is a watcher until it knows the other nodes of its failure
  // domain, so that a cold start does not wait for membership.
  updateWatch();
}

void RolloutService::stop() { Stopped = true; }

void RolloutService::updateWatch() {
  bool IsWatcher =
      isWatcher(Members->domainIds(), Config.NodeId,
                static_cast<std::size_t>(Config.WatchersPerDomain));
  if (!IsWatcher || Watching || Stopped)
    return;
  Watching = true;
  startWatch();
}

void RolloutService::startWatch() {
  Kv->watch(BundleKey, SeenIndex, WatchTime,
            [this](KvStatus Status, const KvEntry &Entry) {
              watchEnded(Status, Entry);
            });
}

void RolloutService::watchEnded(KvStatus Status, const KvEntry &Entry) {
  if (Stopped)
    return;
  Watching = isWatcher(Members->domainIds(), Config.NodeId,
                       static_cast<std::size_t>(Config.WatchersPerDomain));
  if (Status != KvStatus::Ok) {
    // Jitter, so that not all watchers retry at once after an outage.
    double Factor = 0.5 + randomUnit(Rng);
    Duration Wait = InitialBackoff *
                    (1 << std::min(ConsecutiveFailures, MaxBackoffDoublings));
    if (ConsecutiveFailures++ == 0)
      logEvent(LogLevel::Warning, "kv_unavailable", {{"use", "bundle"}});
    if (Watching)
      Timers->after(fromMs(toMs(Wait) * Factor), [this] { startWatch(); });
    return;
  }
  ConsecutiveFailures = 0;
  bool Changed = Entry.Index != SeenIndex;
  SeenIndex = Entry.Index;
  if (Changed && Entry.Index > 0) {
    auto Found = decodeBundle(Entry.Value);
    KvBehind = !Found || Found->Seal.Version < State.InForce.Seal.Version;
    if (KvBehind)
      logEvent(LogLevel::Error, "kv_bundle_behind",
               {{"kv_version", Found ? Found->Seal.Version : 0},
                {"in_force", State.InForce.Seal.Version}});
    RolloutActions Out;
    auto Sample = Members->randomIds(PeerSample);
    if (Found)
      rolloutFromKv(State, *Found, Sample, Out);
    perform(Out);
  }
  if (!Watching)
    return;
  // A watch of a key that does not exist returns at once; avoid a busy loop.
  if (Entry.Index == 0)
    Timers->after(MissingKeyDelay, [this] { startWatch(); });
  else
    startWatch();
}

void RolloutService::inForce(const InForceAction &Action) {
  const BundleSeal &Seal = State.InForce.Seal;
  Peers->announceBundle(Seal.Version, shortRoot(Seal.Root));
  Router->bundle(Action.Next);
  logEvent(LogLevel::Info, "bundle_in_force",
           {{"version", Seal.Version},
            {"root", hexOf(Seal.Root).substr(0, 16)},
            {"signer", Seal.Signer}});
}

void RolloutService::perform(const RolloutActions &Actions) {
  for (const RolloutAction &Action : Actions) {
    if (const auto *Fetch = std::get_if<FetchBundleAction>(&Action))
      Peers->sendTo(Fetch->Node, BundleFetch{State.InForce.Seal.Version,
                                             State.InForce.Seal.Root});
    else if (const auto *Send = std::get_if<SendDeltaAction>(&Action))
      Peers->sendTo(Send->Node, Send->Delta);
    else
      inForce(std::get<InForceAction>(Action));
  }
}

} // namespace fulmar
