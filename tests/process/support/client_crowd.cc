#include "tests/process/support/client_crowd.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>

namespace coltsfoot::testing {

client_crowd::client_crowd(std::uint16_t port, std::size_t count) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const timeval limit{.tv_sec = 1, .tv_usec = 0};
  for (std::size_t n = 0; n < count; ++n) {
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    sockets_.push_back(handle);
    // A server that refuses it leaves a socket on which nothing can be sent.
    [[maybe_unused]] const int result =
        connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
}

client_crowd::~client_crowd() {
  for (const int handle : sockets_) close(handle);
}

void client_crowd::send_each(const std::string& bytes,
                             const std::function<void()>& after_each) const {
  for (const int handle : sockets_) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto count = send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) break;
      sent += static_cast<std::size_t>(count);
    }
    after_each();
  }
}

std::size_t client_crowd::count_answered() const {
  std::size_t answered = 0;
  for (const int handle : sockets_) {
    std::array<char, 4096> buffer{};
    const auto count = recv(handle, buffer.data(), buffer.size(), 0);
    if (count <= 0) continue;
    const std::string_view text{buffer.data(), static_cast<std::size_t>(count)};
    answered += text.starts_with("HTTP/1.1 ") ? 1 : 0;
  }
  return answered;
}

process_watch::process_watch(pid_t pid)
    : pid_(pid),
      memory_at_start_(status_kb("VmRSS")),
      descriptors_at_start_(descriptors()),
      most_descriptors_(descriptors_at_start_) {}

void process_watch::sample() {
  most_descriptors_ = std::max(most_descriptors_, descriptors());
}

std::int64_t process_watch::memory_growth_kb() {
  return status_kb("VmHWM") - memory_at_start_;
}

std::int64_t process_watch::status_kb(const std::string& field) const {
  std::ifstream file{fmt::format("/proc/{}/status", pid_)};
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(field + ":")) return std::stoll(line.substr(field.size() + 1));
  }
  return 0;
}

std::int64_t process_watch::descriptors() const {
  std::error_code ignored;
  const std::filesystem::directory_iterator entries{fmt::format("/proc/{}/fd", pid_), ignored};
  return std::distance(begin(entries), end(entries));
}

}  // namespace coltsfoot::testing
