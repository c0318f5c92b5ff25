/// \file cli_blocking.h Blocking HTTP and key-value calls.
#ifndef FULMARSTEP_CLI_BLOCKING_H
#define FULMARSTEP_CLI_BLOCKING_H

#include "bundle_cmd.h"
#include "http_client.h"

namespace fulmar {

/// Sends one request and blocks until the response is complete.
/// \param OnChunk receives chunks of the body as they arrive; may be empty.
HttpResponse callAndWait(HttpCall Call,
                         std::function<void(std::string_view)> OnChunk = {});

/// Blocking client of the key-value service at an address.
class BlockingConsulKv : public BlockingKv {
public:
  explicit BlockingConsulKv(std::string Address);

  KvStatus get(const std::string &Key, KvEntry &Out) override;
  KvStatus cas(const std::string &Key, const std::string &Value,
               std::uint64_t Index) override;

private:
  std::string Address; ///< IP:PORT.
};

/// Splits a comma-separated list.
std::vector<std::string> splitList(const std::string &Text);

} // namespace fulmar

#endif
