/// \file quarantine_base.h Quarantine state of one node: requests that crash
/// upstreams.
#ifndef FULMARSTEP_QUARANTINE_BASE_H
#define FULMARSTEP_QUARANTINE_BASE_H

#include <array>
#include <unordered_map>

#include "quarantine_type.h"

namespace fulmar {

/// Maximum number of suspects: requests during which an upstream terminated.
inline constexpr std::size_t MaxSuspects = 4096;
/// Maximum number of quarantine entries.
inline constexpr std::size_t MaxQuarantined = 256;
/// Slots for successful requests; enough for some seconds on a busy node.
inline constexpr std::size_t SuccessSlots = 4096;

/// An upstream terminated while it ran a request.
struct CrashRecord {
  std::uint64_t Upstream = 0; ///< Hash of its name and start.
  TimePoint At{};             ///< When this node learned of it.
  Fingerprint Prompt;         ///< All shared parts of the prompt; 0: unknown.
};

/// After this many trials a part stays quarantined. Those that showed nothing
/// do not count.
inline constexpr int MaxTrials = 3;

/// Latest decision on one request or part.
struct QuarantineEntry {
  std::uint32_t Round = 0; ///< Number of the decision; the highest wins.
  bool Lifted = false;     ///< Whether the request was found harmless.
  TimePoint Suspected{};   ///< First crash that led to the quarantine.
  TimePoint Until{};       ///< When the decision expires, or when the next
                           ///< trial of a part is due.
  QuarantineKind Kind = QuarantineKind::Request; ///< What is refused.
  int Trials = 0;     ///< Trials of the part that were begun.
  Fingerprint Prompt; ///< All shared parts of the prompt that crashed an
                      ///< upstream last.
};

/// A request that ran without a crash.
struct RecentSuccess {
  Fingerprint Content; ///< Fingerprint of the request.
  TimePoint At{};      ///< When it completed.
};

/// Quarantine state of one node.
struct Quarantine {
  QuarantinePolicy Policy; ///< Crash limit and duration.
  std::unordered_map<Fingerprint, std::vector<CrashRecord>>
      Suspects; ///< Crashes by request, oldest first.
  std::unordered_map<Fingerprint, std::vector<CrashRecord>>
      Observed; ///< The same, as this node alone has seen them.
  std::unordered_map<Fingerprint, QuarantineEntry> Entries; ///< By request.
  std::array<RecentSuccess, SuccessSlots>
      Successes{}; ///< By fingerprint modulo SuccessSlots; a newer success
                   ///< replaces the older one in its slot.
};

} // namespace fulmar

#endif
