// JSON and msgpack codec for plain structs, on top of nlohmann-json.
//
// A struct becomes encodable with COLTSFOOT_CODEC(type, field...) in its namespace. Missing fields
// take their default and unknown ones are ignored, so that nodes of two versions understand each
// other during an upgrade.
//
//   std::string bytes = encode_msgpack(value);
//   tl::expected<task_spec, codec_error> spec = decode_msgpack<task_spec>(bytes);
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <variant>

#include "coltsfoot/base/name_table.h"

#define COLTSFOOT_CODEC NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT

namespace nlohmann {

template <typename T>
struct adl_serializer<std::optional<T>> {
  static void to_json(json& out, const std::optional<T>& value) {
    out = value ? json(*value) : json(nullptr);
  }
  static void from_json(const json& in, std::optional<T>& value) {
    value = in.is_null() ? std::optional<T>{} : std::optional<T>{in.get<T>()};
  }
};

template <typename Rep, typename Period>
struct adl_serializer<std::chrono::duration<Rep, Period>> {
  static void to_json(json& out, std::chrono::duration<Rep, Period> value) { out = value.count(); }
  static void from_json(const json& in, std::chrono::duration<Rep, Period>& value) {
    value = std::chrono::duration<Rep, Period>{in.get<Rep>()};
  }
};

template <typename Duration>
struct adl_serializer<std::chrono::sys_time<Duration>> {
  static void to_json(json& out, std::chrono::sys_time<Duration> value) {
    out = value.time_since_epoch().count();
  }
  static void from_json(const json& in, std::chrono::sys_time<Duration>& value) {
    value = std::chrono::sys_time<Duration>{Duration{in.get<typename Duration::rep>()}};
  }
};

template <coltsfoot::named_enum E>
struct adl_serializer<E> {
  static void to_json(json& out, E value) { out = std::string{coltsfoot::name_of(value)}; }
  static void from_json(const json& in, E& value) {
    const auto& name = in.get_ref<const std::string&>();
    const auto parsed = coltsfoot::parse_name<E>(name);
    if (!parsed) throw json::other_error::create(501, "unknown name: " + name, &in);
    value = *parsed;
  }
};

}  // namespace nlohmann

namespace coltsfoot {

// Why bytes could not be decoded.
struct codec_error {
  std::string message;
};

// A struct that is an alternative of a message variant: it names itself on the wire.
template <typename T>
concept named_message = requires {
  { T::message_name } -> std::convertible_to<std::string_view>;
};

namespace internal {

template <typename Variant, std::size_t I = 0>
Variant variant_from_json(std::string_view name, const nlohmann::json& body) {
  if constexpr (I == std::variant_size_v<Variant>) {
    throw nlohmann::json::other_error::create(502, "unknown message: " + std::string{name}, &body);
  } else {
    using alternative = std::variant_alternative_t<I, Variant>;
    if (alternative::message_name == name) return body.template get<alternative>();
    return variant_from_json<Variant, I + 1>(name, body);
  }
}

}  // namespace internal

}  // namespace coltsfoot

namespace nlohmann {

// A variant of named messages is written as the array [name, body].
template <coltsfoot::named_message... Messages>
struct adl_serializer<std::variant<Messages...>> {
  static void to_json(json& out, const std::variant<Messages...>& value) {
    std::visit(
        [&out](const auto& body) {
          using body_type = std::decay_t<decltype(body)>;
          out = json::array({std::string{body_type::message_name}, json(body)});
        },
        value);
  }
  static void from_json(const json& in, std::variant<Messages...>& value) {
    value = coltsfoot::internal::variant_from_json<std::variant<Messages...>>(
        in.at(0).get_ref<const std::string&>(), in.at(1));
  }
};

}  // namespace nlohmann

namespace coltsfoot {

// Encodes `value` as msgpack.
template <typename T>
std::string encode_msgpack(const T& value) {
  std::string out;
  nlohmann::json::to_msgpack(nlohmann::json(value), out);
  return out;
}

// Decodes a value from msgpack. Malformed or mistyped input is an error.
template <typename T>
tl::expected<T, codec_error> decode_msgpack(std::string_view bytes) {
  try {
    return nlohmann::json::from_msgpack(bytes.begin(), bytes.end()).template get<T>();
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(codec_error{error.what()});
  }
}

// Decodes a value from JSON text. Malformed or mistyped input is an error.
template <typename T>
tl::expected<T, codec_error> decode_json(std::string_view text) {
  try {
    return nlohmann::json::parse(text).template get<T>();
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(codec_error{error.what()});
  }
}

}  // namespace coltsfoot
