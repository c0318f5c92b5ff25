/// \file refusal_guard.h Keeps the refusals of an upstream below the number
/// that it survives.
#ifndef FULMARSTEP_REFUSAL_GUARD_H
#define FULMARSTEP_REFUSAL_GUARD_H

#include <limits>

#include "send_pace.h"

namespace fulmar {

/// Limits what one node sends to an upstream that fails when it has to refuse
/// too many requests in a second, from all nodes together.
///
/// While nobody is refused, only requests without any response are limited:
/// they are the ones that may all be refused at once. After a refusal at any
/// node, all nodes send a new request only in place of one that has just ended;
/// to have one more in progress, a node waits for its turn. So the upstream
/// stays busy, and refusals come no faster than turns.
struct RefusalGuard {
  double PerSecond = 0; ///< Refusals that it survives; 0: no limit is known.
  int MaxUnanswered = std::numeric_limits<int>::max(); ///< While not pressed.
  int Unanswered = 0;       ///< Requests of this node without any response.
  TimePoint PressedUntil{}; ///< It refused a request lately.
  int Window = 0;           ///< Requests in progress while pressed.
  TimePoint FreedAt{};      ///< When a request ended last.
  SendPace Growth;          ///< Turns to enlarge Window.
};

/// How long a request may take the place of one that has ended. After that,
/// another node has probably taken it.
inline constexpr Duration PlaceHoldTime = std::chrono::milliseconds(50);

/// Sets the limit.
/// \param PerSecond refusals that the upstream survives; 0: no limit.
/// \param Nodes number of nodes that send to it.
void guardSet(RefusalGuard &G, double PerSecond, double Nodes);

/// Records that the upstream has refused a request of this node or another one.
void guardPressed(RefusalGuard &G, int InFlight, TimePoint Until);

/// \return Whether a request may be sent.
/// \param InFlight requests of this node in progress.
bool guardAllows(const RefusalGuard &G, int InFlight, TimePoint Now);

/// Records a request that is sent.
/// \param InFlight requests of this node in progress, with this one.
void guardSent(RefusalGuard &G, int InFlight, TimePoint Now);

/// Records that a request has ended.
inline void guardEnded(RefusalGuard &G, TimePoint Now) { G.FreedAt = Now; }

} // namespace fulmar

#endif
