#include "tests/jobs/absence_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfoot::testing {
namespace {

std::int64_t max_copies(std::int64_t demand, std::int64_t free) {
  if (demand <= 0) return std::numeric_limits<std::int32_t>::max();
  return std::max<std::int64_t>(free, 0) / demand;
}

std::int64_t places(const std::vector<resources>& free, const resources& demand) {
  std::int64_t sum = 0;
  for (const auto& left : free) {
    sum += std::min({max_copies(demand.millicores, left.millicores),
                     max_copies(demand.memory_mb, left.memory_mb),
                     max_copies(demand.accelerators, left.accelerators)});
  }
  return sum;
}

}  // namespace

void absence_watch::observe(const std::vector<resources>& free,
                            const std::vector<watched_task>& tasks, time_point now) {
  const auto previous = std::exchange(absences_, {});
  for (const auto& task : tasks) {
    if (task.running) {
      started_.insert(task.task);
      continue;
    }
    if (!started_.contains(task.task)) continue;
    const auto known = previous.find(task.task);
    auto current = known == previous.end() ? absence{.since = now} : known->second;
    const bool room = places(free, task.demand) >= bounds_.places;
    if (room && !current.has_room) current.room_since = now;
    current.has_room = room;
    check_absence(task, current, now);
    absences_.emplace(task.task, current);
  }
}

void absence_watch::check_absence(const watched_task& task, absence& current, time_point now) {
  longest_absence_ = std::max(longest_absence_, now - current.since);
  const bool calm = now - last_trouble_ >= bounds_.room_for + bounds_.calm_before;
  const bool too_long = now - current.since >= bounds_.longest_absence;
  const bool had_room = current.has_room && now - current.room_since >= bounds_.room_for;
  if (!calm || !too_long || !had_room) return;
  broken_.insert(fmt::format("LOST {} task {}.{} of {} millicores is away with room for it",
                             task.task.job.value, task.task.step, task.task.index,
                             task.demand.millicores));
}

}  // namespace coltsfoot::testing
