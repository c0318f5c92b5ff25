/// \file gateway_reply.h Answers of this node's own to clients.
#ifndef FULMARSTEP_GATEWAY_REPLY_H
#define FULMARSTEP_GATEWAY_REPLY_H

#include "http_server.h"
#include "result_type.h"

namespace fulmar {

/// Answers with a numbered code.
/// \param RetryIn when the client may come back; zero: as the table says.
void replyCode(HttpExchange &Exchange, ResultCode Code,
               const std::string &RequestId, Duration RetryIn);

} // namespace fulmar

#endif
