/// \file quarantine_service.cpp Distributes quarantine decisions between nodes.
#include "quarantine_service.h"

#include <algorithm>
#include <charconv>

#include "event_loop.h"
#include "join_service.h"
#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "upstream_client.h"
#include "upstream_feed.h"
#include "upstream_notice_service.h"

namespace fulmar {

/// Interval at which this node gossips its decisions, and the number of random
/// nodes that receive them: a node that started late or lost a message learns
/// of a decision within a few periods.
static constexpr Duration GossipPeriod = std::chrono::seconds(1);
static constexpr std::size_t GossipFanOut = 2;
/// Nodes report the end of one upstream within this time.
static constexpr Duration EndMemory = std::chrono::seconds(10);
/// Key prefix of the records; the fingerprint follows.
static const std::string RecordPrefix =
    std::string(FleetPrefix) + "quarantine/";
/// Most decisions in one message of gossip.
static constexpr std::size_t MaxGossip = 16;
/// Records of parts are written again after this long.
static constexpr Duration RenewPeriod = std::chrono::minutes(5);
/// Longest time of a lease.
static constexpr Duration MaxLeaseTime = std::chrono::minutes(10);

static std::string recordKey(Fingerprint Content) {
  return RecordPrefix + fingerprintText(Content);
}

QuarantineService::QuarantineService(Kernel &K, QuarantinePolicy Policy,
                                     std::uint64_t Seed)
    : Services(K), LastAsk(Random(Seed)()) {
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
  Client = &Services.find<UpstreamClient>(service::UpstreamCalls);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Notices = &Services.find<UpstreamNoticeService>(service::Notices);
  Peers->on<CrashReport>(
      [this](const PeerMessage &From, const CrashReport &Report) {
        confirmReport(Report, From.Sender);
      });
  Peers->on<QuarantineUpdate>(
      [this](const PeerMessage &From, const QuarantineUpdate &Update) {
        for (const QuarantineNotice &Notice : Update.Notices)
          merge(Notice, From.Sender);
      });
  Peers->on<QuarantineObjection>(
      [this](const PeerMessage &, const QuarantineObjection &Objection) {
        lift(Objection.Content);
      });
  Peers->on<QuarantineQuery>(
      [this](const PeerMessage &From, const QuarantineQuery &Query) {
        if (quarantineSucceededSince(State, Query.Content,
                                     Timers->now() - Query.Since))
          Peers->sendTo(From.Sender, QuarantineObjection{Query.Content});
      });
  Peers->on<TrialAsk>([this](const PeerMessage &From, const TrialAsk &Ask) {
    if (Ask.Return)
      return takeTrialBack(Ask.Content);
    Peers->sendTo(From.Sender,
                  TrialAnswer{Ask.Serial, grantTrial(Ask.Content)});
  });
  Peers->on<TrialAnswer>(
      [this](const PeerMessage &, const TrialAnswer &Answer) {
        trialAnswered(Answer);
      });
  Services.find<KvEpochs>(service::Kv).onEpoch([this](std::uint64_t) {
    rewriteRecords();
  });
  Timers->every(GossipPeriod, [this] { tick(); });
}

/// Records a crash that this node or another one has observed.
void QuarantineService::recordCrash(std::uint64_t Upstream,
                                    Fingerprint Content) {
  if (!quarantineCrash(State, Content, Upstream, Timers->now()))
    return;
  decided(Content);
}

/// Distributes a quarantine that this node has decided on.
void QuarantineService::decided(Fingerprint Content) {
  ++Counts.Held;
  quarantineBegan(Content, "own");
  announce(Content);
  Unsaved.insert(Content);
  save();
}

void QuarantineService::recordSuccess(Fingerprint Content) {
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
  postponeTrial(Content);
  Unsaved.erase(Content);
  Store->remove(recordKey(Content));
}

/// Merges a decision of another node, or of the key-value service.
/// \param From id of the node; empty: the key-value service.
void QuarantineService::merge(const QuarantineNotice &Notice,
                              const std::string &From) {
  std::string Source = From.empty() ? "store" : From;
  switch (quarantineMerge(State, Notice, Timers->now())) {
  case QuarantineChange::Held:
    // The node that writes the record may not have received the reports.
    if (!From.empty())
      Unsaved.insert(Notice.Content);
    return quarantineBegan(Notice.Content, Source);
  case QuarantineChange::Renewed:
    // A trial has begun or failed, and must not be forgotten by a restart.
    if (!From.empty())
      Unsaved.insert(Notice.Content);
    return;
  case QuarantineChange::Lifted:
    logEvent(
        LogLevel::Info, "quarantine_lifted",
        {{"fingerprint", fingerprintText(Notice.Content)}, {"source", Source}});
    return postponeTrial(Notice.Content);
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

/// Logs a new quarantine and notifies the subscriber.
void QuarantineService::quarantineBegan(Fingerprint Content,
                                        std::string_view Source) {
  QuarantineNotice Notice = quarantineNotice(State, Content, Timers->now());
  logEvent(LogLevel::Warning, "request_quarantined",
           {{"fingerprint", fingerprintText(Content)},
            {"source", Source},
            {"kind", Notice.Kind == QuarantineKind::Part ? "part" : "request"},
            {"round", Notice.Round},
            {"trials", Notice.Trials},
            {"suspected_ms", toMs(Notice.Suspected)},
            {"left_ms", toMs(Notice.Left)}});
  if (Notice.Kind == QuarantineKind::Part)
    scheduleTrials(Content);
  // Deferred: the subscriber may be in the middle of ending a request.
  Timers->after(Duration::zero(), [this, Content] {
    if (Subscriber && left(Content))
      Subscriber(Content);
  });
}

/// Sends a decision to all other nodes.
void QuarantineService::announce(Fingerprint Content) {
  QuarantineUpdate Update{{quarantineNotice(State, Content, Timers->now())}};
  for (const std::string &Node : Members->ids()) {
    if (Node != Members->state().Self.Id)
      Peers->sendTo(Node, Update);
  }
}

void QuarantineService::tick() {
  quarantineExpire(State, Timers->now());
  std::erase_if(Ends, [this](const auto &Item) {
    return Timers->now() - Item.second > EndMemory;
  });
  gossipDecisions();
  renewRecords();
  save();
}

/// Handles a restore of the key-value service from an older copy: queues all
/// records for writing, since later ones are lost.
void QuarantineService::rewriteRecords() {
  for (const auto &[Content, Entry] : State.Entries)
    Unsaved.insert(Content);
}

void QuarantineService::gossipDecisions() {
  std::vector<QuarantineNotice> All = quarantineNotices(State, Timers->now());
  QuarantineUpdate Update;
  for (std::size_t I = 0; I < std::min(All.size(), MaxGossip); ++I)
    Update.Notices.push_back(All[GossipFrom++ % All.size()]);
  if (Update.Notices.empty())
    return;
  for (const std::string &Node : Members->randomIds(GossipFanOut))
    Peers->sendTo(Node, Update);
}

bool QuarantineService::isFirstArbiter(Fingerprint Content) const {
  std::vector<std::string> Arbiters =
      quarantineArbiters(Content, Members->ids());
  return !Arbiters.empty() && Arbiters.front() == Members->state().Self.Id;
}

/// Writes the next pending record, under a lease of its own that expires with
/// the quarantine.
void QuarantineService::save() {
  if (Saving || Unsaved.empty())
    return;
  Fingerprint Content = *Unsaved.begin();
  auto Left = left(Content);
  if (!Left || !isFirstArbiter(Content)) {
    Unsaved.erase(Content);
    SavedAt[Content] = Timers->now();
    return;
  }
  Saving = true;
  bool Part = State.Entries.at(Content).Kind == QuarantineKind::Part;
  Leases->grant(Part ? MaxLeaseTime : std::min(*Left, MaxLeaseTime),
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
                      if (Status != KvStatus::Ok)
                        return;
                      Unsaved.erase(Content);
                      SavedAt[Content] = Timers->now();
                    });
}

/// Queues the records of parts for writing that were written long ago: a part
/// stays quarantined for longer than a lease lasts.
void QuarantineService::renewRecords() {
  TimePoint Now = Timers->now();
  std::erase_if(SavedAt, [&](const auto &Item) {
    return !State.Entries.count(Item.first);
  });
  for (const auto &[Content, Entry] : State.Entries) {
    auto Saved = SavedAt.find(Content);
    bool Renew = Entry.Kind == QuarantineKind::Part && !Entry.Lifted &&
                 (Saved == SavedAt.end() || Now - Saved->second > RenewPeriod);
    if (Renew)
      Unsaved.insert(Content);
  }
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
      merge(*Notice, "");
  }
}

std::optional<Duration> QuarantineService::left(Fingerprint Content) const {
  return quarantineRemaining(State, Content, Timers->now());
}

int QuarantineService::crashes(Fingerprint Content) const {
  return quarantineCrashes(State, Content);
}

std::size_t QuarantineService::size() const {
  return quarantineSize(State, Timers->now());
}

} // namespace fulmar
