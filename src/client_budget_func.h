/// \file client_budget_func.h Decides which clients are closed when what they
/// hold becomes too much.
#ifndef FULMARSTEP_CLIENT_BUDGET_FUNC_H
#define FULMARSTEP_CLIENT_BUDGET_FUNC_H

#include <cstdint>
#include <optional>
#include <span>

#include "client_budget_type.h"

namespace fulmar {

/// A request of at most this size, bytes, always fits beside large ones.
inline constexpr std::size_t SmallBodyBytes = std::size_t{64} << 10;

/// Chooses the connection that is closed to end a shortage.
///
/// For want of connections, those without a request go first, in the order of
/// their last use. For want of memory, the one that has occupied most memory
/// for longest goes first: a client that stops short of the end of its request,
/// or sends or reads it a byte at a time, gives way to those that finish. A
/// request that has just begun, and one that is in progress, are left alone.
///
/// \param Except index of a connection that is not chosen.
/// \return Index into \p Holds; nothing if none may be closed.
std::optional<std::size_t> clientToClose(std::span<const ClientHold> Holds,
                                         ClientShortage Shortage,
                                         std::optional<std::size_t> Except,
                                         TimePoint Now);

/// \return Part of the memory for clients that large bodies may take, bytes.
std::size_t largeBodyRoom(const ClientLimits &Limits);

/// \return Limits on what clients of a process hold.
/// \param MemoryMb memory of the machine, MB.
/// \param Sockets descriptors that the process may use for sockets.
ClientLimits clientLimitsFor(double MemoryMb, std::int64_t Sockets);

/// \return Descriptors that a process may use for sockets.
/// \param Stated limit in the settings, of which some are not for sockets; 0:
/// only that of the process counts.
/// \param OfProcess limit of the process.
std::int64_t socketsOf(std::int64_t Stated, std::int64_t OfProcess);

} // namespace fulmar

#endif
