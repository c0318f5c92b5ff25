/// \file stream_version.cpp Keeps and finds the software version that began a
/// stream.
#include "stream_version_func.h"

#include <algorithm>
#include <cstring>

#include "core/enum_names.h"
#include "json_func.h"
#include "signature_func.h"

namespace fulmar {

/// Prefix of the records in the store. It is not that of the fleet's keys,
/// which each node reads when it starts.
static constexpr std::string_view StorePrefix = "fulmarstep-streams/";
/// Most records of a node. Each takes about 200 bytes.
static constexpr std::size_t MaxRecords = 50'000;
/// A record is kept for this much longer than the client said that it waits.
static constexpr Duration RecordMargin = std::chrono::seconds(2);
/// Records expire in the store with their lease. Shorter than this, a new lease
/// would be needed for nearly each call.
static constexpr Duration MinLeaseTime = std::chrono::seconds(60);
/// Records are written under one lease for this long.
static constexpr Duration LeasePeriod = std::chrono::seconds(20);

static constexpr EnumNames<StreamFinding> FindingNames = {"known", "disputed",
                                                          "lost", "never"};

std::string_view streamFindingName(StreamFinding Finding) {
  return nameIn(FindingNames, Finding);
}

StreamKey streamKey(std::string_view Organisation, std::string_view RequestId) {
  // The length keeps apart pairs whose texts are equal when joined.
  std::string Text = std::to_string(Organisation.size());
  Text.append("/").append(Organisation).append(RequestId);
  Digest Bytes = sha256(Text);
  StreamKey Key;
  std::memcpy(&Key.High, Bytes.data(), sizeof(Key.High));
  std::memcpy(&Key.Low, Bytes.data() + sizeof(Key.High), sizeof(Key.Low));
  return Key;
}

static bool agree(const KeptStream &Kept, const StreamRecord &Record) {
  return !Record.Disputed && Kept.Origin.Pool == Record.Origin.Pool &&
         Kept.Origin.Version == Record.Origin.Version;
}

bool streamVersionKeep(StreamVersions &State, const StreamRecord &Record,
                       TimePoint Now) {
  auto Found = State.Records.find(Record.Key);
  bool Known = Found != State.Records.end() && Found->second.Until > Now;
  if (!Known && State.Records.size() >= MaxRecords) {
    ++State.Dropped;
    return false;
  }
  TimePoint Until = Now + std::min(Record.Left + RecordMargin, MaxStreamWait);
  if (!Known) {
    State.Records[Record.Key] = {Record.Origin, Until, Record.Disputed};
    return true;
  }
  KeptStream &Kept = Found->second;
  Kept.Disputed = Kept.Disputed || !agree(Kept, Record);
  Kept.Until = std::max(Kept.Until, Until);
  return true;
}

std::optional<StreamRecord> streamVersionOf(const StreamVersions &State,
                                            const StreamKey &Key,
                                            TimePoint Now) {
  auto Found = State.Records.find(Key);
  if (Found == State.Records.end() || Found->second.Until <= Now)
    return std::nullopt;
  const KeptStream &Kept = Found->second;
  Duration Left = std::max(Duration::zero(), Kept.Until - Now - RecordMargin);
  return StreamRecord{Key, Kept.Origin, Left, Kept.Disputed};
}

bool streamLeaseFits(const StreamLease &Lease, TimePoint Until, TimePoint Now) {
  return Lease.Id != 0 && Now - Lease.GrantedAt < LeasePeriod &&
         Until <= Lease.GrantedAt + Lease.Time;
}

Duration streamLeaseTime(TimePoint Until, TimePoint Now) {
  return std::clamp<Duration>(Until - Now + LeasePeriod, MinLeaseTime,
                              MaxStreamWait);
}

std::string streamStoreKey(const StreamKey &Key) {
  std::string Bytes(sizeof(Key.High) + sizeof(Key.Low), '\0');
  std::memcpy(Bytes.data(), &Key.High, sizeof(Key.High));
  std::memcpy(Bytes.data() + sizeof(Key.High), &Key.Low, sizeof(Key.Low));
  return std::string(StorePrefix) + toHex(Bytes);
}

std::string streamToStore(const StreamRecord &Record) {
  return writeJson(Json()
                       .set("pool", Record.Origin.Pool)
                       .set("version", Record.Origin.Version)
                       .set("instance", Record.Origin.Instance)
                       .set("disputed", Record.Disputed));
}

std::optional<StreamRecord> streamFromStore(const StreamKey &Key,
                                            std::string_view Text) {
  Diagnostics Wrong;
  auto Root = parseJson(Text, JsonDialect::Strict, Wrong);
  if (!Root || Root->text("pool").empty() || Root->text("version").empty())
    return std::nullopt;
  StreamRecord Record;
  Record.Key = Key;
  Record.Origin = {Root->text("pool"), Root->text("version"),
                   Root->text("instance")};
  Record.Disputed = Root->flag("disputed");
  return Record;
}

void streamVersionExpire(StreamVersions &State, TimePoint Now) {
  std::erase_if(State.Records,
                [Now](const auto &Item) { return Item.second.Until <= Now; });
}

std::optional<StreamFinding> streamLookupAnswered(StreamLookup &Lookup,
                                                  const std::string &Node,
                                                  const StreamAnswer &Answer) {
  // The query may be one of an earlier process of this node.
  if (Answer.Key != Lookup.Key || Lookup.Waiting.erase(Node) == 0)
    return std::nullopt;
  if (Answer.Record)
    return Answer.Record->Disputed ? StreamFinding::Disputed
                                   : StreamFinding::Known;
  Lookup.Complete = Lookup.Complete && Answer.Kept > MaxStreamWait;
  if (!Lookup.Waiting.empty())
    return std::nullopt;
  return streamLookupEnded(Lookup);
}

StreamFinding streamLookupEnded(const StreamLookup &Lookup) {
  return Lookup.Complete && Lookup.Waiting.empty() ? StreamFinding::Never
                                                   : StreamFinding::Lost;
}

} // namespace fulmar
