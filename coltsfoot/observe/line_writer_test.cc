#include "coltsfoot/observe/line_writer.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

namespace coltsfoot {
namespace {

class pipe_pair {
 public:
  pipe_pair() { EXPECT_EQ(pipe(ends_.data()), 0); }
  ~pipe_pair() {
    close(ends_[0]);
    close(ends_[1]);
  }
  pipe_pair(const pipe_pair&) = delete;
  pipe_pair& operator=(const pipe_pair&) = delete;

  int in() const { return ends_[1]; }
  std::string read_some() const {
    std::string text(1 << 20, '\0');
    const auto size = read(ends_[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

TEST(line_writer_test, writes_whole_lines) {
  const pipe_pair pipe;
  line_writer writer{pipe.in()};
  writer.write("event=a");
  writer.write("event=b");
  EXPECT_EQ(pipe.read_some(), "event=a\nevent=b\n");
}

TEST(line_writer_test, a_pipe_that_nobody_reads_delays_nothing) {
  const pipe_pair pipe;
  line_writer writer{pipe.in()};
  const auto begin = std::chrono::steady_clock::now();
  constexpr int lines = 20'000;
  for (int i = 0; i < lines; ++i) writer.write(std::string(200, 'x'));
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds{5});
  EXPECT_GT(writer.dropped(), 0U);
  EXPECT_LT(writer.dropped(), static_cast<std::uint64_t>(lines));
}

TEST(line_writer_test, tells_how_many_lines_were_dropped) {
  const pipe_pair pipe;
  line_writer writer{pipe.in()};
  while (writer.dropped() < 3) writer.write(std::string(1'000, 'x'));
  pipe.read_some();
  writer.write("event=after");
  EXPECT_EQ(pipe.read_some(), "event=log_lines_dropped count=3\nevent=after\n");
}

TEST(line_writer_test, a_long_line_is_cut) {
  const pipe_pair pipe;
  line_writer writer{pipe.in()};
  writer.write(std::string(10'000, 'x'));
  EXPECT_EQ(pipe.read_some().size(), line_writer::longest_line);
}

}  // namespace
}  // namespace coltsfoot
