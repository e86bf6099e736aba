#include "coltsfoot/rack/capacity_floors.h"

#include <algorithm>

namespace coltsfoot {
namespace {

// Waiting urgent tasks that a rack remembers. Their room is more than a rack frees within the hold,
// and a flood of refusals must not cost time in proportion to the length of the queue.
constexpr std::size_t max_waiting = 64;

urgency other(urgency kind) {
  return kind == urgency::urgent ? urgency::deferrable : urgency::urgent;
}

std::size_t index_of(urgency kind) {
  return kind == urgency::urgent ? 1 : 0;
}

}  // namespace

bool capacity_floors::within_floor(urgency kind, const kind_usage& used, const resources& limit,
                                   const resources& capacity) const {
  return dominant_share(used.of(kind) + limit, capacity) <= floor(kind);
}

bool capacity_floors::admits(urgency kind, const kind_usage& used, const resources& limit,
                             const resources& capacity, time_point now) const {
  const bool held = kind == urgency::deferrable && holds_room(used, limit, capacity, now);
  if (!held && now >= reclaim_until_[index_of(other(kind))]) return true;
  if (within_floor(kind, used, limit, capacity)) return true;
  if (held) return false;
  return dominant_share(used.of(kind) + limit, capacity) <= 1.0 - floor(other(kind));
}

bool capacity_floors::holds_room(const kind_usage& used, const resources& limit,
                                 const resources& capacity, time_point now) const {
  bool any = false;
  resources needed = limit;
  for (const auto& [task, waiting] : waiting_) {
    if (now >= waiting.until) continue;
    any = true;
    needed += waiting.limit;
  }
  return any && !needed.fits_in(capacity - used.urgent - used.deferrable);
}

bool capacity_floors::may_displace(const task_key& task, const resources& limit, time_point now) {
  std::erase_if(waiting_, [now](const auto& entry) { return now >= entry.second.until; });
  if (waiting_.size() >= max_waiting && !waiting_.contains(task)) return false;
  auto& waiting = waiting_.try_emplace(task, waiting_task{.since = now}).first->second;
  waiting.limit = limit;
  waiting.until = now + options_.urgent_hold;
  return now >= waiting.since + options_.displace_after;
}

void capacity_floors::on_refused(const task_key& task, urgency kind, const resources& limit,
                                 const kind_usage& used, const resources& capacity,
                                 time_point now) {
  const bool displaces = kind == urgency::urgent && may_displace(task, limit, now);
  if (!within_floor(kind, used, limit, capacity)) {
    if (displaces) wishes_.push_back(wish{.kind = kind, .limit = limit});
    return;
  }
  reclaim_until_[index_of(kind)] = now + options_.reclaim_period;
  wishes_.push_back(wish{.kind = kind, .limit = limit});
}

std::vector<reclaim_demand> capacity_floors::take_demands(const kind_usage& used,
                                                          const resources& capacity) {
  std::vector<reclaim_demand> demands;
  for (const auto& [kind, limit] : wishes_) {
    const auto from = other(kind);
    demands.push_back(reclaim_demand{.from = from,
                                     .amount = limit,
                                     .held = used.of(from),
                                     .capacity = capacity,
                                     .floor = floor(from)});
  }
  wishes_.clear();
  return demands;
}

}  // namespace coltsfoot
