/// \file gateway_reply.cpp Answers to clients with a result code of this node.
#include "gateway_reply.h"

#include <cstdio>

#include "json_func.h"
#include "result_func.h"

namespace fulmar {

/// \return \p Time in seconds, with three decimals.
static std::string secondsText(Duration Time) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f", toMs(Time) / 1e3);
  return Text;
}

void replyCode(HttpExchange &Exchange, ResultCode Code,
               const std::string &RequestId, Duration RetryIn) {
  const ResultInfo &Info = resultInfo(Code);
  HttpHeaders Headers = {{"Content-Type", "application/json"}};
  if (!RequestId.empty())
    Headers.push_back({header::RequestId, RequestId});
  if (RetryIn == Duration::zero())
    RetryIn = std::chrono::milliseconds(Info.RetryAfterMs);
  if (RetryIn > Duration::zero() && resultFamily(Code) == ResultFamily::NotRun)
    Headers.push_back({header::RetryAfter, secondsText(RetryIn)});
  Json Body;
  Body.set("code", resultNumber(Code));
  Body.set("name", std::string(Info.Name));
  Body.set("message", std::string(Info.Help));
  Exchange.reply(Info.HttpStatus, writeJson(Body), Headers);
}

} // namespace fulmar
