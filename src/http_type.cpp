/// \file http_type.cpp Headers and statuses of HTTP.
#include "http_type.h"

#include <algorithm>
#include <cctype>

namespace fulmar {

static bool sameName(std::string_view A, std::string_view B) {
  auto SameLetter = [](unsigned char X, unsigned char Y) {
    return std::tolower(X) == std::tolower(Y);
  };
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), SameLetter);
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

/// \return Whether \p Name stands in the comma-separated \p List.
static bool listHas(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    std::size_t End = std::min(List.find(','), List.size());
    std::string_view Item = List.substr(0, End);
    List.remove_prefix(std::min(End + 1, List.size()));
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (sameName(Item, Name))
      return true;
  }
  return false;
}

bool isHopHeader(const HttpHeaders &Headers, std::string_view Name) {
  static constexpr std::string_view Hops[] = {
      "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
      "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};
  for (std::string_view Hop : Hops) {
    if (sameName(Hop, Name))
      return true;
  }
  return listHas(headerValue(Headers, "Connection"), Name);
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
