// A proxy before one worker that may hold up start orders: the caller gets no answer, and the
// worker gets the order later.
//
//   late_start_proxy proxy{fleet_record};
//   proxy.start(worker_address);
//   proxy.hold_starts(true);
//   proxy.release();  // the worker gets what was held up
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/internal/rest_listener.h"
#include "tests/soak/standin/soak_clock.h"

namespace coltsfoot::review {

class late_start_proxy {
 public:
  late_start_proxy()
      : listener_({},
                  [this](internal::rest_request request, const internal::rest_responder& respond) {
                    receive(std::move(request), respond);
                  }) {}
  late_start_proxy(const late_start_proxy&) = delete;
  late_start_proxy& operator=(const late_start_proxy&) = delete;
  ~late_start_proxy() { http_.stop(); }

  // `worker`: "ip:port" that orders are passed on to.
  bool start(const std::string& worker) {
    worker_ = worker;
    return listener_.start().has_value();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }

  void hold_starts(bool hold) { hold_ = hold; }
  // While refusing, connections are closed without an answer, as those of a machine that is down.
  void refuse(bool refuse) { refuse_ = refuse; }
  // While cut, nothing passes either way, and nobody is answered.
  void cut(bool cut) { cut_ = cut; }
  // How many orders of any kind were sent to the worker.
  std::size_t orders() const { return orders_; }
  // Bodies of the orders that are held up.
  std::vector<std::string> held_bodies() const;
  // Passes on what was held up. Nobody is answered.
  void release();

 private:
  void receive(internal::rest_request request, const internal::rest_responder& respond);
  void keep_silent(const internal::rest_responder& respond);
  void pass_on(const internal::rest_request& request, http_client::callback done);

  std::string worker_;
  std::atomic<bool> hold_ = false;
  std::atomic<bool> refuse_ = false;
  std::atomic<bool> cut_ = false;
  std::atomic<std::size_t> orders_ = 0;
  mutable std::mutex mutex_;
  std::vector<internal::rest_request> held_;
  std::vector<internal::rest_responder> silent_;  // their connections stay open without an answer
  http_client http_;
  internal::rest_listener listener_;
};

}  // namespace coltsfoot::review
