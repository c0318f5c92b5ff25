/// \file gateway_reply.h Answers to clients with a result code of this node.
#ifndef FULMARSTEP_GATEWAY_REPLY_H
#define FULMARSTEP_GATEWAY_REPLY_H

#include "http_server.h"
#include "result_type.h"

namespace fulmar {

/// Answers with a result code.
/// \param RetryIn time until the client may retry; zero: the code's default.
void replyCode(HttpExchange &Exchange, ResultCode Code,
               const std::string &RequestId, Duration RetryIn);

} // namespace fulmar

#endif
