/// \file kv_tree.h Reading and following many keys of the key-value service.
#ifndef FULMARSTEP_KV_TREE_H
#define FULMARSTEP_KV_TREE_H

#include <vector>

#include "kv_type.h"

namespace fulmar {

/// A key as it is, or as it has changed.
struct KvItem {
  std::string Key;            ///< Its whole name.
  std::string Value;          ///< Bytes.
  std::uint64_t Revision = 0; ///< Of its latest change.
  bool Deleted = false;       ///< It is gone; in changes only.
};

/// What a call on many keys came to.
struct KvItems {
  KvStatus Status = KvStatus::Unavailable; ///< Whether the rest counts.
  bool HistoryLost = false;   ///< Changes since then are not known any more.
  bool Partial = false;       ///< More was there and was not wanted.
  std::uint64_t Revision = 0; ///< Of the service, at the answer.
  std::vector<KvItem> Items;  ///< Keys, or changes in order.
  std::string Why;            ///< For logs, when it failed.
};

/// The part of a key-value service that orders all changes by one revision.
class KvTree {
public:
  using ItemsFn = std::function<void(const KvItems &)>;
  /// Hears what was read so far. \return Whether the rest is wanted.
  using GoOnFn = std::function<bool(const KvItems &)>;

  virtual ~KvTree() = default;
  /// Reads every key that begins with \p Prefix, as the service has it now.
  /// \param GoOn is asked before each further page, if there is one.
  virtual void range(const std::string &Prefix, ItemsFn Done,
                     GoOnFn GoOn = nullptr) = 0;
  /// Waits for changes of such keys after \p Revision, for \p Wait at most;
  /// without any, the answer is empty.
  virtual void follow(const std::string &Prefix, std::uint64_t Revision,
                      Duration Wait, ItemsFn Done) = 0;
};

/// The part of a key-value service that may come back from an older copy.
///
/// What was written since the copy is gone then, and its revisions are given
/// out again. Each such return begins a new epoch. Revisions that this
/// interface hands out hold the epoch in their upper bits, so that a later one
/// is greater whatever the service did in between.
class KvEpochs {
public:
  /// Hears of a new epoch.
  using EpochFn = std::function<void(std::uint64_t)>;

  virtual ~KvEpochs() = default;
  /// \return The latest epoch that is known; 0: none was told.
  virtual std::uint64_t epoch() const = 0;
  /// Takes in an epoch that another node has seen.
  virtual void heardEpoch(std::uint64_t Epoch) = 0;
  /// Calls \p Fn when a later epoch is known, before an answer of it is told.
  virtual void onEpoch(EpochFn Fn) = 0;
};

/// The part of a key-value service that drops keys of processes that ended.
class KvLeases {
public:
  /// Hears a lease's name, or the revision of a write.
  using NumberFn = std::function<void(KvStatus, std::uint64_t)>;

  virtual ~KvLeases() = default;
  /// Takes a lease that ends unless it is renewed within \p Ttl.
  virtual void grant(Duration Ttl, NumberFn Done) = 0;
  /// Renews a lease; KvStatus::Conflict when it has ended.
  virtual void renew(std::uint64_t Lease, KvStore::WriteFn Done) = 0;
  /// Writes a key, whatever it was, that is dropped with \p Lease.
  virtual void putLeased(const std::string &Key, const std::string &Value,
                         std::uint64_t Lease, NumberFn Done) = 0;
};

} // namespace fulmar

#endif
