/// \file router_pool.cpp Applies bundles and host lists to the pools.
#include <limits>

#include "fair_queue_func.h"
#include "router_internal.h"
#include "upstream_func.h"

namespace fulmar {

static void applyPool(RouterState &State, const PoolSpec &Spec,
                      const ShareSpec &Shares) {
  Pool &P = State.Pools[Spec.Name];
  P.Spec = Spec;
  P.Declared = true;
  P.Queue.ByArrival = State.Policy.Order == QueueOrder::Arrival;
  P.Queue.Shares = Shares;
  P.Queue.MaxCalls = static_cast<std::size_t>(Spec.QueueLimit);
  if (!State.Policy.BoundedQueues) {
    P.Queue.MaxCalls = std::numeric_limits<std::size_t>::max();
    P.Queue.MaxBytes = std::numeric_limits<std::size_t>::max();
  }
  for (Upstream &U : P.Upstreams) {
    U.Limit.Max = static_cast<double>(Spec.MaxLimit);
    U.Limit.Limit = std::min(U.Limit.Limit, U.Limit.Max);
  }
  State.PoolsToDispatch.push_back(&P);
}

/// Removes estimates and retry budgets of pipelines that are no longer in the
/// bundle.
static void forgetRemoved(RouterState &State) {
  std::erase_if(State.Estimates, [&State](const auto &Entry) {
    return !Bundle::find(State.InForce->Pipelines, Entry.first.first);
  });
  std::erase_if(State.RetryBudgets, [&State](const auto &Entry) {
    return !Bundle::find(State.InForce->Pipelines, Entry.first);
  });
}

void activateBundle(RouterState &State, BundlePtr Next, TimePoint Now,
                    RouterActions &Out) {
  State.InForce = std::move(Next);
  for (auto &[Name, P] : State.Pools)
    P.Declared = false;
  for (const PoolSpec &Spec : State.InForce->Pools)
    applyPool(State, Spec, State.InForce->Shares);
  forgetRemoved(State);
  dispatchQueued(State, Now, Out);
}

/// \return Whether the bundle marks a failure domain as drained: its upstreams
/// get no new calls.
static bool drained(const RouterState &State, const std::string &Domain) {
  return State.InForce && Bundle::find(State.InForce->DrainedDomains, Domain);
}

void hostListChanged(RouterState &State, std::span<const UpstreamSpec> Listed,
                     TimePoint Now, RouterActions &Out) {
  std::map<std::string, std::vector<UpstreamSpec>> ByPool;
  for (const UpstreamSpec &Spec : Listed) {
    UpstreamSpec &Used = ByPool[Spec.Pool].emplace_back(Spec);
    Used.Leaving = Used.Leaving || drained(State, Spec.FailureDomain);
  }
  for (auto &[Name, P] : State.Pools) {
    updateUpstreams(P, ByPool[Name], State.OwnDomain, State.LastUpstream);
    State.PoolsToDispatch.push_back(&P);
  }
  dispatchQueued(State, Now, Out);
}

} // namespace fulmar
