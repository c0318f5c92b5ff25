/// \file http_backoff.h Calls to a server that may ask for a backoff.
#ifndef FULMARSTEP_HTTP_BACKOFF_H
#define FULMARSTEP_HTTP_BACKOFF_H

#include "http_client.h"

namespace fulmar {

/// The backoff that a server has asked this process for.
struct HttpBackoff {
  TimePoint Until{};          ///< No calls are made until then.
  std::uint64_t Withheld = 0; ///< Calls that were not made.
};

/// Starts a call. During a backoff of the server it is not sent and ends with
/// HttpUnavailable, after this returns.
/// \param[in,out] Backoff must exist until the call has ended.
/// \return Whether the call is sent.
bool startWithBackoff(HttpClient &Client, HttpBackoff &Backoff, HttpCall Call,
                      HttpCallbacks Callbacks);

} // namespace fulmar

#endif
