/// \file batch_service.cpp Batch requests for the pools that this node
/// coordinates.
#include "batch_service.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "batch_coordinator.h"
#include "log_func.h"
#include "loop_service.h"
#include "node_services.h"
#include "quarantine_service.h"
#include "rate_limit_service.h"
#include "upstream_client.h"
#include "upstream_notice_service.h"

namespace fulmar {

/// Frees are sent together within this time. It is short against the duration
/// of a call, so that the space is available for the next one.
static constexpr Duration FreeDelay = std::chrono::milliseconds(25);
/// Frees are not held back for longer than this. Results have mostly expired by
/// then.
static constexpr Duration MaxFreeHold = std::chrono::seconds(5);
static constexpr Duration FreeTimeout = std::chrono::seconds(2);

/// Most nodes that form calls for one part while they disagree about its
/// coordinator. The others repeat nothing there, and have no share in the retry
/// allowance.
static constexpr double NodesPerPart = 2;

BatchService::BatchService(Kernel &K, const WireFormat &W)
    : Services(K), Wire(W) {}

void BatchService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Client = &Services.find<UpstreamClient>(service::UpstreamCalls);
  Quarantined = &Services.find<QuarantineService>(service::Quarantine);
  RateLimited = &Services.find<RateLimitService>(service::RateLimits);
  Notices = &Services.find<UpstreamNoticeService>(service::Notices);
  auto Changed = [this](const Incarnation &Start) { noticeChanged(Start); };
  RateLimited->onChange(Changed);
  Notices->onChange(Changed);
  Client->onChange([this] { pathsChanged(); });
  Tickets.start(Services.find<LoopService>(service::Loop).Loop);
  Timers->every(BatchTickPeriod, [this] { tick(); });
}

/// Parts without work are skipped: a large pool has hundreds.
void BatchService::tick() {
  for (const std::string &Name : std::exchange(ActiveParts, {})) {
    BatchPool &P = Pools.at(Name);
    BatchActions Out;
    batchTick(P, Timers->now(), Out);
    perform(P, Out);
  }
}

static bool isBefore(const UpstreamEntry &A, const UpstreamEntry &B) {
  return std::tie(A.FailureDomain, A.Instance) <
         std::tie(B.FailureDomain, B.Instance);
}

void BatchService::update(const RouteTable &Table,
                          const std::map<std::string, UpstreamEntry> &Listed,
                          const RetryAllowance &Whole) {
  Allowance = Whole;
  for (auto &[Name, L] : Listings)
    L.All.clear();
  for (const ServiceSpec &Spec : Table.Services) {
    if (Spec.Batch)
      Listings[Spec.Name].Spec = *Spec.Batch;
  }
  for (const auto &[Instance, Entry] : Listed) {
    auto Found = Listings.find(Entry.Pool);
    if (Found != Listings.end())
      Found->second.All.push_back(Entry);
  }
  for (auto &[Name, L] : Listings)
    std::sort(L.All.begin(), L.All.end(), isBefore);
  for (auto &[Name, P] : Pools)
    updatePart(P);
}

void BatchService::change(const UpstreamChanges &Changes) {
  std::set<std::string> Changed;
  auto Place = [this](const UpstreamEntry &Entry) {
    std::vector<UpstreamEntry> &All = Listings.at(Entry.Pool).All;
    return std::lower_bound(All.begin(), All.end(), Entry, isBefore);
  };
  for (const auto &[Before, After] : Changes) {
    if (Before && Listings.count(Before->Pool)) {
      std::vector<UpstreamEntry> &All = Listings.at(Before->Pool).All;
      auto Found = Place(*Before);
      if (Found != All.end() && Found->Instance == Before->Instance)
        All.erase(Found);
      Changed.insert(Before->Pool);
    }
    if (After && Listings.count(After->Pool)) {
      Listings.at(After->Pool).All.insert(Place(*After), *After);
      Changed.insert(After->Pool);
    }
  }
  for (auto &[Name, P] : Pools) {
    if (Changed.count(parseBatchPart(Name).Pool))
      updatePart(P);
  }
}

void BatchService::share(const RetryAllowance &Whole) {
  Allowance = Whole;
  for (auto &[Name, P] : Pools)
    setAllowance(P, size(parseBatchPart(Name).Pool));
}

void BatchService::setAllowance(BatchPool &P, std::size_t Upstreams) const {
  P.Allowance = Allowance;
  P.Allowance.Extra /= static_cast<double>(batchPartCount(Upstreams));
  P.Allowance.Nodes = NodesPerPart;
}

/// \return A part of a pool. It is created on first use: most nodes of a large
/// fleet coordinate none.
BatchPool *BatchService::find(const std::string &Part) {
  auto Found = Pools.find(Part);
  if (Found != Pools.end())
    return &Found->second;
  auto Listed = Listings.find(parseBatchPart(Part).Pool);
  if (Listed == Listings.end())
    return nullptr;
  BatchPool &P = Pools[Part];
  P.Name = Part;
  updatePart(P);
  return &P;
}

/// Updates one part of a pool. A pool that has shrunk keeps its parts, since
/// they have batch requests in progress.
void BatchService::updatePart(BatchPool &P) {
  BatchPart Part = parseBatchPart(P.Name);
  const Listing &L = Listings.at(Part.Pool);
  P.Spec = L.Spec;
  setAllowance(P, L.All.size());
  batchSetUpstreams(P, batchPartUpstreams(L.All, Part.Part));
  applyNotices(P);
  BatchActions Out;
  batchDispatch(P, Timers->now(), Out);
  perform(P, Out);
}

/// Applies what the upstreams of a part have announced: that they are leaving,
/// backoffs and rate limits; and their paths. One node forms all calls of a
/// part.
void BatchService::applyNotices(BatchPool &P) {
  for (auto &[Start, U] : P.Upstreams) {
    UpstreamNoticeEntry Entry = Notices->of(Start);
    U.SaidLeaving = Entry.Leaving;
    U.BackoffUntil = Entry.BackoffUntil;
    U.Path = Client->path(U.Entry.Address);
    U.RefusalsPerSecond = RateLimited->refusalsOf(Start).value_or(0);
    PaceTurns Turns;
    if (auto PerSecond = RateLimited->of(Start))
      Turns = paceTurns(*PerSecond, /*Nodes=*/1, RateLimitTurn, AgreedShare);
    paceSet(U.Pace, Turns, /*Phase=*/0, TimePoint());
  }
}

void BatchService::noticeChanged(const Incarnation &Start) {
  for (auto &[Name, P] : Pools) {
    if (P.Upstreams.count(Start))
      applyNotices(P);
  }
}

void BatchService::pathsChanged() {
  for (auto &[Name, P] : Pools) {
    for (auto &[Start, U] : P.Upstreams)
      U.Path = Client->path(U.Entry.Address);
  }
}

void BatchService::restarted(const UpstreamRestart &Restart) {
  for (auto &[Name, P] : Pools) {
    BatchActions Out;
    batchRestarted(P, Restart, Timers->now(), Out);
    perform(P, Out);
  }
}

std::size_t BatchService::size(const std::string &Pool) const {
  auto Found = Listings.find(Pool);
  return Found == Listings.end() ? 0 : Found->second.All.size();
}

BatchTicket BatchService::ask(const std::string &Pool,
                              const BatchRequest &Request, DoneFn Done,
                              ReadFn Read) {
  BatchPool *P = find(Pool);
  if (!P) {
    BatchTicket Ticket =
        Tickets.add({Pool, {}}, std::move(Done), std::move(Read));
    BatchResult Result;
    Result.End = BatchEnd::NoUpstream;
    Tickets.answer(Ticket, Result);
    return Ticket;
  }
  BatchActions Out;
  BatchRequest Marked = Request;
  Marked.Crashes = Quarantined->crashes(Request.Content);
  BatchRequestId Id = batchSubmit(*P, Marked, Timers->now(), Out);
  BatchTicket Ticket =
      Tickets.add({Pool, Id}, std::move(Done), std::move(Read));
  perform(*P, Out);
  return Ticket;
}

std::optional<BatchForecast>
BatchService::forecast(const std::string &Pool, const BatchRequest &Request) {
  const BatchPool *P = find(Pool);
  if (!P)
    return std::nullopt;
  return batchForecast(*P, Request.Pieces, Request.Priority, Timers->now());
}

BatchReserveAnswer BatchService::reserve(const BatchReserve &Reserve) {
  BatchPool *P = find(Reserve.Pool);
  if (!P) {
    BatchReserveAnswer Unknown;
    Unknown.Ticket = Reserve.Ticket;
    return Unknown;
  }
  // Ticks remove the reservation if its request never comes.
  ActiveParts.insert(P->Name);
  return batchReserve(*P, Reserve, Timers->now());
}

void BatchService::unreserve(const BatchUnreserve &Unused) {
  auto Found = Pools.find(Unused.Pool);
  if (Found != Pools.end())
    batchUnreserve(Found->second, Unused.RequestId, Unused.Stage);
}

void BatchService::cancel(BatchTicket Ticket) {
  auto Gone = Tickets.remove(Ticket);
  auto Pool = Gone ? Pools.find(Gone->Pool) : Pools.end();
  if (Pool == Pools.end())
    return;
  BatchActions Out;
  batchCancel(Pool->second, Gone->Request, Timers->now(), Out);
  perform(Pool->second, Out);
}

void BatchService::free(const std::string &Pool,
                        const std::vector<std::string> &Handles) {
  auto Found = Pools.find(Pool);
  if (Found == Pools.end() || Handles.empty())
    return;
  BatchActions Out;
  batchFree(Found->second, Handles, Timers->now(), Out);
  perform(Found->second, Out);
}

void BatchService::perform(BatchPool &P, const BatchActions &Actions) {
  for (const BatchAction &Action : Actions) {
    if (const auto *Send = std::get_if<SendBatchAction>(&Action))
      send(P, *Send);
    else if (const auto *Silent = std::get_if<SilentBatchAction>(&Action))
      logEvent(LogLevel::Warning, "batch_call_silent",
               {{"pool", P.Name},
                {"upstream", Silent->Address},
                {"call", Silent->Call.Value},
                {"pieces", Silent->Pieces},
                {"silent_ms", toMs(Silent->For)}});
    else if (const auto *Answer = std::get_if<AnswerBatchAction>(&Action))
      Tickets.answer({P.Name, Answer->Request}, Answer->Result,
                     [this, Pool = P.Name](const BatchResult &Unclaimed) {
                       free(Pool, Unclaimed.Handles);
                     });
    else if (const auto *Read = std::get_if<InputsReadAction>(&Action))
      Tickets.inputsRead({P.Name, Read->Request});
    else
      queueFree(std::get<FreeBatchAction>(Action).Handle);
  }
  if (!batchIdle(P) || !P.Reservations.empty())
    ActiveParts.insert(P.Name);
  scheduleDispatch(P);
}

/// Schedules batchDispatch() for a pool that holds pieces back.
void BatchService::scheduleDispatch(const BatchPool &P) {
  if (P.DispatchAt == TimePoint{} || !ScheduledDispatches.insert(P.Name).second)
    return;
  Timers->after(P.DispatchAt - Timers->now(), [this, Name = P.Name] {
    ScheduledDispatches.erase(Name);
    auto Found = Pools.find(Name);
    if (Found == Pools.end())
      return;
    BatchActions Out;
    batchDispatch(Found->second, Timers->now(), Out);
    perform(Found->second, Out);
  });
}

/// \return The fingerprints of the requests in a call, each once.
static std::vector<Fingerprint>
fingerprintsOf(const std::vector<BatchItem> &Items) {
  std::set<Fingerprint> Contents;
  for (const BatchItem &Item : Items)
    Contents.insert(Item.Content);
  return {Contents.begin(), Contents.end()};
}

/// Reports the end of a call to the quarantine: which requests were in it, and
/// whether the upstream crashed.
void BatchService::reportCall(const CrashReport &Runs,
                              const BatchCallResult &Result, bool Relayed) {
  if (Result.Crashed)
    return Quarantined->connectionBroke(Runs, Relayed);
  if (!Result.Answered)
    return;
  for (Fingerprint Content : Runs.Requests)
    Quarantined->recordSuccess(Content);
}

void BatchService::send(BatchPool &P, const SendBatchAction &Send) {
  // The call's results may need the space that is being freed.
  sendFrees(Send.Address);
  if (logEnabled(LogLevel::Debug)) {
    int Waiting = 0;
    for (const auto &[Id, Job] : P.Jobs)
      Waiting += Job.Waiting;
    logEvent(LogLevel::Debug, "batch_call_sent",
             {{"pool", P.Name},
              {"upstream", Send.Address},
              {"call", Send.Call.Value},
              {"pieces", Send.Items.size()},
              {"waiting", Waiting},
              {"jobs", P.Jobs.size()},
              {"room_used", Send.SpaceUsed}});
  }
  HttpCall Call = Wire.writeBatch(Send.Items, Send.Upstream.Instance);
  Call.Address = Send.Address;
  Call.Timeout = Send.Timeout;
  HttpCallbacks On;
  RateLimited->sent(Send.Upstream);
  auto HttpId = std::make_shared<HttpCallId>();
  On.OnSent = [this, Pool = P.Name, Id = Send.Call, Upstream = Send.Upstream,
               HttpId] {
    if (!Notices->withhold(Upstream))
      return;
    Client->cancel(*HttpId);
    BatchCallResult NotSent;
    NotSent.Effect = AttemptEffect::SaidNotRun;
    callEnded(Pool, Id, NotSent);
  };
  On.OnDone = [this, Pool = P.Name, Id = Send.Call, Address = Send.Address,
               Upstream = Send.Upstream, Size = Send.Items.size(),
               Runs = CrashReport{Send.Upstream, Send.Address,
                                  fingerprintsOf(Send.Items)},
               Started = Timers->now()](const HttpResponse &Answer) {
    BatchCallResult Result = Wire.readBatch(Answer);
    Result.Crashed = peerClosedEarly(Answer);
    reportCall(Runs, Result, Answer.Relayed);
    UpstreamNotice Notice = Wire.readNotice(Answer);
    RateLimited->heard(Upstream, Notice, Result.Answered, Started);
    Notices->heard(Upstream, Notice);
    logEvent(LogLevel::Debug, "batch_call_ended",
             {{"pool", Pool},
              {"upstream", Address},
              {"call", Id.Value},
              {"pieces", Size},
              {"took_ms", toMs(Timers->now() - Started)}});
    if (!Result.Answered)
      logEvent(LogLevel::Warning, "batch_call_failed",
               {{"pool", Pool},
                {"upstream", Address},
                {"pieces", Size},
                {"status", Answer.Status},
                {"why", Result.Why.empty()
                            ? std::string(httpFailureName(Answer.Failure))
                            : Result.Why},
                {"took_ms", toMs(Timers->now() - Started)}});
    callEnded(Pool, Id, Result);
  };
  UpstreamCallPlan Plan;
  Plan.Relay = RelayUse::Allowed;
  Plan.SilentAfter = Send.SilentAfter;
  Plan.OnPathLost = [this, Pool = P.Name, Id = Send.Call] {
    callSilent(Pool, Id);
  };
  *HttpId = Client->start(Send.Upstream, std::move(Call), std::move(On), Plan);
}

/// Handles a call whose path is down.
void BatchService::callSilent(const std::string &Pool, BatchCallId Id) {
  BatchPool &P = Pools.at(Pool);
  BatchActions Out;
  batchCallSilent(P, Id, Timers->now(), Out);
  perform(P, Out);
}

void BatchService::callEnded(const std::string &Pool, BatchCallId Id,
                             const BatchCallResult &Result) {
  auto Found = Pools.find(Pool);
  if (Found == Pools.end())
    return;
  auto Call = Found->second.Calls.find(Id);
  if (Call != Found->second.Calls.end() && Call->second.Silent)
    logEvent(LogLevel::Info, "silent_batch_call_ended",
             {{"pool", Pool},
              {"call", Id.Value},
              {"answered", Result.Answered ? 1 : 0},
              {"took_ms", toMs(Timers->now() - Call->second.Sent)}});
  BatchActions Out;
  batchCallEnded(Found->second, Id, Result, Timers->now(), Out);
  perform(Found->second, Out);
}

void BatchService::queueFree(const std::string &Handle) {
  PendingFrees[Wire.handleAddress(Handle)].push_back(Handle);
  if (FlushScheduled)
    return;
  FlushScheduled = true;
  Timers->after(FreeDelay, [this] { flushFrees(); });
}

void BatchService::flushFrees() {
  FlushScheduled = false;
  std::vector<std::string> Addresses;
  for (const auto &[Address, Handles] : PendingFrees)
    Addresses.push_back(Address);
  for (const std::string &Address : Addresses)
    sendFrees(Address);
}

const BatchUpstream *
BatchService::upstreamAt(const std::string &Address) const {
  for (const auto &[Name, P] : Pools) {
    for (const auto &[Start, U] : P.Upstreams) {
      if (U.Entry.Address == Address)
        return &U;
    }
  }
  return nullptr;
}

/// Sends the pending frees of one upstream, in a backoff of the upstream after
/// its end.
void BatchService::sendFrees(const std::string &Address) {
  auto Found = PendingFrees.find(Address);
  if (Found == PendingFrees.end())
    return;
  const BatchUpstream *U = upstreamAt(Address);
  if (U && U->BackoffUntil > Timers->now())
    return holdFrees(Address, U->BackoffUntil);
  HttpCall Call = Wire.writeRelease(Found->second);
  PendingFrees.erase(Found);
  Call.Address = Address;
  Call.Timeout = FreeTimeout;
  // If this call is lost, the space is freed when the results expire.
  HttpCallbacks On;
  if (U)
    On.OnDone = [this,
                 Start = U->Entry.incarnation()](const HttpResponse &Answer) {
      Notices->heard(Start, Wire.readNotice(Answer));
    };
  Client->start(U ? U->Entry.incarnation() : Incarnation(), std::move(Call),
                std::move(On));
}

/// Holds the frees of an upstream back until the end of its backoff, or drops
/// them if the results expire before.
void BatchService::holdFrees(const std::string &Address, TimePoint Until) {
  if (Until > Timers->now() + MaxFreeHold) {
    PendingFrees.erase(Address);
    return;
  }
  if (!HeldFrees.insert(Address).second)
    return;
  Timers->after(Until - Timers->now(), [this, Address] {
    HeldFrees.erase(Address);
    sendFrees(Address);
  });
}

} // namespace fulmar
