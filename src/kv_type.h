/// \file kv_type.h Interface to the platform's key-value service.
#ifndef FULMARSTEP_KV_TYPE_H
#define FULMARSTEP_KV_TYPE_H

#include <cstdint>
#include <functional>
#include <string>

#include "core/time_type.h"

namespace fulmar {

/// How a call to the key-value service ended.
enum class KvStatus {
  Ok,          ///< Done; a read returns the current entry.
  Conflict,    ///< Compare-and-swap: the entry has changed; nothing written.
  Unavailable, ///< Not done: no byte was delivered, or it was refused.
  Unknown,     ///< No answer: a write may or may not have taken effect.
  Count,       ///< Number of statuses.
  Invalid,     ///< Not a status.
};

/// An entry and its index for compare-and-swap.
struct KvEntry {
  std::string Value;       ///< Bytes.
  std::uint64_t Index = 0; ///< Changes with each write; 0: no such entry.
};

/// The operations that fulmarstep uses. Each kind of service has an adapter.
class KvStore {
public:
  using ReadFn = std::function<void(KvStatus, const KvEntry &)>;
  using WriteFn = std::function<void(KvStatus)>;

  virtual ~KvStore() = default;
  /// Reads an entry.
  virtual void get(const std::string &Key, ReadFn Done) = 0;
  /// Writes an entry if its index is still \p Index (0: if there is none).
  virtual void cas(const std::string &Key, const std::string &Value,
                   std::uint64_t Index, WriteFn Done) = 0;
  /// Reads an entry once its index differs from \p Index, or after \p Wait.
  virtual void watch(const std::string &Key, std::uint64_t Index, Duration Wait,
                     ReadFn Done) = 0;
  /// Removes an entry that is no longer referenced.
  virtual void remove(const std::string &Key) = 0;
};

} // namespace fulmar

#endif
