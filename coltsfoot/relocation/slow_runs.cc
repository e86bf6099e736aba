#include "coltsfoot/relocation/slow_runs.h"

#include <algorithm>

#include "coltsfoot/placing/pacing.h"

namespace coltsfoot::relocation {
namespace {

using jobs::placed_run;
using jobs::start_phase;
using jobs::step_spec;
using jobs::worker_link;

constexpr double whole_percent = 100;
constexpr double ms_per_s = 1'000;

// A run at this share of its full pace or more is not worth judging.
constexpr double fast_pace = 0.7;

// Estimates are off by a factor of 2. A run that is slower than its image by more is slowed by its
// worker beyond its pace.
constexpr double estimate_error = 2;

// How much slower a run is assumed to work far from its data.
constexpr double far_slowdown = 2;

// Without checkpoints, a run beyond this loses too much.
constexpr std::uint32_t most_lost_percent = 50;

// The serving load of a worker whose paces have changed within this time is near its limit.
constexpr duration steady_after{2'000};

constexpr double longest_ms = 600'000;

// Suitable targets that are compared for a slow run.
constexpr std::size_t most_compared = 4;

double ms_of(duration time) {
  return static_cast<double>(time.count());
}

duration duration_of(double ms) {
  return duration{static_cast<std::int64_t>(ms)};
}

double remaining_percent(const placed_run& run) {
  return whole_percent - std::min<std::uint32_t>(run.percent, 100);
}

double ms_for(double percent, double percent_per_s) {
  if (percent_per_s <= 0) return longest_ms;
  return std::min(percent / percent_per_s * ms_per_s, longest_ms);
}

bool is_near(const step_spec& step, const worker_link& link) {
  return !step.data_label.empty() && link.listing->has_label(step.data_label);
}

bool may_move(const step_spec& step, const placed_run& run) {
  if (!step.fill || step.gang || step.long_running || step.tightly_coupled) return false;
  return step.checkpoints || run.percent < most_lost_percent;
}

// Whether a fill run there would work at full speed for longer than a moment.
bool is_steady(const worker_link& link, time_point now) {
  const bool slows = link.paced_fill_millicores < link.fill_millicores;
  return !slows && (link.paced_at == time_point{} || now - link.paced_at >= steady_after);
}

bool has_room(const worker_link& link, const placed_run& run) {
  return link.listing && link.idle_millicores() >= run.fill_millicores &&
         link.free().memory_mb >= run.demand.memory_mb;
}

std::map<worker_id, std::uint32_t> siblings_of(const jobs::job& j, const jobs::task_ref& ref) {
  std::map<worker_id, std::uint32_t> siblings;
  const auto& step = j.step_of(ref);
  if (step.max_per_worker == 0) return siblings;
  const auto first = j.index_of({.occurrence = ref.occurrence, .step = ref.step});
  for (auto i = first; i < first + step.count; ++i) {
    const auto& task = j.tasks[i];
    if (task.phase == jobs::task_phase::assigned) ++siblings[task.life.worker];
  }
  return siblings;
}

}  // namespace

std::vector<run_move> slow_run_finder::choose(const fleet_view& fleet, std::size_t most,
                                              time_point now) {
  std::vector<run_move> chosen;
  counts_ = {};
  without_room_.clear();
  if (!options_.enabled()) return chosen;
  rooms_left_ = options_.most_rooms_compared;
  targets_left_ = options_.most_targets_judged;
  auto slow = slow_runs(fleet, now);
  const auto sought = std::min(options_.most_sought, slow.size());
  std::partial_sort(slow.begin(), slow.begin() + static_cast<std::ptrdiff_t>(sought), slow.end(),
                    goes_first);
  for (std::size_t i = 0; i < slow.size(); ++i) {
    const auto& entry = slow[i];
    const bool seeks = i < sought && chosen.size() < most;
    const auto found = seeks ? find_target(fleet, entry, chosen, now) : target{};
    if (found.link == nullptr) {
      ++counts_.staying[seeks ? stay_reason::no_room : stay_reason::not_sought];
      if (seeks) without_room_[entry.owner->accepted.service].push_back(entry.urgency);
      continue;
    }
    chosen.push_back({.key = *entry.key,
                      .run = entry.run->run,
                      .from = entry.link->life.worker,
                      .to = found.link->life.worker,
                      .percent = entry.run->percent,
                      .percent_per_s = entry.speed_here,
                      .here = duration_of(entry.here_ms),
                      .there = duration_of(found.there_ms),
                      .report_age = now - *entry.link->newest_report});
  }
  counts_.moved = chosen.size();
  return chosen;
}

bool slow_run_finder::goes_first(const slow_run& a, const slow_run& b) {
  if (a.urgency.expected != b.urgency.expected) return a.urgency.expected < b.urgency.expected;
  return a.score > b.score;
}

// Judges all workers of a small fleet, and a part of those of a large one, in turn.
std::vector<slow_run_finder::slow_run> slow_run_finder::slow_runs(const fleet_view& fleet,
                                                                  time_point now) {
  std::vector<slow_run> out;
  auto at = fleet.links.upper_bound(last_judged_);
  judged_workers_ = std::min(options_.most_workers_judged, fleet.links.size());
  for (auto left = judged_workers_; left > 0; --left) {
    if (at == fleet.links.end()) at = fleet.links.begin();
    judge_worker(fleet, at->second, now, out);
    last_judged_ = at->first;
    ++at;
  }
  return out;
}

void slow_run_finder::judge_worker(const fleet_view& fleet, const worker_link& link, time_point now,
                                   std::vector<slow_run>& out) {
  if (link.fill_millicores == 0 || !link.listing || link.failed_looks > 0) return;
  if (!link.newest_report || now - *link.newest_report > options_.report_limit) return;
  for (const auto& [key, run] : link.runs) {
    if (run.fill_millicores == 0) continue;
    const auto slow = judge(fleet, link, key, run);
    if (!slow) continue;
    ++counts_.slow;
    if (const auto reason = reason_to_stay(*slow, now)) {
      ++counts_.staying[*reason];
    } else {
      out.push_back(*slow);
    }
  }
}

std::optional<slow_run_finder::slow_run> slow_run_finder::judge(const fleet_view& fleet,
                                                                const worker_link& link,
                                                                const jobs::task_key& key,
                                                                const placed_run& run) const {
  const bool settled = run.phase == start_phase::confirmed && !run.stop_wanted &&
                       run.progress.is_known() && run.percent < 100;
  if (!settled || run.estimate <= duration{0}) return std::nullopt;
  slow_run slow{.key = &key, .run = &run, .link = &link};
  slow.typical = fleet.speeds.percent_per_s(run.image, run.estimate);
  slow.full_speed = run.progress.full_speed(slow.typical);
  slow.speed_here = run.progress.speed_here(slow.typical);
  const bool fast = run.progress.recent_pace() >= fast_pace &&
                    slow.speed_here * estimate_error >= slow.typical * fast_pace;
  if (fast) return std::nullopt;
  slow.here_ms = ms_for(remaining_percent(run), slow.speed_here);
  slow.owner = fleet.table.find(key.job);
  if (slow.owner == nullptr || slow.owner->ended() || slow.owner->cancel_requested) {
    return std::nullopt;
  }
  const auto ref = slow.owner->ref_of(key.index);
  slow.step = &slow.owner->step_of(ref);
  const auto there = time_there(slow, is_near(*slow.step, link));
  const auto steps = slow.owner->accepted.spec.steps.size();
  const auto open = slow.owner->open_tasks[ref.occurrence * steps + ref.step];
  slow.score = (slow.here_ms - there) / std::max<std::uint32_t>(open, 1);
  slow.urgency = jobs::urgency_of(*slow.owner, fleet.correction, fleet.wall);
  return slow;
}

std::optional<stay_reason> slow_run_finder::reason_to_stay(const slow_run& slow,
                                                           time_point now) const {
  const auto& run = *slow.run;
  // Its next run would have to stay where it is.
  if (slow.link->has_late_start(run, now)) return stay_reason::late_start;
  if (run.moves >= options_.most_moves_of_task) return stay_reason::moved_often;
  if (now - run.began < options_.least_time * (1U << run.moves)) return stay_reason::young;
  if (!may_move(*slow.step, run)) return stay_reason::unmovable;
  const auto move_cost = options_.restore + options_.order_delay + options_.least_gain;
  if (slow.here_ms < ms_of(move_cost)) return stay_reason::no_gain;
  if (!gains(slow, time_there(slow, is_near(*slow.step, *slow.link)))) return stay_reason::no_gain;
  return std::nullopt;
}

double slow_run_finder::time_there(const slow_run& slow, bool near_there) const {
  const bool near_here = is_near(*slow.step, *slow.link);
  auto speed = slow.full_speed;
  if (slow.step->data_label.empty() || near_there) {
    speed = std::max(speed, slow.typical / estimate_error);
  } else if (near_here) {
    speed /= far_slowdown;
  }
  const auto& run = *slow.run;
  const double lost = slow.step->checkpoints ? 0 : run.percent;
  const auto restore = slow.step->checkpoints ? options_.restore : duration{0};
  return ms_of(options_.order_delay + restore) + ms_for(remaining_percent(run) + lost, speed);
}

bool slow_run_finder::gains(const slow_run& slow, double there_ms) const {
  return slow.here_ms > there_ms * options_.margin + ms_of(options_.least_gain);
}

slow_run_finder::target slow_run_finder::find_target(const fleet_view& fleet, const slow_run& slow,
                                                     const std::vector<run_move>& chosen,
                                                     time_point now) {
  const auto ref = slow.owner->ref_of(slow.key->index);
  const jobs::placement_request request{.step = slow.step,
                                        .service = slow.owner->accepted.service,
                                        .siblings = siblings_of(*slow.owner, ref),
                                        .restart = true};
  const auto is_taken = [&](const worker_id& worker) {
    return worker == slow.link->life.worker ||
           std::any_of(chosen.begin(), chosen.end(),
                       [&](const auto& move) { return move.to == worker; });
  };
  target best;
  std::size_t compared = 0;
  auto at = fleet.links.upper_bound(last_target_);
  for (auto left = fleet.links.size(); left > 0 && compared < most_compared; --left, ++at) {
    if (rooms_left_ == 0 || targets_left_ == 0) break;
    --rooms_left_;
    if (at == fleet.links.end()) at = fleet.links.begin();
    const auto& [worker, link] = *at;
    last_target_ = worker;
    if (!is_steady(link, now) || !has_room(link, *slow.run) || is_taken(worker)) continue;
    --targets_left_;
    if (jobs::obstacle_to(request, link, fleet.model, now)) continue;
    const auto there = time_there(slow, is_near(*slow.step, link));
    if (!gains(slow, there)) continue;
    ++compared;
    const auto idle = jobs::fill_share(link, link.idle_millicores());
    const bool better = best.link == nullptr || there < best.there_ms ||
                        (there == best.there_ms && idle > best.idle_share);
    if (better) best = {.link = &link, .there_ms = there, .idle_share = idle};
  }
  return best;
}

}  // namespace coltsfoot::relocation
