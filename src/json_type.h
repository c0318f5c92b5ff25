/// \file json_type.h A JSON value with its line in the source text.
#ifndef FULMARSTEP_JSON_TYPE_H
#define FULMARSTEP_JSON_TYPE_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fulmar {

/// The kinds of JSON value.
enum class JsonKind {
  Null,    ///< null
  Bool,    ///< true or false
  Number,  ///< A number.
  Text,    ///< A string.
  List,    ///< An array.
  Object,  ///< An object.
  Count,   ///< Number of kinds.
  Invalid, ///< Not a kind.
};

/// A JSON value as a plain tree.
struct Json {
  JsonKind Kind = JsonKind::Null; ///< Selects the member that holds the value.
  bool Bool = false;              ///< Value if Kind is Bool.
  double Number = 0;              ///< Value if Kind is Number.
  std::string Text;               ///< Value if Kind is Text, in UTF-8.
  std::vector<Json> Items;        ///< Items if Kind is List.
  std::vector<std::pair<std::string, Json>>
      Members;  ///< Members if Kind is Object.
  int Line = 0; ///< Line in the parsed text, from 1; 0 if not parsed.

  Json() = default;
  Json(bool B) : Kind(JsonKind::Bool), Bool(B) {}
  Json(double N) : Kind(JsonKind::Number), Number(N) {}
  Json(int N) : Json(static_cast<double>(N)) {}
  Json(std::int64_t N) : Json(static_cast<double>(N)) {}
  Json(std::uint64_t N) : Json(static_cast<double>(N)) {}
  Json(std::string T) : Kind(JsonKind::Text), Text(std::move(T)) {}
  Json(const char *T) : Json(std::string(T)) {}

  /// \return The first member named \p Name, or nullptr.
  const Json *find(std::string_view Name) const {
    for (const auto &[Key, Value] : Members) {
      if (Key != Name)
        continue;
      return &Value;
    }
    return nullptr;
  }

  /// Appends a member and makes this value an object.
  Json &set(std::string Name, Json Value) {
    Kind = JsonKind::Object;
    Members.emplace_back(std::move(Name), std::move(Value));
    return *this;
  }

  /// Appends an item and makes this value a list.
  Json &push(Json Value) {
    Kind = JsonKind::List;
    Items.push_back(std::move(Value));
    return *this;
  }

  /// \return The string member \p Name, or \p Default.
  std::string text(std::string_view Name,
                   const std::string &Default = {}) const {
    const Json *Value = find(Name);
    return Value && Value->Kind == JsonKind::Text ? Value->Text : Default;
  }

  /// \return The number member \p Name, or \p Default.
  double number(std::string_view Name, double Default = 0) const {
    const Json *Value = find(Name);
    return Value && Value->Kind == JsonKind::Number ? Value->Number : Default;
  }

  /// \return The Boolean member \p Name, or \p Default.
  bool flag(std::string_view Name, bool Default = false) const {
    const Json *Value = find(Name);
    return Value && Value->Kind == JsonKind::Bool ? Value->Bool : Default;
  }
};

} // namespace fulmar

#endif
