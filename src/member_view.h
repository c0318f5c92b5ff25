/// \file member_view.h Agreement of the nodes on the set of members.
#ifndef FULMARSTEP_MEMBER_VIEW_H
#define FULMARSTEP_MEMBER_VIEW_H

#include <string>
#include <unordered_map>
#include <vector>

#include "core/hash.h"
#include "core/time_type.h"

namespace fulmar {

/// Latest membership digest received from another node.
struct PeerView {
  std::uint64_t Digest = 0; ///< Equal if it knows the same nodes.
  TimePoint At{};           ///< When it was received.
};

/// Membership digests of this node and of the others.
struct MemberViews {
  std::uint64_t Own = 0; ///< Digest of the nodes that this node knows.
  std::unordered_map<std::string, PeerView> Others; ///< By node id.
};

/// Age after which a received digest is ignored.
inline constexpr Duration MemberViewLifetime = std::chrono::seconds(5);
/// Share of the other nodes that must know the same nodes. In a large fleet
/// some node is nearly always one message behind.
inline constexpr double MinAgreeingShare = 0.9;

/// \return A digest of \p Ids, which are sorted.
inline std::uint64_t memberDigest(const std::vector<std::string> &Ids) {
  std::uint64_t Digest = 0;
  for (const std::string &Id : Ids)
    Digest = hash64(Id, Digest);
  return Digest;
}

/// \return Whether this node and enough of the others know the same nodes.
/// Known nodes without a recent digest are not counted.
inline bool viewsAgree(const MemberViews &Views, TimePoint Now) {
  double Received = 0;
  double Same = 0;
  for (const auto &[Id, View] : Views.Others) {
    if (Now - View.At > MemberViewLifetime)
      continue;
    ++Received;
    Same += View.Digest == Views.Own ? 1 : 0;
  }
  return Received > 0 && Same >= Received * MinAgreeingShare;
}

} // namespace fulmar

#endif
