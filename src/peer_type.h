/// \file peer_type.h Messages between nodes.
#ifndef FULMARSTEP_PEER_TYPE_H
#define FULMARSTEP_PEER_TYPE_H

#include <string>
#include <variant>

#include "batch_type.h"
#include "bundle_base.h"
#include "ledger_type.h"
#include "member_type.h"
#include "quarantine_type.h"
#include "rate_limit_type.h"
#include "retry_window.h"
#include "state_sync_type.h"

namespace fulmar {

/// Ask for what leads to the receiver's bundle.
struct BundleFetch {
  std::uint64_t HaveVersion = 0; ///< Version here.
  Digest HaveRoot = {};          ///< Content here.
};
/// One node's demand of an organisation, to its home.
struct DemandReport {
  std::string Organisation; ///< Whose.
  double Rate = 0;          ///< Requests/s.
};
/// The fleet's demand of an organisation, from its home.
struct DemandTotal {
  std::string Organisation; ///< Whose.
  double Rate = 0;          ///< Requests/s.
};

/// What a message is about.
using PeerBody =
    std::variant<MemberMessage, LedgerEntry, LedgerResult, BundleFetch,
                 BundleDelta, DemandReport, DemandTotal, BatchRequestMessage,
                 BatchAnswerMessage, BatchReleaseMessage, StateSyncRequest,
                 StateSyncResponse, ConfigFetch, ConfigCopy, CrashReport,
                 QuarantineUpdate, QuarantineObjection, RateLimitUpdate,
                 TurnAsk, TurnAnswer, RetryAsk, RetryAnswer>;

/// A message between nodes, with what every message says.
struct PeerMessage {
  std::string Sender;              ///< Node id.
  std::uint64_t Incarnation = 0;   ///< Of the sender's process.
  std::uint64_t Sequence = 0;      ///< Counts its messages.
  WallMs SentMs = 0;               ///< When it was sent.
  std::uint64_t BundleVersion = 0; ///< In force there.
  std::uint64_t BundleRoot = 0;    ///< First bytes of its content hash.
  PeerBody Body;                   ///< What it is about.
  Duration FleetTime{};            ///< When it was sent, by the fleet's time.
  std::uint64_t MemberDigest = 0;  ///< Of the nodes that its sender knows.
};

} // namespace fulmar

#endif
