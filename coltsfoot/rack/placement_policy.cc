#include "coltsfoot/rack/placement_policy.h"

#include <algorithm>

namespace coltsfoot {
namespace {

double accelerator_score(const placement_request& request, const placement_worker& worker) {
  if (worker.capacity.accelerators == 0) return 0;
  if (request.limit.accelerators == 0) return 1;
  const auto left =
      worker.capacity.accelerators - worker.used.accelerators - request.limit.accelerators;
  return static_cast<double>(left) / static_cast<double>(worker.capacity.accelerators);
}

double spread_score(const placement_request& request, const placement_worker& worker) {
  if (request.service.empty()) return 0;
  const auto same =
      std::count_if(worker.running.begin(), worker.running.end(),
                    [&](const auto& neighbour) { return neighbour.service == request.service; });
  return static_cast<double>(same);
}

bool to_be_avoided(const placement_request& request, const placement_worker& worker) {
  return std::find(request.avoid.begin(), request.avoid.end(), worker.id) != request.avoid.end();
}

// Returns the workers that may hold the task when they are empty. Those to be avoided count only
// if there is no other.
std::vector<const placement_worker*> suitable_workers(
    const placement_request& request, const std::vector<placement_worker>& workers) {
  std::vector<const placement_worker*> suitable;
  std::vector<const placement_worker*> avoided;
  for (const auto& worker : workers) {
    if (!worker.admits || !request.limit.fits_in(worker.capacity)) continue;
    (to_be_avoided(request, worker) ? avoided : suitable).push_back(&worker);
  }
  return suitable.empty() ? avoided : suitable;
}

}  // namespace

double expected_interference(const placement_request& request, const placement_worker& worker,
                             const interference_table& table, const placement_options& options,
                             time_point now) {
  const auto weight = [&options](urgency victim) {
    return victim == urgency::urgent ? options.urgent_victim_weight : 1.0;
  };
  double sum = 0;
  for (const auto& neighbour : worker.running) {
    const auto& beside = neighbour.interference_class;
    sum +=
        weight(request.priority) * (table.expected(request.interference_class, beside, now) - 1.0);
    sum += weight(neighbour.priority) *
           (table.expected(beside, request.interference_class, now) - 1.0);
  }
  return sum;
}

placement_decision choose_worker(const placement_request& request,
                                 const std::vector<placement_worker>& workers,
                                 const interference_table& table, const placement_options& options,
                                 time_point now) {
  placement_decision decision;
  const auto suitable = suitable_workers(request, workers);
  if (suitable.empty()) {
    const bool any = std::any_of(workers.begin(), workers.end(),
                                 [](const auto& worker) { return worker.admits; });
    decision.reason = any ? "larger_than_any_worker" : "no_usable_worker";
    return decision;
  }
  std::vector<scored_worker> scores;
  for (const auto* worker : suitable) {
    if (!request.limit.fits_in(worker->capacity - worker->used)) continue;
    const double score =
        options.interference_weight * expected_interference(request, *worker, table, options, now) +
        options.utilisation_weight *
            dominant_share(worker->used + request.limit, worker->capacity) +
        options.spread_weight * spread_score(request, *worker) +
        options.accelerator_weight * accelerator_score(request, *worker);
    scores.push_back(scored_worker{.worker = worker->id, .score = score});
  }
  if (scores.empty()) {
    decision.reason = "no_room";
    decision.capacity = true;
    return decision;
  }
  std::stable_sort(scores.begin(), scores.end(),
                   [](const auto& a, const auto& b) { return a.score < b.score; });
  decision.worker = scores.front().worker;
  decision.score = scores.front().score;
  decision.reason = scores.size() == 1 ? "only_worker_with_room" : "lowest_score";
  const auto last = std::min(scores.size(), options.runners_up + 1);
  decision.runners_up.assign(scores.begin() + 1,
                             scores.begin() + static_cast<std::ptrdiff_t>(last));
  return decision;
}

}  // namespace coltsfoot
