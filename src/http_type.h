/// \file http_type.h Names shared by the HTTP server and client.
#ifndef FULMARSTEP_HTTP_TYPE_H
#define FULMARSTEP_HTTP_TYPE_H

#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

/// One header line.
struct HttpHeader {
  std::string Name;  ///< Any case.
  std::string Value; ///< Without line ends.
};
using HttpHeaders = std::vector<HttpHeader>;

/// \return The header called \p Name in any case, or nullptr.
const HttpHeader *findHeader(const HttpHeaders &Headers, std::string_view Name);

/// \return The value of the header \p Name, or empty.
std::string headerValue(const HttpHeaders &Headers, std::string_view Name);

/// \return Whether \p Name is a header that concerns one connection only, or
/// one that \p Headers lists as such in its Connection line.
bool isHopHeader(const HttpHeaders &Headers, std::string_view Name);

/// \return The usual phrase for a status.
std::string_view statusPhrase(int Status);

inline constexpr int HttpOk = 200;              ///< Status of a good answer.
inline constexpr int HttpTooManyRequests = 429; ///< Status of a rate limit.

/// Headers that the interfaces of this project use.
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
