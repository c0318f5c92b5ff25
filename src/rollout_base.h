/// \file rollout_base.h State of bundle roll-out on one node.
#ifndef FULMARSTEP_ROLLOUT_BASE_H
#define FULMARSTEP_ROLLOUT_BASE_H

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "bundle_base.h"

namespace fulmar {

/// One step from a version to the next that was applied here.
struct RolloutStep {
  std::uint64_t FromVersion = 0; ///< Version before.
  Digest FromRoot = {};          ///< Content before.
  std::set<std::string> Touched; ///< Keys changed or removed by it.
};

/// Counts for operators.
struct RolloutCounts {
  std::uint64_t Applied = 0;    ///< Bundles that came into force.
  std::uint64_t Lower = 0;      ///< Lower or equal versions offered, ignored.
  std::uint64_t BadSeal = 0;    ///< Signatures that no operator's key made.
  std::uint64_t BadContent = 0; ///< Contents that did not fit their seal.
  std::uint64_t Forks = 0;      ///< The same version with other content.
  std::uint64_t DeltasSent = 0; ///< Sent to peers as differences.
  std::uint64_t WholeSent = 0;  ///< Sent to peers whole.
  std::uint64_t Fetches = 0;    ///< Asked of peers.
};

/// Bundle roll-out on one node.
struct Rollout {
  SignedBundle InForce;                  ///< Version 0: none yet.
  std::deque<RolloutStep> Steps;         ///< Latest last.
  std::vector<std::string> OperatorKeys; ///< NAME:HEX.
  std::size_t FanOut = 3;                ///< Peers told of a new version.

  TimePoint FetchUntil{};         ///< An earlier fetch may still answer.
  std::uint64_t FetchVersion = 0; ///< Version that it is to bring.
  RolloutCounts Counts;           ///< For operators.
};

/// Ask a peer for what leads to its version.
struct FetchBundleAction {
  std::string Node; ///< Whom.
};
/// Send a delta to a peer.
struct SendDeltaAction {
  std::string Node;  ///< Whom.
  BundleDelta Delta; ///< What.
};
/// Take the new bundle into force.
struct InForceAction {
  BundlePtr Next; ///< Parsed.
};

/// Anything that roll-out asks its surroundings to do.
using RolloutAction =
    std::variant<FetchBundleAction, SendDeltaAction, InForceAction>;
using RolloutActions = std::vector<RolloutAction>;

} // namespace fulmar

#endif
