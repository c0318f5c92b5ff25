/// \file json_func.h Reading and writing JSON.
#ifndef FULMARSTEP_JSON_FUNC_H
#define FULMARSTEP_JSON_FUNC_H

#include <optional>
#include <string_view>

#include "diagnostic_type.h"
#include "json_type.h"

namespace fulmar {

/// How strictly JSON is read.
enum class JsonDialect {
  Strict,       ///< As callers and upstreams must send it.
  WithComments, ///< As operators write it in files.
  Count,        ///< Number of dialects.
  Invalid,      ///< Not a dialect.
};

/// Parses \p Text; repeated keys and trailing text are errors.
/// \param[out] Wrong receives what is wrong, with lines.
/// \return Nothing when there was an error.
std::optional<Json> parseJson(std::string_view Text, JsonDialect Dialect,
                              Diagnostics &Wrong);

/// Writes \p Value on one line, keys in sorted order, so that equal values
/// give equal text.
std::string writeJson(const Json &Value);

/// Writes \p Text as a JSON string with its quotes, without building a value
/// first: for streamed tokens.
std::string quoteJson(const std::string &Text);

/// Reads a whole file.
/// \throws Error FileUnreadable.
std::string readFile(const std::string &Path);

/// Writes a whole file.
/// \throws Error FileUnreadable.
void writeFile(const std::string &Path, std::string_view Text);

} // namespace fulmar

#endif
