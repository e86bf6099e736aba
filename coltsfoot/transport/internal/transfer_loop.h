// Runs libcurl transfers on one thread. Each round looks only at sockets that have news, so that
// the cost of a call does not grow with the number of calls that wait for an answer.
//
//   transfer_loop loop{{}};
//   loop.add(handle);
//   loop.run_once(duration{1'000});
//   while (const auto ended = loop.next_ended()) finish(ended->handle, ended->code);
#pragma once

#include <curl/curl.h>

#include <chrono>
#include <cstddef>
#include <optional>

#include "coltsfoot/base/time.h"

namespace coltsfoot::internal {

struct transfer_loop_options {
  long max_kept_connections = 2'048;  // idle ones, over all hosts
};

struct ended_transfer {
  CURL* handle = nullptr;
  CURLcode code = CURLE_OK;
};

// All functions but `wake` belong to one thread.
class transfer_loop {
 public:
  explicit transfer_loop(const transfer_loop_options& options);
  ~transfer_loop();
  transfer_loop(const transfer_loop&) = delete;
  transfer_loop& operator=(const transfer_loop&) = delete;

  void add(CURL* handle) { curl_multi_add_handle(multi_, handle); }
  void remove(CURL* handle) { curl_multi_remove_handle(multi_, handle); }

  // Waits for news of sockets, a time-out or `wake`, for `longest` at most, and lets the transfers
  // go on.
  void run_once(duration longest);

  // Returns a transfer that has ended, once each; it must be removed.
  std::optional<ended_transfer> next_ended();

  // Ends the wait of `run_once`. May be called from any thread.
  void wake() const;

 private:
  using clock = std::chrono::steady_clock;

  static int on_socket(CURL* handle, curl_socket_t socket, int what, void* self, void* known);
  static int on_timer(CURLM* multi, long timeout_ms, void* self);
  void watch(curl_socket_t socket, int what, bool known);
  int wait_ms(duration longest) const;
  void run_timer();
  void drain_wake() const;

  CURLM* multi_ = nullptr;
  int poll_fd_ = -1;
  int wake_fd_ = -1;
  std::optional<clock::time_point> timer_;  // when libcurl wants to be called
};

}  // namespace coltsfoot::internal
