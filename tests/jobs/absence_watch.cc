#include "tests/jobs/absence_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfoot::testing {
namespace {

std::int64_t times_in(std::int64_t demand, std::int64_t free) {
  if (demand <= 0) return std::numeric_limits<std::int32_t>::max();
  return std::max<std::int64_t>(free, 0) / demand;
}

std::int64_t places(const std::vector<resources>& free, const resources& demand) {
  std::int64_t sum = 0;
  for (const auto& left : free) {
    sum += std::min({times_in(demand.millicores, left.millicores),
                     times_in(demand.memory_mb, left.memory_mb),
                     times_in(demand.accelerators, left.accelerators)});
  }
  return sum;
}

}  // namespace

void absence_watch::observe(const std::vector<resources>& free,
                            const std::vector<watched_task>& tasks, time_point now) {
  const auto former = std::exchange(absences_, {});
  for (const auto& task : tasks) {
    if (task.running) {
      started_.insert(task.task);
      continue;
    }
    if (!started_.contains(task.task)) continue;
    const auto known = former.find(task.task);
    auto away = known == former.end() ? absence{.since = now} : known->second;
    const bool room = places(free, task.demand) >= bounds_.places;
    if (room && !away.has_room) away.room_since = now;
    away.has_room = room;
    judge(task, away, now);
    absences_.emplace(task.task, away);
  }
}

void absence_watch::judge(const watched_task& task, absence& away, time_point now) {
  longest_absence_ = std::max(longest_absence_, now - away.since);
  const bool calm = now - last_trouble_ >= bounds_.room_for + bounds_.calm_before;
  const bool too_long = now - away.since >= bounds_.longest_absence;
  const bool had_room = away.has_room && now - away.room_since >= bounds_.room_for;
  if (!calm || !too_long || !had_room) return;
  broken_.insert(fmt::format("LOST {} task {}.{} of {} millicores is away with room for it",
                             task.task.job.value, task.task.step, task.task.index,
                             task.demand.millicores));
}

}  // namespace coltsfoot::testing
