#include "tests/process/support/client_crowd.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace coltsfoot::testing {
namespace {

// State of a listening socket in /proc/net/tcp, whose queue is a number of connections.
constexpr std::string_view listening = "0A";

sockaddr_in loopback(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool send_all(int handle, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

}  // namespace

client_crowd::client_crowd(std::uint16_t port, std::size_t count, std::string source)
    : port_(port), source_(std::move(source)) {
  for (std::size_t n = 0; n < count; ++n) sockets_.push_back(open_connection());
}

client_crowd::~client_crowd() {
  for (const int handle : sockets_) close(handle);
}

int client_crowd::open_connection() const {
  const timeval limit{.tv_sec = 1, .tv_usec = 0};
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  auto address = loopback(source_, 0);
  [[maybe_unused]] int result =
      bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  // A server that refuses it leaves a socket on which nothing can be sent.
  address = loopback("127.0.0.1", port_);
  result = connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return handle;
}

bool client_crowd::send(std::size_t number, const std::string& bytes) const {
  return send_all(sockets_.at(number), bytes);
}

void client_crowd::send_each(const std::string& bytes,
                             const std::function<void()>& after_each) const {
  send_each([&](std::size_t) { return bytes; }, after_each);
}

void client_crowd::send_each(const std::function<std::string(std::size_t)>& bytes_of,
                             const std::function<void()>& after_each) const {
  for (std::size_t n = 0; n < sockets_.size(); ++n) {
    send(n, bytes_of(n));
    after_each();
  }
}

std::vector<std::size_t> client_crowd::come_back() {
  std::vector<std::size_t> reopened;
  for (std::size_t n = 0; n < sockets_.size(); ++n) {
    std::array<char, 4096> buffer{};
    ssize_t count = 1;
    while (count > 0) count = recv(sockets_[n], buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) continue;
    close(sockets_[n]);
    sockets_[n] = open_connection();
    reopened.push_back(n);
  }
  return reopened;
}

std::string client_crowd::read(std::size_t number) const {
  std::string text;
  std::array<char, 4096> buffer{};
  for (;;) {
    const auto count = recv(sockets_.at(number), buffer.data(), buffer.size(), 0);
    if (count <= 0) return text;
    text.append(buffer.data(), static_cast<std::size_t>(count));
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

void reset_connections(std::uint16_t port, std::size_t count) {
  const auto address = loopback("127.0.0.1", port);
  const linger reset{.l_onoff = 1, .l_linger = 0};
  for (std::size_t n = 0; n < count; ++n) {
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(handle, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    [[maybe_unused]] const int result =
        connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    close(handle);
  }
}

process_watch::process_watch(pid_t pid, std::vector<std::uint16_t> ports)
    : pid_(pid),
      ports_(std::move(ports)),
      memory_at_start_(status_kb("VmRSS")),
      descriptors_at_start_(descriptors()),
      most_descriptors_(descriptors_at_start_) {}

void process_watch::sample() {
  most_descriptors_ = std::max(most_descriptors_, descriptors());
  most_unread_bytes_ = std::max(most_unread_bytes_, unread_bytes());
}

// The receive queues of all connections to the ports, as the kernel lists them: local address,
// remote address, state, and the two queues, all hexadecimal.
std::int64_t process_watch::unread_bytes() const {
  if (ports_.empty()) return 0;
  std::ifstream file{"/proc/net/tcp"};
  std::string line;
  std::getline(file, line);
  std::int64_t sum = 0;
  while (std::getline(file, line)) {
    std::istringstream fields{line};
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const auto port =
        static_cast<std::uint16_t>(std::stoul(local.substr(local.find(':') + 1), nullptr, 16));
    if (state == listening || std::find(ports_.begin(), ports_.end(), port) == ports_.end()) {
      continue;
    }
    sum += std::stoll(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return sum;
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
