/// \file wire_format.h Converts between the messages of a deployment's platform
/// and this product's types. Each platform has an adapter.
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

/// Converts messages. It makes no decisions and holds no state.
class WireFormat {
public:
  virtual ~WireFormat() = default;

  /// \return The prefix of all keys that the operator writes.
  virtual std::string operatorPrefix() const = 0;
  /// \return The failure domain that is drained while \p Key exists; empty if
  /// \p Key drains none.
  virtual std::string drainedDomain(std::string_view Key) const = 0;
  /// \return The key of the configuration in the key-value service.
  virtual std::string routesKey() const = 0;
  /// \return The prefix of the keys of all listed upstreams.
  virtual std::string upstreamsPrefix() const = 0;
  /// Reads a configuration.
  /// \return nullptr if it cannot be read; \p Why then gives the reason.
  virtual RouteTablePtr readRoutes(std::string_view Text,
                                   std::string &Why) const = 0;
  /// Reads one listed upstream.
  /// \return Nothing if the entry is not one of an upstream; \p Why then gives
  /// the reason.
  virtual std::optional<UpstreamEntry> readUpstream(std::string_view Key,
                                                    std::string_view Text,
                                                    std::string &Why) const = 0;

  /// Reads the headers that describe a client's request.
  virtual ForwardRequestInfo
  readRequestInfo(const HttpExchange &Exchange) const = 0;
  /// Writes the call that forwards a request; the caller sets its address.
  virtual HttpCall writeForwardCall(const HttpExchange &Exchange,
                                    const ForwardCallInfo &Send) const = 0;
  /// Reads the head of an upstream's response.
  virtual ForwardResponseInfo
  readResponseInfo(const HttpResponse &Answer) const = 0;
  /// \return What the sender of a response announces about itself; empty if
  /// another upstream than the addressed one has responded.
  virtual UpstreamNotice readNotice(const HttpResponse &Answer) const = 0;
  /// \return The headers of an upstream's response that are passed to the
  /// client.
  virtual HttpHeaders replyHeaders(const HttpResponse &Answer) const = 0;

  /// Writes a batch call for pieces of work; the caller sets its address.
  virtual HttpCall writeBatch(std::span<const BatchItem> Items,
                              const std::string &Instance) const = 0;
  /// Reads the response to a batch call.
  virtual BatchCallResult readBatch(const HttpResponse &Answer) const = 0;
  /// Writes a call that releases results at an upstream; the caller sets its
  /// address.
  virtual HttpCall writeRelease(std::span<const std::string> Handles) const = 0;
  /// \return The address of the upstream that holds the result \p Handle.
  virtual std::string handleAddress(const std::string &Handle) const = 0;

  /// \return The path at which clients request entry addresses.
  virtual std::string entryPath() const = 0;
  /// \return The path at which the platform checks whether this node is ready.
  virtual std::string readyPath() const = 0;
  /// Reads a client's request for entry addresses.
  virtual EntryQuery readEntryQuery(const HttpExchange &Exchange) const = 0;
  /// Writes the response to a request for entry addresses.
  virtual std::string writeEntries(const std::vector<std::string> &Addresses,
                                   Duration Ttl) const = 0;
};

} // namespace fulmar

#endif
