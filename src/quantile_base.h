/// \file quantile_base.h Streaming quantiles in constant memory.
#ifndef FULMARSTEP_QUANTILE_BASE_H
#define FULMARSTEP_QUANTILE_BASE_H

#include <cstddef>
#include <memory>

namespace fulmar {

/// The quantiles that are estimated.
enum class Quantile {
  Low,     ///< 0.1: latency of a call that does not queue at the upstream.
  Median,  ///< 0.5.
  High,    ///< 0.9: latency that admission control assumes.
  Tail,    ///< 0.95: delay before a hedged attempt is sent.
  Count,   ///< Number of quantiles.
  Invalid, ///< Not a quantile.
};

/// Estimates quantiles of a stream of values with the P-square algorithm.
class QuantileEstimator {
public:
  QuantileEstimator();
  ~QuantileEstimator();
  QuantileEstimator(QuantileEstimator &&) noexcept;
  QuantileEstimator &operator=(QuantileEstimator &&) noexcept;

  /// Adds one value.
  void add(double Value);
  /// \return Number of values added.
  std::size_t count() const;
  /// \return The mean; 0 without values.
  double mean() const;
  /// \return The estimated quantile; 0 without values.
  double quantile(Quantile Q) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data; ///< Hides Boost from this header.
};

} // namespace fulmar

#endif
