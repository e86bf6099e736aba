// A queue that passes events from the I/O threads to the control thread.
//
//   mailbox events;
//   events.push(shutdown_requested{});                       // any thread
//   if (auto e = events.pop_until(deadline)) core.handle(*e, now);  // control thread
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "coltsfoot/node/commands.h"

namespace coltsfoot {

template <typename Event>
class basic_mailbox {
 public:
  void push(Event e) {
    bool was_empty = false;
    {
      const std::lock_guard lock{mutex_};
      was_empty = events_.empty();
      events_.push_back(std::move(e));
    }
    // A single consumer waits only while the queue is empty, so only the first event notifies it.
    if (was_empty) not_empty_.notify_one();
  }

  // Returns all queued events in order; empty if none arrives before `deadline`.
  std::deque<Event> pop_all_until(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock lock{mutex_};
    not_empty_.wait_until(lock, deadline, [this] { return !events_.empty(); });
    return std::exchange(events_, {});
  }

  // Returns the oldest event, or nothing if none arrives before `deadline`.
  std::optional<Event> pop_until(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock lock{mutex_};
    if (!not_empty_.wait_until(lock, deadline, [this] { return !events_.empty(); })) {
      return std::nullopt;
    }
    Event e = std::move(events_.front());
    events_.pop_front();
    return e;
  }

 private:
  std::mutex mutex_;
  std::condition_variable not_empty_;
  std::deque<Event> events_;
};

using mailbox = basic_mailbox<event>;

}  // namespace coltsfoot
