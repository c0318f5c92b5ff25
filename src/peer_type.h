/// \file peer_type.h Messages between nodes.
#ifndef FULMARSTEP_PEER_TYPE_H
#define FULMARSTEP_PEER_TYPE_H

#include <string>
#include <variant>

#include "batch_type.h"
#include "bundle_base.h"
#include "call_relay_type.h"
#include "engine_placement_type.h"
#include "ledger_type.h"
#include "member_type.h"
#include "quarantine_type.h"
#include "rate_limit_type.h"
#include "retry_window.h"
#include "state_sync_type.h"
#include "stream_version_type.h"
#include "upstream_notice_type.h"

namespace fulmar {

/// Requests the changes from the sender's bundle to the receiver's.
struct BundleFetch {
  std::uint64_t HaveVersion = 0; ///< Version at the sender.
  Digest HaveRoot = {};          ///< Content hash at the sender.
};
/// One node's demand of an organisation, sent to the node that aggregates it.
struct DemandReport {
  std::string Organisation; ///< Its name.
  double Rate = 0;          ///< Requests per second.
};
/// The fleet's demand of an organisation, sent by its aggregator.
struct DemandTotal {
  std::string Organisation; ///< Its name.
  double Rate = 0;          ///< Requests per second.
};

/// The content of a message.
using PeerBody =
    std::variant<MemberMessage, LedgerEntry, LedgerResult, BundleFetch,
                 BundleDelta, DemandReport, DemandTotal, BatchRequestMessage,
                 BatchAnswerMessage, BatchReleaseMessage, StateSyncRequest,
                 StateSyncResponse, ConfigFetch, ConfigCopy, CrashReport,
                 QuarantineUpdate, QuarantineObjection, QuarantineQuery,
                 TrialAsk, TrialAnswer, RateLimitUpdate, TurnAsk, TurnAnswer,
                 RetryAsk, RetryAnswer, LeavingUpdate, RelayedCall,
                 RefusalUpdate, StreamRecord, StreamQuery, StreamAnswer,
                 PlacementAsk, PlacementAnswer, PlacementUpdate, BatchReserve,
                 BatchReserveAnswer, BatchUnreserve>;

/// A message between nodes, with the fields that every message has.
struct PeerMessage {
  std::string Sender;              ///< Id of the node that sent it.
  std::uint64_t Incarnation = 0;   ///< Of the sender's process.
  std::uint64_t Sequence = 0;      ///< Number of the message; counts up.
  WallMs SentMs = 0;               ///< Wall clock time of sending, Unix ms.
  std::uint64_t BundleVersion = 0; ///< Version in force at the sender.
  std::uint64_t BundleRoot = 0;    ///< First bytes of that bundle's hash.
  PeerBody Body;                   ///< The content.
  Duration FleetTime{};            ///< Fleet time of sending.
  std::uint64_t MemberDigest = 0;  ///< Of the nodes that the sender knows.
};

} // namespace fulmar

#endif
