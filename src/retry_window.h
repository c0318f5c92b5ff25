/// \file retry_window.h The fleet's bound on repeated sends, kept by each node
/// on its own.
#ifndef FULMARSTEP_RETRY_WINDOW_H
#define FULMARSTEP_RETRY_WINDOW_H

#include <cstdint>
#include <deque>
#include <string>

#include "core/time_type.h"

namespace fulmar {

/// What the fleet may repeat for one pool.
struct RetryAllowance {
  double Ratio = 0.2; ///< Repeats for each request.
  double Extra = 0;   ///< Repeats besides, by the whole fleet.
  Duration Window = std::chrono::seconds(10); ///< In any span of this length.
  double Nodes = 1;                           ///< Live nodes that share Extra.
  double Lot = 0; ///< This node's, from 0 to 1; see retryShare().
};

/// Part of the allowance that is used. Nodes count requests and repeats at
/// slightly different moments than the upstreams that see them, and one of
/// them may believe that there are fewer nodes than there are.
inline constexpr double RetryMargin = 0.7;

/// \return Repeats besides the ratio that a node may make in a window.
///
/// In a large fleet a node's share is less than one repeat. Rounded down, no
/// node would repeat anything; so as many nodes have a whole one as there are
/// repeats, and the others ask them for theirs. A node's lot says which they
/// are, to every node.
inline double retryShare(const RetryAllowance &A) {
  double Share = RetryMargin * A.Extra / (A.Nodes < 1 ? 1 : A.Nodes);
  if (Share >= 1)
    return Share;
  return A.Lot < Share ? 1 : 0;
}

/// \return Whether nodes have shares of less than one repeat.
inline bool retrySharesSmall(const RetryAllowance &A) {
  return RetryMargin * A.Extra < A.Nodes;
}

/// Requests and repeats of one pool in the latest window.
struct RetryWindow {
  std::deque<TimePoint> Requests; ///< First sends, in order.
  std::deque<TimePoint> Repeats;  ///< Sends beyond the first, in order.
};

/// Forgets what is older than the window.
inline void retryWindowAge(RetryWindow &W, const RetryAllowance &A,
                           TimePoint Now) {
  auto Drop = [&](std::deque<TimePoint> &Times) {
    while (!Times.empty() && Times.front() + A.Window <= Now)
      Times.pop_front();
  };
  Drop(W.Requests);
  Drop(W.Repeats);
}

/// Counts a request's first send.
inline void retryWindowRequest(RetryWindow &W, TimePoint Now) {
  W.Requests.push_back(Now);
}

/// \return Whether one more repeat fits this node's share of the allowance.
inline bool retryWindowAllows(RetryWindow &W, const RetryAllowance &A,
                              TimePoint Now) {
  retryWindowAge(W, A, Now);
  double Most = RetryMargin * A.Ratio * static_cast<double>(W.Requests.size()) +
                retryShare(A);
  return static_cast<double>(W.Repeats.size() + 1) <= Most;
}

/// Asks a node for a repeat that it may make and need not.
struct RetryAsk {
  std::uint64_t Serial = 0; ///< The asker's name for it.
  std::string Pool;         ///< Which pool.
};

/// Answers a RetryAsk.
struct RetryAnswer {
  std::uint64_t Serial = 0; ///< As in the ask.
  bool Lent = false;        ///< The asker may make it.
};

/// Counts a repeat.
inline void retryWindowRepeat(RetryWindow &W, TimePoint Now) {
  W.Repeats.push_back(Now);
}

} // namespace fulmar

#endif
