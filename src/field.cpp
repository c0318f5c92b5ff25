/// \file field.cpp Validation shared by all field tables.
#include <algorithm>
#include <cstdio>
#include <numeric>

#include "field_base.h"

namespace fulmar {

std::string formatDiagnostics(const std::string &File,
                              const Diagnostics &List) {
  std::string Out;
  for (const Diagnostic &D : List) {
    Out += File;
    if (D.Line > 0)
      Out += ":" + std::to_string(D.Line);
    Out += ": ";
    if (!D.Path.empty())
      Out += D.Path + ": ";
    Out += D.Message + "\n";
  }
  return Out;
}

std::string formatNumber(double Number) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.10g", Number);
  return Text;
}

void FieldCheck::report(int Line, std::string_view Name, std::string Message) {
  std::string Full = Path;
  if (!Full.empty() && !Name.empty())
    Full += "/";
  Errors.push_back({Line, Full + std::string(Name), std::move(Message)});
}

bool FieldCheck::number(const Json &Value, std::string_view Name, double Min,
                        double Max, std::string_view Unit, bool Whole) {
  std::string Range = formatNumber(Min) + " to " + formatNumber(Max);
  if (!Unit.empty())
    Range += " " + std::string(Unit);
  if (Value.Kind != JsonKind::Number) {
    report(Value.Line, Name, "expected a number, " + Range);
    return false;
  }
  bool Fraction = Whole && Value.Number != std::floor(Value.Number);
  if (Fraction || Value.Number < Min || Value.Number > Max) {
    report(Value.Line, Name,
           formatNumber(Value.Number) + " is not allowed; allowed: " +
               (Whole ? "whole numbers " : "") + Range);
    return false;
  }
  return true;
}

bool FieldCheck::text(const Json &Value, std::string_view Name, double Min,
                      double Max) {
  std::string Range = formatNumber(Min) + " to " + formatNumber(Max) + " bytes";
  if (Value.Kind != JsonKind::Text) {
    report(Value.Line, Name, "expected a string of " + Range);
    return false;
  }
  double Size = static_cast<double>(Value.Text.size());
  if (Size < Min || Size > Max) {
    report(Value.Line, Name,
           "\"" + Value.Text.substr(0, 40) + "\" has " + formatNumber(Size) +
               " bytes; allowed: " + Range);
    return false;
  }
  return true;
}

void FieldCheck::unknown(int Line, std::string_view Name,
                         const std::vector<std::string_view> &Known) {
  std::string Message = "unknown name";
  std::string_view Nearest = nearestName(Name, Known);
  if (!Nearest.empty())
    Message += "; did you mean `" + std::string(Nearest) + "`?";
  report(Line, Name, Message);
}

static std::size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= B.size(); ++J) {
      std::size_t Replace = Diagonal + (A[I - 1] == B[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Replace});
    }
  }
  return Row.back();
}

std::string_view nearestName(std::string_view Name,
                             const std::vector<std::string_view> &Known) {
  std::string_view Best;
  // A name that differs in more than a third of its length is not taken for a
  // typing error.
  std::size_t BestDistance = std::max<std::size_t>(2, Name.size() / 3) + 1;
  for (std::string_view Candidate : Known) {
    std::size_t Distance = editDistance(Name, Candidate);
    if (Distance >= BestDistance)
      continue;
    BestDistance = Distance;
    Best = Candidate;
  }
  return Best;
}

} // namespace fulmar
