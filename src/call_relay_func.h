/// \file call_relay_func.h Results of calls that one node makes for another.
#ifndef FULMARSTEP_CALL_RELAY_FUNC_H
#define FULMARSTEP_CALL_RELAY_FUNC_H

#include <string_view>

#include "call_relay_type.h"
#include "http_client.h"

namespace fulmar {

/// \return The name of \p Result in RelayResultHeader.
std::string_view relayResultName(RelayResult Result);

/// \return The result that a response of another node states; NotHttp if it
/// states none that this version knows.
RelayResult readRelayResult(const HttpResponse &Answer);

/// \return Whether a byte of the call may have reached the upstream.
bool relayMayHaveSent(RelayResult Result);

/// \return The failure that a caller sees.
HttpFailure relayFailure(RelayResult Result);

/// \return The result that states the failure of a call.
RelayResult relayResultOf(const HttpResponse &Failed);

} // namespace fulmar

#endif
