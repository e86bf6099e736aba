// The part of the owner that does what is due as time passes: tends workers, and logs the load.
#include <fmt/format.h>

#include <algorithm>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

constexpr duration summary_interval{1'000};

// Of the first owner that a shard has.
constexpr std::uint64_t first_fence = 1;

// Workers that are tended in one tick at the most, unless the fleet has so many that all would not
// have their turn within this number of ticks.
constexpr std::size_t most_tended_at_once = 64;
constexpr std::size_t turns_for_all = 8;

}  // namespace

void job_owner::tick(time_point now, wall_time wall, duration own_delay) {
  wall_ = wall;
  own_delay_ = own_delay;
  window_.adjust(now);
  watch_grants(now);
  tend_workers(now);
  move_evacuated_runs(now);
  send_ready_starts(now);
  relocate_slow_runs(now);
  for (const auto& id : std::vector<job_id>{cancelling_.begin(), cancelling_.end()}) {
    if (auto* j = table_.find(id)) {
      stop_runs_of(id, now);
      settle_cancelled(*j, now);
    }
  }
  for (const auto& id : std::vector<job_id>{scheduled_.begin(), scheduled_.end()}) {
    const auto* j = table_.find(id);
    if (j != nullptr) refresh_waiting(*j, now);
    if (j == nullptr || occurrence_due(*j, j->accepted.spec.occurrences() - 1)) {
      scheduled_.erase(id);
    }
  }
  if (now < next_summary_) return;
  next_summary_ = now + summary_interval;
  drop_expired(now);
  log_summary(now);
  log_long_waits(now);
  log_slow_runs();
}

// The former owner records a restarted worker as a witness only once its long lease is over.
bool job_owner::may_inherit_long_lease(const worker_link& link) const {
  return fence_ > first_fence && !grants_.was_witness(link.life);
}

std::optional<time_point> job_owner::inherited_until(const worker_link& link) const {
  const auto lease = may_inherit_long_lease(link) ? options_.longest_lease : options_.lease;
  return grants_.inherited_until(lease_clock::longest(lease));
}

bool job_owner::may_have_long_lease(const worker_link& link, time_point now) const {
  const auto longest = lease_clock::longest(options_.longest_lease);
  if (link.restarts.in_doubt() || now < link.restarts.former_leases_over(longest)) return true;
  if (!may_inherit_long_lease(link)) return false;
  const auto inherited = inherited_until(link);
  return !inherited || now < *inherited;
}

// Another owner may have granted leases here, also without having recorded a run.
time_point job_owner::lapses_at(const worker_link& link) const {
  const auto inherited = inherited_until(link);
  if (!inherited) return time_point::max();
  const auto longest = lease_clock::longest(options_.longest_lease);
  return std::max({link.lease.lapses_at(), *inherited, link.restarts.former_leases_over(longest)});
}

void job_owner::watch_grants(time_point now) {
  const auto is_listed = [this](const worker_id& worker) {
    const auto found = links_.find(worker);
    return found != links_.end() && found->second.listed;
  };
  grants_.note_listed(is_listed, now);
  const auto inherited = grants_.inherited_until(lease_clock::longest(options_.lease));
  if (inherited && !inheritance_known_) {
    log(severity::info,
        fmt::format("event=witnesses_reached witnesses={} former_leases_over_in_ms={}",
                    grants_.witnesses().size(), (*inherited - now).count()));
  }
  inheritance_known_ = inherited.has_value();
  const bool may_grant = grants_.may_grant(now);
  if (may_grant != granting_) {
    log(severity::warning,
        fmt::format("event={} confirmed_ms_ago={} witnesses={}",
                    may_grant ? "lease_grants_resumed" : "lease_grants_stopped",
                    grants_.unconfirmed_for(now).count(), grants_.witnesses().size()));
  }
  granting_ = may_grant;
}

// Tends all workers of a small fleet, and a part of those of a large one, in turn.
void job_owner::tend_workers(time_point now) {
  const auto part = std::max(most_tended_at_once, links_.size() / turns_for_all + 1);
  auto at = links_.upper_bound(last_tended_);
  for (auto left = std::min(part, links_.size()); left > 0; --left) {
    if (at == links_.end()) at = links_.begin();
    last_tended_ = at->first;
    tend_worker(at->second, now);
    // A worker whose transfer is on its way to the journal stays known, lest it be used again.
    const bool unused = !at->second.listed && at->second.runs.empty() && !at->second.transfer &&
                        !has_late_starts(at->first);
    const auto next = std::next(at);
    if (unused) {
      const auto entry = std::move(at->second.unconfirmed);
      forget_link(at);
      if (entry) on_listing(*entry, now);
    }
    at = next;
  }
}

// The fences of a worker must not fall when it is listed again, and a long lease there goes on.
void job_owner::forget_link(worker_links::iterator at) {
  const auto& [id, link] = *at;
  remembered_[id] = {
      .incarnation = link.life.incarnation, .former = link.former_lives, .restarts = link.restarts};
  links_.erase(at);
}

// Gives up what can't run on a silent worker any more.
void job_owner::give_up_runs(worker_link& link, time_point now) {
  if (now < lapses_at(link)) return;
  const auto longest = lease_clock::longest(options_.longest_lease);
  const bool is_doubt_over = now >= link.restarts.unknown_life_over(longest);
  if (is_doubt_over) give_up_late_starts(link, now);
  std::vector<task_key> over;
  for (const auto& [key, run] : link.runs) {
    const auto late_until = run.starts.late_until(link.outlived);
    const bool may_run_unheard =
        may_run_in_unheard_life(link, run) && now < unheard_life_over(link, late_until);
    const bool may_run_in_doubt = !is_doubt_over && !run.start_is_over(now);
    if (!may_run_unheard && !may_run_in_doubt) over.push_back(key);
  }
  if (is_doubt_over && !link.runs.empty() && over.size() == link.runs.size()) {
    return end_life(link, "lease_lapsed", now);
  }
  for (const auto& key : over) lose_run(link, key, "lease_lapsed", now);
}

void job_owner::tend_worker(worker_link& link, time_point now) {
  note_late_polls(link, now);
  const bool silent = link.failed_looks > 0 || !link.last_contact || !link.listing;
  if (silent) give_up_runs(link, now);
  std::vector<task_key> stalled;
  for (const auto& [key, run] : link.runs) {
    const bool stuck = run.phase == start_phase::confirmed && run.percent < 100 &&
                       link.failed_looks == 0 && now - run.progressed_at > options_.stall_limit;
    if (!stuck) continue;
    const auto* j = table_.find(key.job);
    if (j == nullptr || j->ended()) continue;
    if (!j->step_of(j->ref_of(key.index)).fill) stalled.push_back(key);
  }
  for (const auto& key : stalled) {
    note_worker_failure(link, now);
    stop_run(link, key, now);
  }
  settle_transfer(link, now);
  send_due_orders(link, now);
}

void job_owner::log_summary(time_point now) const {
  std::size_t usable = 0;
  std::size_t serving = 0;
  std::size_t runs = 0;
  resources capacity;
  resources used;
  resources largest;  // room on one usable worker, each kind by itself
  std::int64_t fill = 0;
  std::int64_t long_running = 0;
  std::size_t half_free = 0;  // usable workers with half of their processors free
  for (const auto& [id, link] : links_) {
    if (link.usable(now)) {
      ++usable;
      if (2 * link.free().millicores >= link.listing->capacity.millicores) ++half_free;
      const auto free = link.free();
      largest.millicores = std::max(largest.millicores, free.millicores);
      largest.memory_mb = std::max(largest.memory_mb, free.memory_mb);
    }
    if (link.serving > 0) ++serving;
    if (link.listing) capacity += link.listing->capacity;
    runs += link.runs.size();
    used += link.used;
    fill += link.fill_millicores;
    long_running += link.long_running_millicores;
  }
  log(severity::info,
      fmt::format("event=fleet_load workers={} usable={} serving={} runs={} "
                  "waiting_jobs={} capacity_millicores={} used_millicores={} "
                  "long_running_millicores={} kept_for_short_millicores={} fill_millicores={} "
                  "half_free_workers={} largest_free_millicores={} largest_free_memory_mb={}",
                  links_.size(), usable, serving, runs, waiting_.size(), capacity.millicores,
                  used.millicores, long_running, short_room_.kept_millicores(), fill, half_free,
                  largest.millicores, largest.memory_mb));
  const auto median_ms = [](const latency_histogram& values) {
    return std::chrono::duration_cast<duration>(values.quantile(0.5)).count();
  };
  const auto tail_ms = [](const latency_histogram& values) {
    return std::chrono::duration_cast<duration>(values.quantile(0.99)).count();
  };
  log(severity::info,
      fmt::format("event=owner_latency started_p50_ms={} started_p99_ms={} recorded_p50_ms={} "
                  "recorded_p99_ms={} answered_p50_ms={} answered_p99_ms={}",
                  median_ms(stats_.until_started), tail_ms(stats_.until_started),
                  median_ms(stats_.until_recorded), tail_ms(stats_.until_recorded),
                  median_ms(stats_.until_answered), tail_ms(stats_.until_answered)));
  log(severity::info,
      fmt::format("event=owner_load start_window={} starts_under_way={} unsent_starts={} "
                  "answer_ms={} answer_timeout_ms={} own_delay_ms={}",
                  window_.size(), window_.under_way(), ready_starts_.size(),
                  answers_.mean().count(), answers_.timeout().count(), own_delay_.count()));
}

}  // namespace coltsfoot::jobs
