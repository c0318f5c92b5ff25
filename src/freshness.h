/// \file freshness.h How recent the configuration in force is known to be.
#ifndef FULMARSTEP_FRESHNESS_H
#define FULMARSTEP_FRESHNESS_H

#include <optional>

#include "core/time_type.h"

namespace fulmar {

/// What a node knows of the age of its configuration.
///
/// A key that was taken away must stop working everywhere within a set time,
/// also at a node that cannot read the store. Such a node cannot know that
/// anything changed; it can only know when it last was sure that nothing had.
/// The time counts from when the confirming call was sent, not from its
/// answer, and on a clock that goes on while the machine is suspended.
struct Freshness {
  std::optional<Duration> ConfirmedAt; ///< Boot-time clock; empty: never.
};

/// Bounds that follow from how long a withdrawn key may still be accepted.
struct FreshnessBounds {
  Duration Revocation{}; ///< Zero: a configuration is believed for ever.
};

/// Part of the revocation time within which keys are accepted. The rest covers
/// a request that was accepted at the last moment and is on its way to its
/// upstream, and a store whose watches hear nothing for a second.
inline constexpr double AcceptShare = 0.78;
/// Part of the revocation time after which a node that cannot confirm its
/// configuration is no longer given out as an entry: callers keep an address
/// for a while, so that they should have moved away before requests are
/// refused.
inline constexpr double EntryShare = 0.55;

/// The configuration was read, or confirmed unchanged, by a call that was sent
/// at \p Sent.
inline void freshnessConfirm(Freshness &F, Duration Sent) {
  if (!F.ConfirmedAt || *F.ConfirmedAt < Sent)
    F.ConfirmedAt = Sent;
}

/// \return The age, or nothing when it was never confirmed.
inline std::optional<Duration> freshnessAge(const Freshness &F, Duration Boot) {
  if (!F.ConfirmedAt)
    return std::nullopt;
  return Boot - *F.ConfirmedAt;
}

/// \return Whether a request with a key may be accepted at \p Boot.
inline bool freshForKeys(const Freshness &F, const FreshnessBounds &B,
                         Duration Boot) {
  auto Age = freshnessAge(F, Boot);
  if (!Age)
    return false;
  return B.Revocation == Duration::zero() ||
         toMs(*Age) <= toMs(B.Revocation) * AcceptShare;
}

/// \return Whether this node should be given out as an entry at \p Boot.
inline bool freshForEntry(const Freshness &F, const FreshnessBounds &B,
                          Duration Boot) {
  auto Age = freshnessAge(F, Boot);
  if (!Age)
    return false;
  return B.Revocation == Duration::zero() ||
         toMs(*Age) <= toMs(B.Revocation) * EntryShare;
}

} // namespace fulmar

#endif
