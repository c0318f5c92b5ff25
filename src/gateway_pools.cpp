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

/// Part of an upstream's connections that all nodes together use; it counts
/// those that are being closed, and other callers may exist.
static constexpr double ConnectionShare = 0.8;
/// Part of the list that changes at once from which on all pools are built
/// anew.
static constexpr double RebuildShare = 0.5;

static UpstreamSpec specOf(const UpstreamEntry &Entry) {
  return {Entry.Address, Entry.Pool,          Entry.FailureDomain,
          Entry.Leaving, Entry.incarnation(), Entry.cold()};
}

/// \return Calls of this node that one upstream of a pool may have.
std::int64_t GatewayService::connectionShare(const ServiceSpec &Spec) const {
  double Share = ConnectionShare * Spec.ConnectionLimit / sharingNodes();
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(Share));
}

/// Brings one pool's upstreams and limits up to date.
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
  MostNodes = std::max(MostNodes, sharingNodes());
  ColdRates[Spec.Name] = Spec.ColdRate;
  for (Upstream &U : P.Upstreams) {
    U.Limit.Max = static_cast<double>(P.Spec.MaxLimit);
    setPace(P, U, Spec.ColdRate);
  }
}

/// Builds all pools from the configuration and the list.
void GatewayService::rebuildPools() {
  const RouteTablePtr &Table = Routes->table();
  if (!Table || !Upstreams->registry().Known)
    return;
  // Everybody who chooses an upstream goes by these, so that a drained failure
  // domain gets no request, repeat, hedge or piece, whoever sends it.
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
  DomainOf.clear();
  for (const auto &[Instance, Entry] : Entries)
    DomainOf[Entry.Address] = Entry.FailureDomain;
  OwnPools->update(*Table, Entries, allowance());
}

/// \return Whether an entry is still of the same start, in the same pool and at
/// the same address.
static bool isSame(const UpstreamEntry &Before,
                   const std::optional<UpstreamEntry> &After) {
  return After && Before.incarnation() == After->incarnation() &&
         Before.Pool == After->Pool && Before.Address == After->Address;
}

/// Takes in what has changed in the list. In a large fleet some upstream comes
/// or goes all the time, and each would cost every node a look at all others.
void GatewayService::upstreamsChanged(const UpstreamChanges &Changes) {
  if (!Routes->table())
    return;
  auto Listed = static_cast<double>(Upstreams->registry().Entries.size());
  if (Pools.empty() ||
      static_cast<double>(Changes.size()) > RebuildShare * Listed)
    return rebuildPools();
  // What goes is taken out first: its address may be another one's by now.
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

/// Takes an entry out of the books, as it was.
void GatewayService::unlist(const UpstreamEntry &Entry) {
  DomainOf.erase(Entry.Address);
  auto Found = Pools.find(Entry.Pool);
  if (Found != Pools.end())
    unlistUpstream(Found->second, Entry.incarnation());
}

/// Takes an entry into the books, as it is.
void GatewayService::list(const UpstreamEntry &Entry, bool Fresh) {
  DomainOf[Entry.Address] = Entry.FailureDomain;
  auto Found = Pools.find(Entry.Pool);
  if (Found == Pools.end())
    return;
  Pool &P = Found->second;
  Upstream &U =
      listUpstream(P, specOf(Entry), Fresh, Config.FailureDomain, LastUpstream);
  setPace(P, U, ColdRates[Entry.Pool]);
}

/// Another number of nodes shares what upstreams take.
void GatewayService::shareLimits() {
  const RouteTablePtr &Table = Routes->table();
  if (!Table)
    return;
  MostNodes = std::max(MostNodes, sharingNodes());
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
