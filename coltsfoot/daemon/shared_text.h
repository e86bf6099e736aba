// A string that one thread writes and others read, such as the /metrics page.
//
//   shared_text page;
//   page.set(render());         // control thread
//   respond(page.get());        // I/O thread
#pragma once

#include <mutex>
#include <string>
#include <utility>

namespace coltsfoot {

class shared_text {
 public:
  void set(std::string text) {
    const std::lock_guard lock{mutex_};
    text_ = std::move(text);
  }
  std::string get() const {
    const std::lock_guard lock{mutex_};
    return text_;
  }

 private:
  mutable std::mutex mutex_;
  std::string text_;
};

}  // namespace coltsfoot
