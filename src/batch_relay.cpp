/// \file batch_relay.cpp Sends batch requests to the coordinators of their
/// pools.
#include "batch_relay.h"

#include "batch_coordinator.h"
#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"

namespace fulmar {

/// Interval of checks for resends.
static constexpr Duration TickPeriod = std::chrono::milliseconds(20);
/// Releases are sent together within this time. It is short: the space of
/// results that are not needed limits the next calls.
static constexpr Duration ReleaseDelay = std::chrono::milliseconds(4);
/// A request that was not acknowledged is sent again after this time: it covers
/// several round trips between failure domains (2 to 3 ms), and a pause of a
/// node whose processor quota is used up (up to 75 ms) costs one repeat only.
static constexpr Duration ResendAfter = std::chrono::milliseconds(60);
/// Unacknowledged sends before a request goes to another node.
static constexpr int SendsBeforeReassign = 4;
/// An acknowledged request is sent again after this time, in case its
/// coordinator ended or its result was lost.
static constexpr Duration ResendPendingAfter = std::chrono::milliseconds(300);
/// How long a forecast is used: a node of a large fleet sends each pool a
/// request about once a second, and a forecast up to this age is better than
/// the durations of completed requests. After that a request is accepted to
/// obtain a new one.
static constexpr Duration ForecastLifetime = std::chrono::milliseconds(1500);
/// Longest time that a node holds a request while it does not know the other
/// members. It usually learns them a fraction of a second after its start, and
/// somewhat later when a call to the key-value service has to be repeated.
static constexpr Duration MaxHoldTime = std::chrono::milliseconds(600);
/// How long an unresponsive node is avoided.
static constexpr Duration UnresponsiveTime = std::chrono::seconds(2);
/// How long a result is kept for a node that does not acknowledge it.
static constexpr Duration ResultLifetime = std::chrono::seconds(3);
static constexpr int MaxResultSends = 6;
/// A node is avoided after so many consecutive reservations without an answer,
/// and not before this time. It is longer than a node pauses whose processor
/// quota is used up: if reservations and stages went to different nodes for
/// that, two nodes would coordinate the pool.
static constexpr int ReservesBeforeAvoid = 4;
static constexpr Duration MinReserveSilence = std::chrono::milliseconds(200);

void BatchRelay::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Pools = &Services.find<BatchService>(service::Batches);
  Members = &Services.find<MemberService>(service::Members);
  Peers = &Services.find<PeerService>(service::Peers);
  Peers->on<BatchRequestMessage>(
      [this](const PeerMessage &From, const BatchRequestMessage &Message) {
        serve(From.Sender, Message);
      });
  Peers->on<BatchAnswerMessage>(
      [this](const PeerMessage &From, const BatchAnswerMessage &Message) {
        answered(From.Sender, Message);
      });
  Peers->on<BatchReleaseMessage>(
      [this](const PeerMessage &From, const BatchReleaseMessage &Message) {
        released(From.Sender, Message);
      });
  Peers->on<BatchReserve>(
      [this](const PeerMessage &From, const BatchReserve &Message) {
        Peers->sendTo(From.Sender, Pools->reserve(Message));
      });
  Peers->on<BatchReserveAnswer>(
      [this](const PeerMessage &From, const BatchReserveAnswer &Message) {
        reserveAnswered(From.Sender, Message);
      });
  Peers->on<BatchUnreserve>(
      [this](const PeerMessage &, const BatchUnreserve &Message) {
        Pools->unreserve(Message);
      });
  Members->onChange([this] { membersChanged(); });
  Timers->every(TickPeriod, [this] { tick(); });
}

BatchTicket BatchRelay::ask(const std::string &Pool,
                            const BatchRequest &Request, DoneFn Done,
                            ReadFn Read) {
  BatchTicket Ticket{++LastTicket};
  OwnRequest &Mine = OwnRequests[Ticket];
  Mine.Service = Pool;
  Mine.Pool = partFor(Pool, Request.RequestId);
  Mine.Request = Request;
  Mine.Asked = Timers->now();
  Mine.Done = std::move(Done);
  Mine.Read = std::move(Read);
  dispatch(Ticket);
  return Ticket;
}

/// Sends a batch request to the coordinator of its pool. A node that has just
/// started does not know the other members, and would choose itself as
/// coordinator, so it holds the request for a moment. Otherwise, after a
/// restart of the fleet, each node would send calls of one piece, which take
/// nearly as long as full ones, and the calls of other nodes would find the
/// upstreams full.
void BatchRelay::dispatch(BatchTicket Ticket) {
  OwnRequest &Mine = OwnRequests.at(Ticket);
  Mine.Held = !Members->settled() && Timers->now() - Mine.Asked < MaxHoldTime;
  if (Mine.Held)
    return;
  std::string Coordinator = coordinatorOf(Mine.Pool);
  Mine.Unanswered = 0;
  if (Coordinator != Members->state().Self.Id) {
    ++Counts.Remote;
    Mine.Coordinator = Coordinator;
    return send(Ticket, Mine);
  }
  ++Counts.Local;
  Mine.Coordinator.clear();
  BatchRequest Request = Mine.Request;
  Request.Due -= Timers->now() - Mine.Asked;
  Request.Deadline -= Timers->now() - Mine.Asked;
  if (auto Forecast = Pools->forecast(Mine.Pool, Request))
    cacheForecast(Mine.Service, Request.Priority, *Forecast);
  Mine.Local = Pools->ask(
      Mine.Pool, Request,
      [this, Ticket](const BatchResult &Result) { ended(Ticket, Result); },
      [this, Ticket] { inputsRead(Ticket); });
}

/// \return The node that coordinates a part of a pool, as far as is known.
std::string BatchRelay::coordinatorOf(const std::string &Part) const {
  std::set<std::string> Avoided;
  for (const auto &[Node, Until] : Unresponsive) {
    if (Until > Timers->now())
      Avoided.insert(Node);
  }
  return batchCoordinator(Members->state(), Part, Avoided);
}

void BatchRelay::reserve(const std::string &Service, BatchReserve Reserve,
                         ReserveFn Done) {
  if (!Members->settled())
    return Done(std::nullopt);
  BatchTicket Ticket{++LastTicket};
  Reserve.Ticket = Ticket.Value;
  Reserve.Pool = partFor(Service, Reserve.RequestId);
  std::string Coordinator = coordinatorOf(Reserve.Pool);
  if (Coordinator == Members->state().Self.Id)
    return Done(Pools->reserve(Reserve));
  OwnReserve &Mine = OwnReserves[Ticket];
  Mine.Coordinator = Coordinator;
  Mine.Done = std::move(Done);
  Mine.Timeout = Timers->after(ReserveTimeout,
                               [this, Ticket] { reserveTimedOut(Ticket); });
  Peers->sendTo(Coordinator, std::move(Reserve));
}

void BatchRelay::unreserve(const std::string &Service,
                           const std::string &RequestId, int Stage) {
  std::string Part = partFor(Service, RequestId);
  std::string Coordinator = coordinatorOf(Part);
  if (Coordinator == Members->state().Self.Id)
    return Pools->unreserve({Part, RequestId, Stage});
  // If this message is lost, the reservation expires.
  Peers->sendTo(Coordinator, BatchUnreserve{Part, RequestId, Stage});
}

void BatchRelay::reserveAnswered(const std::string &Node,
                                 const BatchReserveAnswer &Answer) {
  UnansweredReserves.erase(Node);
  Unresponsive.erase(Node);
  auto Found = OwnReserves.find(BatchTicket{Answer.Ticket});
  if (Found == OwnReserves.end() || Found->second.Coordinator != Node)
    return;
  OwnReserve Mine = std::move(Found->second);
  OwnReserves.erase(Found);
  Timers->cancel(Mine.Timeout);
  Mine.Done(Answer);
}

void BatchRelay::reserveTimedOut(BatchTicket Ticket) {
  OwnReserve Mine = std::move(OwnReserves.at(Ticket));
  OwnReserves.erase(Ticket);
  TimePoint Now = Timers->now();
  Unanswered &Node = UnansweredReserves[Mine.Coordinator];
  if (Node.Count++ == 0)
    Node.Since = Now;
  if (Node.Count >= ReservesBeforeAvoid &&
      Now - Node.Since >= MinReserveSilence) {
    logEvent(LogLevel::Warning, "coordinator_silent",
             {{"node", Mine.Coordinator}, {"reserves", Node.Count}});
    Unresponsive[Mine.Coordinator] = Now + UnresponsiveTime;
    UnansweredReserves.erase(Mine.Coordinator);
  }
  Mine.Done(std::nullopt);
}

void BatchRelay::cacheForecast(const std::string &Pool, int Priority,
                               const BatchForecast &Forecast) {
  // The forecast for a request that is sent again includes the request itself.
  if (Forecast.OnTime > Duration::zero())
    Forecasts[{Pool, Priority}] = {Forecast, Timers->now()};
}

std::optional<BatchForecast> BatchRelay::forecast(const std::string &Pool,
                                                  int Priority) const {
  auto Found = Forecasts.find({Pool, Priority});
  if (Found == Forecasts.end() ||
      Timers->now() - Found->second.At > ForecastLifetime)
    return std::nullopt;
  return Found->second.Forecast;
}

void BatchRelay::send(BatchTicket Ticket, OwnRequest &Mine) {
  BatchRequestMessage Message{Ticket.Value, Mine.Pool, Mine.Request};
  Message.Request.Due -= Timers->now() - Mine.Asked;
  Message.Request.Deadline -= Timers->now() - Mine.Asked;
  ++Mine.Unanswered;
  Mine.NextSend = Timers->now() + ResendAfter * Mine.Unanswered;
  Peers->sendTo(Mine.Coordinator, std::move(Message));
}

void BatchRelay::ended(BatchTicket Ticket, const BatchResult &Result) {
  auto Found = OwnRequests.find(Ticket);
  if (Found == OwnRequests.end())
    return;
  DoneFn Done = std::move(Found->second.Done);
  OwnRequests.erase(Found);
  Done(Result);
}

void BatchRelay::inputsRead(BatchTicket Ticket) {
  auto Found = OwnRequests.find(Ticket);
  if (Found == OwnRequests.end() || !Found->second.Read)
    return;
  ReadFn Read = std::move(Found->second.Read);
  Found->second.Read = nullptr;
  Read();
}

void BatchRelay::cancel(BatchTicket Ticket) {
  auto Found = OwnRequests.find(Ticket);
  if (Found == OwnRequests.end())
    return;
  OwnRequest Gone = std::move(Found->second);
  OwnRequests.erase(Found);
  if (Gone.Coordinator.empty())
    return Pools->cancel(Gone.Local);
  release(Gone.Coordinator, "", {"", {}, {Ticket.Value}, {}});
}

/// \return The name of the part of a pool that serves a request.
std::string BatchRelay::partFor(const std::string &Pool,
                                const std::string &RequestId) const {
  return batchPartName(Pool, batchPartFor(RequestId, Pools->size(Pool)));
}

void BatchRelay::free(const std::string &Service, const std::string &RequestId,
                      const std::vector<std::string> &Handles) {
  if (Handles.empty())
    return;
  std::string Pool = partFor(Service, RequestId);
  std::string Coordinator = batchCoordinator(Members->state(), Pool, {});
  if (Coordinator == Members->state().Self.Id)
    return Pools->free(Pool, Handles);
  release(Coordinator, Pool, {Pool, {}, {}, Handles});
}

/// Queues releases for a node; they are sent together.
void BatchRelay::release(const std::string &Node, const std::string &Pool,
                         const BatchReleaseMessage &Part) {
  BatchReleaseMessage &Whole = Releases[{Node, Pool}];
  Whole.Pool = Pool;
  auto Append = [](auto &To, const auto &From) {
    To.insert(To.end(), From.begin(), From.end());
  };
  Append(Whole.Taken, Part.Taken);
  Append(Whole.Cancelled, Part.Cancelled);
  Append(Whole.Freed, Part.Freed);
  if (ReleaseScheduled)
    return;
  ReleaseScheduled = true;
  Timers->after(ReleaseDelay, [this] { flushReleases(); });
}

void BatchRelay::flushReleases() {
  ReleaseScheduled = false;
  for (auto &[Key, Message] : Releases)
    Peers->sendTo(Key.first, std::move(Message));
  Releases.clear();
}

void BatchRelay::answered(const std::string &Node,
                          const BatchAnswerMessage &Message) {
  BatchTicket Ticket{Message.Ticket};
  auto Found = OwnRequests.find(Ticket);
  if (Found == OwnRequests.end() || Found->second.Coordinator != Node) {
    // Cancelled, or served by another node meanwhile: the result is unused.
    if (!Message.Pending)
      release(Node, "", {"", {}, {Message.Ticket}, {}});
    return;
  }
  if (!Message.Pending)
    release(Node, "", {"", {Message.Ticket}, {}, {}});
  Unresponsive.erase(Node);
  // A node of an earlier version does not answer reservations.
  UnansweredReserves.erase(Node);
  if (!Message.Pending)
    return ended(Ticket, Message.Result);
  Found->second.Unanswered = 0;
  if (Message.InputsRead)
    return inputsRead(Ticket);
  cacheForecast(Found->second.Service, Found->second.Request.Priority,
                Message.Forecast);
  Found->second.NextSend = Timers->now() + ResendPendingAfter;
}

void BatchRelay::serve(const std::string &Node,
                       const BatchRequestMessage &Message) {
  ServedKey Key{Node, Message.Ticket};
  auto [Found, Fresh] = Served.try_emplace(Key);
  if (!Fresh && Found->second.Local.Value == 0)
    return sendResult(Key, Found->second);
  BatchAnswerMessage Known;
  Known.Ticket = Message.Ticket;
  Known.Pending = true;
  Known.Forecast =
      Pools->forecast(Message.Pool, Message.Request).value_or(BatchForecast());
  Peers->sendTo(Node, Known);
  if (!Fresh)
    return;
  ++Counts.Served;
  Found->second.Pool = Message.Pool;
  Found->second.Local = Pools->ask(
      Message.Pool, Message.Request,
      [this, Key](const BatchResult &Result) {
        auto Ended = Served.find(Key);
        if (Ended == Served.end())
          return;
        Ended->second.Local = BatchTicket{};
        Ended->second.Result = Result;
        Ended->second.ForgetAt = Timers->now() + ResultLifetime;
        sendResult(Key, Ended->second);
      },
      [this, Key] {
        // If this message is lost, the inputs' space is freed one call duration
        // later.
        BatchAnswerMessage Read;
        Read.Ticket = Key.second;
        Read.Pending = true;
        Read.InputsRead = true;
        Peers->sendTo(Key.first, Read);
      });
}

void BatchRelay::sendResult(const ServedKey &Key, ServedRequest &Ended) {
  ++Ended.Sends;
  Ended.NextSend = Timers->now() + ResendAfter;
  Peers->sendTo(Key.first,
                BatchAnswerMessage{Key.second, false, {}, false, Ended.Result});
}

void BatchRelay::released(const std::string &Node,
                          const BatchReleaseMessage &Message) {
  for (std::uint64_t Ticket : Message.Taken)
    Served.erase({Node, Ticket});
  for (std::uint64_t Ticket : Message.Cancelled) {
    auto Found = Served.find({Node, Ticket});
    if (Found == Served.end())
      continue;
    if (Found->second.Local.Value != 0)
      Pools->cancel(Found->second.Local);
    else
      Pools->free(Found->second.Pool, Found->second.Result.Handles);
    Served.erase(Found);
  }
  Pools->free(Message.Pool, Message.Freed);
}

void BatchRelay::tick() {
  TimePoint Now = Timers->now();
  std::vector<BatchTicket> Due;
  for (const auto &[Ticket, Mine] : OwnRequests) {
    if (Mine.Held || (!Mine.Coordinator.empty() && Mine.NextSend <= Now))
      Due.push_back(Ticket);
  }
  for (BatchTicket Ticket : Due) {
    OwnRequest &Mine = OwnRequests.at(Ticket);
    if (Mine.Held) {
      dispatch(Ticket);
      continue;
    }
    if (Mine.Unanswered < SendsBeforeReassign) {
      send(Ticket, Mine);
      continue;
    }
    logEvent(LogLevel::Warning, "coordinator_silent",
             {{"node", Mine.Coordinator},
              {"pool", Mine.Pool},
              {"id", Mine.Request.RequestId},
              {"sends", Mine.Unanswered}});
    Unresponsive[Mine.Coordinator] = Now + UnresponsiveTime;
    ++Counts.Reassigned;
    dispatch(Ticket);
  }
  for (auto It = Served.begin(); It != Served.end();) {
    ServedRequest &Ended = It->second;
    bool Over = Ended.Local.Value == 0 &&
                (Ended.ForgetAt <= Now || Ended.Sends > MaxResultSends);
    if (!Over && Ended.Local.Value == 0 && Ended.NextSend <= Now)
      sendResult(It->first, Ended);
    It = Over ? Served.erase(It) : std::next(It);
  }
}

/// Sends batch requests again at once whose coordinator is gone or reaches no
/// upstream.
void BatchRelay::membersChanged() {
  std::vector<BatchTicket> Lost;
  for (const auto &[Ticket, Mine] : OwnRequests) {
    if (Mine.Coordinator.empty())
      continue;
    const MemberInfo *Info = Members->info(Mine.Coordinator);
    bool Gone = !Info || Info->State == MemberState::Dead;
    if (!Gone && Info->CannotReach &&
        batchCoordinator(Members->state(), Mine.Pool, {}) != Mine.Coordinator) {
      release(Mine.Coordinator, "", {"", {}, {Ticket.Value}, {}});
      Gone = true;
    }
    if (Gone)
      Lost.push_back(Ticket);
  }
  for (BatchTicket Ticket : Lost) {
    ++Counts.Reassigned;
    dispatch(Ticket);
  }
}

} // namespace fulmar
