// Tables of names for enumerations, used by logs, JSON and settings.
//
//   enum class color { red, green };
//   template <>
//   struct enum_names<color> {
//     static constexpr std::array table{std::pair{color::red, std::string_view{"red"}}, ...};
//   };
//   name_of(color::red);             // "red"
//   parse_name<color>("green");      // color::green
#pragma once

#include <array>
#include <concepts>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

namespace coltsfoot {

// Specialised for each enumeration that has names.
template <typename E>
struct enum_names;

template <typename E>
concept named_enum = std::is_enum_v<E> && requires { enum_names<E>::table; };

// Returns the name of `value`, or "unknown" for a value outside the table.
template <named_enum E>
constexpr std::string_view name_of(E value) {
  for (const auto& [entry, name] : enum_names<E>::table) {
    if (entry == value) return name;
  }
  return "unknown";
}

// Returns the value called `name`, or nothing.
template <named_enum E>
constexpr std::optional<E> parse_name(std::string_view name) {
  for (const auto& [entry, entry_name] : enum_names<E>::table) {
    if (entry_name == name) return entry;
  }
  return std::nullopt;
}

}  // namespace coltsfoot
