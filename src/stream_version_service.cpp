/// \file stream_version_service.cpp Shares between nodes where streams began.
#include "stream_version_service.h"

#include <algorithm>
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
/// Records are assigned to this many groups, each written by one node, so that
/// the calls to the store do not grow with the fleet.
static constexpr std::uint64_t WriterGroups = 8;
static constexpr Duration WritePeriod = std::chrono::seconds(1);
/// Most records that wait to be written; the oldest are dropped.
static constexpr std::size_t MaxUnwritten = 4096;

void StreamVersionService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  Store = &Services.find<KvStore>(service::Kv);
  Leases = &Services.find<KvLeases>(service::Kv);
  State.Since = Timers->now();
  Members->onChange([this] { RingStale = true; });
  Peers->on<StreamRecord>(
      [this](const PeerMessage &, const StreamRecord &Record) {
        receive(Record);
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
  Services.find<KvEpochs>(service::Kv).onEpoch([this](std::uint64_t) {
    Lease.Id = 0;
  });
  Timers->every(WritePeriod, [this] { write(); });
  Timers->every(ExpiryPeriod,
                [this] { streamVersionExpire(State, Timers->now()); });
}

/// \return The other nodes that should hold the record of a stream, with the
/// one that writes it.
std::vector<std::string> StreamVersionService::holders(const StreamKey &Key) {
  std::string Writer = writerOf(Key);
  const std::string &Self = Members->state().Self.Id;
  std::vector<std::string> Nodes =
      nodesOfKey(Ring, Key.High, HoldersPerStream, Self);
  bool Listed = std::count(Nodes.begin(), Nodes.end(), Writer) > 0;
  if (!Nodes.empty() && !Listed && Writer != Self)
    Nodes.back() = Writer;
  return Nodes;
}

/// \return The node that writes the record of a stream.
std::string StreamVersionService::writerOf(const StreamKey &Key) {
  if (std::exchange(RingStale, false))
    Ring = makeNodeRing(Members->ids());
  std::uint64_t Group = hash64(std::to_string(Key.Low % WriterGroups));
  std::vector<std::string> Writer = nodesOfKey(Ring, Group, 1, "");
  return Writer.empty() ? Members->state().Self.Id : Writer.front();
}

void StreamVersionService::tell(const StreamRecord &Record) {
  ++Counts.Told;
  StreamRecord Told = Record;
  std::string Writer = writerOf(Record.Key);
  for (const std::string &Node : holders(Record.Key)) {
    Told.Write = Node == Writer;
    Peers->sendTo(Node, Told);
  }
  Told.Write = Writer == Members->state().Self.Id;
  receive(Told);
}

/// Keeps a record, and writes it later if this node is to.
void StreamVersionService::receive(const StreamRecord &Record) {
  bool Kept = streamVersionKeep(State, Record, Timers->now());
  if (!Kept || !Record.Write)
    return;
  Unwritten.push_back(Record.Key);
  if (Unwritten.size() > MaxUnwritten)
    Unwritten.pop_front();
}

/// \return Until when the latest of the unwritten records is kept.
TimePoint StreamVersionService::unwrittenUntil() const {
  TimePoint Until{};
  for (const StreamKey &Key : Unwritten) {
    auto Found = State.Records.find(Key);
    if (Found != State.Records.end())
      Until = std::max(Until, Found->second.Until);
  }
  return Until;
}

/// Writes records to the store, under a recent lease that lasts as long as they
/// are kept.
void StreamVersionService::write() {
  if (Writing || Unwritten.empty())
    return;
  Writing = true;
  TimePoint Now = Timers->now();
  TimePoint Until = unwrittenUntil();
  if (streamLeaseFits(Lease, Until, Now))
    return writeUnder(Lease.Id);
  Duration Time = streamLeaseTime(Until, Now);
  auto Done = [this, Now, Time](KvStatus Status, std::uint64_t Granted) {
    if (Status != KvStatus::Ok) {
      Writing = false;
      return;
    }
    Lease = {Granted, Now, Time};
    writeUnder(Granted);
  };
  Leases->grant(Time, std::move(Done));
}

void StreamVersionService::writeUnder(std::uint64_t Under) {
  std::vector<StreamKey> Keys;
  std::vector<KvItem> Items;
  while (!Unwritten.empty() && Items.size() < KvLeases::MaxPuts) {
    StreamKey Key = Unwritten.front();
    Unwritten.pop_front();
    auto Record = streamVersionOf(State, Key, Timers->now());
    if (!Record)
      continue;
    Keys.push_back(Key);
    Items.push_back({streamStoreKey(Key), streamToStore(*Record)});
  }
  Writing = !Items.empty();
  if (!Writing)
    return;
  Leases->putAllLeased(
      Items, Under,
      [this, Keys = std::move(Keys)](KvStatus Status, std::uint64_t) {
        written(Keys, Status);
      });
}

/// Takes in the result of a write; what was not written is written later.
void StreamVersionService::written(const std::vector<StreamKey> &Keys,
                                   KvStatus Status) {
  Writing = false;
  if (Status != KvStatus::Ok) {
    Lease.Id = 0;
    Unwritten.insert(Unwritten.begin(), Keys.begin(), Keys.end());
    return;
  }
  Counts.Stored += Keys.size();
  if (Unwritten.size() >= KvLeases::MaxPuts)
    write();
}

void StreamVersionService::find(const StreamKey &Key, FindFn Done) {
  if (auto Own = streamVersionOf(State, Key, Timers->now()))
    return Done(Own->Disputed ? StreamFinding::Disputed : StreamFinding::Known,
                Own->Origin);
  std::vector<std::string> Nodes = holders(Key);
  if (Nodes.empty())
    return recall(Key, StreamFinding::Lost, std::move(Done));
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
    searchEnded(Serial, streamLookupEnded(Searches.at(Serial).Lookup));
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
  if (!Answer.Record)
    return searchEnded(Answer.Serial, *Finding);
  end(Answer.Serial, *Finding, Answer.Record->Origin);
}

/// Ends a search in which no node had the record.
void StreamVersionService::searchEnded(std::uint64_t Serial,
                                       StreamFinding Finding) {
  Search &S = Searches.at(Serial);
  StreamKey Key = S.Lookup.Key;
  FindFn Done = std::move(S.Done);
  Timers->cancel(S.Timer);
  Searches.erase(Serial);
  recall(Key, Finding, std::move(Done));
}

/// Reads a record from the store.
/// \param Otherwise the result if the store has none.
void StreamVersionService::recall(const StreamKey &Key, StreamFinding Otherwise,
                                  FindFn Done) {
  Store->get(streamStoreKey(Key), [this, Key, Otherwise,
                                   Done = std::move(Done)](
                                      KvStatus Status, const KvEntry &Entry) {
    bool Exists = Status == KvStatus::Ok && Entry.Index != 0;
    auto Record = Exists ? streamFromStore(Key, Entry.Value) : std::nullopt;
    if (!Record)
      return Done(Status == KvStatus::Ok ? Otherwise : StreamFinding::Lost, {});
    ++Counts.Recalled;
    Done(Record->Disputed ? StreamFinding::Disputed : StreamFinding::Known,
         Record->Origin);
  });
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
