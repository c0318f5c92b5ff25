/// \file retry_window.h Fleet-wide limit on repeated sends, of which each node
/// enforces its share.
#ifndef FULMARSTEP_RETRY_WINDOW_H
#define FULMARSTEP_RETRY_WINDOW_H

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <deque>
#include <string>

#include "core/time_type.h"

namespace fulmar {

/// Limit on the sends that the fleet may repeat for one pool.
struct RetryAllowance {
  double Ratio = 0.2; ///< Repeats per request.
  double Extra = 0;   ///< Further repeats of the whole fleet in a window.
  Duration Window = std::chrono::seconds(10); ///< Length of the sliding window.
  double Nodes = 1;                           ///< Nodes that share Extra.
  double NodeHash = 0; ///< Hash of this node and the pool, from 0 to 1; see
                       ///< retryShare().
  /// This process runs for so long that a process before it with the same share
  /// has used none of it in the latest window.
  bool Settled = true;
};

/// Fraction of the allowance that nodes use. Nodes count requests and repeats
/// at slightly different times than the upstreams that receive them, and a
/// node's member list may hold fewer nodes than the fleet has.
inline constexpr double RetryUsableFraction = 0.7;

/// \return Repeats beyond the ratio that a node may make in a window.
///
/// In a large fleet a node's share is less than one repeat, and rounded down no
/// node could repeat anything. So as many nodes get one whole repeat as there
/// are repeats, and the others request repeats from those nodes, which every
/// node determines from the hashes.
inline double retryShare(const RetryAllowance &A) {
  if (!A.Settled)
    return 0;
  double Share = RetryUsableFraction * A.Extra / (A.Nodes < 1 ? 1 : A.Nodes);
  if (Share >= 1)
    return Share;
  return A.NodeHash < Share ? 1 : 0;
}

/// \return Whether a node's share is less than one repeat.
inline bool retryShareBelowOne(const RetryAllowance &A) {
  return !A.Settled || RetryUsableFraction * A.Extra < A.Nodes;
}

/// Requests and repeats of one pool in the latest window.
struct RetryWindow {
  std::deque<TimePoint> Requests; ///< First sends, in order.
  std::deque<TimePoint> Repeats;  ///< Sends beyond the first, in order.
  int Reserved = 0; ///< Repeats that are decided and not sent yet.
};

/// Removes sends that are older than the window.
inline void retryWindowExpire(RetryWindow &W, const RetryAllowance &A,
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

/// \return Whether this node's share of the allowance permits one more repeat.
inline bool retryWindowAllows(RetryWindow &W, const RetryAllowance &A,
                              TimePoint Now) {
  retryWindowExpire(W, A, Now);
  double Limit =
      RetryUsableFraction * A.Ratio * static_cast<double>(W.Requests.size()) +
      retryShare(A);
  return static_cast<double>(W.Repeats.size()) + W.Reserved + 1 <= Limit;
}

/// Reserves a repeat that is to be sent later. Attempts that end together would
/// all find the same allowance if it were charged when they are sent.
/// \return Whether the allowance permits it.
inline bool retryWindowReserve(RetryWindow &W, const RetryAllowance &A,
                               TimePoint Now) {
  if (!retryWindowAllows(W, A, Now))
    return false;
  ++W.Reserved;
  return true;
}

/// Gives back a reserved repeat that is not sent.
inline void retryWindowRelease(RetryWindow &W) {
  assert(W.Reserved > 0);
  --W.Reserved;
}

/// Time in which a lent repeat has to be sent.
inline constexpr Duration RetryLoanTime = std::chrono::seconds(1);

/// Requests the loan of one of the repeats that the receiver may make.
struct RetryAsk {
  std::uint64_t Serial = 0; ///< Identifies the request's wait at its sender.
  std::string Pool;         ///< Pool to repeat a send to.
};

/// Answers a RetryAsk.
struct RetryAnswer {
  std::uint64_t Serial = 0; ///< As in the RetryAsk.
  bool Lent = false;        ///< The sender of the RetryAsk may repeat.
};

/// Counts a repeat that is sent at \p At.
inline void retryWindowRepeat(RetryWindow &W, TimePoint At) {
  W.Repeats.insert(std::upper_bound(W.Repeats.begin(), W.Repeats.end(), At),
                   At);
}

/// Counts a reserved repeat that is sent.
inline void retryWindowSend(RetryWindow &W, TimePoint Now) {
  retryWindowRelease(W);
  retryWindowRepeat(W, Now);
}

/// Reserves a repeat again that was counted at \p At and not sent after all.
inline void retryWindowTakeBack(RetryWindow &W, TimePoint At) {
  auto Found = std::lower_bound(W.Repeats.begin(), W.Repeats.end(), At);
  if (Found != W.Repeats.end() && *Found == At)
    W.Repeats.erase(Found);
  ++W.Reserved;
}

} // namespace fulmar

#endif
