// Requests that wait for a connection to their host. Each host has a limit of open requests; those
// above it wait in their order.
//
//   host_queues<transfer> queues{8};
//   if (auto ready = queues.admit(host, std::move(request), deadline)) begin(std::move(ready));
//   if (auto next = queues.release(host)) begin(std::move(next));  // one has ended
//   for (auto& late : queues.take_expired(now)) fail(std::move(late));
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfoot::internal {

template <typename Request>
class host_queues {
 public:
  using clock = std::chrono::steady_clock;
  using pointer = std::unique_ptr<Request>;

  explicit host_queues(std::size_t open_per_host) : open_per_host_(open_per_host) {}

  // Returns the request if it may begin now. Otherwise keeps it until `deadline`.
  pointer admit(const std::string& host, pointer request, clock::time_point deadline) {
    auto& queue = queues_[host];
    if (queue.open < open_per_host_) {
      ++queue.open;
      return request;
    }
    queue.waiting.push_back({.request = std::move(request), .deadline = deadline});
    ++waiting_;
    return nullptr;
  }

  // An open request of the host has ended. Returns the next that may begin, if one waits.
  pointer release(const std::string& host) {
    const auto found = queues_.find(host);
    auto& queue = found->second;
    if (queue.waiting.empty()) {
      if (--queue.open == 0) queues_.erase(found);
      return nullptr;
    }
    auto next = std::move(queue.waiting.front().request);
    queue.waiting.pop_front();
    --waiting_;
    return next;
  }

  // Takes out the waiting requests whose deadline has passed.
  std::vector<pointer> take_expired(clock::time_point now) {
    std::vector<pointer> expired;
    if (waiting_ == 0) return expired;
    for (auto& [host, queue] : queues_) {
      std::erase_if(queue.waiting, [&](auto& entry) {
        if (now < entry.deadline) return false;
        expired.push_back(std::move(entry.request));
        return true;
      });
    }
    waiting_ -= expired.size();
    return expired;
  }

  std::size_t waiting() const { return waiting_; }

 private:
  struct entry {
    pointer request;
    clock::time_point deadline;
  };
  struct host_queue {
    std::size_t open = 0;
    std::deque<entry> waiting;
  };

  std::size_t open_per_host_;
  std::size_t waiting_ = 0;
  std::unordered_map<std::string, host_queue> queues_;
};

}  // namespace coltsfoot::internal
