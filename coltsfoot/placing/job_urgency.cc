#include "coltsfoot/placing/job_urgency.h"

#include <algorithm>
#include <vector>

namespace coltsfoot::jobs {
namespace {

// A job that ends later than this many times its objective earns nothing.
constexpr int late_limit = 3;

constexpr double observation_weight = 0.05;
constexpr double least_factor = 0.5;
constexpr double most_factor = 4;

// No job is given longer, so that a few times as much still fits into an integer.
constexpr double longest_allowed_ms = 1e17;

// Time that starting a step takes: a record in the journal and an order to the worker.
constexpr duration step_overhead{40};

duration allowed_time(const job& j) {
  const auto chain = static_cast<double>(longest_chain(j, false).count());
  const auto allowed = std::clamp(chain * j.accepted.slack_factor, 0.0, longest_allowed_ms);
  return duration{static_cast<std::int64_t>(allowed)} + j.accepted.latency_target;
}

wall_time start_of(const job& j) {
  return j.accepted.spec.scheduled() ? j.accepted.spec.first_start : j.accepted.accepted_at;
}

bool ends_by_itself(const job& j) {
  const auto& steps = j.accepted.spec.steps;
  return std::none_of(steps.begin(), steps.end(),
                      [](const auto& step) { return step.long_running; });
}

}  // namespace

void estimate_correction::observe(const queue_id& queue, duration estimated, duration taken) {
  if (estimated <= duration{0}) return;
  const double ratio =
      std::clamp(static_cast<double>(taken.count()) / static_cast<double>(estimated.count()),
                 least_factor, most_factor);
  auto& factor = factors_.try_emplace(queue, 1.0).first->second;
  factor += observation_weight * (ratio - factor);
}

double estimate_correction::factor(const queue_id& queue) const {
  const auto found = factors_.find(queue);
  return found == factors_.end() ? 1.0 : found->second;
}

duration longest_chain(const job& j, bool only_open) {
  const auto& steps = j.accepted.spec.steps;
  std::vector<duration> ends;
  ends.reserve(steps.size());
  duration longest{0};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    duration begin{0};
    for (const auto earlier : steps[i].depends_on) begin = std::max(begin, ends[earlier]);
    const bool counts = !only_open || i >= j.open_tasks.size() || j.open_tasks[i] > 0;
    ends.push_back(begin + (counts ? steps[i].estimate : duration{0}));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

wall_time due_time(const job& j) {
  return start_of(j) + allowed_time(j);
}

job_urgency urgency_of(const job& j, const estimate_correction& correction, wall_time now) {
  job_urgency urgency{.priority = j.accepted.priority, .due = due_time(j)};
  if (!ends_by_itself(j) || j.accepted.spec.scheduled()) return urgency;
  const auto chain = static_cast<double>(longest_chain(j, true).count());
  const auto needed =
      duration{static_cast<std::int64_t>(chain * correction.factor(j.accepted.queue))} +
      step_overhead;
  if (now + needed <= urgency.due) return urgency;
  const auto worthless = start_of(j) + allowed_time(j) * late_limit;
  urgency.expected = now + needed <= worthless ? prospect::late : prospect::overdue;
  return urgency;
}

}  // namespace coltsfoot::jobs
