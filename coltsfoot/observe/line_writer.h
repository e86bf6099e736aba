// Writes log lines to a file descriptor without ever waiting for its reader.
//
//   line_writer writer{STDOUT_FILENO};
//   writer.write("event=start");
//
// A line that the reader leaves no room for is dropped and counted; the count is written as a line
// of its own once there is room again. No line is kept, so that no reader makes the process grow.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace coltsfoot {

class line_writer {
 public:
  explicit line_writer(int descriptor) : descriptor_(descriptor) {}

  // Adds a line end. May be called from any thread. A line longer than `longest_line` is cut.
  void write(std::string line);

  std::uint64_t dropped() const;

  // A pipe that reports room takes this much without waiting (POSIX: PIPE_BUF).
  static constexpr std::size_t longest_line = 4'096;

 private:
  bool has_room() const;
  void put(const std::string& line) const;

  int descriptor_;
  mutable std::mutex mutex_;
  std::uint64_t dropped_ = 0;  // in all
  std::uint64_t untold_ = 0;   // dropped and not yet told
};

}  // namespace coltsfoot
