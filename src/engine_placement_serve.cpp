/// \file engine_placement_serve.cpp The pools of engines that this node
/// coordinates.
#include <algorithm>
#include <tuple>

#include "batch_coordinator.h"
#include "domain_drain_func.h"
#include "engine_placement_service.h"
#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "route_feed.h"
#include "upstream_feed.h"
#include "upstream_notice_service.h"

namespace fulmar {

/// Interval at which expired placements are dropped.
static constexpr Duration ExpiryPeriod = std::chrono::seconds(1);
/// A part without placements that was not used for this long is removed: this
/// node is not its coordinator any more.
static constexpr Duration PartLifetime = std::chrono::seconds(60);
/// How long an answer to a closed ask may take to arrive. Later ones are
/// ignored, and the coordinator drops the placement at its deadline.
static constexpr Duration LateAnswerTime = std::chrono::seconds(2);

void EnginePlacementService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  Routes = &Services.find<RouteFeed>(service::Routes);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Notices = &Services.find<UpstreamNoticeService>(service::Notices);
  Peers->on<PlacementAsk>(
      [this](const PeerMessage &From, const PlacementAsk &Ask) {
        ++Counts.Served;
        noteAsker(From);
        Peers->sendTo(From.Sender,
                      PlacementAnswer{Ask.Serial, place(From.Sender, Ask)});
      });
  Peers->on<PlacementAnswer>(
      [this](const PeerMessage &From, const PlacementAnswer &Answer) {
        answered(From.Sender, Answer);
      });
  Peers->on<PlacementUpdate>(
      [this](const PeerMessage &From, const PlacementUpdate &Update) {
        noteAsker(From);
        apply(From.Sender, Update);
      });
  Routes->onChange([this] { configChanged(); });
  Upstreams->onChange(
      [this](const UpstreamChanges &Changes) { engineListChanged(Changes); });
  Notices->onChange([this](const Incarnation &Start) { noticeChanged(Start); });
  Members->onChange([this] { membersChanged(); });
  Timers->every(ExpiryPeriod, [this] { tick(); });
}

static bool isBefore(const UpstreamEntry &A, const UpstreamEntry &B) {
  return std::tie(A.FailureDomain, A.Instance) <
         std::tie(B.FailureDomain, B.Instance);
}

/// Lists the engines of all coordinated pools anew, after a change of the
/// configuration or of the drained failure domains.
void EnginePlacementService::configChanged() {
  const RouteTablePtr &Table = Routes->table();
  Listings.clear();
  std::set<std::string> Changed;
  for (const ServiceSpec &Spec : Table->Services) {
    if (!placementCoordinated(*Table, Spec, Config))
      continue;
    Listings[Spec.Name].Spec = *Spec.Engine;
    Changed.insert(Spec.Name);
  }
  std::erase_if(Parts, [this](const auto &Item) {
    if (coordinated(parseBatchPart(Item.first).Pool))
      return false;
    ExpiredBefore += Item.second.Pool.Counts.Expired;
    return true;
  });
  if (Listings.empty())
    return;
  for (const auto &[Instance, Entry] : Upstreams->registry().Entries) {
    auto Found = Listings.find(Entry.Pool);
    if (Found != Listings.end())
      Found->second.All.push_back(Entry);
  }
  for (auto &[Name, L] : Listings)
    std::sort(L.All.begin(), L.All.end(), isBefore);
  updateParts(Changed);
}

/// Applies changes of the list of upstreams, one entry at a time: in a large
/// fleet upstreams come and go all the time.
void EnginePlacementService::engineListChanged(const UpstreamChanges &Changes) {
  std::set<std::string> Changed;
  auto Place = [](Listing &L, const UpstreamEntry &Entry) {
    return std::lower_bound(L.All.begin(), L.All.end(), Entry, isBefore);
  };
  for (const auto &[Before, After] : Changes) {
    auto Old = Before ? Listings.find(Before->Pool) : Listings.end();
    if (Old != Listings.end()) {
      auto Found = Place(Old->second, *Before);
      if (Found != Old->second.All.end() && Found->Instance == Before->Instance)
        Old->second.All.erase(Found);
      Changed.insert(Before->Pool);
    }
    auto New = After ? Listings.find(After->Pool) : Listings.end();
    if (New == Listings.end())
      continue;
    auto Found = Place(New->second, *After);
    if (Found != New->second.All.end() && Found->Instance == After->Instance)
      *Found = *After;
    else
      New->second.All.insert(Found, *After);
    Changed.insert(After->Pool);
  }
  updateParts(Changed);
}

/// Updates all parts of the pools in \p Changed.
void EnginePlacementService::updateParts(const std::set<std::string> &Changed) {
  for (auto &[Name, Part] : Parts) {
    if (Changed.count(parseBatchPart(Name).Pool))
      updatePart(Part.Pool);
  }
}

/// Updates the engines of a part. They are assigned to parts round-robin, as
/// upstreams are to parts of batch pools; a part beyond the current number
/// shares the engines of another one while it has placements in progress.
void EnginePlacementService::updatePart(EnginePool &P) {
  BatchPart Part = parseBatchPart(P.Name);
  const Listing &L = Listings.at(Part.Pool);
  std::size_t Count = placementPartCount(L.All.size());
  std::vector<EngineEntry> Listed;
  for (std::size_t I = Part.Part % Count; I < L.All.size(); I += Count) {
    UpstreamEntry Entry = domainDrainApply(L.All[I], Routes->drained());
    Incarnation Start = Entry.incarnation();
    bool Usable =
        !Entry.Leaving && !Entry.cold() && !Notices->of(Start).Leaving;
    Listed.push_back({Start, Usable, Entry.Version, Entry.FailureDomain});
  }
  P.Slots = L.Spec.Slots;
  P.EventTokens = L.Spec.EventTokens;
  placementSetEngines(P, Listed, Timers->now());
}

/// \return A part of a pool; nullptr if no coordinator places the requests of
/// that pool. It is created on first use.
EnginePool *EnginePlacementService::find(const std::string &Part) {
  if (!coordinated(parseBatchPart(Part).Pool))
    return nullptr;
  auto [Found, Fresh] = Parts.try_emplace(Part);
  Found->second.UsedAt = Timers->now();
  EnginePool &P = Found->second.Pool;
  if (!Fresh)
    return &P;
  P.Name = Part;
  P.KnownSince = Timers->now();
  updatePart(P);
  logEvent(LogLevel::Info, "placement_coordinator",
           {{"pool", Part}, {"engines", P.Engines.size()}});
  return &P;
}

Placement EnginePlacementService::place(const std::string &Node,
                                        const PlacementAsk &Ask) {
  EnginePool *P = find(Ask.Pool);
  if (!P)
    return {};
  return placeEngine(*P, {Node, Ask.Serial}, Ask.Request, Rng, Timers->now());
}

/// Applies what a node reports of its requests.
void EnginePlacementService::apply(const std::string &Node,
                                   const PlacementUpdate &Update) {
  EnginePool *P = find(Update.Pool);
  if (!P)
    return;
  for (const PlacementEvent &Event : Update.Events)
    placementApply(*P, Node, Event, Timers->now());
}

/// Updates the parts with an upstream that has announced that it is leaving.
void EnginePlacementService::noticeChanged(const Incarnation &Start) {
  for (auto &[Name, Part] : Parts) {
    if (Part.Pool.Engines.count(Start))
      updatePart(Part.Pool);
  }
}

void EnginePlacementService::dropNode(const std::string &Node) {
  for (auto &[Name, Part] : Parts)
    placementNodeGone(Part.Pool, Node);
}

/// Drops the placements of the process that a node ran before, if it has
/// restarted: a restart may take less time than membership needs to notice it.
void EnginePlacementService::noteAsker(const PeerMessage &From) {
  auto [Known, Fresh] = Askers.try_emplace(From.Sender, From.Incarnation);
  if (From.Incarnation <= Known->second)
    return;
  Known->second = From.Incarnation;
  dropNode(From.Sender);
}

/// Drops the placements of nodes that have ended.
void EnginePlacementService::membersChanged() {
  std::erase_if(Askers, [this](const auto &Item) {
    const MemberInfo *Info = Members->info(Item.first);
    if (Info && Info->State != MemberState::Dead)
      return false;
    dropNode(Item.first);
    return true;
  });
}

void EnginePlacementService::tick() {
  TimePoint Now = Timers->now();
  for (auto &[Name, Part] : Parts)
    placementExpire(Part.Pool, Now);
  std::erase_if(Parts, [&](const auto &Item) {
    bool Unused = Now - Item.second.UsedAt > PartLifetime &&
                  placementCount(Item.second.Pool) == 0;
    ExpiredBefore += Unused ? Item.second.Pool.Counts.Expired : 0;
    return Unused;
  });
  std::erase_if(Avoided,
                [Now](const auto &Item) { return Item.second <= Now; });
  std::erase_if(ClosedAsks, [Now](const auto &Item) {
    return Now - Item.second.At > LateAnswerTime;
  });
}

std::size_t EnginePlacementService::known() const {
  std::size_t Sum = 0;
  for (const auto &[Name, Part] : Parts)
    Sum += placementCount(Part.Pool);
  return Sum;
}

std::uint64_t EnginePlacementService::expired() const {
  std::uint64_t Sum = ExpiredBefore;
  for (const auto &[Name, Part] : Parts)
    Sum += Part.Pool.Counts.Expired;
  return Sum;
}

} // namespace fulmar
