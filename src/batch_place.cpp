/// \file batch_place.cpp Placement of waiting jobs in failure domains.
#include "batch_internal.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

/// A job waits for its preferred failure domain while it would complete there
/// this many full calls before it is due, as more urgent jobs that arrive later
/// may still go first. A lower value makes too many jobs late, a higher one has
/// results cross domains without need.
static constexpr double WaitMarginCalls = 0.9;
/// A job that is late in any case goes to another domain if it completes there
/// this many full calls earlier.
static constexpr double LateGainCalls = 0.7;

/// Waiting pieces of one failure domain, and its capacity.
struct DomainBacklog {
  double Upstreams = 0;   ///< Usable; slow ones count less.
  TimePoint NextFree{};   ///< When the first of them is free.
  double PiecesAhead = 0; ///< Of the jobs placed so far.
};
using DomainBacklogs = std::map<std::string, DomainBacklog>;

static DomainBacklogs backlogsByDomain(const BatchPool &P, TimePoint Now) {
  DomainBacklogs Out;
  double Full = toMs(batchCallTime(P.Spec, P.Spec.MaxPieces));
  for (const auto &[Start, U] : P.Upstreams) {
    if (!batchUsable(U, Now))
      continue;
    auto [Found, Fresh] = Out.try_emplace(U.Entry.FailureDomain);
    DomainBacklog &Domain = Found->second;
    TimePoint FreeAt = batchFreeAt(P, U, Now);
    Domain.NextFree = Fresh ? FreeAt : std::min(Domain.NextFree, FreeAt);
    Domain.Upstreams += batchCapacity(P, U, Full) / P.Spec.Slots;
  }
  return Out;
}

/// \return When \p Pieces that wait behind those of \p Domain should complete.
static TimePoint completionIn(const BatchPool &P, const DomainBacklog &Domain,
                              int Pieces) {
  double Full = toMs(batchCallTime(P.Spec, P.Spec.MaxPieces));
  double CallsAhead = std::floor(Domain.PiecesAhead / P.Spec.MaxPieces);
  int Rest = static_cast<int>(Domain.PiecesAhead) % P.Spec.MaxPieces;
  int Mine = std::min(P.Spec.MaxPieces, Pieces + Rest);
  return Domain.NextFree + fromMs(CallsAhead * Full / Domain.Upstreams) +
         batchCallTime(P.Spec, Mine) + CallOverhead;
}

std::vector<PlacedJob> batchPlacements(BatchPool &P, TimePoint Now) {
  DomainBacklogs Domains = backlogsByDomain(P, Now);
  double Upstreams = 0;
  for (const auto &[Name, Domain] : Domains)
    Upstreams += Domain.Upstreams;
  std::vector<PlacedJob> Out;
  for (BatchJob *Job : batchWaitingJobs(P, Now)) {
    auto Own = Domains.find(Job->Request.Domain);
    if (Own != Domains.end()) {
      Out.push_back({Job, completionIn(P, Own->second, Job->Waiting)});
      Own->second.PiecesAhead += Job->Waiting;
      continue;
    }
    Out.push_back({Job, std::nullopt});
    for (auto &[Name, Domain] : Domains)
      Domain.PiecesAhead += Job->Waiting * Domain.Upstreams / Upstreams;
  }
  return Out;
}

bool batchMayRunAt(const BatchPool &P, const PlacedJob &Placed,
                   const BatchUpstream &U, TimePoint Now) {
  const BatchJob &Job = *Placed.Job;
  if (!Placed.DoneInDomain || Job.Request.Domain == U.Entry.FailureDomain)
    return true;
  Duration Full = batchCallTime(P.Spec, P.Spec.MaxPieces);
  if (*Placed.DoneInDomain + fromMs(toMs(Full) * WaitMarginCalls) <= Job.Due)
    return false;
  int Size = std::min(P.Spec.MaxPieces, Job.Waiting);
  TimePoint Here = Now + batchExpectedAt(P, U, Size);
  return Here <= Job.Due || *Placed.DoneInDomain > Job.Deadline ||
         *Placed.DoneInDomain - Here > fromMs(toMs(Full) * LateGainCalls);
}

} // namespace fulmar
