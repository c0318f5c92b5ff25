/// \file stream_version_service.h Shares between nodes where streams began.
#ifndef FULMARSTEP_STREAM_VERSION_SERVICE_H
#define FULMARSTEP_STREAM_VERSION_SERVICE_H

#include <deque>
#include <functional>
#include <unordered_map>

#include "kernel.h"
#include "kv_tree.h"
#include "node_ring.h"
#include "stream_version_func.h"
#include "timer_base.h"

namespace fulmar {

class MemberService;
class PeerService;

/// Counters for metrics.
struct StreamVersionCounts {
  std::uint64_t Told = 0;     ///< Streams of this node that others were told.
  std::uint64_t Searches = 0; ///< Streams that other nodes were asked for.
  std::uint64_t Found = 0;    ///< Of these, known to another node.
  std::uint64_t Stored = 0;   ///< Records that this node wrote to the store.
  std::uint64_t Recalled = 0; ///< Streams that only the store knew.
};

/// Shares with a few other nodes where the streams of this node began, and asks
/// them where the streams of other nodes did. The number of nodes per stream
/// does not depend on the size of the fleet. A few nodes write the records of
/// all to the store, many in a call, for streams that outlast all nodes.
class StreamVersionService : public Service {
public:
  using FindFn = std::function<void(StreamFinding, const StreamOrigin &)>;

  explicit StreamVersionService(Kernel &K) : Services(K) {}

  void start() override;

  /// Keeps a record of a stream of this node, and sends it to other nodes. To
  /// be called before the client gets the first event.
  void tell(const StreamRecord &Record);
  /// Looks for the record of a stream. \p Done is called once, at once if this
  /// node has the record.
  void find(const StreamKey &Key, FindFn Done);

  /// \return Number of records that this node keeps.
  std::size_t size() const { return State.Records.size(); }
  /// \return Records that were not kept for want of space.
  std::uint64_t dropped() const { return State.Dropped; }
  /// \return The counters since the start of the node.
  const StreamVersionCounts &counts() const { return Counts; }

private:
  /// A search that waits for answers.
  struct Search {
    StreamLookup Lookup; ///< Its state.
    FindFn Done;         ///< Gets the result.
    TimerId Timer;       ///< Asks again, then ends the search.
  };

  std::vector<std::string> holders(const StreamKey &Key);
  void ask(std::uint64_t Serial);
  void askAgain(std::uint64_t Serial);
  void answered(const std::string &Node, const StreamAnswer &Answer);
  void end(std::uint64_t Serial, StreamFinding Finding,
           const StreamOrigin &Origin);
  void searchEnded(std::uint64_t Serial, StreamFinding Finding);
  void recall(const StreamKey &Key, StreamFinding Otherwise, FindFn Done);
  std::string writerOf(const StreamKey &Key);
  void receive(const StreamRecord &Record);
  TimePoint unwrittenUntil() const;
  void write();
  void writeUnder(std::uint64_t Lease);
  void written(const std::vector<StreamKey> &Keys, KvStatus Status);

  Kernel &Services;                 ///< Finds the other services.
  TimerService *Timers = nullptr;   ///< Clock and timers.
  PeerService *Peers = nullptr;     ///< Sends messages to nodes.
  MemberService *Members = nullptr; ///< Lists the nodes.
  StreamVersions State;             ///< Records.
  NodeRing Ring;                    ///< Of the members.
  bool RingStale = true;            ///< The members have changed since.
  std::unordered_map<std::uint64_t, Search> Searches; ///< By serial.
  std::uint64_t LastSerial = 0;                       ///< Of the latest search.
  KvStore *Store = nullptr;                           ///< Reads records.
  KvLeases *Leases = nullptr;      ///< Writes records that expire.
  std::deque<StreamKey> Unwritten; ///< Records to write, the oldest first.
  StreamLease Lease;               ///< Of the records written now.
  bool Writing = false;            ///< A call is in progress.
  StreamVersionCounts Counts;      ///< For metrics.
};

} // namespace fulmar

#endif
