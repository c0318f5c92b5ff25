/// \file quarantine_base.h What a node knows of requests that may crash
/// upstreams.
#ifndef FULMARSTEP_QUARANTINE_BASE_H
#define FULMARSTEP_QUARANTINE_BASE_H

#include <array>
#include <unordered_map>

#include "quarantine_type.h"

namespace fulmar {

/// Requests under which an upstream has ended; more are not kept in mind.
inline constexpr std::size_t MaxSuspects = 4096;
/// Requests that are quarantined at once.
inline constexpr std::size_t MaxQuarantined = 256;
/// Places for requests that ended well; some seconds of a busy node.
inline constexpr std::size_t SuccessPlaces = 4096;

/// An upstream ended while it ran a request.
struct CrashMark {
  std::uint64_t Upstream = 0; ///< Hash of its name.
  TimePoint At{};             ///< When this node heard of it.
};

/// A decision on one request.
struct QuarantineEntry {
  std::uint32_t Round = 0; ///< Counts decisions; the latest holds.
  bool Lifted = false;     ///< It was found harmless.
  TimePoint Suspected{};   ///< First crash that counted.
  TimePoint Until{};       ///< When the decision ends.
};

/// A request that ended well.
struct RecentSuccess {
  Fingerprint Content; ///< Which request.
  TimePoint At{};      ///< When it ended.
};

/// The state of one node.
struct Quarantine {
  QuarantinePolicy Policy; ///< Bounds.
  std::unordered_map<Fingerprint, std::vector<CrashMark>>
      Suspects; ///< Crashes by request, the oldest first.
  std::unordered_map<Fingerprint, QuarantineEntry> Entries; ///< By request.
  std::array<RecentSuccess, SuccessPlaces>
      Successes{}; ///< By fingerprint; a newer one takes the place.
};

} // namespace fulmar

#endif
