/// \file chain_admission.cpp Admission of a request by all of its stages.
#include "chain_admission_func.h"

#include <algorithm>
#include <cassert>

#include "core/enum_names.h"

namespace fulmar {

/// Part of the time that a client has left after which it is told to come back,
/// at most: it must have time for the request itself.
static constexpr int MaxRetryPart = 3;

static constexpr EnumNames<ChainDecision> DecisionNames = {"on_time", "late",
                                                           "refuse"};

std::string_view chainDecisionName(ChainDecision Decision) {
  return nameIn(DecisionNames, Decision);
}

/// Which forecast of a stage without an answer counts.
enum class MissingAnswer {
  Fallback, ///< The one that was passed in.
  Nothing,  ///< None; the stage takes no time.
  Count,    ///< Number of values.
  Invalid,  ///< Not a value.
};

static BatchForecast forecastOf(const ChainStage &Stage,
                                MissingAnswer Missing) {
  if (Stage.Pieces == 0)
    return {};
  if (Stage.Forecast)
    return *Stage.Forecast;
  return Missing == MissingAnswer::Fallback ? Stage.Fallback : BatchForecast();
}

std::vector<Duration> chainBegins(std::span<const ChainStage> Stages,
                                  std::span<const Duration> Own) {
  assert(Stages.size() == Own.size());
  std::vector<Duration> Begins;
  // The forecast holds from this arrival on. If a path through faster stages
  // counted, a request would be on time here and late in the pool.
  for (const ChainStage &Stage : Stages)
    Begins.push_back(Stage.ArrivesIn);
  // A configuration may list a stage before those that it needs.
  for (std::size_t Round = 1; Round < Stages.size(); ++Round) {
    for (std::size_t I = 0; I < Stages.size(); ++I) {
      for (int Needed : Stages[I].After) {
        auto Input = static_cast<std::size_t>(Needed);
        Begins[I] = std::max(Begins[I], Begins[Input] + Own[Input]);
      }
    }
  }
  return Begins;
}

/// \return Time of the longest path through the stages and of the first event,
/// if the request is on time in each pool.
static Duration onTimePath(const ChainFacts &Facts, MissingAnswer Missing) {
  std::vector<Duration> Own;
  for (const ChainStage &Stage : Facts.Stages)
    Own.push_back(forecastOf(Stage, Missing).OnTime);
  std::vector<Duration> Begins = chainBegins(Facts.Stages, Own);
  Duration Longest{};
  for (std::size_t I = 0; I < Own.size(); ++I)
    Longest = std::max(Longest, Begins[I] + Own[I]);
  return Longest + Facts.FirstEvent;
}

/// \return Time of a request that cannot be on time: in the pool with the
/// largest delay it waits behind all that can.
static Duration latePath(const ChainFacts &Facts, MissingAnswer Missing) {
  Duration Behind{};
  for (const ChainStage &Stage : Facts.Stages) {
    BatchForecast Forecast = forecastOf(Stage, Missing);
    Behind = std::max(Behind, Forecast.Late - Forecast.OnTime);
  }
  return onTimePath(Facts, Missing) + Behind;
}

/// \return Index of the stage whose pool has room last.
static std::size_t tightestStage(const ChainFacts &Facts) {
  std::size_t Found = 0;
  auto Tightness = [&](std::size_t I) {
    const ChainStage &Stage = Facts.Stages[I];
    return std::pair(Stage.Forecast ? Stage.RetryIn : Duration::zero(),
                     forecastOf(Stage, MissingAnswer::Fallback).Late);
  };
  for (std::size_t I = 1; I < Facts.Stages.size(); ++I) {
    if (Tightness(I) > Tightness(Found))
      Found = I;
  }
  return Found;
}

ChainVerdict chainDecide(const ChainFacts &Facts) {
  ChainVerdict Out;
  if (Facts.Stages.empty()) {
    Out.Decision = ChainDecision::OnTime;
    return Out;
  }
  for (const ChainStage &Stage : Facts.Stages) {
    Out.Asked += Stage.Pieces > 0 ? 1 : 0;
    Out.Answered += Stage.Pieces > 0 && Stage.Forecast ? 1 : 0;
  }
  Out.Tightest = tightestStage(Facts);
  Out.Expected = onTimePath(Facts, MissingAnswer::Fallback);
  if (Out.Expected <= Facts.UntilLate) {
    Out.Decision = ChainDecision::OnTime;
    return Out;
  }
  Out.Expected = latePath(Facts, MissingAnswer::Fallback);
  if (Out.Expected <= Facts.UntilGivenUp || Out.Answered == 0 ||
      latePath(Facts, MissingAnswer::Nothing) <= Facts.UntilGivenUp) {
    Out.Decision = ChainDecision::Late;
    return Out;
  }
  Out.Decision = ChainDecision::Refuse;
  Duration RetryIn = Facts.Stages[Out.Tightest].RetryIn;
  // No pool is full by itself: the request is too late by the sum of its waits.
  if (RetryIn <= Duration::zero())
    RetryIn = Out.Expected - Facts.UntilLate;
  Out.RetryIn = std::clamp<Duration>(
      RetryIn, MinRetryDelay,
      std::max<Duration>(MinRetryDelay, Facts.ClientLeft / MaxRetryPart));
  return Out;
}

} // namespace fulmar
