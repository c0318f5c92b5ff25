/// \file wire_format.h How a deployment's platform writes what this product
/// works with. One adapter for each platform.
#ifndef FULMARSTEP_WIRE_FORMAT_H
#define FULMARSTEP_WIRE_FORMAT_H

#include <span>

#include "batch_type.h"
#include "diagnostic_type.h"
#include "entry_func.h"
#include "forward_type.h"
#include "http_client.h"
#include "http_server.h"
#include "route_type.h"

namespace fulmar {

/// Translates; decides nothing and keeps nothing.
class WireFormat {
public:
  virtual ~WireFormat() = default;

  /// \return What the keys of all that the operator writes begin with.
  virtual std::string operatorPrefix() const = 0;
  /// \return The failure domain that is drained while \p Key is there; empty
  /// when it is not such a key.
  virtual std::string drainedDomain(std::string_view Key) const = 0;
  /// \return Key of the configuration in the key-value service.
  virtual std::string routesKey() const = 0;
  /// \return What the keys of all listed upstreams begin with.
  virtual std::string upstreamsPrefix() const = 0;
  /// Reads a configuration.
  /// \return nullptr when it cannot be read; \p Why says why.
  virtual RouteTablePtr readRoutes(std::string_view Text,
                                   std::string &Why) const = 0;
  /// Reads one listed upstream.
  /// \return Nothing when the entry is not one of an upstream; \p Why says why.
  virtual std::optional<UpstreamEntry> readUpstream(std::string_view Key,
                                                    std::string_view Text,
                                                    std::string &Why) const = 0;

  /// Reads what a client says of its request.
  virtual ForwardAsk readAsk(const HttpExchange &Exchange) const = 0;
  /// Writes the call that passes a request on; its address is left open.
  virtual HttpCall writeSend(const HttpExchange &Exchange,
                             const ForwardSend &Send) const = 0;
  /// Reads the head of an upstream's answer.
  virtual ForwardReply readReply(const HttpAnswer &Answer) const = 0;
  /// \return The headers of an upstream's answer that its client gets.
  virtual HttpHeaders replyHeaders(const HttpAnswer &Answer) const = 0;

  /// Writes a call for pieces of work; its address is left open.
  virtual HttpCall writeBatch(std::span<const BatchItem> Items,
                              const std::string &Instance) const = 0;
  /// Reads its answer.
  virtual BatchCallResult readBatch(const HttpAnswer &Answer) const = 0;
  /// Writes a call that lets an upstream drop results; address left open.
  virtual HttpCall writeFree(std::span<const std::string> Handles) const = 0;
  /// \return The address of the upstream that keeps a result.
  virtual std::string handleAddress(const std::string &Handle) const = 0;

  /// \return Path at which clients ask for entry addresses.
  virtual std::string entryPath() const = 0;
  /// \return Path at which the platform asks whether this node is ready.
  virtual std::string readyPath() const = 0;
  /// Reads a client's question for entry addresses.
  virtual EntryQuery readEntryQuery(const HttpExchange &Exchange) const = 0;
  /// Writes the answer to it.
  virtual std::string writeEntries(const std::vector<std::string> &Addresses,
                                   Duration Ttl) const = 0;
};

} // namespace fulmar

#endif
