// Passes events from the traffic threads to the control thread.
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
    // The one reader takes all events that it finds, or is told of the first.
    if (was_empty) filled_.notify_one();
  }

  // Returns all events in their order; none if none arrives before `deadline`.
  std::deque<Event> pop_all_until(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock lock{mutex_};
    filled_.wait_until(lock, deadline, [this] { return !events_.empty(); });
    return std::exchange(events_, {});
  }

  // Returns the oldest event, or nothing if none arrives before `deadline`.
  std::optional<Event> pop_until(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock lock{mutex_};
    if (!filled_.wait_until(lock, deadline, [this] { return !events_.empty(); })) {
      return std::nullopt;
    }
    Event e = std::move(events_.front());
    events_.pop_front();
    return e;
  }

 private:
  std::mutex mutex_;
  std::condition_variable filled_;
  std::deque<Event> events_;
};

using mailbox = basic_mailbox<event>;

}  // namespace coltsfoot
