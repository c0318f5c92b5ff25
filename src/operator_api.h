/// \file operator_api.h The HTTP interface for operators: status and metrics.
#ifndef FULMARSTEP_OPERATOR_API_H
#define FULMARSTEP_OPERATOR_API_H

#include "http_server.h"
#include "json_type.h"
#include "kernel.h"
#include "settings_type.h"

namespace fulmar {

/// Serves the HTTP interface for operators, on a separate port that requires a
/// token.
class OperatorApi : public Service {
public:
  OperatorApi(Kernel &K, const Settings &S);

  void start() override;
  void stop() override;

  /// \return The status that `fulmarstep status` prints.
  Json status() const;

private:
  void handle(const HttpExchangePtr &Exchange);
  std::string metrics() const;

  Kernel &Services;                   ///< The node's services.
  const Settings &Config;             ///< Address and operator token.
  std::unique_ptr<HttpServer> Server; ///< The HTTP server.
};

} // namespace fulmar

#endif
