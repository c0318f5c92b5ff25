/// \file field_base.h One table of fields that reads, checks and documents.
#ifndef FULMARSTEP_FIELD_BASE_H
#define FULMARSTEP_FIELD_BASE_H

#include <algorithm>
#include <cmath>
#include <span>
#include <string_view>
#include <variant>

#include "diagnostic_type.h"
#include "json_type.h"

namespace fulmar {

/// Whether a field may be left out.
enum class FieldNeed {
  Optional, ///< Its default counts when it is left out.
  Required, ///< Leaving it out is an error.
  Count,    ///< Number of needs.
  Invalid,  ///< Not a need.
};

/// An enum field: how its name is set and read back.
template <typename T> struct EnumField {
  bool (*Assign)(T &, std::string_view); ///< False: no such name.
  std::string_view (*Read)(const T &);   ///< The current name.
  std::string_view Allowed;              ///< Names, as shown to operators.
};

/// One row of a table of settings: name, type, range, help. The default is
/// the one in the struct itself, so that it stands in one place.
template <typename T> struct Field {
  std::string_view Name; ///< Key in the JSON object.
  std::variant<bool T::*, std::int64_t T::*, double T::*, std::string T::*,
               std::vector<std::string> T::*, EnumField<T>>
      Member;            ///< Where the value goes; gives its type too.
  std::string_view Unit; ///< Unit, empty when it has none.
  double Min = 0;        ///< Lowest number, or fewest bytes or items.
  double Max = 0;        ///< Highest number, or most bytes or items.
  FieldNeed Need = FieldNeed::Optional; ///< Whether it may be left out.
  std::string_view Help;                ///< One sentence for operators.
};

/// Collects problems of one object, with the path to it.
struct FieldCheck {
  Diagnostics &Wrong; ///< Receives every problem.
  std::string Path;   ///< Path of the object, empty at the top.

  /// Reports a problem with the field \p Name.
  void report(int Line, std::string_view Name, std::string Message);
  /// Checks a number against its range; whole numbers where \p Whole.
  bool number(const Json &Value, std::string_view Name, double Min, double Max,
              std::string_view Unit, bool Whole);
  /// Checks a text against its length in bytes.
  bool text(const Json &Value, std::string_view Name, double Min, double Max);
  /// Reports a key that no row knows, with the nearest name.
  void unknown(int Line, std::string_view Name,
               const std::vector<std::string_view> &Known);
};

/// Finds the name in \p Known that is nearest to \p Name by edit distance.
/// \return Empty when none is near enough to be meant.
std::string_view nearestName(std::string_view Name,
                             const std::vector<std::string_view> &Known);

/// Reads one field into \p Out.
template <typename T>
void readField(const Json &Value, const Field<T> &Row, T &Out,
               FieldCheck &Check) {
  if (auto *B = std::get_if<bool T::*>(&Row.Member)) {
    if (Value.Kind != JsonKind::Bool)
      return Check.report(Value.Line, Row.Name, "expected true or false");
    Out.**B = Value.Bool;
  } else if (auto *I = std::get_if<std::int64_t T::*>(&Row.Member)) {
    if (Check.number(Value, Row.Name, Row.Min, Row.Max, Row.Unit, true))
      Out.**I = static_cast<std::int64_t>(Value.Number);
  } else if (auto *D = std::get_if<double T::*>(&Row.Member)) {
    if (Check.number(Value, Row.Name, Row.Min, Row.Max, Row.Unit, false))
      Out.**D = Value.Number;
  } else if (auto *S = std::get_if<std::string T::*>(&Row.Member)) {
    if (Check.text(Value, Row.Name, Row.Min, Row.Max))
      Out.**S = Value.Text;
  } else if (auto *E = std::get_if<EnumField<T>>(&Row.Member)) {
    if (Value.Kind != JsonKind::Text || !E->Assign(Out, Value.Text))
      Check.report(Value.Line, Row.Name,
                   "expected one of: " + std::string(E->Allowed));
  } else if (auto *L =
                 std::get_if<std::vector<std::string> T::*>(&Row.Member)) {
    if (Value.Kind != JsonKind::List)
      return Check.report(Value.Line, Row.Name, "expected a list of strings");
    (Out.**L).clear();
    for (const Json &Item : Value.Items) {
      if (Check.text(Item, Row.Name, 1, 256))
        (Out.**L).push_back(Item.Text);
    }
  }
}

/// Reads every field of \p Object, reporting all that is wrong.
/// \param Others keys that the caller reads itself, such as nested lists.
template <typename T>
void readFields(const Json &Object, std::span<const Field<T>> Table, T &Out,
                FieldCheck &Check,
                const std::vector<std::string_view> &Others = {}) {
  if (Object.Kind != JsonKind::Object)
    return Check.report(Object.Line, "", "expected an object");
  std::vector<std::string_view> Known = Others;
  for (const Field<T> &Row : Table) {
    Known.push_back(Row.Name);
    const Json *Value = Object.find(Row.Name);
    if (Value) {
      readField(*Value, Row, Out, Check);
      continue;
    }
    if (Row.Need == FieldNeed::Required)
      Check.report(Object.Line, Row.Name, "is missing");
  }
  for (const auto &[Name, Value] : Object.Members) {
    if (std::find(Known.begin(), Known.end(), Name) == Known.end())
      Check.unknown(Value.Line, Name, Known);
  }
}

/// Formats a number without a trailing fraction.
std::string formatNumber(double Number);

/// Writes a Markdown table of the rows, defaults read from a fresh T.
template <typename T>
std::string fieldsMarkdown(std::span<const Field<T>> Table) {
  std::string Page = "| name | unit | default | range | meaning |\n"
                     "|---|---|---|---|---|\n";
  const T Fresh{};
  for (const Field<T> &Row : Table) {
    std::string Default;
    std::string Range = formatNumber(Row.Min) + " to " + formatNumber(Row.Max);
    if (auto *B = std::get_if<bool T::*>(&Row.Member)) {
      Default = Fresh.**B ? "true" : "false";
      Range = "true, false";
    } else if (auto *I = std::get_if<std::int64_t T::*>(&Row.Member)) {
      Default = std::to_string(Fresh.**I);
    } else if (auto *D = std::get_if<double T::*>(&Row.Member)) {
      Default = formatNumber(Fresh.**D);
    } else if (auto *S = std::get_if<std::string T::*>(&Row.Member)) {
      Default = "\"" + Fresh.**S + "\"";
      Range += " bytes";
    } else if (auto *E = std::get_if<EnumField<T>>(&Row.Member)) {
      Default = std::string(E->Read(Fresh));
      Range = std::string(E->Allowed);
    } else {
      Default = "[]";
      Range = "list of strings";
    }
    if (Row.Need == FieldNeed::Required)
      Default = "required";
    Page += "| `" + std::string(Row.Name) + "` | " + std::string(Row.Unit) +
            " | " + Default + " | " + Range + " | " + std::string(Row.Help) +
            " |\n";
  }
  return Page;
}

} // namespace fulmar

#endif
