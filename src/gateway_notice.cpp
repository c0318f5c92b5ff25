/// \file gateway_notice.cpp Upstreams that announce in their answers that they
/// are leaving, or want no requests from this node for some time.
#include "gateway_service.h"
#include "rate_limit_service.h"
#include "upstream_client.h"
#include "upstream_feed.h"
#include "upstream_func.h"
#include "upstream_notice_service.h"

namespace fulmar {

/// Reports what the upstream of an attempt announces about itself in the head
/// of its answer.
void GatewayService::reportNotice(const ForwardAttempt &A,
                                  const HttpResponse &Answer,
                                  const ForwardResponseInfo &Reply) {
  if (Reply.Elsewhere)
    return;
  UpstreamNotice Notice = Wire.readNotice(Answer);
  RateLimited->heard(A.Start, Notice, Reply.Signed, A.Started);
  Notices->heard(A.Start, Notice);
}

void GatewayService::noticeChanged(const Incarnation &Start) {
  const auto &Entries = Upstreams->registry().Entries;
  auto Entry = Entries.find(Start.Instance);
  auto Found =
      Entry == Entries.end() ? Pools.end() : Pools.find(Entry->second.Pool);
  if (Found == Pools.end())
    return;
  for (Upstream &U : Found->second.Upstreams) {
    if (U.Start == Start)
      applyNotice(U);
  }
}

/// Copies to an upstream of a pool what it has announced, and its path.
void GatewayService::applyNotice(Upstream &U) const {
  UpstreamNoticeEntry Entry = Notices->of(U.Start);
  U.BackoffUntil = Entry.BackoffUntil;
  U.SaidLeaving = Entry.Leaving;
  U.Leaving = U.Leaving || Entry.Leaving;
  U.Path = Client->path(U.Address);
}

/// Takes back an attempt of which nothing was sent, if its upstream wants no
/// requests any more, and chooses another upstream.
/// \return Whether the attempt was taken back.
bool GatewayService::withholdAttempt(ForwardRequest &R) {
  if (!Notices->withhold(R.Attempt->Start))
    return false;
  dropAttempt(R);
  sendAttempt(R.Serial);
  return true;
}

/// Refuses a request while all upstreams of its pool are in backoff, unless it
/// has stages and can still be on time after the backoff.
/// \return Time until it should be retried; none when it is admitted.
std::optional<Duration> GatewayService::backoffWait(const ForwardRequest &R) {
  auto Found = Pools.find(R.PoolName);
  if (Found == Pools.end())
    return std::nullopt;
  Duration Left = poolBackoff(Found->second, Timers->now());
  if (Left <= Duration::zero())
    return std::nullopt;
  Duration Run = timesOf(R).FirstEvent;
  bool StagesTakeLonger = Left <= R.Expected - Run;
  bool OnTime = Timers->now() + Left + Run <= R.OnTimeBy;
  if (!R.Route->Stages.empty() && (StagesTakeLonger || OnTime))
    return std::nullopt;
  return Left;
}

} // namespace fulmar
