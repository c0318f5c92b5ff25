/// \file gateway_pools.cpp Pools that requests are passed on to, and their
/// upstreams.
#include <algorithm>
#include <utility>

#include "domain_drain_func.h"
#include "gateway_service.h"
#include "member_service.h"
#include "route_feed.h"
#include "upstream_feed.h"
#include "upstream_func.h"

namespace fulmar {

/// Fraction of an upstream's connection limit that all nodes together use: the
/// upstream also counts closing connections, and may have other callers.
static constexpr double ConnectionShare = 0.8;
/// If at least this fraction of the list changes at once, all pools are
/// rebuilt.
static constexpr double RebuildFraction = 0.5;

static UpstreamSpec specOf(const UpstreamEntry &Entry) {
  return {Entry.Address,       Entry.Pool,   Entry.FailureDomain, Entry.Leaving,
          Entry.incarnation(), Entry.cold(), Entry.Version};
}

/// \return This node's share of the connection limit of one upstream of a pool.
std::int64_t GatewayService::connectionShare(const ServiceSpec &Spec) const {
  double Share = ConnectionShare * Spec.ConnectionLimit / sharingNodes();
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(Share));
}

/// Updates a pool's upstreams and limits.
void GatewayService::setPool(
    const ServiceSpec &Spec,
    const std::map<std::string, UpstreamEntry> &Entries) {
  Pool &P = Pools[Spec.Name];
  P.Spec.Name = Spec.Name;
  P.Declared = true;
  P.Spec.MaxLimit = connectionShare(Spec);
  P.Spec.StartLimit = P.Spec.MaxLimit;
  std::vector<UpstreamSpec> Listed;
  for (const auto &[Instance, Entry] : Entries) {
    if (Entry.Pool == Spec.Name)
      Listed.push_back(specOf(Entry));
  }
  updateUpstreams(P, Listed, Config.FailureDomain, LastUpstream);
  MaxNodesSeen = nodesEverKnown();
  ColdRates[Spec.Name] = Spec.ColdRate;
  for (Upstream &U : P.Upstreams) {
    U.Limit.Max = static_cast<double>(P.Spec.MaxLimit);
    setPace(P, U, Spec.ColdRate);
    applyNotice(U);
  }
}

/// Rebuilds all pools from the configuration and the list of upstreams.
void GatewayService::rebuildPools() {
  const RouteTablePtr &Table = Routes->table();
  if (!Table || !Upstreams->registry().Known)
    return;
  // All services choose upstreams from these entries, so a drained failure
  // domain gets no request, repeat, hedge or piece from any of them.
  const std::map<std::string, UpstreamEntry> &Listed =
      Upstreams->registry().Entries;
  std::map<std::string, UpstreamEntry> Marked;
  bool Drained = !Routes->drained().Names.empty();
  if (Drained)
    Marked = domainDrainApply(Listed, Routes->drained());
  const std::map<std::string, UpstreamEntry> &Entries =
      Drained ? Marked : Listed;
  for (const ServiceSpec &Spec : Table->Services) {
    if (!Spec.Batch)
      setPool(Spec, Entries);
  }
  rebuildVersions();
  DomainOf.clear();
  for (const auto &[Instance, Entry] : Entries)
    DomainOf[Entry.Address] = Entry.FailureDomain;
  OwnPools->update(*Table, Entries, allowance());
}

/// \return Whether an entry still has the same incarnation, pool and address.
static bool isSame(const UpstreamEntry &Before,
                   const std::optional<UpstreamEntry> &After) {
  return After && Before.incarnation() == After->incarnation() &&
         Before.Pool == After->Pool && Before.Address == After->Address;
}

/// Applies changes of the list of upstreams, one entry at a time where
/// possible. In a large fleet upstreams come and go all the time, and a rebuild
/// for each would cost every node a pass over all others.
void GatewayService::upstreamsChanged(const UpstreamChanges &Changes) {
  if (!Routes->table())
    return;
  auto Listed = static_cast<double>(Upstreams->registry().Entries.size());
  if (Pools.empty() ||
      static_cast<double>(Changes.size()) > RebuildFraction * Listed)
    return rebuildPools();
  // Removals come first, as another upstream may have the address by now.
  for (const UpstreamChange &Change : Changes) {
    if (Change.Before && !isSame(*Change.Before, Change.After))
      unlist(*Change.Before);
  }
  UpstreamChanges Used = Changes;
  for (UpstreamChange &Change : Used) {
    if (!Change.After)
      continue;
    Change.After = domainDrainApply(*Change.After, Routes->drained());
    list(*Change.After, /*Fresh=*/!Change.Before);
  }
  OwnPools->change(Used);
}

/// Removes an upstream; \p Entry is its former entry.
void GatewayService::unlist(const UpstreamEntry &Entry) {
  DomainOf.erase(Entry.Address);
  auto Found = Pools.find(Entry.Pool);
  if (Found != Pools.end())
    unlistUpstream(Found->second, Entry.incarnation());
}

/// Adds or updates an upstream.
void GatewayService::list(const UpstreamEntry &Entry, bool Fresh) {
  DomainOf[Entry.Address] = Entry.FailureDomain;
  auto Found = Pools.find(Entry.Pool);
  if (Found == Pools.end())
    return;
  Pool &P = Found->second;
  Upstream &U = addOrUpdateUpstream(P, specOf(Entry), Fresh,
                                    Config.FailureDomain, LastUpstream);
  setPace(P, U, ColdRates[Entry.Pool]);
  applyNotice(U);
}

/// Recomputes the shares of limits after the number of nodes has changed.
void GatewayService::shareLimits() {
  const RouteTablePtr &Table = Routes->table();
  if (!Table)
    return;
  MaxNodesSeen = nodesEverKnown();
  for (const ServiceSpec &Spec : Table->Services) {
    auto Found = Pools.find(Spec.Name);
    if (Spec.Batch || Found == Pools.end())
      continue;
    Pool &P = Found->second;
    std::int64_t Share = connectionShare(Spec);
    bool Same = std::exchange(P.Spec.MaxLimit, Share) == Share;
    P.Spec.StartLimit = Share;
    for (Upstream &U : P.Upstreams) {
      if (!Same)
        U.Limit.Max = static_cast<double>(Share);
      if (U.Pace.Turns.Interval > Duration::zero())
        setPace(P, U, Spec.ColdRate);
    }
  }
  OwnPools->share(allowance());
}

} // namespace fulmar
