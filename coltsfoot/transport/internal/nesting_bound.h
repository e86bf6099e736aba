// Bounds how deep messages from other processes nest, and how many values they have. The JSON
// library reads, copies and writes nested values recursively, so a message of some hundred thousand
// opening brackets would overflow the stack; and it keeps each value of one byte in many times
// that.
//
//   auto request = decode_bounded_msgpack<peer_request>(body, max_values);
#pragma once

#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "coltsfoot/base/codec.h"

namespace coltsfoot::internal {

// Far more than the messages of operators and nodes need, which nest less than 16 deep.
inline constexpr std::size_t max_nesting = 64;

inline constexpr std::size_t any_number_of_values = std::numeric_limits<std::size_t>::max();

// Reads a message without keeping it, and ends when it nests too deep or has too many values.
class message_meter final : public nlohmann::json_sax<nlohmann::json> {
 public:
  explicit message_meter(std::size_t max_values) : max_values_(max_values) {}

  bool null() override { return count(); }
  bool boolean(bool) override { return count(); }
  bool number_integer(number_integer_t) override { return count(); }
  bool number_unsigned(number_unsigned_t) override { return count(); }
  bool number_float(number_float_t, const string_t&) override { return count(); }
  bool string(string_t&) override { return count(); }
  bool binary(binary_t&) override { return count(); }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override {
    return false;
  }

  bool too_deep() const { return depth_ > max_nesting; }
  bool too_many() const { return values_ > max_values_; }

 private:
  bool count() { return ++values_ <= max_values_; }
  bool enter() { return ++depth_ <= max_nesting && count(); }
  bool leave() {
    --depth_;
    return true;
  }

  std::size_t max_values_;
  std::size_t depth_ = 0;
  std::size_t values_ = 0;
};

// Whether a message nests deeper than `max_nesting`. Malformed messages do not; the decoder reports
// them.
inline bool nests_too_deep(std::string_view bytes, nlohmann::json::input_format_t format) {
  message_meter meter{any_number_of_values};
  nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &meter, format);
  return meter.too_deep();
}

template <typename T>
tl::expected<T, codec_error> decode_bounded_msgpack(std::string_view bytes,
                                                    std::size_t max_values = any_number_of_values) {
  message_meter meter{max_values};
  nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &meter,
                            nlohmann::json::input_format_t::msgpack);
  if (meter.too_deep()) {
    return tl::unexpected(
        codec_error{"nested deeper than " + std::to_string(max_nesting) + " levels"});
  }
  if (meter.too_many()) {
    return tl::unexpected(codec_error{"more than " + std::to_string(max_values) + " values"});
  }
  return decode_msgpack<T>(bytes);
}

}  // namespace coltsfoot::internal
