/// \file batch_reserve.cpp Reservations for stages that are requested later.
#include <algorithm>
#include <cmath>

#include "batch_internal.h"

namespace fulmar {

/// Limit on reservations. A part of eight upstreams completes some hundred
/// requests in the length of a chain; more are refused anyway.
static constexpr std::size_t MaxReservations = 4000;
/// How long a reservation outlasts the expected arrival of its stage. Earlier
/// stages take some hundred ms longer than usual in a burst.
static constexpr Duration ReservationSlack = std::chrono::seconds(1);
/// Stages arrive later than expected by this part of the time until then, as
/// the calls of earlier stages vary. While a pool is full, a request that was
/// to be just on time is late then. Without this, a seventh more pieces are
/// done in vain in a burst; with twice as much, fewer requests are on time.
static constexpr double ArrivalSpread = 0.05;
/// Longest time after which a refused caller is told to come back. Bursts last
/// a few seconds, and a pool knows nothing of the time after that.
static constexpr Duration MaxRetryIn = std::chrono::seconds(3);

/// \return When a reservation is dropped if its stage was not requested.
static TimePoint expiresAt(const BatchReservation &R) {
  return std::min(R.Arrival + ReservationSlack, R.Deadline);
}

void batchExpireReservations(BatchPool &P, TimePoint Now) {
  P.Counts.ReservationsExpired +=
      std::erase_if(P.Reservations, [Now](const auto &Item) {
        return expiresAt(Item.second) <= Now;
      });
}

void batchUnreserve(BatchPool &P, const std::string &RequestId, int Stage) {
  P.Reservations.erase({RequestId, Stage});
}

/// \return Rate at which pieces more urgent than \p Priority have been
/// arriving, per second.
static double urgentRate(const BatchPool &P, int Priority) {
  double Asked = 0;
  for (const auto &[Other, Share] : P.Shares.ByPriority)
    Asked += Other < Priority ? Share.Asked : 0;
  return Asked / shareCountSeconds();
}

/// \return Reservations whose stages are requested no later than that of
/// \p Mine, in this order.
static std::vector<const BatchReservation *>
arrivalsBefore(const BatchPool &P, const BatchReservation &Mine) {
  std::vector<const BatchReservation *> Out;
  for (const auto &[Key, Other] : P.Reservations) {
    if (Other.Arrival <= Mine.Arrival)
      Out.push_back(&Other);
  }
  std::stable_sort(Out.begin(), Out.end(),
                   [](const BatchReservation *A, const BatchReservation *B) {
                     return A->Arrival < B->Arrival;
                   });
  return Out;
}

/// \return Whether the pieces of \p Other are sent before those of \p Mine.
static bool goesFirst(const BatchReservation &Other,
                      const BatchReservation &Mine) {
  return Other.OnTime && Other.Priority <= Mine.Priority;
}

/// \return Pieces a second that a pool completes of those that go before
/// \p Mine, until it arrives. More urgent pieces arrive that nobody has
/// reserved room for; those with a reservation are counted one by one.
static double aheadRate(const BatchReservation &Mine,
                        const std::vector<const BatchReservation *> &Arrivals,
                        double Rate, double Urgent, TimePoint Now) {
  double Seconds = toMs(Mine.Arrival - Now) / 1e3;
  if (Seconds <= 0)
    return Rate;
  double Unreserved = Urgent * Seconds;
  for (const BatchReservation *Other : Arrivals) {
    if (Other->Priority < Mine.Priority)
      Unreserved -= Other->Pieces;
  }
  return std::max(Rate * MinPoolShare,
                  Rate - std::max(0.0, Unreserved) / Seconds);
}

/// Removes from a backlog what a pool completes in a time.
static void drainBacklog(BatchBacklog &Backlog, double AheadPieces,
                         double Pieces) {
  Backlog.Ahead = std::max(0.0, Backlog.Ahead - AheadPieces);
  double Left = std::max(0.0, Pieces - Backlog.OnTime);
  Backlog.OnTime = std::max(0.0, Backlog.OnTime - Pieces);
  Backlog.Late = std::max(0.0, Backlog.Late - Left);
}

/// \return Pieces a second that have been arriving.
static double arrivalRate(const BatchPool &P) {
  double Asked = 0;
  for (const auto &[Priority, Share] : P.Shares.ByPriority)
    Asked += Share.Asked;
  return Asked / shareCountSeconds();
}

/// \return Time of a stage in a pool where \p PerSecond pieces arrive and few
/// wait: of the call that carries it, with the pieces that arrive between two
/// calls, and of the wait for it. Without the other pieces, a pool at four
/// fifths of its throughput is taken for a third faster than it is, and chains
/// are admitted that are late in their last pool.
static Duration usualTime(const BatchPool &P, const PoolThroughput &Throughput,
                          double PerSecond, int Pieces) {
  double PerMs = PerSecond / 1e3 / std::max(1.0, Throughput.Upstreams);
  double Growth = PerMs * toMs(P.Spec.PieceTime);
  double Most = P.Spec.MaxPieces;
  double Between =
      Growth < 1 ? PerMs * toMs(P.Spec.CallTime) / (1 - Growth) : Most;
  int Carried = std::max(std::min(Pieces, P.Spec.MaxPieces),
                         static_cast<int>(std::min(Between, Most)));
  double CallMs = toMs(batchCallTime(P.Spec, Carried) + CallOverhead);
  // A pool without other work sends it at once.
  double Busy = std::min(1.0, Between / Most);
  double Interval = CallMs / std::max(1.0, Throughput.Upstreams);
  return fromMs(CallMs + Interval / 2 * Busy);
}

/// \return Expected time of a late stage from its arrival on. It waits for its
/// own pieces' share too: a pool that is full of on-time work hardly reaches
/// any late job before the burst ends. If each request were counted only behind
/// the others, a few of them would be admitted again and again, and refused in
/// the last pool after all other stages were done.
static Duration lateTime(const PoolThroughput &Throughput,
                         const BatchBacklog &Backlog, int Pieces,
                         Duration Usual) {
  double Rate = batchPiecesPerSecond(Throughput);
  double Seconds = Backlog.OnTime / Rate +
                   (Backlog.Late + Pieces) / (Rate * Throughput.LateShare);
  return Throughput.NextFree + fromMs(1e3 * Seconds) + Usual;
}

/// \return Expected time of a stage from its arrival on.
static std::optional<BatchForecast>
forecastAt(const BatchPool &P, const BatchReservation &Mine, TimePoint Now) {
  BatchBacklog Backlog = batchBacklog(P, Mine.Priority, Now);
  PoolThroughput Throughput = batchThroughputFor(P, Backlog.OnTime, Now);
  if (Throughput.Upstreams == 0)
    return std::nullopt;
  double Rate = batchPiecesPerSecond(Throughput);
  double Urgent = urgentRate(P, Mine.Priority);
  auto Arrivals = arrivalsBefore(P, Mine);
  double AheadRate = aheadRate(Mine, Arrivals, Rate, Urgent, Now);
  TimePoint At = Now;
  auto Advance = [&](TimePoint To) {
    if (To <= At)
      return;
    double Seconds = toMs(To - At) / 1e3;
    drainBacklog(Backlog, AheadRate * Seconds, Rate * Seconds);
    At = To;
  };
  for (const BatchReservation *Other : Arrivals) {
    Advance(Other->Arrival);
    (Other->OnTime ? Backlog.OnTime : Backlog.Late) += Other->Pieces;
    Backlog.Ahead += goesFirst(*Other, Mine) ? Other->Pieces : 0;
  }
  Advance(Mine.Arrival);
  Duration NextFree =
      std::max(Duration::zero(), Throughput.NextFree - (At - Now));
  Throughput = batchThroughputFor(P, Backlog.OnTime, Now);
  Throughput.NextFree = NextFree;
  Throughput.OwnShare = std::max(MinPoolShare, 1 - Urgent / Rate);
  BatchForecast Out = batchForecastBehind(P, Throughput, Backlog, Mine.Pieces);
  Duration Usual = usualTime(P, Throughput, arrivalRate(P), Mine.Pieces);
  Out.OnTime = std::max(Out.OnTime, Usual);
  if (Backlog.Ahead >= P.Spec.MaxPieces)
    Out.OnTime += fromMs(toMs(At - Now) * ArrivalSpread);
  Out.Late = lateTime(Throughput, Backlog, Mine.Pieces, Usual);
  return Out;
}

/// \return When a caller that this pool refuses should come back: when the
/// present backlog has shrunk by \p Excess, and after those that were refused
/// before it, at the rate at which the pool completes pieces. Callers that were
/// refused together would otherwise come back together.
static Duration nextRetry(BatchPool &P, int Pieces, Duration Excess,
                          TimePoint Now) {
  double Rate = batchPiecesPerSecond(batchThroughput(P, Now));
  P.RetryFrom = std::clamp(P.RetryFrom, Now, Now + MaxRetryIn);
  Duration RetryIn = P.RetryFrom - Now + Excess;
  P.RetryFrom += fromMs(1e3 * Pieces / Rate);
  return std::clamp<Duration>(RetryIn, MinRetryDelay, MaxRetryIn);
}

BatchReserveAnswer batchReserve(BatchPool &P, const BatchReserve &Reserve,
                                TimePoint Now) {
  BatchReserveAnswer Out;
  Out.Ticket = Reserve.Ticket;
  batchUnreserve(P, Reserve.RequestId, Reserve.Stage);
  batchExpireReservations(P, Now);
  if (Reserve.Pieces <= 0)
    return Out;
  if (batchIdle(P))
    batchAge(P, Now);
  BatchReservation Mine;
  Mine.Pieces = Reserve.Pieces;
  Mine.Priority = Reserve.Priority;
  Mine.Arrival = Now + std::max(Duration::zero(), Reserve.ArrivesIn);
  Mine.Due = Now + Reserve.Due;
  Mine.Deadline = Now + Reserve.Deadline;
  auto Forecast = forecastAt(P, Mine, Now);
  if (!Forecast)
    return Out;
  Out.Known = true;
  Out.Forecast = *Forecast;
  Duration Excess = Mine.Arrival + Forecast->OnTime - Mine.Due;
  Mine.OnTime = Excess <= Duration::zero();
  if (!Mine.OnTime && Mine.Arrival + Forecast->Late > Mine.Deadline) {
    Out.RetryIn = nextRetry(P, Mine.Pieces, Excess, Now);
    return Out;
  }
  Out.RetryIn = std::clamp<Duration>(Excess, Duration::zero(), MaxRetryIn);
  if (P.Reservations.size() < MaxReservations)
    P.Reservations[{Reserve.RequestId, Reserve.Stage}] = Mine;
  return Out;
}

} // namespace fulmar
