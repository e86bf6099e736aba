// The time of a soak, and the record of what was done and seen.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace coltsfoot::testing {

class soak_record {
 public:
  explicit soak_record(const std::string& path) : out_(path, std::ios::trunc) {}

  // Milliseconds since the start.
  std::int64_t now_ms() const {
    const auto age = std::chrono::steady_clock::now() - start_;
    return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  }
  void note(std::string_view text) {
    const std::lock_guard lock{mutex_};
    out_ << now_ms() << ' ' << text << '\n' << std::flush;
  }

 private:
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::mutex mutex_;
  std::ofstream out_;
};

}  // namespace coltsfoot::testing
