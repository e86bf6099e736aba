#include "coltsfoot/rack/attempt_fence.h"

#include <algorithm>

namespace coltsfoot {

bool attempt_fence::accept_epoch(const customer_id& customer, epoch seen) {
  auto& highest = epochs_[customer];
  if (seen < highest) return false;
  highest = seen;
  return true;
}

void attempt_fence::close(const attempt_id& attempt) {
  const task_key key{attempt.customer, attempt.task};
  const auto [found, added] = closed_.try_emplace(key, attempt.attempt);
  if (!added) {
    found->second = std::max(found->second, attempt.attempt);
    return;
  }
  order_.push_back(key);
  if (order_.size() <= limit_) return;
  closed_.erase(order_.front());
  order_.pop_front();
}

bool attempt_fence::closed(const attempt_id& attempt) const {
  const auto found = closed_.find(task_key{attempt.customer, attempt.task});
  return found != closed_.end() && attempt.attempt <= found->second;
}

}  // namespace coltsfoot
