/// \file client_budget.h Limits what clients make a process hold.
#ifndef FULMARSTEP_CLIENT_BUDGET_H
#define FULMARSTEP_CLIENT_BUDGET_H

#include <optional>
#include <vector>

#include "client_budget_type.h"
#include "kernel.h"
#include "settings_type.h"
#include "timer_base.h"

namespace fulmar {

/// A connection whose resources are counted.
class BudgetedClient {
public:
  virtual ~BudgetedClient() = default;
  /// Gives up the request or the connection. May delete this object.
  virtual void endForShortage(ClientShortage Why) = 0;

  std::size_t BudgetSlot = 0; ///< Used by the budget alone.
};

class ClientBudget;

/// Memory that is held for clients apart from their connections, until the end
/// of this object.
class BudgetCharge {
public:
  BudgetCharge() = default;
  BudgetCharge(ClientBudget &B, std::size_t N) : Budget(&B), Bytes(N) {}
  BudgetCharge(BudgetCharge &&Other) noexcept;
  BudgetCharge &operator=(BudgetCharge &&Other) noexcept;
  ~BudgetCharge();

private:
  ClientBudget *Budget = nullptr; ///< Null: nothing is charged.
  std::size_t Bytes = 0;          ///< Charged to it.
};

/// The one account of what the clients of all ports of a process hold.
class ClientBudget : public Service {
public:
  ClientBudget(TimerService &Timers, const ClientLimits &Limits);
  ~ClientBudget() override;
  ClientBudget(const ClientBudget &) = delete;
  ClientBudget &operator=(const ClientBudget &) = delete;

  /// Counts a new connection; closes another one if there are too many.
  /// \return Whether it may stay.
  bool open(BudgetedClient &Client);
  /// Ends the count of a connection.
  void close(const BudgetedClient &Client);
  /// Replaces what is known of a connection.
  void update(const BudgetedClient &Client, const ClientHold &Hold);

  /// Makes room for what a connection holds, by closing others.
  /// \return Whether all that is held fits.
  bool fits(const BudgetedClient &Client);
  /// Makes room for a large body, beside which small requests still fit.
  /// \param Bytes by which the connection's memory is going to grow.
  /// \return Whether it fits.
  bool fitsLarge(const BudgetedClient &Client, std::size_t Bytes);
  /// Charges memory that no connection holds, if there is room without closing
  /// one. A large amount leaves room for small requests.
  std::optional<BudgetCharge> charge(std::size_t Bytes);
  /// \return Whether no more than what small requests need is left.
  bool crowded() const;
  /// Closes a connection, as there is no descriptor for another one.
  void freeDescriptor();

  const ClientLimits &limits() const { return Limits; }
  /// \return Memory that is held for clients, bytes.
  std::size_t bytes() const { return Total; }
  /// \return Number of open connections.
  std::size_t connections() const { return Holds.size(); }

  ClientBudgetCounts Counts; ///< What was refused and closed so far.

private:
  friend class BudgetCharge;

  bool closeOne(ClientShortage Shortage, std::optional<std::size_t> Except);
  void relieve();
  void trim();

  TimerService &Timers;                  ///< Clock and timers.
  ClientLimits Limits;                   ///< Limits on the sums.
  std::vector<ClientHold> Holds;         ///< By slot.
  std::vector<BudgetedClient *> Clients; ///< By slot.
  std::size_t Total = 0;                 ///< Memory held for clients, bytes.
  std::size_t Peak = 0;      ///< Largest Total since memory was last returned.
  std::size_t Large = 0;     ///< Connections with a large body.
  TimerId Tick;              ///< Looks for clients to close.
  ClientBudgetCounts Logged; ///< Counts at the latest log line.
  TimePoint LoggedAt{};      ///< Time of the latest log line.
};

/// \return Limits on the clients of a node of these settings.
ClientLimits clientLimitsOf(const Settings &S);

} // namespace fulmar

#endif
