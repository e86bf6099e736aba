#include "coltsfoot/jobs/worker_link.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::jobs {
namespace {

// Without an answer for this long, a worker gets no new work.
constexpr duration contact_limit{2'500};

// Looks under way at a time. Beside a second one, whose connection may be broken too, a connection
// stays free for orders.
constexpr std::size_t most_open_polls = 2;

// Share of their processors that serving tasks are assumed to leave to filling ones, in percent.
constexpr int left_by_serving_percent = 60;

std::int64_t paced_millicores(const placed_run& run) {
  return run.fill_millicores * run.pace / 100;
}

}  // namespace

placed_run run_of_step(const step_spec& step, const task_progress& task, time_point now) {
  return {.run = task.run,
          .progressed_at = now,
          .checkpoint = task.checkpoint,
          .demand = {.millicores = step.fill ? 0 : step.demand.millicores,
                     .memory_mb = step.demand.memory_mb,
                     .accelerators = step.demand.accelerators},
          .fill_millicores = step.fill ? step.demand.millicores : 0,
          .serves = step.serves(),
          .long_running = step.long_running,
          .image = step.image,
          .response_target = step.response_target,
          .began = now,
          .estimate = step.estimate};
}

void worker_link::add(const task_key& key, placed_run run) {
  used += run.demand;
  fill_millicores += run.fill_millicores;
  paced_fill_millicores += paced_millicores(run);
  if (run.serves) {
    ++serving;
    serving_millicores += run.demand.millicores;
  }
  if (run.long_running) long_running_millicores += run.demand.millicores;
  runs.emplace(key, std::move(run));
}

void worker_link::remove(const task_key& key) {
  const auto found = runs.find(key);
  if (found == runs.end()) return;
  const auto& run = found->second;
  used -= run.demand;
  fill_millicores -= run.fill_millicores;
  paced_fill_millicores -= paced_millicores(run);
  if (run.serves) {
    --serving;
    serving_millicores -= run.demand.millicores;
  }
  if (run.long_running) long_running_millicores -= run.demand.millicores;
  runs.erase(found);
}

void worker_link::hold(const task_key& key, const held_room& room) {
  if (!holds.emplace(key, room).second) return;
  used += room.demand;
  fill_millicores += room.fill_millicores;
  paced_fill_millicores += room.fill_millicores;
}

void worker_link::release(const task_key& key) {
  const auto found = holds.find(key);
  if (found == holds.end()) return;
  used -= found->second.demand;
  fill_millicores -= found->second.fill_millicores;
  paced_fill_millicores -= found->second.fill_millicores;
  holds.erase(found);
}

void worker_link::set_pace(placed_run& run, std::uint32_t percent) {
  paced_fill_millicores -= paced_millicores(run);
  run.pace = percent;
  paced_fill_millicores += paced_millicores(run);
}

resources worker_link::free() const {
  return listing ? listing->capacity - used : resources{};
}

std::int64_t worker_link::idle_millicores() const {
  const auto assumed = free().millicores + serving_millicores * left_by_serving_percent / 100;
  return assumed - paced_fill_millicores;
}

void worker_link::reset_end_cursors() {
  seen_end = 0;
  recorded_end = 0;
  forgotten_end = 0;
}

std::uint64_t worker_link::end_cursor_to_send() const {
  return recorded_end > forgotten_end ? recorded_end : 0;
}

bool worker_link::may_poll() const {
  return open_polls.size() < most_open_polls &&
         std::all_of(
             open_polls.begin(), open_polls.end(),
             [](const auto& entry) { return entry.second.overdue; });
}

std::optional<placing_obstacle> worker_link::obstacle(time_point now) const {
  if (!listed) return placing_obstacle::unlisted;
  if (evacuated) return placing_obstacle::evacuated;
  if (restarts.in_doubt() || listing_outdated) return placing_obstacle::restarted;
  if (listing->draining) return placing_obstacle::draining;
  if (transfer) return placing_obstacle::transfer;
  if (backoff.is_closed(now)) return placing_obstacle::avoided;
  const bool answers = failed_looks == 0 && last_contact && now - *last_contact < contact_limit;
  if (!answers) return placing_obstacle::silent;
  return std::nullopt;
}

}  // namespace coltsfoot::jobs
