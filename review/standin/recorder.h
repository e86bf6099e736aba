// Writes what was sent, answered and run, one line each, with milliseconds since the start.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace review {

class recorder {
 public:
  explicit recorder(const std::string& path) : out_(path, std::ios::trunc) {}

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

}  // namespace review
