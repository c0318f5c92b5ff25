/// \file restart.cpp Handles upstreams that restart under the same
/// instance name.
#include "restart_func.h"

#include <algorithm>

#include "batch_internal.h"

namespace fulmar {

TimePoint startedAt(std::int64_t BornMs, WallMs Wall, TimePoint Now) {
  std::int64_t AgeMs = std::max<std::int64_t>(0, Wall - BornMs);
  // Nothing that this node holds is older than its clock.
  Duration Age = std::min<Duration>(std::chrono::milliseconds(AgeMs),
                                    Now.time_since_epoch());
  return Now - Age;
}

std::vector<UpstreamRestart>
findRestarts(const std::map<std::string, UpstreamEntry> &Before,
             const std::map<std::string, UpstreamEntry> &Listed, WallMs Wall,
             TimePoint Now) {
  std::vector<UpstreamRestart> Found;
  for (const auto &[Instance, Entry] : Listed) {
    auto Old = Before.find(Instance);
    if (Old == Before.end() || Old->second.BornMs >= Entry.BornMs)
      continue;
    Found.push_back({Old->second, Entry, startedAt(Entry.BornMs, Wall, Now)});
  }
  return Found;
}

/// Ends the calls that were sent to the earlier start. They may have run, but
/// no process is working on them any more.
static void endCalls(BatchPool &P, const UpstreamRestart &Restart,
                     TimePoint Now, BatchActions &Out) {
  std::vector<BatchCallId> Ended;
  for (auto &[Id, Call] : P.Calls) {
    if (Call.Upstream != Restart.Earlier.incarnation())
      continue;
    if (Call.Sent < Restart.StartedAt)
      Ended.push_back(Id);
  }
  BatchCallResult Lost;
  Lost.Effect = AttemptEffect::MayHaveRun;
  for (BatchCallId Id : Ended)
    batchCallEnded(P, Id, Lost, Now, Out);
}

/// Removes the results that the earlier start held.
/// \return Their handles.
static std::vector<std::string> dropResults(BatchPool &P,
                                            const UpstreamRestart &Restart) {
  std::vector<std::string> Lost;
  for (const auto &[Handle, Kept] : P.Kept) {
    TimePoint StoredAt = Kept.Until - P.Spec.ResultLifetime;
    if (Kept.Upstream == Restart.Earlier.incarnation() &&
        StoredAt < Restart.StartedAt)
      Lost.push_back(Handle);
  }
  for (const std::string &Handle : Lost)
    P.Kept.erase(Handle);
  return Lost;
}

/// Assigns the remaining calls and results, which are the new start's, to it.
static void moveToNewStart(BatchPool &P, const UpstreamRestart &Restart) {
  Incarnation Earlier = Restart.Earlier.incarnation();
  Incarnation Later = Restart.Later.incarnation();
  BatchUpstream &U = P.Upstreams[Later];
  U.Entry = Restart.Later;
  for (auto &[Id, Call] : P.Calls) {
    if (Call.Upstream != Earlier)
      continue;
    Call.Upstream = Later;
    ++U.InFlight;
    U.FreeAt = std::max(U.FreeAt, Call.Sent + Call.Expected);
    for (double Bytes : Call.Bytes)
      U.SpaceUsed += Bytes;
  }
  for (auto &[Handle, Kept] : P.Kept) {
    if (Kept.Upstream != Earlier)
      continue;
    Kept.Upstream = Later;
    U.SpaceUsed += Kept.Bytes;
  }
  P.Upstreams.erase(Earlier);
}

void batchRestarted(BatchPool &P, const UpstreamRestart &Restart, TimePoint Now,
                    BatchActions &Out) {
  if (!P.Upstreams.count(Restart.Earlier.incarnation()))
    return;
  // Nothing new is sent to the earlier start while its calls are ended.
  P.Upstreams[Restart.Earlier.incarnation()].Listed = false;
  std::vector<std::string> Lost = dropResults(P, Restart);
  endCalls(P, Restart, Now, Out);
  moveToNewStart(P, Restart);
  batchRecompute(P, Lost, Now, Out);
}

} // namespace fulmar
