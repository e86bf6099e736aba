#include "coltsfoot/customer/dispatch_queue.h"

namespace coltsfoot {

void dispatch_queue::take_out(const task_id& id, place& at) {
  if (at.ready) ready_of(at).erase(at.age);
  if (at.delayed) delayed_.erase({at.until, id});
  at.ready = false;
  at.delayed = false;
}

void dispatch_queue::make_ready(const task_id& id, place& at) {
  take_out(id, at);
  at.ready = true;
  ready_of(at).emplace(at.age, id);
}

void dispatch_queue::add(const task_id& id, urgency priority) {
  const auto [found, inserted] = places_.try_emplace(id);
  if (inserted) {
    found->second.priority = priority;
    found->second.age = ++last_age_;
  }
  if (!found->second.delayed) make_ready(id, found->second);
}

void dispatch_queue::remove(const task_id& id) {
  const auto found = places_.find(id);
  if (found != places_.end()) take_out(id, found->second);
}

void dispatch_queue::forget(const task_id& id) {
  remove(id);
  places_.erase(id);
}

void dispatch_queue::delay(const task_id& id, time_point until) {
  const auto found = places_.find(id);
  if (found == places_.end()) return;
  take_out(id, found->second);
  found->second.delayed = true;
  found->second.until = until;
  delayed_.emplace(until, id);
}

void dispatch_queue::wake(time_point now) {
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    const task_id id = delayed_.begin()->second;
    make_ready(id, places_.at(id));
  }
}

urgency dispatch_queue::next_kind() const {
  const bool has_urgent = !ready_[static_cast<std::size_t>(urgency::urgent)].empty();
  const bool has_deferrable = !ready_[static_cast<std::size_t>(urgency::deferrable)].empty();
  if (!has_urgent) return urgency::deferrable;
  return has_deferrable && deferrable_credit_ >= 1 ? urgency::deferrable : urgency::urgent;
}

const task_id* dispatch_queue::front() const {
  const auto& kind = ready_[static_cast<std::size_t>(next_kind())];
  return kind.empty() ? nullptr : &kind.begin()->second;
}

void dispatch_queue::started(const task_id& id) {
  const auto found = places_.find(id);
  if (found == places_.end()) return;
  const bool deferrable_waits = !ready_[static_cast<std::size_t>(urgency::deferrable)].empty();
  if (found->second.priority == urgency::deferrable) {
    deferrable_credit_ = deferrable_credit_ >= 1 ? deferrable_credit_ - 1 : 0;
  } else {
    deferrable_credit_ = deferrable_waits ? deferrable_credit_ + deferrable_floor_ : 0;
  }
  take_out(id, found->second);
}

}  // namespace coltsfoot
