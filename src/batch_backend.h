/// \file batch_backend.h Interface for batch requests that this node
/// coordinates.
#ifndef FULMARSTEP_BATCH_BACKEND_H
#define FULMARSTEP_BATCH_BACKEND_H

#include "batch_tickets.h"

namespace fulmar {

/// Serves batch requests for some pools on this node.
class BatchBackend {
public:
  using DoneFn = BatchTickets::DoneFn;
  using ReadFn = BatchTickets::ReadFn;

  virtual ~BatchBackend() = default;

  /// Submits a batch request. \p Done is called once, not before this returns.
  /// \param Read is called if the inputs have been read before that.
  virtual BatchTicket ask(const std::string &Pool, const BatchRequest &Request,
                          DoneFn Done, ReadFn Read) = 0;
  /// Estimates the time that pieces submitted now would take.
  /// \return Nothing when it is not known.
  virtual std::optional<BatchForecast>
  forecast(const std::string &Pool, const BatchRequest &Request) = 0;
  /// Reserves room for a stage that is requested later; see batchReserve().
  virtual BatchReserveAnswer reserve(const BatchReserve &Reserve) = 0;
  /// Drops a reservation that is not used.
  virtual void unreserve(const BatchUnreserve &Unused) = 0;
  /// Cancels a batch request; \p Done is not called.
  virtual void cancel(BatchTicket Ticket) = 0;
  /// Frees results of \p Pool that are not needed any more.
  virtual void free(const std::string &Pool,
                    const std::vector<std::string> &Handles) = 0;
  /// \return The number of upstreams of a pool, over all its parts.
  virtual std::size_t size(const std::string &Pool) const = 0;
};

} // namespace fulmar

#endif
