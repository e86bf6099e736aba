#include "coltsfoot/jobs/placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace coltsfoot::jobs {
namespace {

// Share of their processors that serving tasks leave to filling ones, in percent.
constexpr int left_by_serving_percent = 50;

// The highest tail over target that a filling task may be expected to cause.
constexpr double most_expected_ratio = 0.75;

// A filling task shows in the reports of its worker after this time.
constexpr duration shows_after{1'200};

resources room_needed(const step_spec& step) {
  resources needed = step.demand;
  if (step.fill) needed.millicores = 0;
  return needed;
}

bool meets_rules(const placement_request& request, const worker_listing& listing) {
  if (listing.service != request.service) return false;
  const auto& label = request.step->required_label;
  return label.empty() || listing.has_label(label);
}

bool within_worker_limit(const placement_request& request, const worker_id& worker) {
  const auto limit = request.step->max_per_worker;
  if (limit == 0) return true;
  const auto found = request.siblings.find(worker);
  return found == request.siblings.end() || found->second < limit;
}

// Processors that filling tasks could use and do not.
std::int64_t idle_millicores(const worker_link& link) {
  return link.free().millicores + link.serving_millicores * left_by_serving_percent / 100 -
         link.fill_millicores;
}

double share_of(std::int64_t millicores, const worker_link& link) {
  const auto capacity = std::max<std::int64_t>(link.listing->capacity.millicores, 1);
  return static_cast<double>(millicores) / static_cast<double>(capacity);
}

// Logarithm of tail over target once all filling tasks that were placed show in the reports.
double expected_pressure(const worker_link& link, const interference_model& model, time_point now) {
  double pressure = std::log(std::max(link.tail_ratio, 0.1));
  for (const auto& [key, run] : link.runs) {
    if (run.fill_millicores == 0) continue;
    const bool shows = run.phase == start_phase::confirmed && now - run.began > shows_after;
    if (!shows) pressure += model.pressure_of(run.image, share_of(run.fill_millicores, link));
  }
  return pressure;
}

bool has_room(const step_spec& step, const worker_link& link, const interference_model& model,
              time_point now) {
  if (!room_needed(step).fits_in(link.free())) return false;
  if (!step.fill) return true;
  if (idle_millicores(link) < step.demand.millicores) return false;
  if (link.serving == 0) return true;
  const auto added = model.pressure_of(step.image, share_of(step.demand.millicores, link));
  return expected_pressure(link, model, now) + added <= std::log(most_expected_ratio);
}

// Compared as a whole; the greatest is chosen.
using suitability = std::tuple<bool, bool, std::int64_t>;

suitability suitability_of(const placement_request& request, const worker_link& link) {
  const auto& step = *request.step;
  const bool near_data = !step.data_label.empty() && link.listing->has_label(step.data_label);
  const bool near_siblings =
      !request.preferred_rack.empty() && link.listing->rack() == request.preferred_rack;
  if (step.serves()) return {near_data, near_siblings, -link.free().millicores};
  return {near_data, near_siblings, idle_millicores(link)};
}

}  // namespace

worker_link* choose_worker(const placement_request& request, worker_links& links,
                           const interference_model& model, time_point now) {
  worker_link* best = nullptr;
  suitability best_value;
  for (auto& [id, link] : links) {
    if (!link.usable(now) || !meets_rules(request, *link.listing)) continue;
    if (!within_worker_limit(request, id) || !has_room(*request.step, link, model, now)) {
      continue;
    }
    const auto value = suitability_of(request, link);
    if (best != nullptr && value <= best_value) continue;
    best = &link;
    best_value = value;
  }
  return best;
}

}  // namespace coltsfoot::jobs
