/// \file freshness.h How recent the configuration in force is known to be.
#ifndef FULMARSTEP_FRESHNESS_H
#define FULMARSTEP_FRESHNESS_H

#include <optional>

#include "core/time_type.h"

namespace fulmar {

/// When a node last confirmed that its configuration is current.
///
/// A revoked API key must stop working at every node within a configured time,
/// also at a node that cannot read the store. Such a node cannot detect a
/// change; it only knows when it last confirmed that there was none. The age
/// counts from when the confirming request was sent, not from its response, and
/// uses a clock that continues while the machine is suspended.
struct Freshness {
  std::optional<Duration>
      ConfirmedAt; ///< On the boot-time clock; empty: never.
};

/// Limits on the age of the configuration.
struct FreshnessBounds {
  Duration Revocation{}; ///< How long a revoked key may still be
                         ///< accepted; zero: configurations never expire.
};

/// Fraction of the revocation time for which keys are accepted without a new
/// confirmation. The rest covers a request that was accepted at the last moment
/// and is on its way to its upstream, and a store whose watches deliver nothing
/// for a second.
inline constexpr double AcceptShare = 0.78;
/// Fraction of the revocation time after which a node that cannot confirm its
/// configuration is no longer advertised as an entry node. Callers cache an
/// address for a while and should have moved to another node before this one
/// refuses requests.
inline constexpr double EntryShare = 0.55;

/// Records that a request sent at \p Sent read the configuration or confirmed
/// that it is unchanged.
inline void freshnessConfirm(Freshness &F, Duration Sent) {
  if (!F.ConfirmedAt || *F.ConfirmedAt < Sent)
    F.ConfirmedAt = Sent;
}

/// \return The age of the configuration at \p Boot; empty if it was never
/// confirmed.
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

/// \return Whether this node should be advertised as an entry node at \p Boot.
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
