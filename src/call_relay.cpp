/// \file call_relay.cpp Results of calls that one node makes for another.
#include "call_relay_func.h"

#include "core/enum_names.h"

namespace fulmar {

static constexpr EnumNames<RelayResult> ResultNames = {
    "busy",   "declined",  "unreachable", "rejected",
    "closed", "timed_out", "not_http"};

std::string_view relayResultName(RelayResult Result) {
  return nameIn<RelayResult>(ResultNames, Result);
}

RelayResult readRelayResult(const HttpResponse &Answer) {
  // A result that is not known may be one of a call that was sent.
  return valueIn<RelayResult>(ResultNames, Answer.header(RelayResultHeader))
      .value_or(RelayResult::NotHttp);
}

bool relayMayHaveSent(RelayResult Result) {
  switch (Result) {
  case RelayResult::Busy:
  case RelayResult::Declined:
  case RelayResult::Unreachable:
  case RelayResult::Rejected:
    return false;
  case RelayResult::Closed:
  case RelayResult::TimedOut:
  case RelayResult::NotHttp:
  case RelayResult::Count:
  case RelayResult::Invalid:
    break;
  }
  return true;
}

HttpFailure relayFailure(RelayResult Result) {
  switch (Result) {
  case RelayResult::Closed:
    return HttpFailure::Closed;
  case RelayResult::TimedOut:
    return HttpFailure::TimedOut;
  case RelayResult::NotHttp:
  case RelayResult::Count:
  case RelayResult::Invalid:
    return HttpFailure::NotHttp;
  case RelayResult::Busy:
  case RelayResult::Declined:
  case RelayResult::Unreachable:
  case RelayResult::Rejected:
    break;
  }
  return HttpFailure::ConnectFailed;
}

RelayResult relayResultOf(const HttpResponse &Failed) {
  if (!Failed.MayHaveBeenSent)
    return RelayResult::Unreachable;
  switch (Failed.Failure) {
  case HttpFailure::Closed:
  case HttpFailure::Truncated:
    return RelayResult::Closed;
  case HttpFailure::TimedOut:
    return RelayResult::TimedOut;
  default:
    return RelayResult::NotHttp;
  }
}

} // namespace fulmar
