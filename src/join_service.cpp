/// \file join_service.cpp Joins a process to its fleet.
#include "join_service.h"

#include <algorithm>
#include <utility>

#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "settings_func.h"
#include "signature_func.h"

namespace fulmar {

static const std::string Prefix(FleetPrefix);
static const std::string KeyName = Prefix + "peer-key";
/// Node entries sort after all other keys of the fleet. So the first page of a
/// read holds all other keys, and enough nodes to find the remaining ones.
static const std::string NodePrefix = Prefix + "running/";
/// Prefix of the node entries of earlier versions.
static const std::string LegacyNodePrefix = Prefix + "nodes/";
/// An entry outlives its process by up to this time. It only serves as a seed
/// for other nodes, so the lease may be long and renewals infrequent.
static constexpr Duration LeaseTime = std::chrono::seconds(30);
static constexpr Duration RenewPeriod = std::chrono::seconds(8);
/// A node that knew no other node when it joined reads the entries again after
/// this time: other nodes may have been rewriting theirs.
static constexpr Duration SingleNodeDelay = std::chrono::seconds(2);
/// Pause before a retry of a failed call, and the largest jitter added to it.
static constexpr Duration RetryPause = std::chrono::milliseconds(60);
static constexpr Duration RetryJitter = std::chrono::milliseconds(120);
/// After the key-value service has been restored from an older copy, all nodes
/// rewrite their entries, spread over this time.
static constexpr Duration EpochSpread = std::chrono::milliseconds(1200);

/// The factor of the retry pause rises by one after each FailuresPerPauseStep
/// consecutive failures, up to MaxPauseFactor. So all nodes return at once
/// after a short outage, and do not prolong a long one.
static constexpr int FailuresPerPauseStep = 8;
static constexpr int MaxPauseFactor = 4;

bool isNodeEntry(const KvItem &Item) {
  return Item.Key.rfind(NodePrefix, 0) == 0 ||
         Item.Key.rfind(LegacyNodePrefix, 0) == 0;
}

void JoinService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Tree = &Services.find<KvTree>(service::Kv);
  Store = &Services.find<KvStore>(service::Kv);
  Leases = &Services.find<KvLeases>(service::Kv);
  Members = &Services.find<MemberService>(service::Members);
  Services.find<KvEpochs>(service::Kv).onEpoch([this](std::uint64_t) {
    epochBegan();
  });
  read();
}

/// Handles a restore of the key-value service from an older copy.
///
/// The entry and lease of this node may be lost, and another node's lease may
/// have the same id. The shared secret may be lost, and another one may have
/// been created. Until a renewal failed, nodes that do not know each other
/// could not find each other, so this does not wait for one.
void JoinService::epochBegan() {
  ++Generation;
  Lease = 0;
  Duration Pause = fromMs(toMs(EpochSpread) * randomUnit(Rng));
  Timers->after(Pause, [this, Now = Generation] {
    if (Now != Generation)
      return;
    Incarnation == 0 ? read() : confirmKey();
  });
}

/// Adopts the secret in the key-value service, replacing an older one.
void JoinService::adoptKey(const std::string &Kept) {
  if (std::exchange(Key, Kept) == Kept || Incarnation == 0)
    return;
  Services.find<PeerService>(service::Peers).join(Key, Incarnation);
  logEvent(LogLevel::Warning, "peer_key_replaced", {});
}

/// Makes the stored secret and that of this node equal. The stored one takes
/// precedence, since nodes that start now use it.
void JoinService::confirmKey() {
  Store->get(KeyName,
             [this, Now = Generation](KvStatus Status, const KvEntry &Kept) {
               if (Now != Generation)
                 return;
               if (Status != KvStatus::Ok)
                 return retryLater(&JoinService::confirmKey, Status);
               if (Kept.Value == Key)
                 return acquireLease();
               if (!Kept.Value.empty()) {
                 adoptKey(Kept.Value);
                 return acquireLease();
               }
               Store->cas(KeyName, Key, 0, [this, Now](KvStatus) {
                 if (Now == Generation)
                   retryLater(&JoinService::confirmKey, KvStatus::Ok);
               });
             });
}

/// Schedules a retry of a step whose call failed.
void JoinService::retryLater(void (JoinService::*Step)(), KvStatus Why) {
  if (Failures++ == 0)
    logEvent(LogLevel::Warning, "join_delayed",
             {{"unknown", Why == KvStatus::Unknown ? 1 : 0}});
  int Factor = std::min(MaxPauseFactor, 1 + Failures / FailuresPerPauseStep);
  Duration Pause =
      (RetryPause + fromMs(toMs(RetryJitter) * randomUnit(Rng))) * Factor;
  Timers->after(Pause, [this, Step, Now = Generation] {
    if (Now == Generation)
      (this->*Step)();
  });
}

/// Number of keys after which a read of the fleet's keys stops. Without it each
/// node of a large fleet would read the entries of all others.
static constexpr std::size_t EnoughFleetKeys = 128;

/// \return Whether a read of the fleet's keys continues with the next page.
static bool wantsMore(const KvItems &SoFar) {
  return SoFar.Items.size() < EnoughFleetKeys;
}

void JoinService::read() {
  auto Done = [this, Now = Generation](const KvItems &Found) {
    if (Now != Generation)
      return;
    if (Found.Status != KvStatus::Ok)
      return retryLater(&JoinService::read, Found.Status);
    applyItems(Found);
  };
  Tree->range(Prefix, Done, wantsMore);
}

void JoinService::applyItems(const KvItems &Found) {
  for (const KvTree::ItemsFn &Fn : Subscribers)
    Fn(Found);
  std::vector<HostPort> Seeds;
  for (const KvItem &Item : Found.Items) {
    if (Item.Key == KeyName)
      adoptKey(Item.Value);
    auto Address = parseHostPort(Item.Value);
    if (isNodeEntry(Item) && Address)
      Seeds.push_back(*Address);
  }
  Members->seeds(Seeds);
  if (Key.empty())
    return createKey();
  if (Lease == 0)
    acquireLease();
}

void JoinService::createKey() {
  // Read the key back instead of trusting the response: several nodes may write
  // at once, and a response may be lost. The stored key is the valid one.
  Store->cas(KeyName, makeSigningKey().PrivateHex, 0,
             [this, Now = Generation](KvStatus Status) {
               if (Now != Generation)
                 return;
               if (Status == KvStatus::Ok || Status == KvStatus::Conflict)
                 return read();
               retryLater(&JoinService::read, Status);
             });
}

void JoinService::acquireLease() {
  Leases->grant(LeaseTime, [this, Now = Generation](KvStatus Status,
                                                    std::uint64_t Number) {
    if (Now != Generation)
      return;
    if (Status != KvStatus::Ok)
      return retryLater(&JoinService::acquireLease, Status);
    Lease = Number;
    writeEntry();
  });
}

void JoinService::writeEntry() {
  std::string Address =
      formatHostPort({Config.Host, static_cast<int>(Config.PeerPort)});
  Leases->putLeased(
      NodePrefix + Config.NodeId, Address, Lease,
      [this, Now = Generation](KvStatus Status, std::uint64_t Revision) {
        if (Now != Generation)
          return;
        if (Status == KvStatus::Conflict) {
          Lease = 0;
          return retryLater(&JoinService::acquireLease, Status);
        }
        // Retry a write whose response was lost: the incarnation needs a known
        // revision.
        if (Status != KvStatus::Ok)
          return retryLater(&JoinService::writeEntry, Status);
        Failures = 0;
        scheduleRenewal();
        if (Incarnation != 0)
          return;
        // Leaves room for 65,536 incarnations per revision: a node raises its
        // incarnation by one for each update about itself.
        constexpr std::uint64_t IncarnationsPerRevision = 1 << 16;
        Incarnation = Revision * IncarnationsPerRevision;
        Services.find<PeerService>(service::Peers).join(Key, Incarnation);
        Members->join(Incarnation);
        logEvent(LogLevel::Info, "fleet_joined", {{"incarnation", Revision}});
        Timers->after(SingleNodeDelay, [this] { readIfAlone(); });
      });
}

void JoinService::scheduleRenewal() {
  Timers->after(RenewPeriod, [this, Now = Generation] {
    if (Now == Generation)
      renew();
  });
}

/// Reads the entries again if this node knows no other node. A node that knows
/// others learns of new nodes from them, and probes nodes that it considers
/// dead again.
void JoinService::readIfAlone() {
  if (Members->ids().size() > 1)
    return;
  auto Done = [this](const KvItems &Found) {
    if (Found.Status == KvStatus::Ok)
      applyItems(Found);
  };
  Tree->range(Prefix, Done, wantsMore);
}

void JoinService::renew() {
  readIfAlone();
  Leases->renew(Lease, [this, Now = Generation](KvStatus Status) {
    if (Now != Generation)
      return;
    if (Status == KvStatus::Conflict) {
      logEvent(LogLevel::Warning, "node_entry_lapsed", {{"lease", Lease}});
      Lease = 0;
      return acquireLease();
    }
    scheduleRenewal();
  });
}

} // namespace fulmar
