/// \file histogram_base.h Histograms for metrics.
#ifndef FULMARSTEP_HISTOGRAM_BASE_H
#define FULMARSTEP_HISTOGRAM_BASE_H

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace fulmar {

/// Counts values per bucket, with their total count and sum.
class Histogram {
public:
  /// \param Edges upper bounds of the buckets in ascending order; an overflow
  /// bucket holds larger values.
  explicit Histogram(std::span<const double> Edges);
  ~Histogram();
  Histogram(Histogram &&) noexcept;
  Histogram &operator=(Histogram &&) noexcept;

  /// Adds one value.
  void add(double Value);
  /// \return Number of values added.
  std::uint64_t count() const;
  /// \return Sum of the values added.
  double sum() const;
  /// \return Number of values at or below the edge \p Index; an index past the
  /// last edge counts all values.
  std::uint64_t cumulativeCount(std::size_t Index) const;
  /// \return The upper edge of the bucket that contains the quantile \p Q
  /// (0 to 1); the last edge for the overflow bucket, 0 without values.
  double quantile(double Q) const;
  /// \return Upper edges of the buckets.
  const std::vector<double> &edges() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data; ///< Hides Boost from this header.
};

/// Upper bucket edges in ms, for latencies from one token up to a whole
/// deadline.
std::span<const double> latencyEdgesMs();

} // namespace fulmar

#endif
