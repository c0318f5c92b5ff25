/// \file json_func.h Reading and writing JSON.
#ifndef FULMARSTEP_JSON_FUNC_H
#define FULMARSTEP_JSON_FUNC_H

#include <optional>
#include <string_view>

#include "diagnostic_type.h"
#include "json_type.h"

namespace fulmar {

/// Which syntax the JSON parser accepts.
enum class JsonDialect {
  Strict,       ///< Standard JSON, for messages of callers and upstreams.
  WithComments, ///< JSON with comments, for files of operators.
  Count,        ///< Number of dialects.
  Invalid,      ///< Not a dialect.
};

/// Counts what a parser makes of a text, without parsing it.
/// \return The number of commas, colons, brackets and line ends outside of
/// strings; a value has one of them at least, apart from the first.
std::size_t countJsonMarks(std::string_view Text);

/// Parses \p Text. Duplicate keys and trailing text are errors.
/// \param[out] Wrong receives the errors, each with its line.
/// \return The value, or nullopt after an error.
std::optional<Json> parseJson(std::string_view Text, JsonDialect Dialect,
                              Diagnostics &Wrong);

/// Serializes \p Value on one line with sorted keys, so that equal values give
/// equal text.
std::string writeJson(const Json &Value);

/// Serializes \p Text as a quoted JSON string without building a Json value;
/// used for each streamed token.
std::string quoteJson(const std::string &Text);

/// Reads a whole file.
/// \throws Error FileUnreadable.
std::string readFile(const std::string &Path);

/// Replaces the content of a file.
/// \throws Error FileUnreadable.
void writeFile(const std::string &Path, std::string_view Text);

} // namespace fulmar

#endif
