/// \file field_base.h Field tables, from which JSON objects are parsed,
/// validated and documented.
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

/// Whether a field may be omitted.
enum class FieldPresence {
  Optional, ///< If omitted, the field has its default.
  Required, ///< Omitting it is an error.
  Count,    ///< Number of values.
  Invalid,  ///< Not a valid value.
};

/// Access to an enum member by the names of its enumerators.
template <typename T> struct EnumField {
  bool (*Assign)(T &, std::string_view); ///< Sets it; false: unknown name.
  std::string_view (*Read)(const T &);   ///< Name of the current value.
  std::string_view Allowed; ///< Valid names, for messages and help.
};

/// One row of a field table: name, type, range, help. The default is the
/// member's initializer in the struct, so that it is defined only once.
template <typename T> struct Field {
  std::string_view Name; ///< Key in the JSON object.
  std::variant<bool T::*, std::int64_t T::*, double T::*, std::string T::*,
               std::vector<std::string> T::*, EnumField<T>>
      Member;            ///< Member that takes the value; determines its type.
  std::string_view Unit; ///< Unit; empty if it has none.
  double Min = 0;        ///< Minimum value, or size in bytes or items.
  double Max = 0;        ///< Maximum value, or size in bytes or items.
  FieldPresence Presence =
      FieldPresence::Optional; ///< Whether it may be omitted.
  std::string_view Help;       ///< Help text for operators, one sentence.
};

/// Validates the fields of one object and collects the errors.
struct FieldCheck {
  Diagnostics &Errors; ///< Errors are appended here.
  std::string Path;    ///< Path of the object; empty for the root.

  /// Reports an error in the field \p Name.
  void report(int Line, std::string_view Name, std::string Message);
  /// Checks that a value is a number in its range.
  /// \param Whole whether it must be an integer.
  bool number(const Json &Value, std::string_view Name, double Min, double Max,
              std::string_view Unit, bool Whole);
  /// Checks that a value is a string of \p Min to \p Max bytes.
  bool text(const Json &Value, std::string_view Name, double Min, double Max);
  /// Reports a key that is not in the table, and suggests the most similar
  /// name.
  void unknown(int Line, std::string_view Name,
               const std::vector<std::string_view> &Known);
};

/// Finds the name in \p Known that is nearest to \p Name by edit distance.
/// \return Empty if none is similar enough for \p Name to be a typing error.
std::string_view nearestName(std::string_view Name,
                             const std::vector<std::string_view> &Known);

/// Validates one field and stores it in \p Out.
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

/// Parses all fields of \p Object and reports every error.
/// \param Others keys that the caller parses itself, such as nested lists.
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
    if (Row.Presence == FieldPresence::Required)
      Check.report(Object.Line, Row.Name, "is missing");
  }
  for (const auto &[Name, Value] : Object.Members) {
    if (std::find(Known.begin(), Known.end(), Name) == Known.end())
      Check.unknown(Value.Line, Name, Known);
  }
}

/// Formats a number without a trailing fraction.
std::string formatNumber(double Number);

/// Formats the table in Markdown, with the defaults of a value-initialized T.
template <typename T>
std::string fieldsMarkdown(std::span<const Field<T>> Table) {
  std::string Page = "| name | unit | default | range | meaning |\n"
                     "|---|---|---|---|---|\n";
  const T Defaults{};
  for (const Field<T> &Row : Table) {
    std::string Default;
    std::string Range = formatNumber(Row.Min) + " to " + formatNumber(Row.Max);
    if (auto *B = std::get_if<bool T::*>(&Row.Member)) {
      Default = Defaults.**B ? "true" : "false";
      Range = "true, false";
    } else if (auto *I = std::get_if<std::int64_t T::*>(&Row.Member)) {
      Default = std::to_string(Defaults.**I);
    } else if (auto *D = std::get_if<double T::*>(&Row.Member)) {
      Default = formatNumber(Defaults.**D);
    } else if (auto *S = std::get_if<std::string T::*>(&Row.Member)) {
      Default = "\"" + Defaults.**S + "\"";
      Range += " bytes";
    } else if (auto *E = std::get_if<EnumField<T>>(&Row.Member)) {
      Default = std::string(E->Read(Defaults));
      Range = std::string(E->Allowed);
    } else {
      Default = "[]";
      Range = "list of strings";
    }
    if (Row.Presence == FieldPresence::Required)
      Default = "required";
    Page += "| `" + std::string(Row.Name) + "` | " + std::string(Row.Unit) +
            " | " + Default + " | " + Range + " | " + std::string(Row.Help) +
            " |\n";
  }
  return Page;
}

} // namespace fulmar

#endif
