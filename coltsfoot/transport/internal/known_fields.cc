#include "coltsfoot/transport/internal/known_fields.h"

#include <array>
#include <cstring>
#include <limits>
#include <type_traits>
#include <utility>
#include <vector>

namespace coltsfoot::internal {
namespace {

using nlohmann::json;

// Errors of the library quote the input, which can be long.
constexpr std::size_t max_error_bytes = 200;

class known_field_reader final : public nlohmann::json_sax<json> {
 public:
  known_field_reader(const json& shape, const json_bounds& bounds)
      : shape_(shape), bounds_(bounds) {}

  bool null() override { return add(nullptr); }
  bool boolean(bool value) override { return add(value); }
  bool number_integer(number_integer_t value) override { return add(value); }
  bool number_unsigned(number_unsigned_t value) override { return add(value); }
  bool number_float(number_float_t value, const string_t&) override { return add(value); }
  bool string(string_t& value) override { return !keeps_next() || (count_item() && add(value)); }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return open(json::value_t::object); }
  bool end_object() override { return close(); }
  bool start_array(std::size_t) override { return open(json::value_t::array); }
  bool end_array() override { return close(); }

  bool key(string_t& name) override {
    if (dropped_depth_ > 0) return true;
    auto& top = open_.back();
    const auto known = top.shape->find(name);
    field_ = nullptr;
    if (known == top.shape->end()) return true;
    const auto [place, is_new] = top.value->emplace(name, nullptr);
    if (!is_new) return fail("repeated name: " + name);
    field_ = &*place;
    field_shape_ = &*known;
    return true;
  }

  bool parse_error(std::size_t, const std::string&, const json::exception& error) override {
    return fail(std::string{error.what()}.substr(0, max_error_bytes));
  }

  tl::expected<json, std::string> result() && {
    if (!error_.empty()) return tl::unexpected(std::move(error_));
    return std::move(root_);
  }

 private:
  // An array or object that is kept and has not ended.
  struct level {
    json* value;
    const json* shape;
  };

  bool fail(std::string reason) {
    if (error_.empty()) error_ = std::move(reason);
    return false;
  }

  bool in_list() const { return !open_.empty() && open_.back().value->is_array(); }

  bool in_number_list() const { return !open_.empty() && open_.back().value->is_binary(); }

  // Whether the value that begins is not in an unknown field.
  bool keeps_next() const {
    if (dropped_depth_ > 0) return false;
    return open_.empty() || in_list() || in_number_list() || field_ != nullptr;
  }

  const json& next_shape() const {
    if (open_.empty()) return shape_;
    return in_list() ? open_.back().shape->front() : *field_shape_;
  }

  // Puts a value where the next one belongs.
  json& place(json&& value) {
    if (open_.empty()) return root_ = std::move(value);
    if (!in_list()) return *field_ = std::move(value);
    open_.back().value->push_back(std::move(value));
    return open_.back().value->back();
  }

  template <typename T>
  bool add(T&& value) {
    if (!keeps_next()) return true;
    if (open_.empty()) return fail("not an object");
    if (in_number_list()) return add_number(value);
    if (in_list() && next_shape().is_structured()) return fail("not an object in a list");
    place(json(std::forward<T>(value)));
    return true;
  }

  template <typename T>
  bool add_number(const T& value) {
    if constexpr (std::is_arithmetic_v<T>) {
      // Converting a number out of range is undefined, and differs between architectures.
      if constexpr (std::is_floating_point_v<T>) {
        const bool in_range = value > -1 && value <= std::numeric_limits<std::uint32_t>::max();
        if (!in_range) return fail("a number out of range in a list");
      }
      const auto number = static_cast<std::uint32_t>(value);
      std::array<std::uint8_t, sizeof number> bytes{};
      std::memcpy(bytes.data(), &number, sizeof number);
      auto& list = open_.back().value->get_binary();
      list.insert(list.end(), bytes.begin(), bytes.end());
      return true;
    }
    return fail("not a number in a list");
  }

  // Numbers do not count, since they cost little.
  bool count_item() {
    if (!in_list() || ++items_ <= bounds_.max_items) return true;
    return fail("more than " + std::to_string(bounds_.max_items) + " items in lists");
  }

  bool open(json::value_t type) {
    if (++depth_ > bounds_.max_depth) return fail("nests too deep");
    if (!keeps_next()) {
      ++dropped_depth_;
      return true;
    }
    if (in_number_list()) return fail("not a number in a list");
    const auto& shape = next_shape();
    if (type == json::value_t::array && shape.is_binary()) type = json::value_t::binary;
    if (shape.type() != type) {
      return fail(open_.empty() ? "not an object" : "an array or object in a wrong place");
    }
    if (!count_item()) return false;
    open_.push_back({.value = &place(json(type)), .shape = &shape});
    return true;
  }

  bool close() {
    --depth_;
    if (dropped_depth_ > 0) {
      --dropped_depth_;
    } else {
      open_.pop_back();
    }
    return true;
  }

  const json& shape_;
  json_bounds bounds_;
  json root_;
  std::string error_;
  std::vector<level> open_;
  // Of the name that was read last: null if it is unknown.
  json* field_ = nullptr;
  const json* field_shape_ = nullptr;
  std::size_t depth_ = 0;
  std::size_t dropped_depth_ = 0;  // levels open in an unknown field
  std::size_t items_ = 0;
};

}  // namespace

std::vector<std::uint32_t> numbers_of(const json& list) {
  const auto& bytes = list.get_binary();
  std::vector<std::uint32_t> numbers(bytes.size() / sizeof(std::uint32_t));
  if (!numbers.empty()) std::memcpy(numbers.data(), bytes.data(), bytes.size());
  return numbers;
}

tl::expected<json, std::string> read_known_fields(std::string_view body, const json& shape,
                                                  const json_bounds& bounds) {
  known_field_reader reader{shape, bounds};
  json::sax_parse(body.begin(), body.end(), &reader);
  return std::move(reader).result();
}

}  // namespace coltsfoot::internal
