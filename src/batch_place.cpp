/// \file batch_place.cpp In which failure domain waiting jobs are made.
#include "batch_internal.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

/// A job waits for its own failure domain while it would be done there this
/// many full calls' times before it is due: others that come later and are more
/// urgent may still go first. With less it is late too often, with more its
/// results cross for nothing.
static constexpr double WaitMarginCalls = 0.9;
/// A job that is late in any case is made elsewhere if that ends it this many
/// full calls' times earlier.
static constexpr double LateGainCalls = 0.7;

/// What waits for one failure domain, and how fast it is done there.
struct DomainBacklog {
  double Upstreams = 0;   ///< In use, slow ones counting less.
  TimePoint NextFree{};   ///< When the first of them is free.
  double PiecesAhead = 0; ///< Of the jobs looked at so far.
};
using DomainBacklogs = std::map<std::string, DomainBacklog>;

static DomainBacklogs backlogsOf(const BatchPool &P, TimePoint Now) {
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

/// \return When pieces that wait behind those of \p Domain are done.
static TimePoint doneIn(const BatchPool &P, const DomainBacklog &Domain,
                        int Pieces) {
  double Full = toMs(batchCallTime(P.Spec, P.Spec.MaxPieces));
  double CallsAhead = std::floor(Domain.PiecesAhead / P.Spec.MaxPieces);
  int Rest = static_cast<int>(Domain.PiecesAhead) % P.Spec.MaxPieces;
  int Mine = std::min(P.Spec.MaxPieces, Pieces + Rest);
  return Domain.NextFree + fromMs(CallsAhead * Full / Domain.Upstreams) +
         batchCallTime(P.Spec, Mine) + CallOverhead;
}

std::vector<PlacedJob> batchPlaced(BatchPool &P, TimePoint Now) {
  DomainBacklogs Domains = backlogsOf(P, Now);
  double Upstreams = 0;
  for (const auto &[Name, Domain] : Domains)
    Upstreams += Domain.Upstreams;
  std::vector<PlacedJob> Out;
  for (BatchJob *Job : batchWaiting(P, Now)) {
    auto Own = Domains.find(Job->Request.Domain);
    if (Own != Domains.end()) {
      Out.push_back({Job, doneIn(P, Own->second, Job->Waiting)});
      Own->second.PiecesAhead += Job->Waiting;
      continue;
    }
    Out.push_back({Job, std::nullopt});
    for (auto &[Name, Domain] : Domains)
      Domain.PiecesAhead += Job->Waiting * Domain.Upstreams / Upstreams;
  }
  return Out;
}

bool batchMayGoTo(const BatchPool &P, const PlacedJob &Placed,
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
