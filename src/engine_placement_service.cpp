/// \file engine_placement_service.cpp Asks the coordinators of engine pools
/// for engines, and informs them of requests in progress.
#include "engine_placement_service.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "batch_coordinator.h"
#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"

namespace fulmar {

/// Timeout of a PlacementAsk. A round trip between failure domains takes 2 to
/// 3 ms, and a request must not wait longer for a better engine than a worse
/// one costs it.
static constexpr Duration AskTimeout = std::chrono::milliseconds(40);
/// If this node finds out so much too late that a timeout is over, it was
/// paused itself, and the answer may wait to be read; it gets this further
/// time.
static constexpr Duration LateTimer = std::chrono::milliseconds(5);
static constexpr Duration ReadTime = std::chrono::milliseconds(10);
/// A coordinator that left this many asks in a row unanswered is avoided for a
/// time in which membership finds out whether it is dead.
static constexpr int MaxUnanswered = 2;
static constexpr Duration AvoidTime = std::chrono::seconds(2);
/// Events are sent together within this time.
static constexpr Duration FlushDelay = std::chrono::milliseconds(20);
/// Events of one message, estimated in bytes. With the header of a message,
/// this fits a datagram of 1,400 bytes.
static constexpr std::size_t MaxEventBytes = 1000;
/// Bytes of an event without the name of its engine and the parts of its
/// prompt, and of one such part.
static constexpr std::size_t EventBytes = 48;
static constexpr std::size_t ShareBytes = 20;

std::string EnginePlacementService::partFor(const std::string &Pool,
                                            std::uint64_t Session) const {
  auto Found = Listings.find(Pool);
  if (Found == Listings.end())
    return Pool;
  std::size_t Count = placementPartCount(Found->second.All.size());
  return batchPartName(Pool, Session % Count);
}

/// \return The coordinator of a part, which has been informed of this node's
/// placements; empty while this node does not know the other nodes.
std::string EnginePlacementService::coordinatorOf(const std::string &Part) {
  if (!Members->settled())
    return {};
  std::set<std::string> Silent;
  for (const auto &[Node, Until] : Avoided) {
    if (Until > Timers->now())
      Silent.insert(Node);
  }
  std::string Node =
      batchCoordinator(Members->state(), "engines/" + Part, Silent);
  inform(Part, Node);
  return Node;
}

/// Sends the placements in progress in a part to a coordinator that does not
/// know them.
void EnginePlacementService::inform(const std::string &Part,
                                    const std::string &Node) {
  const MemberInfo *Info = Members->info(Node);
  std::uint64_t Incarnation = Info ? Info->Incarnation : 0;
  PartCoordinators &Seen = Coordinators[Part];
  auto [Start, Fresh] = Seen.Incarnations.try_emplace(Node, Incarnation);
  bool Restarted = std::exchange(Start->second, Incarnation) != Incarnation;
  if (std::exchange(Seen.Latest, Node) == Node && !Restarted)
    return;
  for (auto &[Serial, Own] : Placements) {
    if (Own.Part != Part)
      continue;
    if (Restarted)
      Own.Knowing.erase(Node);
    if (Own.Knowing.count(Node))
      continue;
    tell(Own, Node, PlacementEventKind::Placed);
    if (Own.BeganAt > TimePoint{})
      tell(Own, Node, PlacementEventKind::Began);
  }
  auto Events = Queue.find({Node, Part});
  if (Events != Queue.end())
    flush(Events->first, std::exchange(Events->second, {}));
}

/// Removes the excluded engines that are not in the part that is asked.
void EnginePlacementService::limitExcluded(PlacementAsk &Ask) const {
  BatchPart Part = parseBatchPart(Ask.Pool);
  auto Found = Listings.find(Part.Pool);
  if (Found == Listings.end())
    return;
  const std::vector<UpstreamEntry> &All = Found->second.All;
  std::size_t Count = placementPartCount(All.size());
  if (Count <= 1 || Ask.Request.Excluded.empty())
    return;
  std::set<Incarnation> Engines;
  for (std::size_t I = Part.Part; I < All.size(); I += Count)
    Engines.insert(All[I].incarnation());
  std::erase_if(Ask.Request.Excluded, [&](const Incarnation &Start) {
    return !Engines.count(Start);
  });
}

std::optional<Placement> EnginePlacementService::ask(PlacementAsk Ask,
                                                     AnswerFn Done) {
  limitExcluded(Ask);
  std::string Coordinator = coordinatorOf(Ask.Pool);
  if (Coordinator.empty())
    return Placement();
  const std::string &Self = Members->state().Self.Id;
  if (Coordinator == Self) {
    Placement Answer = place(Self, Ask);
    if (Answer.Engine)
      record(Ask, *Answer.Engine).Knowing.insert(Self);
    return Answer;
  }
  ++Counts.Asks;
  Peers->sendTo(Coordinator, Ask);
  TimerId Timer = Timers->after(
      AskTimeout, [this, Serial = Ask.Serial] { unanswered(Serial); });
  assert(!Asks.count(Ask.Serial) && "an attempt has one ask at a time");
  ClosedAsks.erase(Ask.Serial);
  std::uint64_t Serial = Ask.Serial;
  TimePoint Due = Timers->now() + AskTimeout;
  Asks[Serial] = {std::move(Ask), Coordinator, std::move(Done), Timer, Due};
  return std::nullopt;
}

void EnginePlacementService::answered(const std::string &Node,
                                      const PlacementAnswer &Answer) {
  auto Found = Asks.find(Answer.Serial);
  if (Found == Asks.end() || Found->second.Coordinator != Node)
    return strayAnswer(Node, Answer);
  OpenAsk Open = std::move(Found->second);
  Asks.erase(Found);
  Timers->cancel(Open.Timer);
  Unanswered.erase(Node);
  if (Answer.Result.Engine)
    record(Open.Ask, *Answer.Result.Engine).Knowing.insert(Node);
  Open.Done(Answer.Result);
}

/// Corrects what a coordinator has recorded for an ask whose answer came too
/// late, or that was cancelled.
void EnginePlacementService::strayAnswer(const std::string &Node,
                                         const PlacementAnswer &Answer) {
  auto Closed = ClosedAsks.find(Answer.Serial);
  if (!Answer.Result.Engine || Closed == ClosedAsks.end())
    return;
  auto Own = Placements.find(Answer.Serial);
  if (Own != Placements.end() && Own->second.Knowing.count(Node)) {
    tell(Own->second, Node, PlacementEventKind::Placed);
    if (Own->second.BeganAt > TimePoint{})
      tell(Own->second, Node, PlacementEventKind::Began);
    return;
  }
  QueuedEvent Unused;
  Unused.Event.Serial = Answer.Serial;
  Unused.Event.Kind = PlacementEventKind::Ended;
  Unused.Event.Engine = *Answer.Result.Engine;
  Unused.At = Timers->now();
  deliver(Node, Closed->second.Part, std::move(Unused));
}

/// Stops waiting for the answer to an ask, if one is open.
std::optional<EnginePlacementService::OpenAsk>
EnginePlacementService::close(std::uint64_t Serial) {
  auto Found = Asks.find(Serial);
  if (Found == Asks.end())
    return std::nullopt;
  OpenAsk Open = std::move(Found->second);
  Asks.erase(Found);
  Timers->cancel(Open.Timer);
  ClosedAsks[Serial] = {Open.Ask.Pool, Timers->now()};
  return Open;
}

void EnginePlacementService::unanswered(std::uint64_t Serial) {
  auto Late = Asks.find(Serial);
  TimePoint Now = Timers->now();
  if (Late != Asks.end() && Now - Late->second.Due > LateTimer) {
    Late->second.Due = TimePoint::max();
    Late->second.Timer =
        Timers->after(ReadTime, [this, Serial] { unanswered(Serial); });
    return;
  }
  auto Open = close(Serial);
  if (!Open)
    return;
  ++Counts.Unanswered;
  if (++Unanswered[Open->Coordinator] >= MaxUnanswered) {
    Unanswered.erase(Open->Coordinator);
    Avoided[Open->Coordinator] = Timers->now() + AvoidTime;
    logEvent(LogLevel::Warning, "placement_coordinator_silent",
             {{"node", Open->Coordinator}, {"pool", Open->Ask.Pool}});
  }
  Open->Done(std::nullopt);
}

/// Records a placement of a request of this node.
EnginePlacementService::OwnPlacement &
EnginePlacementService::record(const PlacementAsk &Ask,
                               const Incarnation &Engine) {
  OwnPlacement &Own = Placements[Ask.Serial];
  // The number of parts may have changed since a coordinator placed it.
  if (Own.Part.empty())
    Own.Part = Ask.Pool;
  Own.Event.Serial = Ask.Serial;
  Own.Event.Engine = Engine;
  Own.Event.Prompt = Ask.Request.Prompt;
  Own.Event.OutputTokens = Ask.Request.OutputTokens;
  Own.Event.GapTarget = Ask.Request.GapTarget;
  Own.Event.Left = Ask.Request.Left;
  Own.PlacedAt = Timers->now();
  return Own;
}

void EnginePlacementService::sent(const PlacementAsk &Ask,
                                  const Incarnation &Engine) {
  close(Ask.Serial);
  auto Found = Placements.find(Ask.Serial);
  if (Found != Placements.end() && Found->second.Event.Engine == Engine)
    return;
  OwnPlacement &Own = record(Ask, Engine);
  // The coordinators that have placed it elsewhere.
  for (const std::string &Node : std::exchange(Own.Knowing, {}))
    tell(Own, Node, PlacementEventKind::Placed);
  std::string Coordinator = coordinatorOf(Own.Part);
  if (!Coordinator.empty() && !Own.Knowing.count(Coordinator))
    tell(Own, Coordinator, PlacementEventKind::Placed);
}

void EnginePlacementService::began(std::uint64_t Serial) {
  auto Found = Placements.find(Serial);
  if (Found == Placements.end() || Found->second.BeganAt > TimePoint{})
    return;
  OwnPlacement &Own = Found->second;
  Own.BeganAt = Timers->now();
  for (const std::string &Node : Own.Knowing)
    tell(Own, Node, PlacementEventKind::Began);
}

void EnginePlacementService::ended(std::uint64_t Serial) {
  close(Serial);
  auto Found = Placements.find(Serial);
  if (Found == Placements.end())
    return;
  for (const std::string &Node : Found->second.Knowing)
    tell(Found->second, Node, PlacementEventKind::Ended);
  Placements.erase(Found);
}

/// Reports an event of a placement to a coordinator.
void EnginePlacementService::tell(OwnPlacement &Own, const std::string &Node,
                                  PlacementEventKind Kind) {
  QueuedEvent Item;
  Item.Event.Serial = Own.Event.Serial;
  Item.Event.Engine = Own.Event.Engine;
  Item.At = Timers->now();
  if (Kind == PlacementEventKind::Placed) {
    Item.Event = Own.Event;
    Item.At = Own.PlacedAt;
    Own.Knowing.insert(Node);
  }
  if (Kind == PlacementEventKind::Began)
    Item.At = Own.BeganAt;
  Item.Event.Kind = Kind;
  deliver(Node, Own.Part, std::move(Item));
}

/// Hands an event to a coordinator, at once if that is this node.
void EnginePlacementService::deliver(const std::string &Node,
                                     const std::string &Part,
                                     QueuedEvent Event) {
  if (Node == Members->state().Self.Id)
    return flush({Node, Part}, {std::move(Event)});
  Queue[{Node, Part}].push_back(std::move(Event));
  if (std::exchange(FlushScheduled, true))
    return;
  Timers->after(FlushDelay, [this] { flushAll(); });
}

/// \return The approximate size of an event in a message.
static std::size_t sizeOf(const PlacementEvent &Event) {
  return EventBytes + Event.Engine.Instance.size() +
         ShareBytes * Event.Prompt.size();
}

void EnginePlacementService::flush(const QueueKey &Key,
                                   std::vector<QueuedEvent> Events) {
  const auto &[Node, Part] = Key;
  PlacementUpdate Update{Part, {}};
  std::size_t Bytes = 0;
  auto Send = [&, &Node = Node, &Part = Part] {
    if (Update.Events.empty())
      return;
    PlacementUpdate Whole = std::exchange(Update, {Part, {}});
    Bytes = 0;
    if (Node == Members->state().Self.Id)
      return apply(Node, Whole);
    ++Counts.Updates;
    Peers->sendTo(Node, std::move(Whole));
  };
  for (QueuedEvent &Item : Events) {
    std::size_t More = sizeOf(Item.Event);
    if (Bytes + More > MaxEventBytes)
      Send();
    Item.Event.Ago = Timers->now() - Item.At;
    Bytes += More;
    Update.Events.push_back(std::move(Item.Event));
  }
  Send();
}

void EnginePlacementService::flushAll() {
  FlushScheduled = false;
  for (auto &[Key, Events] : std::exchange(Queue, {}))
    flush(Key, std::move(Events));
}

} // namespace fulmar
