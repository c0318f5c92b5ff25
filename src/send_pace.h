/// \file send_pace.h Divides the time between nodes that send to an upstream
/// with a limit of a few requests per second for the whole fleet.
#ifndef FULMARSTEP_SEND_PACE_H
#define FULMARSTEP_SEND_PACE_H

#include <cstddef>
#include <cstdint>

#include "core/time_type.h"

namespace fulmar {

/// Fraction of an upstream's rate that all nodes together use. The rest is a
/// reserve for nodes that know too few of the others and take too large a
/// share.
inline constexpr double PaceShare = 0.45;
/// The same where all nodes have the same member list.
inline constexpr double AgreedShare = 0.9;
/// Length of a node's turn at an upstream whose rate is counted over one
/// second. With longer turns the turns of many nodes overlap; with shorter ones
/// most turns pass unused.
inline constexpr Duration ColdTurn = std::chrono::milliseconds(700);
/// The same where the rate is an average over several seconds.
inline constexpr Duration RateLimitTurn = std::chrono::milliseconds(2500);

/// Interval and length of the turns in each of which a node may send one
/// request.
struct PaceTurns {
  Duration Interval{}; ///< Between two turns; zero: no limit.
  Duration Length{};   ///< Length of a turn.
};

/// This node's turns to send to one upstream.
///
/// The upstream can take only a few requests per second from all nodes
/// together. For a session that many callers request, each node alone sends
/// little but the fleet far too much. So nodes take turns by the fleet time,
/// without having to ask or reach another node. An unused turn is lost: if
/// nodes saved their turns, all of them would send at the moment when requests
/// for a session begin.
struct SendPace {
  PaceTurns Turns;       ///< Interval and length of the turns.
  TimePoint TurnStart{}; ///< Beginning of one of the turns.
  TimePoint LastSent{};  ///< When a request was last sent; zero: never.
};

/// \return The turns of one node.
/// \param PerSecond rate limit of the upstream; zero: no limit is known.
/// \param Nodes the largest number of nodes that may send, this one included.
/// \param Length the length of a turn.
/// \param Share the fraction of the rate that all nodes together use.
PaceTurns paceTurns(double PerSecond, double Nodes, Duration Length,
                    double Share = PaceShare);

/// \return The fraction of the interval, from 0 to 1, at which a node's turns
/// begin. The turns of nodes that joined one after the other are spread evenly,
/// regardless of what each of them knows about the others, and so are the turns
/// of one node at the upstreams of a pool.
/// \param Number the incarnation of the node, or its index among all nodes
/// where they agree on the member list.
/// \param Place the index of the upstream in its pool.
double pacePhase(std::uint64_t Number, std::size_t Place);

/// Sets the turns.
/// \param Origin the local time at which the fleet time was
/// zero.
void paceSet(SendPace &Pace, PaceTurns Turns, double Phase, TimePoint Origin);

/// \return Whether it is this node's turn, whether or not it was used.
bool paceInTurn(const SendPace &Pace, TimePoint Now);

/// \return Whether a request may be sent at \p Now.
bool paceAllows(const SendPace &Pace, TimePoint Now);

/// \return The earliest time from \p Now on at which a request may be sent.
TimePoint paceNext(const SendPace &Pace, TimePoint Now);

/// Records that a request was sent.
inline void paceSent(SendPace &Pace, TimePoint Now) { Pace.LastSent = Now; }

} // namespace fulmar

#endif
