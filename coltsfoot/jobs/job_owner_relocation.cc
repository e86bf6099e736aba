// The part of the owner that moves slow fill runs to workers where they work at full speed.
#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {

void job_owner::note_progress(placed_run& run, std::uint32_t percent, time_point now) const {
  if (run.fill_millicores == 0 || !options_.relocation.enabled()) return;
  if (run.progress.is_known()) return run.progress.observe(percent, run.pace, now);
  // Of a run that a former owner started, that resumed from a checkpoint, or whose start is
  // confirmed only by this report, only what it does from now on is known.
  const auto restored = run.confirmed_at + options_.relocation.restore;
  const bool fresh = run.checkpoint.empty() && !run.starts.is_uncertain() && run.confirmed_at < now;
  if (!fresh) return run.progress.begin(percent, run.pace, std::max(now, restored));
  run.progress.begin(0, run.pace, run.confirmed_at);
  run.progress.observe(percent, run.pace, now);
}

// The run has done the rest of its task.
void job_owner::learn_speed(placed_run& run, time_point now) {
  if (!run.progress.is_known()) return;
  run.progress.observe(100, run.pace, now);
  speeds_.observe(run.image, run.progress, run.estimate);
}

// Moves that may be begun now. They are starts too, so that an owner whose workers answer late
// begins fewer.
std::size_t job_owner::moves_left() const {
  const auto& options = options_.relocation;
  const auto by_size = std::max(options.most_under_way, links_.size() / options.workers_per_move);
  const auto most = std::min(by_size, window_.size());
  return most - std::min(most, slow_moves_.size());
}

// While the store answers nothing, a stopped task could not be started again.
void job_owner::relocate_slow_runs(time_point now) {
  const auto& options = options_.relocation;
  if (!options.enabled() || now < next_relocation_) return;
  next_relocation_ = now + options.interval;
  slow_moves_.drop_settled(table_, links_, now);
  claims_.clear();
  if (!granting_ || fenced_) return;
  const auto moves =
      slow_runs_.choose({links_, table_, model_, speeds_, correction_, wall_}, moves_left(), now);
  claims_.renew(slow_runs_.without_room(), slow_runs_.judged_workers());
  for (const auto& move : moves) {
    auto& link = links_.at(move.from);
    const auto& run = link.runs.at(move.key);
    slow_moves_.begin(move, run, links_, now + options.give_up);
    ++stats_.slow_moves;
    stats_.slow_move_gain += move.here - move.there;
    const auto ref = table_.find(move.key.job)->ref_of(move.key.index);
    log(severity::info,
        fmt::format("event=run_moved {} worker={} to={} reason=slow percent={} pace={} "
                    "percent_per_s={:.2f} here_ms={} there_ms={} report_age_ms={} former_moves={}",
                    log_text({.task = ref, .run = move.run}), log_value(move.from.value),
                    log_value(move.to.value), move.percent, run.pace, move.percent_per_s,
                    move.here.count(), move.there.count(), move.report_age.count(), run.moves));
    stop_run(link, move.key, now);
  }
}

// Tells of the newest pass over slow runs, and why they stay where they are.
void job_owner::log_slow_runs() const {
  const auto& counts = slow_runs_.counts();
  if (counts.slow == 0) return;
  std::string staying;
  for (const auto& [reason, count] : counts.staying) {
    staying += fmt::format(" {}={}", name_of(reason), count);
  }
  log(severity::info,
      fmt::format("event=slow_runs slow={} moved={} moves_under_way={} evacuation_moves={} "
                  "first_starts_held={}{}",
                  counts.slow, counts.moved, slow_moves_.size(), evacuation_moves_.size(),
                  first_starts_held_, staying));
}

// Places stopped tasks on the workers that hold room for them, or else wherever they fit, before
// others can take the room.
void job_owner::place_moved(time_point now) {
  slow_moves_.drop_settled(table_, links_, now);
  for (const auto& move : slow_moves_.waiting(table_)) {
    if (starts_left_ == 0) return;
    auto& j = *table_.find(move.key.job);
    const auto ref = j.ref_of(move.key.index);
    auto request = request_for(j, ref.occurrence, ref.step);
    request.restart = true;
    slow_moves_.release_room(move.key, links_);
    const auto target = links_.find(move.to);
    auto* link = target == links_.end() ? nullptr : &target->second;
    if (link == nullptr || obstacle_to(request, *link, model_, now)) {
      std::optional<worker_ranking> ranking;
      rank_workers(request, now, ranking);
      link = ranking ? ranking->best() : nullptr;
    }
    if (link == nullptr) continue;
    assign(j, move.key.index, *link, move.run + 1, now);
    link->runs.at(move.key).moves = move.former_moves + 1;
    link->backoff.on_start(now);
    --starts_left_;
    slow_moves_.drop(move.key, links_);
  }
}

}  // namespace coltsfoot::jobs
