/// \file result.cpp Look-ups in the table of result codes.
#include "result_func.h"

#include <array>
#include <cassert>

namespace fulmar {

static constexpr ResultInfo Table[] = {
#define RESULT_CODE(Number, Name, Http, RetryAfterMs, Help)                    \
  {ResultCode::Name, #Name, Http, RetryAfterMs, Help},
#include "table/result_codes.h"
#undef RESULT_CODE
};

std::span<const ResultInfo> resultTable() { return Table; }

const ResultInfo &resultInfo(ResultCode Code) {
  for (const ResultInfo &Row : Table) {
    if (Row.Code != Code)
      continue;
    return Row;
  }
  assert(false && "code is not in the table");
  return Table[0];
}

ResultFamily resultFamily(ResultCode Code) {
  return static_cast<ResultFamily>(resultNumber(Code) / 1000);
}

std::string resultTableMarkdown() {
  std::string Page =
      "# Result codes\n\n"
      "Written by `fulmarstep help codes` from `src/table/result_codes.h`; a "
      "test keeps both the\nsame. The thousands give the family, and the "
      "family alone tells a caller what it may\nconclude:\n\n"
      "| family | numbers | meaning |\n|---|---|---|\n"
      "| complete | 1000 | the request ran, and its complete response is known "
      "|\n"
      "| not run | 2000 | no byte of any stage can have reached an upstream |\n"
      "| failed | 3000 | some idempotent stages ran; no non-idempotent stage "
      "can have run: repeating is safe |\n"
      "| unknown | 4000 | a non-idempotent stage may have run: repeat only "
      "with the same Idempotency-Key |\n"
      "| tool | 5000 | an error of a command, of its files or of the operator "
      "API |\n\n"
      "| number | name | HTTP | retry after (ms) | meaning |\n"
      "|---|---|---|---|---|\n";
  for (const ResultInfo &Row : Table) {
    Page += "| " + std::to_string(resultNumber(Row.Code)) + " | " +
            std::string(Row.Name) + " | " +
            (Row.HttpStatus ? std::to_string(Row.HttpStatus) : "-") + " | " +
            (Row.RetryAfterMs ? std::to_string(Row.RetryAfterMs) : "-") +
            " | " + std::string(Row.Help) + " |\n";
  }
  return Page;
}

} // namespace fulmar
