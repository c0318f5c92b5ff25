/// \file http_backoff.cpp Calls to a server that may ask for a backoff.
#include "http_backoff.h"

#include <algorithm>
#include <utility>

#include "log_func.h"

namespace fulmar {

/// Longest backoff that is followed. Without the key-value service keys of
/// clients cannot be confirmed, so a node must soon find out whether the
/// service accepts calls again.
static constexpr Duration MaxBackoff = std::chrono::seconds(5);

/// Records the backoff that a response asks for.
static void recordBackoff(HttpBackoff &Backoff, const std::string &Address,
                          const HttpResponse &Answer) {
  Duration Asked =
      std::min(refusalBackoff(Answer.Status, Answer.Headers), MaxBackoff);
  TimePoint Until = EventLoop::clock() + Asked;
  if (Asked <= Duration::zero() || Until <= Backoff.Until)
    return;
  Backoff.Until = Until;
  logEvent(LogLevel::Warning, "server_backoff",
           {{"address", Address},
            {"status", Answer.Status},
            {"for_ms", toMs(Asked)}});
}

bool startWithBackoff(HttpClient &Client, HttpBackoff &Backoff, HttpCall Call,
                      HttpCallbacks Callbacks) {
  if (EventLoop::clock() < Backoff.Until) {
    ++Backoff.Withheld;
    HttpResponse Refused;
    Refused.Status = HttpUnavailable;
    Client.respondLocally(std::move(Refused), std::move(Callbacks));
    return false;
  }
  Callbacks.OnDone =
      [&Backoff, Address = Call.Address,
       Done = std::move(Callbacks.OnDone)](const HttpResponse &Answer) {
        recordBackoff(Backoff, Address, Answer);
        if (Done)
          Done(Answer);
      };
  Client.start(std::move(Call), std::move(Callbacks));
  return true;
}

} // namespace fulmar
