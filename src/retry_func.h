/// \file retry_func.h The budget that retries and hedges spend.
#ifndef FULMARSTEP_RETRY_FUNC_H
#define FULMARSTEP_RETRY_FUNC_H

#include <algorithm>

namespace fulmar {

/// Token bucket for retries and hedges of a pipeline.
struct RetryBudget {
  double Tokens = 3; ///< Attempts; the initial tokens allow for low traffic.
};

/// Capacity of the bucket, so that tokens of a long idle time cannot cause a
/// retry storm.
inline constexpr double MaxRetryTokens = 20;

/// Adds \p Ratio tokens; called for each first attempt.
inline void retryEarn(RetryBudget &Budget, double Ratio) {
  Budget.Tokens = std::min(MaxRetryTokens, Budget.Tokens + Ratio);
}

/// Takes the token of one attempt.
/// \return Whether there was one.
inline bool retrySpend(RetryBudget &Budget) {
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

} // namespace fulmar

#endif
