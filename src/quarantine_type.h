/// \file quarantine_type.h Requests whose content crashes upstreams.
#ifndef FULMARSTEP_QUARANTINE_TYPE_H
#define FULMARSTEP_QUARANTINE_TYPE_H

#include <vector>

#include "core/time_type.h"
#include "request_fingerprint.h"

namespace fulmar {

/// When a request is quarantined, and for how long.
struct QuarantinePolicy {
  int Crashes = 3; ///< Upstreams that ended while they ran it.
  Duration Time = std::chrono::seconds(300); ///< Until it may be tried again.
};

/// Tells the nodes that judge of an upstream that ended.
struct CrashReport {
  std::uint64_t Upstream = 0;        ///< Hash of its name.
  std::vector<Fingerprint> Requests; ///< That it was running.
};

/// What a node holds of one request. Ages and remaining times, as clocks of
/// different nodes differ.
struct QuarantineNotice {
  Fingerprint Content;     ///< Which request.
  std::uint32_t Round = 0; ///< Counts decisions on it; the latest holds.
  bool Lifted = false;     ///< It was found harmless.
  Duration Suspected{};    ///< Since the first crash that counted.
  Duration Left{};         ///< Until the decision ends.
};

/// Tells other nodes what this one holds.
struct QuarantineUpdate {
  std::vector<QuarantineNotice> Notices; ///< In no order.
};

/// Tells who announced a quarantine that the request has run well since it was
/// first suspected.
struct QuarantineObjection {
  Fingerprint Content; ///< Which request.
};

/// What a notice has changed.
enum class QuarantineChange {
  None,     ///< Nothing new.
  Held,     ///< The request is quarantined from now on.
  Lifted,   ///< It is not any more.
  Disputed, ///< It has run well here meanwhile; whoever announced it is wrong.
  Count,    ///< Number of changes.
  Invalid,  ///< Not a change.
};

} // namespace fulmar

#endif
