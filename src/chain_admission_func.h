/// \file chain_admission_func.h Admission of a request by all of its stages at
/// once. No I/O.
#ifndef FULMARSTEP_CHAIN_ADMISSION_FUNC_H
#define FULMARSTEP_CHAIN_ADMISSION_FUNC_H

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "batch_type.h"

namespace fulmar {

/// Decision about a request before its first stage.
enum class ChainDecision {
  OnTime,  ///< It should be on time.
  Late,    ///< It should be late, but before its client gives up.
  Refuse,  ///< Its client would give up before.
  Count,   ///< Number of decisions.
  Invalid, ///< Not a decision.
};

/// One stage of the request.
struct ChainStage {
  std::vector<int> After; ///< Indices of the stages whose results it needs.
  int Pieces = 0;         ///< Number of its pieces; 0: it is done at once.
  Duration ArrivesIn{};   ///< Arrival that its pool was asked about.
  std::optional<BatchForecast> Forecast; ///< From its arrival at the pool, as
                                         ///< its coordinator answered.
  BatchForecast Fallback;                ///< Used without an answer.
  Duration RetryIn{};                    ///< Of the answer.
};

/// What a decision is based on.
struct ChainFacts {
  std::vector<ChainStage> Stages; ///< By index.
  Duration FirstEvent{};   ///< Usual time from the last stage to the first
                           ///< event.
  Duration UntilLate{};    ///< Until the first event is late.
  Duration UntilGivenUp{}; ///< Until the client gives up waiting for it.
  Duration ClientLeft{};   ///< Time that the client has, with its retries.
};

/// A decision and its reasons.
struct ChainVerdict {
  ChainDecision Decision = ChainDecision::Invalid; ///< The decision.
  Duration Expected{};      ///< Expected time to the first event.
  std::size_t Tightest = 0; ///< Index of the stage with the fullest pool.
  Duration RetryIn{};       ///< When to retry, if it is refused.
  int Asked = 0;            ///< Stages with pieces.
  int Answered = 0;         ///< Those whose pool has answered.
};

/// \return When each stage begins, if each takes the time in \p Own: not before
/// ChainStage::ArrivesIn.
std::vector<Duration> chainBegins(std::span<const ChainStage> Stages,
                                  std::span<const Duration> Own);

/// Decides whether a request is admitted. It is refused only if the stages
/// whose pools have answered would take too long by themselves.
ChainVerdict chainDecide(const ChainFacts &Facts);

/// \return The name of \p Decision, for logs and metrics.
std::string_view chainDecisionName(ChainDecision Decision);

} // namespace fulmar

#endif
