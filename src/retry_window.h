/// \file retry_window.h The fleet's bound on repeated sends, kept by each node
/// on its own.
#ifndef FULMARSTEP_RETRY_WINDOW_H
#define FULMARSTEP_RETRY_WINDOW_H

#include <deque>

#include "core/time_type.h"

namespace fulmar {

/// What the fleet may repeat for one pool.
struct RetryAllowance {
  double Ratio = 0.2; ///< Repeats for each request.
  double Extra = 0;   ///< Repeats besides, by the whole fleet.
  Duration Window = std::chrono::seconds(10); ///< In any span of this length.
  double Nodes = 1;                           ///< Live nodes that share Extra.
};

/// Part of the allowance that is used. Nodes count requests and repeats at
/// slightly different moments than the upstreams that see them, and one of
/// them may believe that there are fewer nodes than there are.
inline constexpr double RetryMargin = 0.7;

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
  double Share = A.Extra / (A.Nodes < 1 ? 1 : A.Nodes);
  double Most =
      RetryMargin * (A.Ratio * static_cast<double>(W.Requests.size()) + Share);
  return static_cast<double>(W.Repeats.size() + 1) <= Most;
}

/// Counts a repeat.
inline void retryWindowRepeat(RetryWindow &W, TimePoint Now) {
  W.Repeats.push_back(Now);
}

} // namespace fulmar

#endif
