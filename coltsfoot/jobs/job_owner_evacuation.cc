// The part of the owner that keeps tasks from being started in evacuated zones, and lets runs leave
// them.
#include <fmt/format.h>

#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

// Without a sign of the store for this long, no run is moved: the start elsewhere could not be
// recorded. Signs come with each heartbeat, every 400 ms.
constexpr duration longest_store_silence{1'500};

// Between two decisions on moves while none is in progress and the newest one found none. A
// decision without room takes 0.2 ms for 128 workers.
constexpr duration idle_interval{500};

}  // namespace

bool job_owner::is_evacuated(const worker_link& link) const {
  return link.listing && evacuated_zones_.contains(link.listing->zone);
}

std::size_t job_owner::runs_in_zone(const std::string& zone) const {
  std::size_t runs = 0;
  for (const auto& [id, link] : links_) {
    if (link.listing && link.listing->zone == zone) runs += link.runs.size();
  }
  return runs;
}

void job_owner::set_evacuated_zones(std::set<std::string> zones, time_point now) {
  evacuated_zones_ = std::move(zones);
  next_evacuation_moves_ = now;
  std::vector<std::pair<worker_link*, task_key>> unsent;
  for (auto& [id, link] : links_) {
    link.evacuated = is_evacuated(link);
    if (!link.evacuated) continue;
    for (const auto& [key, run] : link.runs) {
      if (run.is_unsent()) unsent.emplace_back(&link, key);
    }
  }
  for (const auto& [link, key] : unsent) withdraw_start(*link, key, now);
}

// The task waits again, and its next start has a new run number. The record of this start, which
// may be on its way to the journal, is followed by one of the waiting task.
void job_owner::withdraw_start(worker_link& link, const task_key& key, time_point now) {
  const auto found = link.runs.find(key);
  if (found == link.runs.end() || !found->second.is_unsent()) return;
  ++stats_.starts_withdrawn;
  lose_run(link, key, "zone_evacuated", now);
  stop_gang_of(key, now);
}

// A gang runs only as a whole: without one member the others would wait in vain.
void job_owner::stop_gang_of(const task_key& key, time_point now) {
  const auto* j = table_.find(key.job);
  if (j == nullptr || j->ended()) return;
  const auto ref = j->ref_of(key.index);
  const auto& step = j->step_of(ref);
  if (!step.gang) return;
  const auto first = j->index_of({.job = key.job, .occurrence = ref.occurrence, .step = ref.step});
  for (auto i = first; i < first + step.count; ++i) {
    const auto& task = j->tasks[i];
    if (task.phase != task_phase::assigned) continue;
    const auto link = links_.find(task.life.worker);
    if (link != links_.end()) stop_run(link->second, {.job = key.job, .index = i}, now);
  }
}

// In place of repeating a start in an evacuated zone. The stop also rules out that the order is
// carried out later. The journal doesn't tell whether an adopted run is at work: a look has to.
void job_owner::stop_unanswered_start(worker_link& link, const task_key& key, placed_run& run,
                                      time_point now) {
  const bool adopted = run.sent_at == time_point{};
  const bool looked = link.newest_report && *link.newest_report > run.began;
  if (adopted && !looked) {
    run.next_try = now + options_.order_retry;
    return;
  }
  ++stats_.starts_withdrawn;
  log(severity::info,
      fmt::format("event=start_withdrawn {} worker={} adopted={} unanswered_ms={}",
                  log_text({.task = table_.find(key.job)->ref_of(key.index), .run = run.run}),
                  log_value(link.life.worker.value), adopted,
                  (now - (adopted ? run.began : run.sent_at)).count()));
  run.stop_wanted = true;
  run.tries = 0;
  run.next_try = now;
}

void job_owner::move_evacuated_runs(time_point now) {
  if (evacuated_zones_.empty()) return evacuation_moves_.clear();
  if (now < next_evacuation_moves_) return;
  next_evacuation_moves_ = now + options_.evacuation.interval;
  if (grants_.unconfirmed_for(now) > longest_store_silence) return;
  drop_settled_moves(evacuation_moves_, links_, table_, options_.evacuation, now);
  const evacuation_inputs inputs{.links = links_,
                                 .table = table_,
                                 .model = model_,
                                 .moves = evacuation_moves_,
                                 .request_for = [this](const job& j, const task_ref& ref) {
                                   return request_for(j, ref.occurrence, ref.step);
                                 }};
  for (const auto& move : evacuation_moves(inputs, options_.evacuation, now)) {
    auto& link = links_.at(move.from);
    const auto& j = *table_.find(move.key.job);
    const auto ref = j.ref_of(move.key.index);
    log(severity::info,
        fmt::format("event=run_moved {} worker={} zone={} reason=evacuation percent={} "
                    "remaining_ms={} report_age_ms={} room_on={} unavailable={} "
                    "max_unavailable={} moves_in_progress={}",
                    log_text({.task = ref, .run = move.run}), log_value(move.from.value),
                    log_value(link.listing->zone), move.percent, move.remaining.count(),
                    (now - *link.newest_report).count(), log_value(move.to.value), move.unavailable,
                    j.step_of(ref).max_unavailable, evacuation_moves_.size()));
    evacuation_moves_[move.key] = {.run = move.run, .to = move.to, .began = now};
    ++stats_.evacuation_moves;
    stop_run(link, move.key, now);
  }
  if (evacuation_moves_.empty()) next_evacuation_moves_ = now + idle_interval;
}

}  // namespace coltsfoot::jobs
