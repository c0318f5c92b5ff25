/// \file quarantine_service.cpp Shares between nodes which requests crash
/// upstreams.
#include "quarantine_service.h"

#include <algorithm>
#include <charconv>
#include <map>

#include "core/hash.h"
#include "event_loop.h"
#include "join_service.h"
#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"

namespace fulmar {

/// Between two reminders of what this node holds, and the nodes that get one:
/// whoever started late or lost a message has it within a few periods.
static constexpr Duration RemindPeriod = std::chrono::seconds(1);
static constexpr std::size_t RemindedNodes = 2;
/// Records, by fingerprint.
static const std::string RecordPrefix =
    std::string(FleetPrefix) + "quarantine/";
/// Longest life of a lease.
static constexpr Duration LongestLease = std::chrono::minutes(10);

static std::string recordKey(Fingerprint Content) {
  return RecordPrefix + fingerprintText(Content);
}

QuarantineService::QuarantineService(Kernel &K, QuarantinePolicy Policy)
    : Services(K) {
  State.Policy = Policy;
}

void QuarantineService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  Store = &Services.find<KvStore>(service::Kv);
  Leases = &Services.find<KvLeases>(service::Kv);
  Services.find<JoinService>(service::Join)
      .onItems([this](const KvItems &Found) { readRecords(Found); });
  Peers->on<CrashReport>(
      [this](const PeerMessage &, const CrashReport &Report) {
        for (Fingerprint Content : Report.Requests)
          marked(Report.Upstream, Content);
      });
  Peers->on<QuarantineUpdate>(
      [this](const PeerMessage &From, const QuarantineUpdate &Update) {
        for (const QuarantineNotice &Notice : Update.Notices)
          take(Notice, From.Sender);
      });
  Peers->on<QuarantineObjection>(
      [this](const PeerMessage &, const QuarantineObjection &Objection) {
        lift(Objection.Content);
      });
  Services.find<KvEpochs>(service::Kv).onEpoch([this](std::uint64_t) {
    recordsLost();
  });
  Timers->every(RemindPeriod, [this] { tick(); });
}

void QuarantineService::upstreamEnded(
    const std::string &Upstream, const std::vector<Fingerprint> &Requests) {
  Counts.Crashes += Requests.size();
  std::uint64_t Name = hash64(Upstream);
  std::vector<std::string> Ids = Members->ids();
  std::map<std::string, CrashReport> Reports;
  for (Fingerprint Content : Requests) {
    for (const std::string &Judge : quarantineJudges(Content, Ids)) {
      Reports[Judge].Upstream = Name;
      Reports[Judge].Requests.push_back(Content);
    }
  }
  Reports.erase(Members->state().Self.Id);
  for (auto &[Judge, Report] : Reports)
    Peers->sendTo(Judge, std::move(Report));
  // This node judges by what it has seen itself, too: it may be cut off from
  // the others.
  for (Fingerprint Content : Requests)
    marked(Name, Content);
}

/// Takes in a crash that this node or another one has seen.
void QuarantineService::marked(std::uint64_t Upstream, Fingerprint Content) {
  if (!quarantineCrash(State, Content, Upstream, Timers->now()))
    return;
  ++Counts.Held;
  held(Content, "own");
  announce(Content);
  Unsaved.insert(Content);
  save();
}

void QuarantineService::ranWell(Fingerprint Content) {
  if (quarantineSuccess(State, Content, Timers->now()))
    lift(Content);
}

void QuarantineService::lift(Fingerprint Content) {
  if (!quarantineLift(State, Content, Timers->now()))
    return;
  ++Counts.Lifted;
  logEvent(LogLevel::Info, "quarantine_lifted",
           {{"fingerprint", fingerprintText(Content)}, {"source", "own"}});
  announce(Content);
  Unsaved.erase(Content);
  Store->remove(recordKey(Content));
}

/// Takes in what another node, or the key-value service, holds.
void QuarantineService::take(const QuarantineNotice &Notice,
                             const std::string &From) {
  std::string Source = From.empty() ? "store" : From;
  switch (quarantineTake(State, Notice, Timers->now())) {
  case QuarantineChange::Held:
    // The node that writes records may have missed the reports.
    if (!From.empty())
      Unsaved.insert(Notice.Content);
    return held(Notice.Content, Source);
  case QuarantineChange::Lifted:
    logEvent(
        LogLevel::Info, "quarantine_lifted",
        {{"fingerprint", fingerprintText(Notice.Content)}, {"source", Source}});
    return;
  case QuarantineChange::Disputed:
    logEvent(
        LogLevel::Info, "quarantine_disputed",
        {{"fingerprint", fingerprintText(Notice.Content)}, {"source", Source}});
    if (!From.empty())
      Peers->sendTo(From, QuarantineObjection{Notice.Content});
    return;
  case QuarantineChange::None:
  case QuarantineChange::Count:
  case QuarantineChange::Invalid:
    return;
  }
}

/// A request is quarantined from now on.
void QuarantineService::held(Fingerprint Content, std::string_view Source) {
  QuarantineNotice Notice = quarantineNotice(State, Content, Timers->now());
  logEvent(LogLevel::Warning, "request_quarantined",
           {{"fingerprint", fingerprintText(Content)},
            {"source", Source},
            {"round", Notice.Round},
            {"suspected_ms", toMs(Notice.Suspected)},
            {"left_ms", toMs(Notice.Left)}});
  // The subscriber may be in the midst of a request's end.
  Timers->after(Duration::zero(), [this, Content] {
    if (Hear && left(Content))
      Hear(Content);
  });
}

/// Tells all other nodes of a decision.
void QuarantineService::announce(Fingerprint Content) {
  QuarantineUpdate Update{{quarantineNotice(State, Content, Timers->now())}};
  for (const std::string &Node : Members->ids()) {
    if (Node != Members->state().Self.Id)
      Peers->sendTo(Node, Update);
  }
}

void QuarantineService::tick() {
  quarantineAge(State, Timers->now());
  remindOthers();
  save();
}

/// The key-value service has come back from an older copy; records that were
/// written since are gone.
void QuarantineService::recordsLost() {
  for (const auto &[Content, Entry] : State.Entries)
    Unsaved.insert(Content);
}

void QuarantineService::remindOthers() {
  QuarantineUpdate Update{quarantineNotices(State, Timers->now())};
  if (Update.Notices.empty())
    return;
  for (const std::string &Node : Members->randomIds(RemindedNodes))
    Peers->sendTo(Node, Update);
}

/// Writes the next record that is missing, under a lease of its own that ends
/// with it.
void QuarantineService::save() {
  if (Saving || Unsaved.empty())
    return;
  Fingerprint Content = *Unsaved.begin();
  auto Left = left(Content);
  std::vector<std::string> Judges = quarantineJudges(Content, Members->ids());
  bool First = !Judges.empty() && Judges.front() == Members->state().Self.Id;
  if (!Left || !First) {
    Unsaved.erase(Content);
    return;
  }
  Saving = true;
  Leases->grant(std::min(*Left, LongestLease),
                [this, Content](KvStatus Status, std::uint64_t Lease) {
                  if (Status != KvStatus::Ok) {
                    Saving = false;
                    return;
                  }
                  write(Content, Lease);
                });
}

void QuarantineService::write(Fingerprint Content, std::uint64_t Lease) {
  if (!left(Content)) {
    Saving = false;
    return;
  }
  std::string Record = quarantineRecord(
      quarantineNotice(State, Content, Timers->now()), EventLoop::wallClock());
  Leases->putLeased(recordKey(Content), Record, Lease,
                    [this, Content](KvStatus Status, std::uint64_t) {
                      Saving = false;
                      if (Status == KvStatus::Ok)
                        Unsaved.erase(Content);
                    });
}

void QuarantineService::readRecords(const KvItems &Found) {
  for (const KvItem &Item : Found.Items) {
    if (Item.Key.rfind(RecordPrefix, 0) != 0)
      continue;
    const char *Begin = Item.Key.data() + RecordPrefix.size();
    Fingerprint Content;
    constexpr int Hexadecimal = 16;
    std::from_chars(Begin, Item.Key.data() + Item.Key.size(), Content.Value,
                    Hexadecimal);
    auto Notice =
        quarantineFromRecord(Content, Item.Value, EventLoop::wallClock());
    if (Notice && Content != Fingerprint{})
      take(*Notice, "");
  }
}

std::optional<Duration> QuarantineService::left(Fingerprint Content) const {
  return quarantineLeft(State, Content, Timers->now());
}

int QuarantineService::crashes(Fingerprint Content) const {
  auto Found = State.Suspects.find(Content);
  return Found == State.Suspects.end() ? 0
                                       : static_cast<int>(Found->second.size());
}

std::size_t QuarantineService::size() const {
  return quarantineSize(State, Timers->now());
}

} // namespace fulmar
