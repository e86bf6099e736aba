// Compact binary encoding: variable-length numbers and length-prefixed text.
//
//   byte_writer out;
//   out.number(7);
//   out.text("w-17");
//   byte_reader in{out.bytes()};
//   in.number();  // 7
//   in.text();    // "w-17"
//   if (!in.ok()) return malformed;
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoot {

class byte_writer {
 public:
  void number(std::uint64_t value) {
    while (value >= 0x80) {
      bytes_.push_back(static_cast<char>(value | 0x80U));
      value >>= 7U;
    }
    bytes_.push_back(static_cast<char>(value));
  }
  void text(std::string_view value) {
    number(value.size());
    bytes_.append(value);
  }
  const std::string& bytes() const { return bytes_; }
  std::string take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

// Reads what a `byte_writer` wrote. After malformed input, `ok` is false and values are empty.
class byte_reader {
 public:
  explicit byte_reader(std::string_view bytes) : rest_(bytes) {}

  std::uint64_t number() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      if (rest_.empty()) break;
      const auto byte = static_cast<unsigned char>(rest_.front());
      rest_.remove_prefix(1);
      value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
      if ((byte & 0x80U) == 0) return value;
    }
    ok_ = false;
    rest_ = {};
    return 0;
  }
  std::string_view text() {
    const auto size = number();
    if (size > rest_.size()) {
      ok_ = false;
      rest_ = {};
      return {};
    }
    const auto value = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return value;
  }
  bool ok() const { return ok_; }
  bool at_end() const { return rest_.empty(); }

 private:
  std::string_view rest_;
  bool ok_ = true;
};

}  // namespace coltsfoot
