// The part of a node that lets tasks go to shards which can run them.
#include <fmt/format.h>

#include <algorithm>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_node.h"

namespace coltsfoot::jobs {
namespace {

resources held_by(const step_spec& step) {
  auto held = step.demand;
  if (step.fill) held.millicores = 0;
  return held;
}

task_need need_of(const job& j, task_index index) {
  return {.step = &j.step_of(j.ref_of(index)),
          .service = j.accepted.service,
          .has_run = j.tasks[index].run > 0};
}

// Calls `visit(j, index)` for the tasks of open jobs that are in `phase`.
template <typename F>
void for_each_task(const job_table& table, task_phase phase, F&& visit) {
  for (const auto& [id, j] : table) {
    if (j.ended() || j.cancel_requested) continue;
    for (task_index i = 0; i < j.tasks.size(); ++i) {
      if (j.tasks[i].phase == phase) visit(j, i);
    }
  }
}

// Calls `visit(j, index, handover)` for the handovers in a shard's journal that lead elsewhere. An
// owner's own copy is ahead of its journal.
template <typename F>
void for_each_handover(const job_shard& from, F&& visit) {
  for (const auto& [id, j] : from.table()) {
    if (j.ended() || j.cancel_requested) continue;
    for (const auto& [index, handover] : j.handovers) {
      const bool recorded =
          !from.is_owner() || from.owner()->is_handover_recorded({.job = id, .index = index});
      if (recorded && handover.to != from.number()) visit(j, index, handover);
    }
  }
}

// The number of the newest handover of a task that a shard knows.
std::uint32_t newest_number(const job_table& table, const job_id& id, task_index index) {
  const auto* known = table.find(id);
  if (known == nullptr) return 0;
  const auto found = known->handovers.find(index);
  return found == known->handovers.end() ? 0 : found->second.number;
}

}  // namespace

void job_node::hand_over_tasks() {
  if (shards_.size() < 2 || owned_before_ == 0 || context_.now < next_handover_) return;
  next_handover_ = context_.now + context_.options.handover_interval;
  for (auto& shard : shards_) {
    if (shard->is_owner()) withdraw_tasks(*shard);
  }
  if (!journals_are_read()) return;
  for (auto& shard : shards_) {
    if (!shard->is_owner()) continue;
    take_tasks(*shard);
    take_progress_of_copies(*shard);
  }
  if (context_.shutting_down) return;
  std::optional<shard_rooms> rooms;  // made when a task needs them
  for (auto& shard : shards_) {
    if (!shard->is_owner()) continue;
    give_tasks(*shard, rooms);
    if (workers_.caught_up()) give_steps_without_worker(*shard);
  }
}

// Only what is in the journal of the other shard counts.
void job_node::take_progress_of_copies(job_shard& own) {
  for (const auto& holder : shards_) {
    if (holder.get() == &own) continue;
    for (const auto& [id, copy] : holder->table()) {
      if (!copy.accepted.partial) continue;
      const bool recorded = !holder->is_owner() || holder->owner()->is_recorded(id);
      if (recorded) own.owner()->take_progress(copy, context_.now);
    }
  }
}

void job_node::take_tasks(job_shard& receiver) {
  for (const auto& from : shards_) {
    for_each_handover(*from, [&](const job& j, task_index index, const task_handover& handover) {
      if (handover.to != receiver.number()) return;
      receiver.owner()->take_over(j, index, handover, context_.now);
    });
  }
}

// Whether the journal of a partial copy's own shard shows the job as ended or cancelled.
bool job_node::is_over_in_own_shard(const job& copy) {
  const auto own = find(copy.accepted.id);
  if (own.record == nullptr) {
    // Ended jobs are removed, but not before this time.
    const auto age = context_.wall - copy.accepted.accepted_at;
    return age >= context_.options.owner.keep_ended && journals_are_fresh();
  }
  const auto* owner = own.shard->owner();
  const bool recorded = owner == nullptr || owner->is_recorded(copy.accepted.id);
  return own.record->cancel_requested || (own.record->ended() && recorded);
}

// Ends partial copies of jobs that have ended or were cancelled in their own shard.
void job_node::withdraw_tasks(job_shard& holder) {
  std::vector<job_id> over;
  for (const auto& [id, j] : holder.table()) {
    if (!j.accepted.partial || j.ended() || j.cancel_requested) continue;
    if (is_over_in_own_shard(j)) over.push_back(id);
  }
  for (const auto& id : over) holder.owner()->withdraw(id, context_.now);
}

void job_node::give_tasks(job_shard& giver, std::optional<shard_rooms>& rooms) {
  auto& owner = *giver.owner();
  std::size_t given = 0;
  std::vector<task_need> hopeless;
  for (const auto& key : owner.tasks_without_room(context_.now)) {
    const auto need = need_of(*giver.table().find(key.job), key.index);
    const bool is_hopeless = std::any_of(hopeless.begin(), hopeless.end(), [&](const auto& other) {
      return needs_no_more_than(other, need);
    });
    if (is_hopeless) continue;
    if (!rooms) rooms = free_rooms();
    const auto to = rooms->best_for(need, giver.number());
    if (!to) {
      hopeless.push_back(need);
      continue;
    }
    rooms->reserve(*to, need);
    owner.hand_over(key, *to, context_.now);
    if (++given == context_.options.most_handovers_at_once) return;
  }
}

// Tasks that no worker of the fleet can run stay where they are: workers may come.
void job_node::give_steps_without_worker(job_shard& giver) {
  auto& owner = *giver.owner();
  std::size_t given = 0;
  std::optional<shard_rooms> rooms;  // made when a step needs them
  for (const auto& waiting : owner.steps_without_worker(context_.now)) {
    if (!rooms) rooms = listed_rooms();
    const auto& j = *giver.table().find(waiting.job);
    const auto ref = j.ref_of(waiting.tasks.front());
    const auto to = rooms->able_shard(need_of(j, waiting.tasks.front()), giver.number());
    if (!to) continue;
    context_.log(severity::info,
                 fmt::format("event=step_has_no_worker job={} occurrence={} step={} tasks={} "
                             "shard={} to_shard={}",
                             log_value(waiting.job.value), ref.occurrence, ref.step,
                             waiting.tasks.size(), giver.number(), *to));
    for (const auto index : waiting.tasks) {
      owner.hand_over({.job = waiting.job, .index = index}, *to, context_.now);
    }
    given += waiting.tasks.size();
    if (given >= context_.options.most_handovers_at_once) return;
  }
}

// The usable workers, as if nothing ran there.
shard_rooms job_node::listed_rooms() const {
  shard_rooms rooms{shards_.size()};
  for (const auto& [shard, listing] : usable_workers()) rooms.add_worker(shard, *listing);
  return rooms;
}

// What the journals leave free, less the room that long-running tasks wait for in each shard. Tasks
// that have never run may wait for another reason than room, so they hold back no restart.
shard_rooms job_node::free_rooms() const {
  auto rooms = listed_rooms();
  for (const auto& shard : shards_) {
    for_each_task(shard->table(), task_phase::assigned, [&](const job& j, task_index index) {
      const auto& step = j.step_of(j.ref_of(index));
      rooms.take(j.tasks[index].life.worker, held_by(step), step.long_running);
    });
  }
  rooms.keep_room_for_short_tasks();
  for (const auto& shard : shards_) {
    for_each_task(shard->table(), task_phase::waiting, [&](const job& j, task_index index) {
      const auto need = need_of(j, index);
      if (need.step->long_running) rooms.reserve(shard->number(), need);
    });
    for_each_handover(*shard, [&](const job& j, task_index index, const task_handover& handover) {
      if (handover.to >= shards_.size()) return;
      const auto known = newest_number(shards_[handover.to]->table(), j.accepted.id, index);
      if (known < handover.number) rooms.reserve(handover.to, need_of(j, index));
    });
  }
  return rooms;
}

}  // namespace coltsfoot::jobs
