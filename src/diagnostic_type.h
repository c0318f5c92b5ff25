/// \file diagnostic_type.h Errors found in a settings or bundle file.
#ifndef FULMARSTEP_DIAGNOSTIC_TYPE_H
#define FULMARSTEP_DIAGNOSTIC_TYPE_H

#include <string>
#include <vector>

namespace fulmar {

/// One error in a settings or bundle file.
struct Diagnostic {
  int Line = 0;        ///< Line number from 1; 0 if unknown.
  std::string Path;    ///< Path of the field, such as
                       ///< `pipelines/shift/stages/0/pool`.
  std::string Message; ///< The invalid value and what was expected.
};

/// List of errors; every check appends its own.
using Diagnostics = std::vector<Diagnostic>;

/// Formats each error as a line `FILE:LINE: PATH: MESSAGE`.
std::string formatDiagnostics(const std::string &File, const Diagnostics &List);

} // namespace fulmar

#endif
