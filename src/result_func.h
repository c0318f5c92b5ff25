/// \file result_func.h Look-ups in the table of result codes.
#ifndef FULMARSTEP_RESULT_FUNC_H
#define FULMARSTEP_RESULT_FUNC_H

#include <span>

#include "result_type.h"

namespace fulmar {

/// \return The whole table, in ascending order of numbers.
std::span<const ResultInfo> resultTable();

/// Looks up the row of \p Code.
/// \pre \p Code is in the table.
const ResultInfo &resultInfo(ResultCode Code);

/// \return The family of \p Code.
ResultFamily resultFamily(ResultCode Code);

/// \return The number of \p Code.
inline int resultNumber(ResultCode Code) { return static_cast<int>(Code); }

/// \return The table as the Markdown page docs/RESULT_CODES.md.
std::string resultTableMarkdown();

} // namespace fulmar

#endif
