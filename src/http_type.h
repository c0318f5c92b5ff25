/// \file http_type.h HTTP headers and status codes shared by the server and the
/// client.
#ifndef FULMARSTEP_HTTP_TYPE_H
#define FULMARSTEP_HTTP_TYPE_H

#include "core/time_type.h"
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

/// One header field.
struct HttpHeader {
  std::string Name;  ///< Case-insensitive.
  std::string Value; ///< Without the line end.
};
using HttpHeaders = std::vector<HttpHeader>;

/// \return The first header named \p Name, ignoring case, or nullptr.
const HttpHeader *findHeader(const HttpHeaders &Headers, std::string_view Name);

/// \return The value of the header \p Name, or an empty string.
std::string headerValue(const HttpHeaders &Headers, std::string_view Name);

/// \return How long the sender of a response with \p Status wants no requests:
/// the time in the Retry-After header of a refusal, an hour at most; zero if it
/// does not ask for a backoff. The header may have fractions of a second.
Duration refusalBackoff(int Status, const HttpHeaders &Headers);

/// The hop-by-hop headers of one message: the standard ones, and those that its
/// Connection header lists. The list is read once: a message may have thousands
/// of headers and list as many names.
class HopHeaders {
public:
  explicit HopHeaders(const HttpHeaders &Headers);

  /// \return Whether \p Name is one of them, ignoring case.
  bool contains(std::string_view Name) const;

private:
  std::vector<std::string> Listed; ///< In lower case, sorted.
};

/// \return The standard reason phrase of a status code.
std::string_view statusPhrase(int Status);

inline constexpr int HttpOk = 200; ///< Status code for success.
inline constexpr int HttpTooManyRequests =
    429;                                    ///< Status code for a rate limit.
inline constexpr int HttpUnavailable = 503; ///< Status code for overload.

/// \return Whether a status says that the request was served.
inline bool isSuccess(int Status) {
  constexpr int FirstOther = 300;
  return Status >= HttpOk && Status < FirstOther;
}

/// What a status code in a response means for the call.
enum class StatusKind {
  Interim, ///< The response follows.
  Final,   ///< It is the response's.
  Unknown, ///< No status of HTTP, or a change of protocol that nobody asked
           ///< for.
  Count,   ///< Number of kinds.
  Invalid, ///< Not a kind.
};

/// \return The kind of a status code (RFC 9110, 15).
inline StatusKind statusKind(int Status) {
  constexpr int FirstInterim = 100;
  constexpr int SwitchingProtocols = 101;
  constexpr int FirstUnknown = 600;
  if (Status >= HttpOk && Status < FirstUnknown)
    return StatusKind::Final;
  bool Interim = Status >= FirstInterim && Status < HttpOk;
  return Interim && Status != SwitchingProtocols ? StatusKind::Interim
                                                 : StatusKind::Unknown;
}

/// Header names used by the HTTP interfaces of this project.
namespace header {
inline constexpr const char *IdempotencyKey = "Idempotency-Key";
inline constexpr const char *RequestId = "X-Request-Id";
inline constexpr const char *AttemptId = "X-Attempt-Id";
inline constexpr const char *Organisation = "X-Organisation";
inline constexpr const char *DeadlineMs = "X-Deadline-Ms";
inline constexpr const char *Load = "X-Load";
inline constexpr const char *BusyMs = "X-Busy-Ms";
inline constexpr const char *Leaving = "X-Leaving";
inline constexpr const char *RetryAfter = "Retry-After";
} // namespace header

} // namespace fulmar

#endif
