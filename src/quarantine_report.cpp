/// \file quarantine_report.cpp Reports upstreams that ended while they ran
/// requests.
#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <utility>

#include "core/hash.h"
#include "log_func.h"
#include "member_service.h"
#include "peer_service.h"
#include "quarantine_service.h"
#include "upstream_client.h"
#include "upstream_feed.h"
#include "upstream_notice_service.h"

namespace fulmar {

std::uint64_t startHash(const Incarnation &Upstream) {
  return hash64(Upstream.Instance, static_cast<std::uint64_t>(Upstream.BornMs));
}

/// \return Whether an upstream has announced its end, or ends after the removal
/// of its entry.
bool QuarantineService::isLeaving(const Incarnation &Upstream) const {
  const auto &Entries = Upstreams->registry().Entries;
  auto Found = Entries.find(Upstream.Instance);
  return Found == Entries.end() || Found->second.Leaving ||
         Notices->of(Upstream).Leaving;
}

/// \return Whether another start is listed under the name of an upstream.
bool QuarantineService::isReplaced(const Incarnation &Upstream) const {
  const auto &Entries = Upstreams->registry().Entries;
  auto Found = Entries.find(Upstream.Instance);
  return Found != Entries.end() && Found->second.BornMs > Upstream.BornMs;
}

void QuarantineService::connectionBroke(
    CrashReport Runs, bool Relayed, const std::vector<Fingerprint> &Trials) {
  bool Leaving = isLeaving(Runs.Upstream);
  if (Relayed && !Leaving)
    return upstreamEnded(Runs);
  if (Leaving && Trials.empty())
    return;
  std::string Address = Runs.Address;
  Client->checkLife(Address, [this, Runs = std::move(Runs), Leaving,
                              Trials](UpstreamLife Life) {
    if (Life == UpstreamLife::Ended && !Leaving)
      return upstreamEnded(Runs);
    for (Fingerprint Part : Trials)
      returnTrial(Part);
  });
}

/// Leaves out what a crash need not be blamed on: if a request or a part in the
/// runs is quarantined already, that is the cause.
static void removeExplained(const Quarantine &Q, CrashReport &Runs,
                            TimePoint Now) {
  auto Held = [&](Fingerprint Content) {
    return quarantineRemaining(Q, Content, Now).has_value();
  };
  bool Explained =
      std::any_of(Runs.Parts.begin(), Runs.Parts.end(), Held) ||
      std::any_of(Runs.Requests.begin(), Runs.Requests.end(), Held);
  if (!Explained)
    return;
  std::erase_if(Runs.Parts, std::not_fn(Held));
  Runs.Several = Runs.Parts.size() > 1;
  std::erase_if(Runs.Requests, std::not_fn(Held));
}

void QuarantineService::upstreamEnded(CrashReport Runs) {
  removeExplained(State, Runs, Timers->now());
  Counts.Crashes += Runs.Requests.size();
  std::uint64_t Start = startHash(Runs.Upstream);
  const std::string &Self = Members->state().Self.Id;
  std::vector<std::string> Ids = Members->ids();
  std::map<std::string, CrashReport> Reports;
  for (Fingerprint Content : Runs.Requests) {
    quarantineObserve(State, Content, Start, Timers->now());
    for (const std::string &Witness : quarantineWitnesses(Content, Ids, Self)) {
      CrashReport &Report = Reports[Witness];
      Report.Upstream = Runs.Upstream;
      Report.Address = Runs.Address;
      Report.Requests.push_back(Content);
    }
  }
  for (Fingerprint Part : Runs.Parts) {
    for (const std::string &Witness : quarantineWitnesses(Part, Ids, Self)) {
      CrashReport &Report = Reports[Witness];
      Report.Upstream = Runs.Upstream;
      Report.Address = Runs.Address;
      Report.Several = Runs.Several;
      Report.Prompt = Runs.Prompt;
      Report.Parts.push_back(Part);
    }
  }
  // A node that knows no other one decides alone.
  if (Reports.empty())
    return countCrash(Runs);
  for (auto &[Witness, Report] : Reports)
    Peers->sendTo(Witness, std::move(Report));
}

void QuarantineService::countCrash(const CrashReport &Report) {
  for (Fingerprint Content : Report.Requests)
    recordCrash(startHash(Report.Upstream), Content);
  for (Fingerprint Part : Report.Parts)
    recordPartCrash(Report, Part);
}

/// Counts a crash that another node reports if this node finds the upstream
/// ended, too.
void QuarantineService::confirmReport(const CrashReport &Report,
                                      const std::string &From) {
  if (Report.Confirmed)
    return countCrash(Report);
  const auto &Entries = Upstreams->registry().Entries;
  auto Listed = Entries.find(Report.Upstream.Instance);
  bool Leaving = Listed != Entries.end() && Listed->second.Leaving &&
                 !isReplaced(Report.Upstream);
  // A node of an earlier build gives no address.
  if (Leaving || Report.Address.empty())
    return;
  auto Confirm = [this, Report, From] {
    Ends[startHash(Report.Upstream)] = Timers->now();
    countCrash(Report);
    replyConfirmed(Report, From);
  };
  if (Ends.count(startHash(Report.Upstream)) || isReplaced(Report.Upstream))
    return Confirm();
  Client->checkLife(Report.Address, [Confirm](UpstreamLife Life) {
    if (Life == UpstreamLife::Ended)
      Confirm();
  });
}

/// Confirms a crash to the node that reported it, for the requests on which
/// that node decides itself.
void QuarantineService::replyConfirmed(const CrashReport &Report,
                                       const std::string &To) {
  std::vector<std::string> Ids = Members->ids();
  CrashReport Own = Report;
  Own.Confirmed = true;
  Own.Requests.clear();
  Own.Parts.clear();
  auto Decides = [&](Fingerprint Content) {
    std::vector<std::string> Arbiters = quarantineArbiters(Content, Ids);
    return std::find(Arbiters.begin(), Arbiters.end(), To) != Arbiters.end();
  };
  std::copy_if(Report.Requests.begin(), Report.Requests.end(),
               std::back_inserter(Own.Requests), Decides);
  std::copy_if(Report.Parts.begin(), Report.Parts.end(),
               std::back_inserter(Own.Parts), Decides);
  if (!Own.Requests.empty() || !Own.Parts.empty())
    Peers->sendTo(To, std::move(Own));
}

} // namespace fulmar
