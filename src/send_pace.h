/// \file send_pace.h When a node may send to an upstream that takes only a few
/// requests a second from all nodes together.
#ifndef FULMARSTEP_SEND_PACE_H
#define FULMARSTEP_SEND_PACE_H

#include <cstddef>
#include <cstdint>

#include "core/time_type.h"

namespace fulmar {

/// Part of what an upstream takes that all nodes together send. The rest is
/// for nodes that know too few of the others and take too large a share.
inline constexpr double PaceShare = 0.45;
/// The same, where all nodes know the same ones.
inline constexpr double AgreedShare = 0.9;
/// How long a node may make use of its turn, where an upstream bears so many
/// requests in each second. Longer, and the turns of many nodes overlap;
/// shorter, and most of them pass unused.
inline constexpr Duration ColdTurn = std::chrono::milliseconds(700);
/// The same, where it takes so many a second over several seconds.
inline constexpr Duration RateLimitTurn = std::chrono::milliseconds(2500);

/// How often and how long a node may send one request.
struct PaceTurns {
  Duration Interval{}; ///< Between two turns; zero: no pace is kept.
  Duration Length{};   ///< Of a turn.
};

/// This node's turns to send to one upstream.
///
/// An upstream bears a few requests a second, from all nodes together. With a
/// session that many ask for, each node alone sends little and the fleet far
/// too much. So nodes take turns: no node has to be asked, and none has to be
/// reached. A turn that is not used is lost. If nodes kept it, all of them
/// would send at the moment when a session begins to be asked for.
struct SendPace {
  PaceTurns Turns;      ///< How often it may send.
  TimePoint Turn{};     ///< Begin of one of the turns.
  TimePoint LastSent{}; ///< Of the latest request; zero: none yet.
};

/// \param PerSecond requests that the upstream takes; zero: no limit is known.
/// \param Nodes the most that may send, this one included.
/// \param Length of a turn.
/// \param Share of what the upstream takes that all nodes together send.
PaceTurns paceTurns(double PerSecond, double Nodes, Duration Length,
                    double Share = PaceShare);

/// \return Where in the interval a node's turns begin, from 0 to 1. The turns
/// of nodes that joined one after the other are spread evenly, whatever each of
/// them knows of the others; and so are one node's turns at the upstreams of a
/// pool.
/// \param Number of the node: its incarnation, or its place among all nodes
/// where they agree on who there is.
/// \param Place of the upstream in its pool.
double pacePhase(std::uint64_t Number, std::size_t Place);

/// Sets the turns. \param Origin when the fleet's time was zero.
void paceSet(SendPace &Pace, PaceTurns Turns, double Phase, TimePoint Origin);

/// \return Whether it is this node's turn, used or not.
bool paceInTurn(const SendPace &Pace, TimePoint Now);

/// \return Whether a request may be sent now.
bool paceAllows(const SendPace &Pace, TimePoint Now);

/// \return When a request may be sent next.
TimePoint paceNext(const SendPace &Pace, TimePoint Now);

/// A request was sent.
inline void paceSent(SendPace &Pace, TimePoint Now) { Pace.LastSent = Now; }

} // namespace fulmar

#endif
