/// \file batch_relay.cpp Asks for pieces of work, here or at another node.
#include "batch_relay.h"

#include "batch_coordinator.h"
#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"

namespace fulmar {

/// Between two looks at what has to be sent again.
static constexpr Duration TickPeriod = std::chrono::milliseconds(20);
/// What a node is done with is told together within this time. It is short: the
/// space of results that are not needed bounds the next calls.
static constexpr Duration ReleaseDelay = std::chrono::milliseconds(4);
/// An ask that nobody acknowledged is sent again after this time: several round
/// trips between failure domains (2 to 3 ms), and a pause of a node whose share
/// of a processor is used up (up to 75 ms) costs one repeat only.
static constexpr Duration ResendAfter = std::chrono::milliseconds(60);
/// Unanswered sends before another node is asked.
static constexpr int SendsBeforeMove = 4;
/// An acknowledged ask is asked about again after this time, in case its node
/// ended or its result was lost.
static constexpr Duration AskAgainAfter = std::chrono::milliseconds(300);
/// What was said of a pool holds for this long: a node of a large fleet asks
/// each pool about once a second, and older news beats what ended requests
/// took. After that a request is let in to find out.
static constexpr Duration ViewLife = std::chrono::milliseconds(1500);
/// An ask is held for this long by a node that does not know the others yet.
/// It usually does a fraction of a second after its start, and somewhat later
/// when a call to the key-value service has to be repeated.
static constexpr Duration MostHold = std::chrono::milliseconds(600);
/// A silent node is not asked for this long.
static constexpr Duration SilentTime = std::chrono::seconds(2);
/// Results are kept for a node that did not acknowledge them.
static constexpr Duration ResultLife = std::chrono::seconds(3);
static constexpr int MaxResultSends = 6;

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
  Members->onChange([this] { membersChanged(); });
  Timers->every(TickPeriod, [this] { tick(); });
}

BatchTicket BatchRelay::ask(const std::string &Pool,
                            const BatchRequest &Request, DoneFn Done,
                            ReadFn Read) {
  BatchTicket Ticket{++LastTicket};
  OwnRequest &Mine = Own[Ticket];
  Mine.Service = Pool;
  Mine.Pool = partFor(Pool, Request.RequestId);
  Mine.Request = Request;
  Mine.Asked = Timers->now();
  Mine.Done = std::move(Done);
  Mine.Read = std::move(Read);
  place(Ticket);
  return Ticket;
}

/// Gives an ask to the node that forms its pool's calls. A node that has just
/// started does not know the others yet, and would take that duty for its own;
/// it holds the ask for a moment. Else after a restart of the fleet each node
/// sends calls of one piece, which take nearly as long as full ones, and other
/// nodes' calls find the upstreams full.
void BatchRelay::place(BatchTicket Ticket) {
  OwnRequest &Mine = Own.at(Ticket);
  Mine.Held = !Members->settled() && Timers->now() - Mine.Asked < MostHold;
  if (Mine.Held)
    return;
  std::set<std::string> Left;
  for (const auto &[Node, Until] : Silent) {
    if (Until > Timers->now())
      Left.insert(Node);
  }
  std::string Coordinator = batchCoordinator(Members->state(), Mine.Pool, Left);
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
    learn(Mine.Service, Request.Priority, *Forecast);
  Mine.Local = Pools->ask(
      Mine.Pool, Request,
      [this, Ticket](const BatchResult &Result) { ended(Ticket, Result); },
      [this, Ticket] { inputsRead(Ticket); });
}

void BatchRelay::learn(const std::string &Pool, int Priority,
                       const BatchForecast &Forecast) {
  // An ask that is asked about again is told of pools with itself in them.
  if (Forecast.OnTime > Duration::zero())
    Views[{Pool, Priority}] = {Forecast, Timers->now()};
}

std::optional<BatchForecast> BatchRelay::forecast(const std::string &Pool,
                                                  int Priority) const {
  auto Found = Views.find({Pool, Priority});
  if (Found == Views.end() || Timers->now() - Found->second.At > ViewLife)
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
  auto Found = Own.find(Ticket);
  if (Found == Own.end())
    return;
  DoneFn Done = std::move(Found->second.Done);
  Own.erase(Found);
  Done(Result);
}

void BatchRelay::inputsRead(BatchTicket Ticket) {
  auto Found = Own.find(Ticket);
  if (Found == Own.end() || !Found->second.Read)
    return;
  ReadFn Read = std::move(Found->second.Read);
  Found->second.Read = nullptr;
  Read();
}

void BatchRelay::cancel(BatchTicket Ticket) {
  auto Found = Own.find(Ticket);
  if (Found == Own.end())
    return;
  OwnRequest Gone = std::move(Found->second);
  Own.erase(Found);
  if (Gone.Coordinator.empty())
    return Pools->cancel(Gone.Local);
  release(Gone.Coordinator, "", {"", {}, {Ticket.Value}, {}});
}

/// \return The part of a pool that serves a request.
std::string BatchRelay::partFor(const std::string &Pool,
                                const std::string &RequestId) const {
  return batchPartName(Pool, batchPartOf(RequestId, Pools->size(Pool)));
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

/// Adds to what a node will be told in a moment.
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
  if (ReleasePlanned)
    return;
  ReleasePlanned = true;
  Timers->after(ReleaseDelay, [this] { flushReleases(); });
}

void BatchRelay::flushReleases() {
  ReleasePlanned = false;
  for (auto &[Key, Message] : Releases)
    Peers->sendTo(Key.first, std::move(Message));
  Releases.clear();
}

void BatchRelay::answered(const std::string &Node,
                          const BatchAnswerMessage &Message) {
  BatchTicket Ticket{Message.Ticket};
  auto Found = Own.find(Ticket);
  if (Found == Own.end() || Found->second.Coordinator != Node) {
    // Cancelled, or done by another node meanwhile: nobody wants the result.
    if (!Message.Pending)
      release(Node, "", {"", {}, {Message.Ticket}, {}});
    return;
  }
  if (!Message.Pending)
    release(Node, "", {"", {Message.Ticket}, {}, {}});
  Silent.erase(Node);
  if (!Message.Pending)
    return ended(Ticket, Message.Result);
  Found->second.Unanswered = 0;
  if (Message.InputsRead)
    return inputsRead(Ticket);
  learn(Found->second.Service, Found->second.Request.Priority,
        Message.Forecast);
  Found->second.NextSend = Timers->now() + AskAgainAfter;
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
        Ended->second.ForgetAt = Timers->now() + ResultLife;
        sendResult(Key, Ended->second);
      },
      [this, Key] {
        // Lost now and then: the inputs' space is free a call's time later.
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
  for (const auto &[Ticket, Mine] : Own) {
    if (Mine.Held || (!Mine.Coordinator.empty() && Mine.NextSend <= Now))
      Due.push_back(Ticket);
  }
  for (BatchTicket Ticket : Due) {
    OwnRequest &Mine = Own.at(Ticket);
    if (Mine.Held) {
      place(Ticket);
      continue;
    }
    if (Mine.Unanswered < SendsBeforeMove) {
      send(Ticket, Mine);
      continue;
    }
    logEvent(LogLevel::Warning, "coordinator_silent",
             {{"node", Mine.Coordinator},
              {"pool", Mine.Pool},
              {"id", Mine.Request.RequestId},
              {"sends", Mine.Unanswered}});
    Silent[Mine.Coordinator] = Now + SilentTime;
    ++Counts.Moved;
    place(Ticket);
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

/// Asks at nodes that are gone are placed anew at once.
void BatchRelay::membersChanged() {
  std::vector<BatchTicket> Lost;
  for (const auto &[Ticket, Mine] : Own) {
    if (Mine.Coordinator.empty())
      continue;
    const MemberInfo *Info = Members->info(Mine.Coordinator);
    if (!Info || Info->State == MemberState::Dead)
      Lost.push_back(Ticket);
  }
  for (BatchTicket Ticket : Lost) {
    ++Counts.Moved;
    place(Ticket);
  }
}

} // namespace fulmar
