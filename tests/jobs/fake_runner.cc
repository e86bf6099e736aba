#include "tests/jobs/fake_runner.h"

#include <algorithm>
#include <string>

namespace coltsfoot::testing {
namespace {

// From the start of a long-running task until it is at work.
constexpr duration start_up{200};

// Ends in one answer at the most. The others are told once these have been forgotten.
constexpr std::size_t most_listed_ends = 500;

// Until a task that resumes from a checkpoint goes on.
constexpr duration restore_time{200};

// Headroom of serving tasks that fill tasks would take with all processors.
constexpr double headroom_per_share = 5;
constexpr double least_headroom = 0.2;

// A longer lease is shortened to this one, in the runner's clock.
constexpr jobs::worker_clock longest_lease_ms = 10'000;

}  // namespace

using jobs::order_answer;
using jobs::order_verdict;
using jobs::run_end;

fake_runner::fake_runner(worker_id id, resources capacity, work_source work, time_point now)
    : id_(std::move(id)), capacity_(capacity), work_(std::move(work)), born_(now) {}

// Runs 2 % slow, the largest clock drift that the platform allows.
jobs::worker_clock fake_runner::clock(time_point now) const {
  return (now - born_).count() * 98 / 100 + 1'000;
}

void fake_runner::extend_lease(jobs::worker_clock end, time_point now) {
  lease_end_ = std::max(lease_end_, std::min(end, clock(now) + longest_lease_ms));
}

bool fake_runner::accept_fence(std::uint64_t fence) {
  if (fence < fence_) return false;
  fence_ = fence;
  return true;
}

resources fake_runner::free() const {
  resources left = capacity_;
  for (const auto& [task, run] : runs_) {
    left.memory_mb -= run.work.demand.memory_mb;
    if (!run.work.fills) left.millicores -= run.work.demand.millicores;
  }
  return left;
}

order_answer fake_runner::start(const jobs::start_order& order, std::uint64_t fence,
                                time_point now) {
  advance(now);
  const auto answer = [&](order_verdict verdict) {
    return order_answer{.verdict = verdict, .clock = clock(now)};
  };
  if (!accept_fence(fence)) return answer(order_verdict::fenced);
  const auto running = runs_.find(order.run.task);
  const auto ended = ended_runs_.find(order.run.task);
  const bool there = running != runs_.end() && running->second.run == order.run.run;
  const bool old = ended != ended_runs_.end() && order.run.run <= ended->second;
  if (order.lease_end < clock(now)) return answer(order_verdict::lease_over);
  extend_lease(order.lease_end, now);
  if (there) return answer(order_verdict::accepted);
  if (old || running != runs_.end()) return answer(order_verdict::obsolete);
  const auto work = work_(order.run);
  resources needed = work.demand;
  if (work.fills) needed.millicores = 0;
  if (!needed.fits_in(free())) return answer(order_verdict::no_room);
  last_start_ = now;
  const bool resumes = !order.checkpoint.empty();
  runs_[order.run.task] = {.run = order.run.run,
                           .work = work,
                           .began = now,
                           .ends = now + work.length,
                           .done_ms = resumes ? std::stod(order.checkpoint) : 0,
                           .worked_until = now + (resumes ? restore_time : duration{0})};
  return answer(order_verdict::accepted);
}

order_answer fake_runner::pace(const jobs::pace_order& order, std::uint64_t fence, time_point now) {
  advance(now);
  if (!accept_fence(fence)) return {.verdict = order_verdict::fenced, .clock = clock(now)};
  const auto running = runs_.find(order.run.task);
  if (running != runs_.end() && running->second.run == order.run.run) {
    running->second.pace = order.percent;
  }
  return {.verdict = order_verdict::accepted, .clock = clock(now)};
}

void fake_runner::set_fill_speed(double speed, time_point now) {
  advance(now);
  fill_speed_ = speed;
}

void fake_runner::work_on(running& run, time_point now) const {
  if (now <= run.worked_until) return;
  const auto passed = static_cast<double>((now - run.worked_until).count());
  run.done_ms += passed * fill_speed_ * run.pace / 100;
  run.worked_until = now;
}

double fake_runner::used_share() const {
  double millicores = 0;
  for (const auto& [task, run] : runs_) {
    if (run.work.fills) millicores += static_cast<double>(run.work.demand.millicores) * run.pace;
  }
  return millicores / 100 / static_cast<double>(capacity_.millicores);
}

std::uint32_t fake_runner::percent_of(const running& run, time_point now) const {
  const auto worked = now - run.began;
  if (run.work.lasts) return worked >= start_up ? 100 : 0;
  const auto percent = run.work.fills
                           ? 100 * run.done_ms / static_cast<double>(run.work.length.count())
                           : static_cast<double>(worked.count()) / 10;
  return static_cast<std::uint32_t>(std::min(percent, 99.0));
}

order_answer fake_runner::stop(const jobs::stop_order& order, std::uint64_t fence, time_point now) {
  advance(now);
  if (!accept_fence(fence)) return {.verdict = order_verdict::fenced, .clock = clock(now)};
  auto& highest = ended_runs_[order.run.task];
  highest = std::max(highest, order.run.run);
  const auto running = runs_.find(order.run.task);
  if (running != runs_.end() && running->second.run == order.run.run) {
    end(order.run.task, run_end::stopped);
  }
  return {.verdict = order_verdict::accepted, .clock = clock(now)};
}

jobs::look_answer fake_runner::look(const jobs::look_order& order, std::uint64_t fence,
                                    time_point now) {
  advance(now);
  if (!accept_fence(fence)) return {.verdict = order_verdict::fenced};
  if (order.lease_end) extend_lease(*order.lease_end, now);
  std::erase_if(ends_, [&](const auto& row) { return row.number <= order.forget_up_to; });
  jobs::look_answer answer{.verdict = order_verdict::accepted};
  answer.report.clock = clock(now);
  answer.report.incarnation = incarnation_;
  for (const auto& [task, run] : runs_) {
    jobs::running_row row{.run = {.task = task, .run = run.run}, .percent = percent_of(run, now)};
    if (run.work.fills) row.figure = run.work.demand.millicores * run.pace / 100;
    if (run.work.response_target > duration{0}) {
      const auto headroom = std::max(headroom_ - headroom_per_share * used_share(), least_headroom);
      row.figure = static_cast<std::int64_t>(static_cast<double>(run.work.response_target.count()) /
                                             headroom);
    }
    answer.report.running.push_back(std::move(row));
  }
  answer.report.ended = ends_;
  if (answer.report.ended.size() >= most_listed_ends) {
    answer.report.ended.resize(most_listed_ends);
    answer.report.more_ends = true;
  }
  return answer;
}

void fake_runner::advance(time_point now) {
  std::vector<jobs::task_ref> over;
  const bool lapsed = clock(now) > lease_end_;
  const auto has_ended = [now](const running& run) {
    if (run.work.fills && !run.work.fails) {
      return run.done_ms >= static_cast<double>(run.work.length.count());
    }
    return now >= run.ends && (!run.work.lasts || run.work.fails);
  };
  for (auto& [task, run] : runs_) {
    if (run.work.fills) work_on(run, now);
    if (lapsed || has_ended(run)) over.push_back(task);
  }
  for (const auto& task : over) {
    const auto& run = runs_.at(task);
    const bool done = has_ended(run) && !lapsed;
    end(task, !done ? run_end::lapsed : run.work.fails ? run_end::failed : run_end::done);
  }
}

void fake_runner::end(const jobs::task_ref& task, run_end how) {
  const auto& ending = runs_.at(task);
  const auto run = ending.run;
  const bool saves = ending.work.checkpoints && how == run_end::stopped;
  auto checkpoint = saves ? std::to_string(ending.done_ms) : std::string{};
  if (how == run_end::lapsed) ++lapsed_;
  runs_.erase(task);
  auto& highest = ended_runs_[task];
  highest = std::max(highest, run);
  ends_.push_back({.number = ++last_end_,
                   .run = {.task = task, .run = run},
                   .end = how,
                   .checkpoint = std::move(checkpoint)});
}

void fake_runner::restart(time_point now) {
  ++incarnation_;
  born_ = now;
  fence_ = 0;
  lease_end_ = 0;
  runs_.clear();
  ended_runs_.clear();
  ends_.clear();
  last_end_ = 0;
}

}  // namespace coltsfoot::testing
