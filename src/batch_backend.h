/// \file batch_backend.h What serves asks on the node that they were given to.
#ifndef FULMARSTEP_BATCH_BACKEND_H
#define FULMARSTEP_BATCH_BACKEND_H

#include "batch_tickets.h"

namespace fulmar {

/// Serves the asks of some pools on this node.
class BatchBackend {
public:
  using DoneFn = BatchTickets::DoneFn;
  using ReadFn = BatchTickets::ReadFn;

  virtual ~BatchBackend() = default;

  /// Asks. \p Done is called once, not before this returns.
  /// \param Read is called if the inputs are read before that.
  virtual BatchTicket ask(const std::string &Pool, const BatchRequest &Request,
                          DoneFn Done, ReadFn Read) = 0;
  /// Estimates what pieces that are asked for now would take.
  /// \return Nothing when it is not known.
  virtual std::optional<BatchForecast>
  forecast(const std::string &Pool, const BatchRequest &Request) = 0;
  /// Nobody waits any more; \p Done is not called.
  virtual void cancel(BatchTicket Ticket) = 0;
  /// Results of \p Pool are not needed any more.
  virtual void free(const std::string &Pool,
                    const std::vector<std::string> &Handles) = 0;
  /// \return How many upstreams a pool has, all its parts together.
  virtual std::size_t size(const std::string &Pool) const = 0;
};

} // namespace fulmar

#endif
