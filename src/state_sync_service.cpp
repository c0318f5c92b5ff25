/// \file state_sync_service.cpp Asks another node whether anything has changed.
#include "state_sync_service.h"

#include <algorithm>

#include "event_loop.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "route_feed.h"
#include "state_sync_func.h"
#include "upstream_feed.h"

namespace fulmar {

/// Between two questions. With the reader's own pause of 900 ms between reads,
/// a change is known everywhere after 1.3 s at most.
static constexpr Duration AskPeriod = std::chrono::milliseconds(300);

/// A fleet waits once longer for so many nodes, up to the most: about two
/// seconds between two calls of a node.
static constexpr int NodesPerFactor = 10;
static constexpr int MostFactor = 12;

void StateSyncService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Members = &Services.find<MemberService>(service::Members);
  Peers = &Services.find<PeerService>(service::Peers);
  Routes = &Services.find<RouteFeed>(service::Routes);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Epochs = &Services.find<KvEpochs>(service::Kv);
  Peers->on<StateSyncRequest>(
      [this](const PeerMessage &From, const StateSyncRequest &Asked) {
        Peers->sendTo(From.Sender, ownAnswer(Asked));
      });
  Peers->on<StateSyncResponse>(
      [this](const PeerMessage &, const StateSyncResponse &Answer) {
        if (Answer.Nonce != Nonce)
          return; // The answer to an earlier question is too old to use.
        Epochs->heardEpoch(Answer.Epoch);
        for (const StateSyncFn &Fn : Hear)
          Fn(StateSync{AskedBoot, AskedAt, Answer});
      });
  Peers->on<ConfigFetch>(
      [this](const PeerMessage &From, const ConfigFetch &Asked) {
        sendCopy(From.Sender, Asked);
      });
  Peers->on<ConfigCopy>([this](const PeerMessage &, const ConfigCopy &Copy) {
    if (Copy.Nonce != FetchNonce)
      return; // Asked for earlier: its age would be taken for too small.
    for (const ConfigFn &Fn : HearConfig)
      Fn(ConfigHeard{FetchedBoot, Copy});
  });
  Timers->every(AskPeriod, [this] { ask(); });
}

std::string StateSyncService::reader() const {
  return chooseReader(Members->state());
}

void StateSyncService::fetchConfig() {
  ++FetchNonce;
  FetchedBoot = EventLoop::bootClock();
  Peers->sendTo(reader(), ConfigFetch{FetchNonce});
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

bool StateSyncService::reads() const {
  return !Members->settled() || reader() == Members->state().Self.Id;
}

int StateSyncService::retryFactor() const {
  if (reads())
    return 1;
  auto Nodes = static_cast<int>(Members->ids().size());
  return std::clamp(Nodes / NodesPerFactor, 1, MostFactor);
}

void StateSyncService::ask() {
  if (!Members->settled())
    return;
  std::string Reader = reader();
  if (Reader == Members->state().Self.Id)
    return;
  ++Nonce;
  AskedBoot = EventLoop::bootClock();
  AskedAt = Timers->now();
  const UpstreamRegistry &Registry = Upstreams->registry();
  StateSyncRequest Ask{Nonce, Registry.Digest, std::nullopt};
  if (Upstreams->behind())
    Ask.Buckets = Registry.Buckets;
  Peers->sendTo(Reader, std::move(Ask));
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
