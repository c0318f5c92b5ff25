/// \file result_type.h Numbered result codes and their families.
#ifndef FULMARSTEP_RESULT_TYPE_H
#define FULMARSTEP_RESULT_TYPE_H

#include <stdexcept>
#include <string>
#include <string_view>

namespace fulmar {

/// What a caller may conclude from a result code alone; the code divided by
/// 1000.
enum class ResultFamily {
  Complete = 1, ///< The request ran; its complete response is known.
  NotRun = 2,   ///< No byte of any stage can have reached an upstream.
  Failed = 3,   ///< Some stages ran; no non-idempotent stage can have run.
  Unknown = 4,  ///< A non-idempotent stage may have run.
  Tool = 5,     ///< An error of a command or of a file given to it.
  Count = 6,    ///< One above the highest family.
  Invalid = 0,  ///< Not a family.
};

/// All result codes; numbers, names and help are in table/result_codes.h.
enum class ResultCode : int {
#define RESULT_CODE(Number, Name, Http, RetryAfterMs, Help) Name = Number,
#include "table/result_codes.h"
#undef RESULT_CODE
  Invalid = 0, ///< Not a code.
};

/// One row of the table of result codes.
struct ResultInfo {
  ResultCode Code;       ///< The code.
  std::string_view Name; ///< Its name, as written in responses.
  int HttpStatus;        ///< HTTP status of the response.
  int RetryAfterMs;      ///< When to retry, in ms; 0: a retry is of no use.
  std::string_view Help; ///< What it means to the caller.
};

/// An error that ends a command or rejects an input.
class Error : public std::runtime_error {
public:
  Error(ResultCode C, const std::string &Message)
      : std::runtime_error(Message), Code(C) {}

  /// \return The result code.
  ResultCode code() const { return Code; }

private:
  ResultCode Code; ///< The result code.
};

} // namespace fulmar

#endif
