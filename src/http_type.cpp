/// \file http_type.cpp HTTP headers and status codes.
#include "http_type.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

#include "core/text.h"

namespace fulmar {

static bool sameName(std::string_view A, std::string_view B) {
  auto EqualLetter = [](unsigned char X, unsigned char Y) {
    return std::tolower(X) == std::tolower(Y);
  };
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), EqualLetter);
}

const HttpHeader *findHeader(const HttpHeaders &Headers,
                             std::string_view Name) {
  for (const HttpHeader &H : Headers) {
    if (sameName(H.Name, Name))
      return &H;
  }
  return nullptr;
}

std::string headerValue(const HttpHeaders &Headers, std::string_view Name) {
  const HttpHeader *Found = findHeader(Headers, Name);
  return Found ? Found->Value : std::string();
}

Duration refusalBackoff(int Status, const HttpHeaders &Headers) {
  if (Status != HttpUnavailable && Status != HttpTooManyRequests)
    return Duration::zero();
  constexpr double MaxSeconds = 3600;
  std::string Text = headerValue(Headers, header::RetryAfter);
  double Seconds = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Wrong] = std::from_chars(Text.data(), End, Seconds);
  if (Wrong != std::errc() || !std::isfinite(Seconds) || Seconds <= 0)
    return Duration::zero();
  return fromMs(std::min(Seconds, MaxSeconds) * 1e3);
}

static std::string lowerCase(std::string_view Name) {
  std::string Out(Name);
  std::transform(Out.begin(), Out.end(), Out.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Out;
}

/// The standard hop-by-hop headers, sorted.
static constexpr std::string_view StandardHopHeaders[] = {
    "connection", "content-length",    "expect",
    "keep-alive", "proxy-connection",  "te",
    "trailer",    "transfer-encoding", "upgrade"};

HopHeaders::HopHeaders(const HttpHeaders &Headers) {
  std::string List = headerValue(Headers, "Connection");
  for (std::string_view Name : splitCommas(List))
    Listed.push_back(lowerCase(Name));
  std::sort(Listed.begin(), Listed.end());
}

bool HopHeaders::contains(std::string_view Name) const {
  std::string Lower = lowerCase(Name);
  return std::binary_search(std::begin(StandardHopHeaders),
                            std::end(StandardHopHeaders), Lower) ||
         std::binary_search(Listed.begin(), Listed.end(), Lower);
}

std::string_view statusPhrase(int Status) {
  struct Row {
    int Status;
    std::string_view Phrase;
  };
  static constexpr Row Phrases[] = {{200, "OK"},
                                    {204, "No Content"},
                                    {400, "Bad Request"},
                                    {401, "Unauthorized"},
                                    {403, "Forbidden"},
                                    {404, "Not Found"},
                                    {405, "Method Not Allowed"},
                                    {408, "Request Timeout"},
                                    {409, "Conflict"},
                                    {410, "Gone"},
                                    {413, "Content Too Large"},
                                    {421, "Misdirected Request"},
                                    {429, "Too Many Requests"},
                                    {431, "Request Header Fields Too Large"},
                                    {500, "Internal Server Error"},
                                    {502, "Bad Gateway"},
                                    {503, "Service Unavailable"},
                                    {504, "Gateway Timeout"}};
  for (const Row &R : Phrases) {
    if (R.Status == Status)
      return R.Phrase;
  }
  return "Unknown";
}

} // namespace fulmar
