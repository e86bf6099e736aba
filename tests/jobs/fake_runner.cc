#include "tests/jobs/fake_runner.h"

#include <algorithm>

namespace coltsfoot::testing {
namespace {

// From the start of a long-running task until it is at work.
constexpr duration start_up{200};

// Ends in one answer at the most. The others are told once these have been forgotten.
constexpr std::size_t most_listed_ends = 500;

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
  runs_[order.run.task] = {
      .run = order.run.run, .work = work, .began = now, .ends = now + work.length};
  return answer(order_verdict::accepted);
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
    const auto worked = now - run.began;
    const std::int64_t percent = run.work.lasts ? (worked >= start_up ? 100 : 0)
                                                : std::min<std::int64_t>(99, worked.count() / 10);
    answer.report.running.push_back(
        {.run = {.task = task, .run = run.run}, .percent = static_cast<std::uint32_t>(percent)});
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
    return now >= run.ends && (!run.work.lasts || run.work.fails);
  };
  for (const auto& [task, run] : runs_) {
    if (lapsed || has_ended(run)) over.push_back(task);
  }
  for (const auto& task : over) {
    const auto& run = runs_.at(task);
    const bool done = has_ended(run) && !lapsed;
    end(task, !done ? run_end::lapsed : run.work.fails ? run_end::failed : run_end::done);
  }
}

void fake_runner::end(const jobs::task_ref& task, run_end how) {
  const auto run = runs_.at(task).run;
  if (how == run_end::lapsed) ++lapsed_;
  runs_.erase(task);
  auto& highest = ended_runs_[task];
  highest = std::max(highest, run);
  ends_.push_back(
      {.number = ++last_end_, .run = {.task = task, .run = run}, .end = how, .checkpoint = {}});
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
