#include "coltsfoot/relocation/moves_under_way.h"

namespace coltsfoot::relocation {
namespace {

// The task as it was when its move was decided; null if it has ended or has been placed again.
const jobs::task_progress* unplaced_task(const jobs::job_table& table,
                                         const moves_under_way::entry& move) {
  const auto* j = table.find(move.key.job);
  if (j == nullptr || j->ended() || j->cancel_requested) return nullptr;
  const auto& task = j->tasks[move.key.index];
  const bool open =
      task.phase == jobs::task_phase::assigned || task.phase == jobs::task_phase::waiting;
  return open && task.run == move.run ? &task : nullptr;
}

}  // namespace

void moves_under_way::begin(const run_move& move, const jobs::placed_run& run,
                            jobs::worker_links& links, time_point give_up) {
  entries_[move.key] = {.key = move.key,
                        .run = move.run,
                        .to = move.to,
                        .former_moves = run.moves,
                        .give_up = give_up};
  const auto target = links.find(move.to);
  if (target == links.end()) return;
  target->second.hold(move.key, {.demand = run.demand, .fill_millicores = run.fill_millicores});
}

void moves_under_way::drop_settled(const jobs::job_table& table, jobs::worker_links& links,
                                   time_point now) {
  std::vector<jobs::task_key> settled;
  for (const auto& [key, move] : entries_) {
    if (now >= move.give_up || unplaced_task(table, move) == nullptr) settled.push_back(key);
  }
  for (const auto& key : settled) drop(key, links);
}

std::vector<moves_under_way::entry> moves_under_way::waiting(const jobs::job_table& table) const {
  std::vector<entry> out;
  for (const auto& [key, move] : entries_) {
    const auto* task = unplaced_task(table, move);
    if (task != nullptr && task->phase == jobs::task_phase::waiting) out.push_back(move);
  }
  return out;
}

void moves_under_way::release_room(const jobs::task_key& key, jobs::worker_links& links) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  const auto target = links.find(found->second.to);
  if (target != links.end()) target->second.release(key);
}

void moves_under_way::drop(const jobs::task_key& key, jobs::worker_links& links) {
  release_room(key, links);
  entries_.erase(key);
}

}  // namespace coltsfoot::relocation
