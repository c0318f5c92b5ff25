/// \file upstream.cpp Chooses and ejects upstreams of a pool.
#include "upstream_func.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/hash.h"
#include "limit_func.h"

namespace fulmar {

static constexpr int FailuresToEject = 3;
static constexpr Duration FirstEjection = std::chrono::seconds(1);
static constexpr int MaxEjectionDoublings = 5;
/// Weight of the newest sample in the smoothed latency.
static constexpr double LatencyGain = 0.2;
/// Latency samples that are needed before an upstream can count as slow.
static constexpr int MinSamples = 5;
/// Load reports that are older than this are ignored.
static constexpr Duration LoadReportLifetime = std::chrono::seconds(2);
/// Random draws per required sample before the pool is searched in order.
static constexpr int DrawsPerSample = 3;

Upstream *upstreamById(Pool &P, UpstreamId Id) {
  for (Upstream &U : P.Upstreams) {
    if (U.Id != Id)
      continue;
    return &U;
  }
  return nullptr;
}

bool upstreamEligible(const Upstream &U, const RouterPolicy &Policy,
                      TimePoint Now) {
  if (!U.Listed || U.Leaving || U.BackoffUntil > Now ||
      U.Path == UpstreamPath::None)
    return false;
  // Outside this node's turn the upstream is not eligible, instead of merely
  // without capacity, so that all requests of a session go to the same other
  // upstream.
  if (Policy.RespectSendPace && !paceAllows(U.Pace, Now))
    return false;
  return !Policy.Ejection || U.EjectedUntil <= Now;
}

static bool hasCapacity(const Upstream &U, const RouterPolicy &Policy,
                        TimePoint Now) {
  if (!guardAllows(U.Guard, U.InFlight, Now))
    return false;
  // The fixed limit rule applies only the upper bound: this baseline leaves
  // queueing to the upstream, as a plain proxy does.
  return Policy.Limit == LimitRule::Fixed ? U.InFlight < U.Limit.Max
                                          : limitAllows(U.Limit, U.InFlight);
}

bool hasVersion(const Upstream &U, const std::string &Version) {
  return Version.empty() || U.Version == Version;
}

/// \return Whether \p U is eligible and meets all of \p Hints but Avoid.
static bool fits(const Upstream &U, const RouterPolicy &Policy,
                 const ChoiceHints &Hints, TimePoint Now) {
  return upstreamEligible(U, Policy, Now) && U.Path <= Hints.Worst &&
         hasVersion(U, Hints.Version) &&
         (!Hints.Without || !Hints.Without->count(U.Version));
}

bool upstreamUsable(const Upstream &U, const RouterPolicy &Policy,
                    const ChoiceHints &Hints, TimePoint Now) {
  if (!fits(U, Policy, Hints, Now) || !hasCapacity(U, Policy, Now))
    return false;
  if (!Hints.Avoid)
    return true;
  return std::find(Hints.Avoid->begin(), Hints.Avoid->end(), U.Id) ==
         Hints.Avoid->end();
}

/// \return The expected load relative to the concurrency limit, weighted by the
/// latency and by a factor for remote upstreams; lower is better.
static double score(const Upstream &U, const RouterPolicy &Policy,
                    TimePoint Now) {
  double Others = Now - U.ReportedAt < LoadReportLifetime ? U.OtherLoad : 0;
  double Load = (U.InFlight + 1 + Others) / std::max(1.0, U.Limit.Limit);
  return Load * U.LatencyRatio * (U.Local ? 1.0 : Policy.RemoteFactor);
}

static std::optional<std::size_t> firstUsable(Pool &P, std::size_t From,
                                              const RouterPolicy &Policy,
                                              const ChoiceHints &Hints,
                                              TimePoint Now) {
  for (std::size_t I = 0; I < P.Upstreams.size(); ++I) {
    std::size_t Index = (From + I) % P.Upstreams.size();
    if (upstreamUsable(P.Upstreams[Index], Policy, Hints, Now))
      return Index;
  }
  return std::nullopt;
}

const Upstream *affineUpstream(const Pool &P, const RouterPolicy &Policy,
                               const ChoiceHints &Hints, TimePoint Now) {
  const Upstream *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const Upstream &U : P.Upstreams) {
    if (!fits(U, Policy, Hints, Now))
      continue;
    std::uint64_t Weight = rendezvousWeight(Hints.Affinity, U.Address);
    if (Best && Weight < BestWeight)
      continue;
    Best = &U;
    BestWeight = Weight;
  }
  return Best;
}

/// \return The mean number of calls in flight at the eligible upstreams.
static double meanInFlight(const Pool &P, const RouterPolicy &Policy,
                           TimePoint Now) {
  double Load = 0;
  int Eligible = 0;
  for (const Upstream &U : P.Upstreams) {
    if (!upstreamEligible(U, Policy, Now))
      continue;
    Load += U.InFlight;
    ++Eligible;
  }
  return Load / std::max(1, Eligible);
}

/// \return The upstream that most likely has the prefix cached, unless it is
/// overloaded.
static std::optional<std::size_t> byAffinity(Pool &P,
                                             const RouterPolicy &Policy,
                                             const ChoiceHints &Hints,
                                             TimePoint Now) {
  const Upstream *U = affineUpstream(P, Policy, Hints, Now);
  if (!U || !upstreamUsable(*U, Policy, Hints, Now))
    return std::nullopt;
  double MaxInFlight =
      Policy.AffinityBound * (meanInFlight(P, Policy, Now) + 1) +
      Policy.AffinitySlack;
  // Without a bound, one popular prefix would overload one engine while the
  // others are idle. On a slow engine the cached prefix saves less than the
  // latency costs.
  if (U->InFlight + 1 > MaxInFlight ||
      U->LatencyRatio > Policy.LatencyTolerance)
    return std::nullopt;
  return static_cast<std::size_t>(U - P.Upstreams.data());
}

static std::optional<std::size_t> bySampling(Pool &P,
                                             const RouterPolicy &Policy,
                                             const ChoiceHints &Hints,
                                             Random &Rng, TimePoint Now) {
  std::optional<std::size_t> Best;
  double BestScore = 0;
  int Sampled = 0;
  for (int Draw = 0; Draw < Policy.SampleCount * DrawsPerSample; ++Draw) {
    std::size_t I = randomIndex(Rng, P.Upstreams.size());
    if (!upstreamUsable(P.Upstreams[I], Policy, Hints, Now))
      continue;
    double Score = score(P.Upstreams[I], Policy, Now);
    if (!Best || Score < BestScore) {
      Best = I;
      BestScore = Score;
    }
    if (++Sampled == Policy.SampleCount)
      break;
  }
  if (Best)
    return Best;
  return firstUsable(P, randomIndex(Rng, P.Upstreams.size()), Policy, Hints,
                     Now);
}

/// Chooses an upstream among those whose path is allowed.
static std::optional<std::size_t> chooseByPath(Pool &P,
                                               const RouterPolicy &Policy,
                                               const ChoiceHints &Hints,
                                               Random &Rng, TimePoint Now) {
  switch (Policy.Choice) {
  case ChoiceRule::RoundRobin: {
    auto Index = firstUsable(P, P.NextIndex, Policy, Hints, Now);
    if (Index)
      P.NextIndex = *Index + 1;
    return Index;
  }
  case ChoiceRule::Random:
    return firstUsable(P, randomIndex(Rng, P.Upstreams.size()), Policy, Hints,
                       Now);
  case ChoiceRule::LeastLoaded:
  case ChoiceRule::Count:
  case ChoiceRule::Invalid:
    break;
  }
  if (Policy.Affinity && Hints.Affinity != 0) {
    if (auto Index = byAffinity(P, Policy, Hints, Now))
      return Index;
  }
  return bySampling(P, Policy, Hints, Rng, Now);
}

std::optional<std::size_t> chooseUpstream(Pool &P, const RouterPolicy &Policy,
                                          const ChoiceHints &Hints, Random &Rng,
                                          TimePoint Now) {
  if (P.Upstreams.empty())
    return std::nullopt;
  // What this node reaches itself takes no other node's time.
  ChoiceHints Own = Hints;
  Own.Worst = UpstreamPath::Direct;
  if (auto Index = chooseByPath(P, Policy, Own, Rng, Now))
    return Index;
  return chooseByPath(P, Policy, Hints, Rng, Now);
}

bool poolHasCapacity(const Pool &P, const RouterPolicy &Policy, TimePoint Now) {
  for (const Upstream &U : P.Upstreams) {
    if (hasCapacity(U, Policy, Now) && upstreamEligible(U, Policy, Now))
      return true;
  }
  return false;
}

double poolSlots(const Pool &P, const RouterPolicy &Policy, TimePoint Now) {
  double Slots = 0;
  for (const Upstream &U : P.Upstreams) {
    if (upstreamEligible(U, Policy, Now))
      Slots += std::max(1.0, U.Limit.Limit);
  }
  return Slots;
}

void upstreamSucceeded(Upstream &U, Duration Took, Duration Floor,
                       const RouterPolicy &Policy, TimePoint Now) {
  U.Failures = 0;
  ++U.Samples;
  if (U.Samples > 2 * MinSamples)
    U.Ejections = 0;
  if (Floor <= Duration::zero())
    return;
  double Ratio = toMs(Took) / toMs(Floor);
  U.LatencyRatio += (Ratio - U.LatencyRatio) * LatencyGain;
  if (Policy.Limit == LimitRule::Adaptive)
    limitOnSuccess(U.Limit, Ratio, Policy.LatencyTolerance, U.InFlight + 1,
                   Took, Now);
}

/// \return Whether another upstream may be ejected. At most half of a pool is
/// ejected or in backoff: if most upstreams look faulty, the cause is more
/// likely this node or the load, and the few that are left would be overloaded.
static bool mayEject(const Pool &P, TimePoint Now) {
  std::size_t Listed = 0;
  std::size_t Ejected = 0;
  for (const Upstream &U : P.Upstreams) {
    if (!U.Listed || U.Leaving)
      continue;
    ++Listed;
    if (U.EjectedUntil > Now || U.BackoffUntil > Now)
      ++Ejected;
  }
  return (Ejected + 1) * 2 <= Listed;
}

static void eject(Pool &P, Upstream &U, TimePoint Now) {
  if (U.EjectedUntil > Now || !mayEject(P, Now))
    return;
  U.EjectedUntil =
      Now + FirstEjection * (1 << std::min(U.Ejections, MaxEjectionDoublings));
  ++U.Ejections;
  // After the ejection it gets one call at a time at first, and one failure
  // ejects it again.
  U.Limit.Limit = 1;
  U.LatencyRatio = 1;
  U.Samples = 0;
  U.Failures = FailuresToEject - 1;
}

void upstreamFailed(Pool &P, Upstream &U, const RouterPolicy &Policy,
                    TimePoint Now) {
  ++U.Failures;
  if (Policy.Limit == LimitRule::Adaptive)
    limitOnFailure(U.Limit, Now);
  if (Policy.Ejection && U.Failures >= FailuresToEject)
    eject(P, U, Now);
}

void upstreamCancelled(Upstream &U, Duration Elapsed, Duration Floor) {
  // Calls to a slow upstream are cancelled when their hedges complete first. If
  // only completed calls counted as samples, the slowest upstream would seem as
  // fast as the ones that ran the hedges, and would keep its full share.
  if (Floor <= Duration::zero())
    return;
  double Ratio = toMs(Elapsed) / toMs(Floor);
  if (Ratio <= U.LatencyRatio)
    return;
  ++U.Samples;
  U.LatencyRatio += (Ratio - U.LatencyRatio) * LatencyGain;
}

bool poolDown(const Pool &P) {
  bool Any = false;
  for (const Upstream &U : P.Upstreams) {
    if (!U.Listed || U.Leaving)
      continue;
    // After an ejection an upstream still counts FailuresToEject - 1 failures.
    if (U.Failures < FailuresToEject - 1)
      return false;
    Any = true;
  }
  return Any;
}

Duration poolBackoff(const Pool &P, TimePoint Now) {
  TimePoint First = TimePoint::max();
  for (const Upstream &U : P.Upstreams) {
    if (!U.Listed || U.Leaving)
      continue;
    First = std::min(First, U.BackoffUntil);
  }
  if (First == TimePoint::max())
    return Duration::zero();
  return std::max(First - Now, Duration::zero());
}

void ejectSlow(Pool &P, const RouterPolicy &Policy, TimePoint Now) {
  if (!Policy.Ejection)
    return;
  std::vector<double> Ratios;
  for (const Upstream &U : P.Upstreams) {
    if (upstreamEligible(U, Policy, Now) && U.Samples >= MinSamples)
      Ratios.push_back(U.LatencyRatio);
  }
  if (Ratios.size() < 3)
    return;
  auto Median = Ratios.begin() + static_cast<std::ptrdiff_t>(Ratios.size() / 2);
  std::nth_element(Ratios.begin(), Median, Ratios.end());
  double Bound = *Median * Policy.SlowRatio;
  for (Upstream &U : P.Upstreams) {
    if (U.Samples >= MinSamples && U.LatencyRatio > Bound)
      eject(P, U, Now);
  }
}

/// \return The key that identifies a start of an upstream across lists. An
/// address may be reassigned to another upstream, and after a restart under the
/// same name nothing that was recorded for the earlier start applies.
static Incarnation identity(const Incarnation &Start,
                            const std::string &Address) {
  return Start.Instance.empty() ? Incarnation{Address, 0} : Start;
}

static Incarnation identity(const UpstreamSpec &Spec) {
  return identity(Spec.Start, Spec.Address);
}

static Incarnation identity(const Upstream &U) {
  return identity(U.Start, U.Address);
}

/// Sets Upstream::Place to the index in \p Listed.
static void setPlaces(Pool &P, std::span<const UpstreamSpec> Listed) {
  std::map<Incarnation, std::size_t> Places;
  for (const UpstreamSpec &Spec : Listed)
    Places.emplace(identity(Spec), Places.size());
  for (Upstream &U : P.Upstreams) {
    auto Found = Places.find(identity(U));
    if (Found != Places.end())
      U.Place = Found->second;
  }
  P.PlacesStale = false;
}

void updatePlaces(Pool &P) {
  if (!std::exchange(P.PlacesStale, false))
    return;
  std::vector<Upstream *> Listed;
  for (Upstream &U : P.Upstreams) {
    if (U.Listed)
      Listed.push_back(&U);
  }
  std::sort(Listed.begin(), Listed.end(),
            [](const Upstream *A, const Upstream *B) {
              return identity(*A) < identity(*B);
            });
  for (std::size_t I = 0; I < Listed.size(); ++I)
    Listed[I]->Place = I;
}

/// \return The initial state of a newly listed upstream.
static Upstream makeUpstream(const Pool &P, const UpstreamSpec &Spec,
                             const std::string &OwnDomain,
                             std::uint32_t &LastId) {
  Upstream U;
  U.Id = UpstreamId{++LastId};
  U.Address = Spec.Address;
  U.Start = Spec.Start;
  U.FailureDomain = Spec.FailureDomain;
  U.Leaving = Spec.Leaving;
  U.Cold = Spec.Cold;
  U.Version = Spec.Version;
  U.Local = Spec.FailureDomain == OwnDomain;
  U.Limit.Limit = static_cast<double>(P.Spec.StartLimit);
  U.Limit.Max = static_cast<double>(P.Spec.MaxLimit);
  return U;
}

/// Removes unlisted upstreams, except those that calls in flight refer to.
static void dropUnlisted(Pool &P) {
  std::erase_if(P.Upstreams,
                [](const Upstream &U) { return !U.Listed && U.InFlight == 0; });
  P.Unlisted = static_cast<std::size_t>(
      std::count_if(P.Upstreams.begin(), P.Upstreams.end(),
                    [](const Upstream &U) { return !U.Listed; }));
}

/// Updates a known upstream from its list entry.
static Upstream &relist(Pool &P, Upstream &U, const UpstreamSpec &Spec) {
  P.PlacesStale = P.PlacesStale || !U.Listed;
  P.Unlisted -= U.Listed ? 0 : 1;
  U.Listed = true;
  U.Leaving = Spec.Leaving || U.SaidLeaving;
  U.Cold = Spec.Cold;
  U.Version = Spec.Version;
  return U;
}

Upstream &addOrUpdateUpstream(Pool &P, const UpstreamSpec &Spec, bool IsNew,
                              const std::string &OwnDomain,
                              std::uint32_t &LastId) {
  bool MayBeKnown = !IsNew || P.Unlisted > 0;
  if (MayBeKnown) {
    auto Known =
        std::find_if(P.Upstreams.begin(), P.Upstreams.end(),
                     [&](const Upstream &U) { return U.Start == Spec.Start; });
    if (Known != P.Upstreams.end())
      return relist(P, *Known, Spec);
  }
  P.PlacesStale = true;
  P.Upstreams.push_back(makeUpstream(P, Spec, OwnDomain, LastId));
  return P.Upstreams.back();
}

void unlistUpstream(Pool &P, const Incarnation &Start) {
  for (Upstream &U : P.Upstreams) {
    if (U.Start != Start)
      continue;
    U.Listed = false;
    P.PlacesStale = true;
  }
  dropUnlisted(P);
}

void updateUpstreams(Pool &P, std::span<const UpstreamSpec> Listed,
                     const std::string &OwnDomain, std::uint32_t &LastId) {
  std::map<Incarnation, const UpstreamSpec *> New;
  for (const UpstreamSpec &Spec : Listed)
    New.emplace(identity(Spec), &Spec);
  for (Upstream &U : P.Upstreams) {
    auto Found = New.find(identity(U));
    U.Listed = Found != New.end();
    if (!U.Listed)
      continue;
    U.Leaving = Found->second->Leaving || U.SaidLeaving;
    U.Cold = Found->second->Cold;
    U.Version = Found->second->Version;
    New.erase(Found);
  }
  dropUnlisted(P);
  for (const UpstreamSpec &Spec : Listed) {
    if (New.erase(identity(Spec)) == 0)
      continue;
    P.Upstreams.push_back(makeUpstream(P, Spec, OwnDomain, LastId));
  }
  setPlaces(P, Listed);
}

} // namespace fulmar
