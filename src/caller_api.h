/// \file caller_api.h The HTTP interface for callers; see docs/API.md.
#ifndef FULMARSTEP_CALLER_API_H
#define FULMARSTEP_CALLER_API_H

#include "http_server.h"
#include "json_type.h"
#include "kernel.h"
#include "request_type.h"
#include "settings_type.h"

namespace fulmar {

class RouterService;
class MemberService;
class DrainService;

/// Parses and validates a request's body and headers.
/// \param[out] Why receives the reason if the request is rejected.
/// \return ResultCode::Invalid if the request is valid.
ResultCode parseRequestInput(const HttpExchange &Exchange, RequestInput &Out,
                             std::string &Why);

/// \return The body of the response to a caller.
Json reportJson(const RequestReport &Report);

/// Serves the HTTP interface for callers.
class CallerApi : public Service {
public:
  CallerApi(Kernel &K, const Settings &S, std::uint64_t Seed);

  void start() override;
  void stop() override;

private:
  void handle(const HttpExchangePtr &Exchange);
  void handleRequest(const HttpExchangePtr &Exchange);
  void handleEntries(const HttpExchangePtr &Exchange);
  void handleReady(const HttpExchangePtr &Exchange);

  Kernel &Services;                   ///< The node's services.
  const Settings &Config;             ///< Addresses and limits of the node.
  RouterService *Router = nullptr;    ///< Runs requests.
  MemberService *Members = nullptr;   ///< Source of entry addresses.
  DrainService *Drain = nullptr;      ///< Phase of a planned stop.
  Random Rng;                         ///< Randomizes entry addresses.
  std::string IdPrefix;               ///< Prefix of the ids generated here.
  std::uint64_t LastId = 0;           ///< Number of ids generated here.
  std::unique_ptr<HttpServer> Server; ///< The HTTP server.
};

} // namespace fulmar

#endif
