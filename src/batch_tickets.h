/// \file batch_tickets.h Callbacks of batch requests in progress.
#ifndef FULMARSTEP_BATCH_TICKETS_H
#define FULMARSTEP_BATCH_TICKETS_H

#include <functional>
#include <map>
#include <optional>

#include "batch_type.h"
#include "event_loop.h"

namespace fulmar {

/// Identifies a batch request on this node.
struct BatchRequestKey {
  std::string Pool;       ///< Part of a pool.
  BatchRequestId Request; ///< Its id in that part.

  auto operator<=>(const BatchRequestKey &) const = default;
};

/// Keeps the callbacks of batch requests.
class BatchTickets {
public:
  using DoneFn = std::function<void(const BatchResult &)>;
  using ReadFn = std::function<void()>;

  /// \param L runs the callbacks; null: only for requests that are never
  /// answered.
  void start(EventLoop &L) { Loop = &L; }

  /// \return The ticket of a batch request; \p Done and \p Read may be empty.
  BatchTicket add(const BatchRequestKey &Key, DoneFn Done, ReadFn Read);
  /// Passes on a result from the event loop: the submitter may not have the
  /// ticket yet, and may submit again from the callback.
  /// \param OnUnclaimed is called instead if the request was cancelled.
  void answer(const BatchRequestKey &Key, const BatchResult &Result,
              DoneFn OnUnclaimed);
  /// Passes on the result of a request that no pool has accepted.
  void answer(BatchTicket Ticket, const BatchResult &Result);
  /// Reports that the inputs of a batch request have been read.
  void inputsRead(const BatchRequestKey &Key) const;
  /// Removes the callbacks of a batch request.
  /// \return The request, or nothing when it was answered.
  std::optional<BatchRequestKey> remove(BatchTicket Ticket);

private:
  /// The callbacks of one batch request.
  struct Waiter {
    BatchRequestKey Key;
    DoneFn Done; ///< Called with the result.
    ReadFn Read; ///< Called when the inputs have been read.
  };

  EventLoop *Loop = nullptr;                    ///< Runs the callbacks.
  std::map<BatchTicket, Waiter> Waiters;        ///< By ticket.
  std::map<BatchRequestKey, BatchTicket> ByKey; ///< Tickets by request.
  std::uint64_t LastTicket = 0;                 ///< Last ticket assigned.
};

} // namespace fulmar

#endif
