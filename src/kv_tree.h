/// \file kv_tree.h Reading and watching many keys of the key-value service.
#ifndef FULMARSTEP_KV_TREE_H
#define FULMARSTEP_KV_TREE_H

#include <vector>

#include "kv_type.h"

namespace fulmar {

/// A key with its current value, or a change of a key.
struct KvItem {
  std::string Key;            ///< The full key.
  std::string Value;          ///< Bytes.
  std::uint64_t Revision = 0; ///< Of its latest change.
  bool Deleted = false;       ///< It was deleted; in changes only.
};

/// The result of a call on many keys.
struct KvItems {
  KvStatus Status = KvStatus::Unavailable; ///< Ok: the rest is valid.
  bool HistoryLost = false;   ///< The changes to wait for are no longer kept.
  bool Partial = false;       ///< Further pages exist and were not requested.
  std::uint64_t Revision = 0; ///< Of the service, when it responded.
  std::vector<KvItem> Items;  ///< Keys, or changes in order.
  std::string Why;            ///< Cause of a failure, for logs.
};

/// The part of a key-value service that orders all changes by one revision.
class KvTree {
public:
  using ItemsFn = std::function<void(const KvItems &)>;
  /// Receives the items read so far.
  /// \return Whether to read the next page.
  using ContinueFn = std::function<bool(const KvItems &)>;

  virtual ~KvTree() = default;
  /// Reads the current value of every key that begins with \p Prefix.
  /// \param Continue is called before each further page is read.
  virtual void range(const std::string &Prefix, ItemsFn Done,
                     ContinueFn Continue = nullptr) = 0;
  /// Waits at most \p Wait for changes after \p Revision to keys that begin
  /// with \p Prefix; the result is empty if there are none.
  virtual void follow(const std::string &Prefix, std::uint64_t Revision,
                      Duration Wait, ItemsFn Done) = 0;
};

/// The part of a key-value service that may be restored from an older copy.
///
/// A restore loses all writes since the copy was made, and their revisions are
/// assigned again. Each restore begins a new epoch. The revisions that this
/// interface returns hold the epoch in their upper bits, so that a later one is
/// greater even if the service was restored in between.
class KvEpochs {
public:
  /// Receives the number of a new epoch.
  using EpochFn = std::function<void(std::uint64_t)>;

  virtual ~KvEpochs() = default;
  /// \return The latest known epoch; 0: none is known yet.
  virtual std::uint64_t epoch() const = 0;
  /// Takes in an epoch that another node has observed.
  virtual void observeEpoch(std::uint64_t Epoch) = 0;
  /// Calls \p Fn when a later epoch becomes known, before any response of that
  /// epoch is delivered.
  virtual void onEpoch(EpochFn Fn) = 0;
};

/// The part of a key-value service that deletes the keys of ended processes.
class KvLeases {
public:
  /// Receives the id of a lease, or the revision of a write.
  using NumberFn = std::function<void(KvStatus, std::uint64_t)>;

  virtual ~KvLeases() = default;
  /// Creates a lease that expires unless it is renewed within \p Ttl.
  virtual void grant(Duration Ttl, NumberFn Done) = 0;
  /// Renews a lease; KvStatus::Conflict if it has expired.
  virtual void renew(std::uint64_t Lease, KvStore::WriteFn Done) = 0;
  /// Writes a key unconditionally; it is deleted when \p Lease expires.
  virtual void putLeased(const std::string &Key, const std::string &Value,
                         std::uint64_t Lease, NumberFn Done) = 0;
  /// Most keys in one call of putAllLeased().
  static constexpr std::size_t MaxPuts = 32;
  /// Writes some keys, all or none, as putLeased() does.
  virtual void putAllLeased(const std::vector<KvItem> &Items,
                            std::uint64_t Lease, NumberFn Done) = 0;
};

} // namespace fulmar

#endif
