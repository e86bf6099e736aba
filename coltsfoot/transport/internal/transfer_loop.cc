#include "coltsfoot/transport/internal/transfer_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <stdexcept>

namespace coltsfoot::internal {
namespace {

constexpr std::size_t most_events_at_once = 128;

std::uint32_t epoll_events_of(int what) {
  std::uint32_t events = 0;
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT) events |= EPOLLIN;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT) events |= EPOLLOUT;
  return events;
}

int curl_flags_of(std::uint32_t events) {
  int flags = 0;
  if ((events & (EPOLLIN | EPOLLHUP)) != 0) flags |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0) flags |= CURL_CSELECT_OUT;
  if ((events & EPOLLERR) != 0) flags |= CURL_CSELECT_ERR;
  return flags;
}

}  // namespace

transfer_loop::transfer_loop(const transfer_loop_options& options)
    : poll_fd_(epoll_create1(EPOLL_CLOEXEC)), wake_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  multi_ = curl_multi_init();
  if (initialised != CURLE_OK || multi_ == nullptr || poll_fd_ < 0 || wake_fd_ < 0) {
    throw std::runtime_error{"no descriptors or memory for the HTTP client"};
  }
  epoll_event event{.events = EPOLLIN, .data = {.fd = wake_fd_}};
  epoll_ctl(poll_fd_, EPOLL_CTL_ADD, wake_fd_, &event);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, options.max_kept_connections);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
}

transfer_loop::~transfer_loop() {
  curl_multi_cleanup(multi_);
  close(wake_fd_);
  close(poll_fd_);
}

int transfer_loop::on_socket(CURL* /*handle*/, curl_socket_t socket, int what, void* self,
                             void* known) {
  static_cast<transfer_loop*>(self)->watch(socket, what, known != nullptr);
  return 0;
}

void transfer_loop::watch(curl_socket_t socket, int what, bool known) {
  if (what == CURL_POLL_REMOVE) {
    // Fails if the socket is closed already, which has ended the watch.
    epoll_ctl(poll_fd_, EPOLL_CTL_DEL, socket, nullptr);
    return;
  }
  epoll_event event{.events = epoll_events_of(what), .data = {.fd = socket}};
  if (known && epoll_ctl(poll_fd_, EPOLL_CTL_MOD, socket, &event) == 0) return;
  epoll_ctl(poll_fd_, EPOLL_CTL_ADD, socket, &event);
  curl_multi_assign(multi_, socket, this);  // any non-null pointer: the socket is known
}

int transfer_loop::on_timer(CURLM* /*multi*/, long timeout_ms, void* self) {
  auto& timer = static_cast<transfer_loop*>(self)->timer_;
  timer.reset();
  if (timeout_ms >= 0) timer = clock::now() + std::chrono::milliseconds{timeout_ms};
  return 0;
}

int transfer_loop::wait_ms(duration longest) const {
  if (!timer_) return static_cast<int>(longest.count());
  // Rounded up: a wait that ends too early would be repeated at once.
  const auto left = std::chrono::ceil<duration>(*timer_ - clock::now());
  return static_cast<int>(std::clamp(left, duration{0}, longest).count());
}

void transfer_loop::run_once(duration longest) {
  std::array<epoll_event, most_events_at_once> events{};
  const int count =
      epoll_wait(poll_fd_, events.data(), static_cast<int>(events.size()), wait_ms(longest));
  int running = 0;
  for (int i = 0; i < count; ++i) {
    const auto& event = events.at(static_cast<std::size_t>(i));
    if (event.data.fd == wake_fd_) {
      drain_wake();
    } else {
      curl_multi_socket_action(multi_, event.data.fd, curl_flags_of(event.events), &running);
    }
  }
  run_timer();
}

void transfer_loop::run_timer() {
  if (!timer_ || clock::now() < *timer_) return;
  timer_.reset();
  int running = 0;
  curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
}

std::optional<ended_transfer> transfer_loop::next_ended() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    return ended_transfer{.handle = message->easy_handle, .code = message->data.result};
  }
  return std::nullopt;
}

void transfer_loop::wake() const {
  constexpr std::uint64_t one = 1;
  // Fails only if the counter is full, and then the loop is awake.
  static_cast<void>(write(wake_fd_, &one, sizeof one));
}

void transfer_loop::drain_wake() const {
  std::uint64_t count = 0;
  static_cast<void>(read(wake_fd_, &count, sizeof count));
}

}  // namespace coltsfoot::internal
