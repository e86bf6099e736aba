#include "coltsfoot/observe/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace coltsfoot {

bool line_writer::has_room() const {
  pollfd request{.fd = descriptor_, .events = POLLOUT, .revents = 0};
  return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

void line_writer::put(const std::string& line) const {
  std::size_t done = 0;
  while (done < line.size()) {
    const auto written = ::write(descriptor_, line.data() + done, line.size() - done);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return;  // nobody reads any more
    done += static_cast<std::size_t>(written);
  }
}

void line_writer::write(std::string line) {
  if (line.size() >= longest_line) line.resize(longest_line - 1);
  line.push_back('\n');
  const std::lock_guard lock{mutex_};
  if (untold_ > 0 && has_room()) {
    put("event=log_lines_dropped count=" + std::to_string(untold_) + "\n");
    untold_ = 0;
  }
  if (untold_ > 0 || !has_room()) {
    ++dropped_;
    ++untold_;
    return;
  }
  put(line);
}

std::uint64_t line_writer::dropped() const {
  const std::lock_guard lock{mutex_};
  return dropped_;
}

}  // namespace coltsfoot
