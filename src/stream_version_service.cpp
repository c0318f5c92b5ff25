/// \file stream_version_service.cpp Shares between nodes where streams began.
#include "stream_version_service.h"

#include <utility>

#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"

namespace fulmar {

/// Nodes that get the record of a stream. Of nine nodes, one that is left alone
/// after all others were killed has more than half of their records.
static constexpr std::size_t HoldersPerStream = 5;
/// Nodes that have not answered within this time are asked once more, as a
/// message may be lost, and after the same time the search ends.
static constexpr Duration AnswerTimeout = std::chrono::milliseconds(100);
static constexpr Duration ExpiryPeriod = std::chrono::seconds(1);

void StreamVersionService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  State.Since = Timers->now();
  Members->onChange([this] { RingStale = true; });
  Peers->on<StreamRecord>(
      [this](const PeerMessage &, const StreamRecord &Record) {
        streamVersionKeep(State, Record, Timers->now());
      });
  Peers->on<StreamQuery>(
      [this](const PeerMessage &From, const StreamQuery &Query) {
        TimePoint Now = Timers->now();
        Peers->sendTo(From.Sender,
                      StreamAnswer{Query.Serial, Query.Key,
                                   streamVersionOf(State, Query.Key, Now),
                                   Now - State.Since});
      });
  Peers->on<StreamAnswer>(
      [this](const PeerMessage &From, const StreamAnswer &Answer) {
        answered(From.Sender, Answer);
      });
  Timers->every(ExpiryPeriod,
                [this] { streamVersionExpire(State, Timers->now()); });
}

/// \return The other nodes that should hold the record of a stream.
std::vector<std::string> StreamVersionService::holders(const StreamKey &Key) {
  if (std::exchange(RingStale, false))
    Ring = makeNodeRing(Members->ids());
  return nodesOfKey(Ring, Key.High, HoldersPerStream, Members->state().Self.Id);
}

void StreamVersionService::tell(const StreamRecord &Record) {
  ++Counts.Told;
  streamVersionKeep(State, Record, Timers->now());
  for (const std::string &Node : holders(Record.Key))
    Peers->sendTo(Node, Record);
}

void StreamVersionService::find(const StreamKey &Key, FindFn Done) {
  if (auto Own = streamVersionOf(State, Key, Timers->now()))
    return Done(Own->Disputed ? StreamFinding::Disputed : StreamFinding::Known,
                Own->Origin);
  std::vector<std::string> Nodes = holders(Key);
  if (Nodes.empty())
    return Done(StreamFinding::Lost, {});
  ++Counts.Searches;
  std::uint64_t Serial = ++LastSerial;
  Search &S = Searches[Serial];
  S.Lookup.Key = Key;
  S.Lookup.Waiting.insert(Nodes.begin(), Nodes.end());
  S.Done = std::move(Done);
  S.Timer = Timers->after(AnswerTimeout, [this, Serial] { askAgain(Serial); });
  ask(Serial);
}

void StreamVersionService::ask(std::uint64_t Serial) {
  const StreamLookup &Lookup = Searches.at(Serial).Lookup;
  for (const std::string &Node : Lookup.Waiting)
    Peers->sendTo(Node, StreamQuery{Serial, Lookup.Key});
}

void StreamVersionService::askAgain(std::uint64_t Serial) {
  Searches.at(Serial).Timer = Timers->after(AnswerTimeout, [this, Serial] {
    end(Serial, streamLookupEnded(Searches.at(Serial).Lookup), {});
  });
  ask(Serial);
}

void StreamVersionService::answered(const std::string &Node,
                                    const StreamAnswer &Answer) {
  auto Found = Searches.find(Answer.Serial);
  if (Found == Searches.end())
    return;
  auto Finding = streamLookupAnswered(Found->second.Lookup, Node, Answer);
  if (!Finding)
    return;
  end(Answer.Serial, *Finding,
      Answer.Record ? Answer.Record->Origin : StreamOrigin());
}

void StreamVersionService::end(std::uint64_t Serial, StreamFinding Finding,
                               const StreamOrigin &Origin) {
  auto Found = Searches.find(Serial);
  FindFn Done = std::move(Found->second.Done);
  Timers->cancel(Found->second.Timer);
  Searches.erase(Found);
  Counts.Found += Finding == StreamFinding::Known ? 1 : 0;
  Done(Finding, Origin);
}

} // namespace fulmar
