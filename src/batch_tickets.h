/// \file batch_tickets.h Who waits for which ask.
#ifndef FULMARSTEP_BATCH_TICKETS_H
#define FULMARSTEP_BATCH_TICKETS_H

#include <functional>
#include <map>
#include <optional>

#include "batch_type.h"
#include "event_loop.h"

namespace fulmar {

/// An ask as its pool knows it.
struct BatchRequestName {
  std::string Pool;       ///< Which pool.
  BatchRequestId Request; ///< Its name there.

  auto operator<=>(const BatchRequestName &) const = default;
};

/// Remembers who waits for the asks of some pools.
class BatchTickets {
public:
  using DoneFn = std::function<void(const BatchResult &)>;
  using ReadFn = std::function<void()>;

  /// \param Loop calls back; null: only for asks that are never answered.
  void start(EventLoop &L) { Loop = &L; }

  /// \return The ticket of an ask; \p Done and \p Read may be empty.
  BatchTicket add(const BatchRequestName &Name, DoneFn Done, ReadFn Read);
  /// Answers an ask from the loop: whoever asked may not know the ticket yet,
  /// and may ask again at once.
  /// \param Unwanted is called when nobody waits any more.
  void answer(const BatchRequestName &Name, const BatchResult &Result,
              DoneFn Unwanted);
  /// Answers an ask that no pool knows.
  void answer(BatchTicket Ticket, const BatchResult &Result);
  /// Tells that an ask's inputs have been read.
  void inputsRead(const BatchRequestName &Name) const;
  /// Forgets who waits.
  /// \return The ask, or nothing when it was answered.
  std::optional<BatchRequestName> remove(BatchTicket Ticket);

private:
  /// Who waits for an ask.
  struct Waiter {
    BatchRequestName Name; ///< Which ask.
    DoneFn Done;           ///< Hears the result.
    ReadFn Read;           ///< Hears that the inputs were read.
  };

  EventLoop *Loop = nullptr;                      ///< Calls back.
  std::map<BatchTicket, Waiter> Waiters;          ///< By ticket.
  std::map<BatchRequestName, BatchTicket> ByName; ///< Back.
  std::uint64_t LastTicket = 0;                   ///< Counts asks.
};

} // namespace fulmar

#endif
