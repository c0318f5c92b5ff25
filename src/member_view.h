/// \file member_view.h Whether nodes know the same nodes.
#ifndef FULMARSTEP_MEMBER_VIEW_H
#define FULMARSTEP_MEMBER_VIEW_H

#include <string>
#include <unordered_map>
#include <vector>

#include "core/hash.h"
#include "core/time_type.h"

namespace fulmar {

/// What another node said last of whom it knows.
struct PeerView {
  std::uint64_t Digest = 0; ///< Equal where it knows the same nodes.
  TimePoint At{};           ///< When it said so.
};

/// What this node has heard of whom the others know.
struct MemberViews {
  std::uint64_t Own = 0; ///< Digest of the nodes that this one knows.
  std::unordered_map<std::string, PeerView> Others; ///< By node.
};

/// What nodes said is believed for this long.
inline constexpr Duration MemberViewLife = std::chrono::seconds(5);
/// Part of the others that must know the same nodes. One of a large fleet is
/// nearly always a message behind.
inline constexpr double ViewsAgreeing = 0.9;

/// \return A digest of \p Ids, which are sorted.
inline std::uint64_t memberDigest(const std::vector<std::string> &Ids) {
  std::uint64_t Digest = 0;
  for (const std::string &Id : Ids)
    Digest = hash64(Id, Digest);
  return Digest;
}

/// \return Whether this node and the others know the same nodes. Nodes that
/// are known and not heard say nothing against it.
inline bool viewsAgree(const MemberViews &Views, TimePoint Now) {
  double Heard = 0;
  double Same = 0;
  for (const auto &[Id, View] : Views.Others) {
    if (Now - View.At > MemberViewLife)
      continue;
    ++Heard;
    Same += View.Digest == Views.Own ? 1 : 0;
  }
  return Heard > 0 && Same >= Heard * ViewsAgreeing;
}

} // namespace fulmar

#endif
