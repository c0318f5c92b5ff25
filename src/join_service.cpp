/// \file join_service.cpp Lets a process join its fleet.
#include "join_service.h"

#include <algorithm>

#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "settings_func.h"
#include "signature_func.h"

namespace fulmar {

static const std::string Prefix(FleetPrefix);
static const std::string KeyName = Prefix + "peer-key";
static const std::string NodePrefix = Prefix + "nodes/";
/// An entry outlives its process by this much. It is only a seed for others,
/// so it may be long, and renewals few.
static constexpr Duration LeaseTime = std::chrono::seconds(30);
static constexpr Duration RenewPeriod = std::chrono::seconds(8);
/// Pause before a failed call is repeated, and how much it is spread.
static constexpr Duration RetryPause = std::chrono::milliseconds(60);
static constexpr Duration RetrySpread = std::chrono::milliseconds(120);

/// After each so many failures in a row the pause is longer by one, up to the
/// most: a short outage ends with all nodes back at once, a long one is not
/// made longer by them.
static constexpr int FailuresPerPause = 8;
static constexpr int MostPauses = 4;

void JoinService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Tree = &Services.find<KvTree>(service::Kv);
  Store = &Services.find<KvStore>(service::Kv);
  Leases = &Services.find<KvLeases>(service::Kv);
  Members = &Services.find<MemberService>(service::Members);
  read();
}

/// Repeats a step whose call failed.
void JoinService::later(void (JoinService::*Step)(), KvStatus Why) {
  if (Failures++ == 0)
    logEvent(LogLevel::Warning, "join_delayed",
             {{"unknown", Why == KvStatus::Unknown ? 1 : 0}});
  int Factor = std::min(MostPauses, 1 + Failures / FailuresPerPause);
  Duration Pause =
      (RetryPause + fromMs(toMs(RetrySpread) * randomUnit(Rng))) * Factor;
  Timers->after(Pause, [this, Step] { (this->*Step)(); });
}

void JoinService::read() {
  Tree->range(Prefix, [this](const KvItems &Found) {
    if (Found.Status != KvStatus::Ok)
      return later(&JoinService::read, Found.Status);
    taken(Found);
  });
}

void JoinService::taken(const KvItems &Found) {
  for (const KvTree::ItemsFn &Fn : Hear)
    Fn(Found);
  std::vector<HostPort> Seeds;
  for (const KvItem &Item : Found.Items) {
    if (Item.Key == KeyName)
      Key = Item.Value;
    auto Address = parseHostPort(Item.Value);
    if (Item.Key.rfind(NodePrefix, 0) == 0 && Address)
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
  Store->cas(KeyName, makeSigningKey().PrivateHex, 0, [this](KvStatus Status) {
    if (Status == KvStatus::Ok || Status == KvStatus::Conflict)
      return read();
    later(&JoinService::read, Status);
  });
}

void JoinService::takeLease() {
  Leases->grant(LeaseTime, [this](KvStatus Status, std::uint64_t Number) {
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
      [this](KvStatus Status, std::uint64_t Revision) {
        if (Status == KvStatus::Conflict) {
          Lease = 0;
          return later(&JoinService::takeLease, Status);
        }
        // A write whose answer was lost is made again: only a revision that
        // is known can be an incarnation.
        if (Status != KvStatus::Ok)
          return later(&JoinService::enter, Status);
        Failures = 0;
        Timers->after(RenewPeriod, [this] { renew(); });
        if (Joined)
          return;
        Joined = true;
        // Room below the next revision: a node raises its incarnation by one
        // for each piece of news about itself.
        constexpr std::uint64_t Room = 1 << 16;
        Services.find<PeerService>(service::Peers).join(Key, Revision * Room);
        Members->join(Revision * Room);
        logEvent(LogLevel::Info, "fleet_joined", {{"incarnation", Revision}});
      });
}

void JoinService::renew() {
  // Who knows others hears of new nodes from them, and tries those again that
  // it took for dead. Only a node that knows nobody needs the list once more.
  if (Members->ids().size() <= 1)
    Tree->range(Prefix, [this](const KvItems &Found) {
      if (Found.Status == KvStatus::Ok)
        taken(Found);
    });
  Leases->renew(Lease, [this](KvStatus Status) {
    if (Status == KvStatus::Conflict) {
      logEvent(LogLevel::Warning, "node_entry_lapsed", {{"lease", Lease}});
      Lease = 0;
      return takeLease();
    }
    Timers->after(RenewPeriod, [this] { renew(); });
  });
}

} // namespace fulmar
