#include "coltsfoot/jobs/placement.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace coltsfoot::jobs {
namespace {

// Serving tasks disturb each other too: they get this share of a worker at most.
constexpr int most_serving_percent = 75;

// Workers that are kept ready for serving tasks that have not come yet.
constexpr std::size_t spare_serving_workers = 2;

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

// Processors that neither own nor filling tasks use.
std::int64_t idle_millicores(const worker_link& link) {
  return link.free().millicores - link.fill_millicores;
}

bool has_room(const step_spec& step, const worker_link& link) {
  if (!room_needed(step).fits_in(link.free())) return false;
  if (step.serves()) {
    const auto limit = link.listing->capacity.millicores * most_serving_percent / 100;
    return link.fill_millicores == 0 &&
           link.serving_millicores + step.demand.millicores <= limit;
  }
  if (step.fill) {
    return link.serving == 0 && !link.reserved_for_serving &&
           idle_millicores(link) >= step.demand.millicores;
  }
  return true;
}

// Compared as a whole; the greatest is chosen.
using suitability = std::tuple<bool, bool, std::int64_t, std::int64_t>;

suitability suitability_of(const placement_request& request, const worker_link& link) {
  const auto& step = *request.step;
  const bool near_data = !step.data_label.empty() && link.listing->has_label(step.data_label);
  const bool near_siblings =
      !request.preferred_rack.empty() && link.listing->rack() == request.preferred_rack;
  if (step.serves()) {
    return {near_data, near_siblings, link.reserved_for_serving ? 1 : 0,
            -link.free().millicores};
  }
  return {near_data, near_siblings, link.reserved_for_serving ? 0 : 1, idle_millicores(link)};
}

}  // namespace

worker_link* choose_worker(const placement_request& request, worker_links& links, time_point now) {
  worker_link* best = nullptr;
  suitability best_value;
  for (auto& [id, link] : links) {
    if (!link.usable(now) || !meets_rules(request, *link.listing)) continue;
    if (!within_worker_limit(request, id) || !has_room(*request.step, link)) continue;
    const auto value = suitability_of(request, link);
    if (best != nullptr && value <= best_value) continue;
    best = &link;
    best_value = value;
  }
  return best;
}

bool could_ever_run(const placement_request& request, const worker_links& links) {
  return std::any_of(links.begin(), links.end(), [&](const auto& entry) {
    const auto& listing = entry.second.listing;
    return listing && meets_rules(request, *listing) &&
           room_needed(*request.step).fits_in(listing->capacity);
  });
}

void reserve_for_serving(worker_links& links, std::int64_t serving_millicores, time_point now) {
  std::vector<worker_link*> order;
  for (auto& [id, link] : links) {
    link.reserved_for_serving = false;
    if (link.usable(now)) order.push_back(&link);
  }
  if (serving_millicores == 0) return;
  std::stable_sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
    return a->serving_millicores > b->serving_millicores;
  });
  std::size_t spare = spare_serving_workers;
  for (auto* link : order) {
    const auto room = link->listing->capacity.millicores * most_serving_percent / 100;
    if (serving_millicores <= 0 && spare-- == 0) return;
    link->reserved_for_serving = true;
    serving_millicores -= room;
  }
}

}  // namespace coltsfoot::jobs
