/// \file join_service.cpp Lets a process join its fleet.
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
/// Entries of nodes come after all other keys of the fleet, so that the first
/// page of a read has those, and as many nodes as one needs to find the rest.
static const std::string NodePrefix = Prefix + "running/";
/// As earlier versions wrote them.
static const std::string EarlierNodePrefix = Prefix + "nodes/";
/// An entry outlives its process by this much. It is only a seed for others,
/// so it may be long, and renewals few.
static constexpr Duration LeaseTime = std::chrono::seconds(30);
static constexpr Duration RenewPeriod = std::chrono::seconds(8);
/// A node that knew nobody when it joined looks once more after this time: the
/// others may have been entering themselves again.
static constexpr Duration LonePeriod = std::chrono::seconds(2);
/// Pause before a failed call is repeated, and how much it is spread.
static constexpr Duration RetryPause = std::chrono::milliseconds(60);
static constexpr Duration RetrySpread = std::chrono::milliseconds(120);
/// After the key-value service has come back from an older copy, all nodes
/// enter themselves again within this time, and not all at once.
static constexpr Duration EpochSpread = std::chrono::milliseconds(1200);

/// After each so many failures in a row the pause is longer by one, up to the
/// most: a short outage ends with all nodes back at once, a long one is not
/// made longer by them.
static constexpr int FailuresPerPause = 8;
static constexpr int MostPauses = 4;

bool isNodeEntry(const KvItem &Item) {
  return Item.Key.rfind(NodePrefix, 0) == 0 ||
         Item.Key.rfind(EarlierNodePrefix, 0) == 0;
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

/// The key-value service has come back from an older copy. This node's entry
/// and lease may be gone, and another node's lease may bear the same name; the
/// shared secret may be gone, and another one may have been created. Waiting
/// for a renewal to fail would leave strangers unable to find each other.
void JoinService::epochBegan() {
  ++Turn;
  Lease = 0;
  Duration Pause = fromMs(toMs(EpochSpread) * randomUnit(Rng));
  Timers->after(Pause, [this, Now = Turn] {
    if (Now != Turn)
      return;
    Incarnation == 0 ? read() : confirmKey();
  });
}

/// Takes the secret that is kept, in place of another one if need be.
void JoinService::takeKey(const std::string &Kept) {
  if (std::exchange(Key, Kept) == Kept || Incarnation == 0)
    return;
  Services.find<PeerService>(service::Peers).join(Key, Incarnation);
  logEvent(LogLevel::Warning, "peer_key_replaced", {});
}

/// Sees that the secret that is kept and that of this node are the same. The
/// kept one holds: nodes that start now take it.
void JoinService::confirmKey() {
  Store->get(KeyName, [this, Now = Turn](KvStatus Status, const KvEntry &Kept) {
    if (Now != Turn)
      return;
    if (Status != KvStatus::Ok)
      return later(&JoinService::confirmKey, Status);
    if (Kept.Value == Key)
      return takeLease();
    if (!Kept.Value.empty()) {
      takeKey(Kept.Value);
      return takeLease();
    }
    Store->cas(KeyName, Key, 0, [this, Now](KvStatus) {
      if (Now == Turn)
        later(&JoinService::confirmKey, KvStatus::Ok);
    });
  });
}

/// Repeats a step whose call failed.
void JoinService::later(void (JoinService::*Step)(), KvStatus Why) {
  if (Failures++ == 0)
    logEvent(LogLevel::Warning, "join_delayed",
             {{"unknown", Why == KvStatus::Unknown ? 1 : 0}});
  int Factor = std::min(MostPauses, 1 + Failures / FailuresPerPause);
  Duration Pause =
      (RetryPause + fromMs(toMs(RetrySpread) * randomUnit(Rng))) * Factor;
  Timers->after(Pause, [this, Step, Now = Turn] {
    if (Now == Turn)
      (this->*Step)();
  });
}

/// Keys of the fleet that are read at least, if there are so many. Each node of
/// a large fleet would otherwise read the entries of all others.
static constexpr std::size_t EnoughKeys = 128;

/// \return Whether a read of the fleet's keys goes on after a page.
static bool wantsMore(const KvItems &SoFar) {
  return SoFar.Items.size() < EnoughKeys;
}

void JoinService::read() {
  auto Done = [this, Now = Turn](const KvItems &Found) {
    if (Now != Turn)
      return;
    if (Found.Status != KvStatus::Ok)
      return later(&JoinService::read, Found.Status);
    taken(Found);
  };
  Tree->range(Prefix, Done, wantsMore);
}

void JoinService::taken(const KvItems &Found) {
  for (const KvTree::ItemsFn &Fn : Hear)
    Fn(Found);
  std::vector<HostPort> Seeds;
  for (const KvItem &Item : Found.Items) {
    if (Item.Key == KeyName)
      takeKey(Item.Value);
    auto Address = parseHostPort(Item.Value);
    if (isNodeEntry(Item) && Address)
      Seeds.push_back(*Address);
  }
  Members->seeds(Seeds);
  if (Key.empty())
    return createKey();
  if (Lease == 0)
    takeLease();
}

void JoinService::createKey() {
  // Whatever the answer to the write is, the key that is there is the right
  // one: several nodes may try at once, and an answer may be lost.
  Store->cas(KeyName, makeSigningKey().PrivateHex, 0,
             [this, Now = Turn](KvStatus Status) {
               if (Now != Turn)
                 return;
               if (Status == KvStatus::Ok || Status == KvStatus::Conflict)
                 return read();
               later(&JoinService::read, Status);
             });
}

void JoinService::takeLease() {
  Leases->grant(LeaseTime,
                [this, Now = Turn](KvStatus Status, std::uint64_t Number) {
                  if (Now != Turn)
                    return;
                  if (Status != KvStatus::Ok)
                    return later(&JoinService::takeLease, Status);
                  Lease = Number;
                  enter();
                });
}

void JoinService::enter() {
  std::string Address =
      formatHostPort({Config.Host, static_cast<int>(Config.PeerPort)});
  Leases->putLeased(
      NodePrefix + Config.NodeId, Address, Lease,
      [this, Now = Turn](KvStatus Status, std::uint64_t Revision) {
        if (Now != Turn)
          return;
        if (Status == KvStatus::Conflict) {
          Lease = 0;
          return later(&JoinService::takeLease, Status);
        }
        // A write whose answer was lost is made again: only a revision that
        // is known can be an incarnation.
        if (Status != KvStatus::Ok)
          return later(&JoinService::enter, Status);
        Failures = 0;
        planRenewal();
        if (Incarnation != 0)
          return;
        // Room below the next revision: a node raises its incarnation by one
        // for each piece of news about itself.
        constexpr std::uint64_t Room = 1 << 16;
        Incarnation = Revision * Room;
        Services.find<PeerService>(service::Peers).join(Key, Incarnation);
        Members->join(Incarnation);
        logEvent(LogLevel::Info, "fleet_joined", {{"incarnation", Revision}});
        Timers->after(LonePeriod, [this] { readIfAlone(); });
      });
}

void JoinService::planRenewal() {
  Timers->after(RenewPeriod, [this, Now = Turn] {
    if (Now == Turn)
      renew();
  });
}

/// Who knows others hears of new nodes from them, and tries those again that it
/// took for dead. Only a node that knows nobody needs the list once more.
void JoinService::readIfAlone() {
  if (Members->ids().size() > 1)
    return;
  auto Done = [this](const KvItems &Found) {
    if (Found.Status == KvStatus::Ok)
      taken(Found);
  };
  Tree->range(Prefix, Done, wantsMore);
}

void JoinService::renew() {
  readIfAlone();
  Leases->renew(Lease, [this, Now = Turn](KvStatus Status) {
    if (Now != Turn)
      return;
    if (Status == KvStatus::Conflict) {
      logEvent(LogLevel::Warning, "node_entry_lapsed", {{"lease", Lease}});
      Lease = 0;
      return takeLease();
    }
    planRenewal();
  });
}

} // namespace fulmar
