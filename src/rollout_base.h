/// \file rollout_base.h Bundle roll-out state of one node.
#ifndef FULMARSTEP_ROLLOUT_BASE_H
#define FULMARSTEP_ROLLOUT_BASE_H

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "bundle_base.h"

namespace fulmar {

/// An applied change from one bundle version to the next.
struct RolloutStep {
  std::uint64_t FromVersion = 0;     ///< Previous version.
  Digest FromRoot = {};              ///< Root hash of the previous version.
  std::set<std::string> ChangedKeys; ///< Keys that the step changed or removed.
};

/// Counters for operators.
struct RolloutCounts {
  std::uint64_t Applied = 0; ///< Bundles applied.
  std::uint64_t Lower = 0;   ///< Bundles ignored, not newer than that in force.
  std::uint64_t BadSeal = 0; ///< Bundles without a valid signature.
  std::uint64_t BadContent = 0; ///< Bundles that do not match their seal.
  std::uint64_t Forks = 0;      ///< Equal version with different content.
  std::uint64_t DeltasSent = 0; ///< Deltas sent to peers.
  std::uint64_t WholeSent = 0;  ///< Whole bundles sent to peers.
  std::uint64_t Fetches = 0;    ///< Fetches sent for newer versions.
};

/// Bundle roll-out state of one node.
struct Rollout {
  SignedBundle InForce;                  ///< Version 0: none.
  std::deque<RolloutStep> Steps;         ///< Recent steps, oldest first.
  std::vector<std::string> OperatorKeys; ///< Each as NAME:HEX.
  std::size_t FanOut = 3;                ///< Peers notified of a new version.

  TimePoint FetchUntil{};         ///< Timeout of the fetch in flight.
  std::uint64_t FetchVersion = 0; ///< Version that it should return.
  RolloutCounts Counts;           ///< Counters for operators.
};

/// Request the difference to a peer's version from it.
struct FetchBundleAction {
  std::string Node; ///< Id of the peer.
};
/// Send a delta to a peer.
struct SendDeltaAction {
  std::string Node;  ///< Id of the peer.
  BundleDelta Delta; ///< Delta, or whole bundle, to send.
};
/// Put the new bundle in force.
struct InForceAction {
  BundlePtr Next; ///< Parsed bundle.
};

/// An action that roll-out requests from its service.
using RolloutAction =
    std::variant<FetchBundleAction, SendDeltaAction, InForceAction>;
using RolloutActions = std::vector<RolloutAction>;

} // namespace fulmar

#endif
