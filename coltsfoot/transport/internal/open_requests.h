// The requests of a listener that have no answer yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>

#include "coltsfoot/transport/client_budget.h"

namespace coltsfoot::internal {

struct open_request {
  restinio::request_handle_t handle;
  std::shared_ptr<waiting_request> waiting;
};

// A request refers to its connection, which belongs to the server: responders name a request by its
// id, so that they may outlive the server.
class open_requests {
 public:
  using request_id = std::uint64_t;

  request_id add(open_request request) {
    const std::lock_guard lock{mutex_};
    const auto id = ++last_id_;
    if (!closed_) requests_.emplace(id, std::move(request));
    return id;
  }

  // Returns the request, which is then not open any more; without handle if it was not.
  open_request take(request_id id) {
    const std::lock_guard lock{mutex_};
    auto node = requests_.extract(id);
    return node.empty() ? open_request{} : std::move(node.mapped());
  }

  // Drops all requests, those to come included.
  void close() {
    std::unordered_map<request_id, open_request> dropped;
    const std::lock_guard lock{mutex_};
    closed_ = true;
    dropped.swap(requests_);
  }

 private:
  std::mutex mutex_;
  request_id last_id_ = 0;
  bool closed_ = false;
  std::unordered_map<request_id, open_request> requests_;
};

// The right to answer one request. The request is dropped with it.
class open_answer {
 public:
  open_answer(std::shared_ptr<open_requests> requests, open_request request)
      : requests_(std::move(requests)), id_(requests_->add(std::move(request))) {}
  ~open_answer() { requests_->take(id_); }
  open_answer(const open_answer&) = delete;
  open_answer& operator=(const open_answer&) = delete;

  // Returns the request, once.
  open_request take() { return requests_->take(id_); }

 private:
  std::shared_ptr<open_requests> requests_;
  open_requests::request_id id_;
};

}  // namespace coltsfoot::internal
