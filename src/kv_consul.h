/// \file kv_consul.h The key-value service over Consul's published KV API.
#ifndef FULMARSTEP_KV_CONSUL_H
#define FULMARSTEP_KV_CONSUL_H

#include "http_backoff.h"
#include "kernel.h"
#include "kv_type.h"

namespace fulmar {

/// Counts of calls, to compare with the budget of calls in docs/CAPACITY.md.
struct KvCounts {
  std::uint64_t Reads = 0;   ///< Calls of get().
  std::uint64_t Writes = 0;  ///< Calls of cas() and remove().
  std::uint64_t Watches = 0; ///< Calls of watch().
  std::uint64_t Failed = 0;  ///< Calls that ended Unavailable or Unknown.
};

/// Client of the KV API. Keys need no percent-encoding: they consist of
/// letters, digits, `/`, `-` and `_`.
class ConsulKv : public KvStore, public Service {
public:
  /// \param Address IP:PORT of the service.
  ConsulKv(HttpClient &Client, std::string Address);

  void get(const std::string &Key, ReadFn Done) override;
  void cas(const std::string &Key, const std::string &Value,
           std::uint64_t Index, WriteFn Done) override;
  void watch(const std::string &Key, std::uint64_t Index, Duration Wait,
             ReadFn Done) override;
  void remove(const std::string &Key) override;

  /// \return Calls made so far.
  const KvCounts &counts() const { return Counts; }

private:
  void read(std::string Path, Duration Timeout, ReadFn Done);

  HttpClient &Client;  ///< Makes the calls.
  std::string Address; ///< IP:PORT.
  HttpBackoff Backoff; ///< That the service has asked for.
  KvCounts Counts;     ///< For operators.
};

} // namespace fulmar

#endif
