#include "coltsfoot/jobs/placement.h"

#include <algorithm>
#include <tuple>

#include "coltsfoot/jobs/pacing.h"

namespace coltsfoot::jobs {
namespace {

// The least headroom that a filling task may be expected to leave to serving ones.
constexpr double least_expected_headroom = 1.35;

// Share of a worker's processors that long-running tasks leave to short ones.
constexpr int kept_for_short_percent = 10;

// A filling task shows in the reports of its worker after this time.
constexpr duration shows_after{1'200};

// Headroom that is assumed of a serving task that has not been reported yet.
constexpr double assumed_headroom = 2;

constexpr std::uint32_t full_speed = 100;  // percent

// How much idle share of a worker outweighs a headroom lost by the tasks that serve there.
constexpr double idle_per_headroom = 0.5;

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

// Headroom that a serving task keeps once all filling tasks that were placed show in the reports.
double expected_headroom(const worker_link& link, const placed_run& serving,
                         const interference_model& model, time_point now) {
  double headroom = serving.headroom > 0 ? serving.headroom : assumed_headroom;
  for (const auto& [key, run] : link.runs) {
    if (run.fill_millicores == 0) continue;
    const bool shows = run.phase == start_phase::confirmed && now - run.began > shows_after;
    if (shows) continue;
    headroom -= model.loss(serving.image, run.image, fill_share(link, run.fill_millicores));
  }
  return headroom;
}

// A long-running task never gives back its room in time for a short one. It leaves some, but no
// more than would let another task of its size wait.
bool leaves_room_for_short(const step_spec& step, const worker_link& link) {
  const auto kept = link.listing->capacity.millicores * kept_for_short_percent / 100;
  const auto left = link.free().millicores - step.demand.millicores;
  return left >= std::min(kept, step.demand.millicores);
}

bool has_room(const placement_request& request, const worker_link& link,
              const interference_model& model, time_point now) {
  const auto& step = *request.step;
  if (!room_needed(step).fits_in(link.free())) return false;
  if (step.long_running) return request.restart || leaves_room_for_short(step, link);
  if (!step.fill) return true;
  if (link.idle_millicores() < step.demand.millicores) return false;
  return request.starved || bearable_percent(step, link, model, now) >= full_speed;
}

// Headroom that all serving tasks of a worker lose together.
double total_loss(const worker_link& link, const step_spec& step, const interference_model& model) {
  const auto share = fill_share(link, step.demand.millicores);
  double sum = 0;
  for (const auto& [key, run] : link.runs) {
    if (run.serves) sum += model.loss(run.image, step.image, share);
  }
  return sum;
}

bool serves_image(const worker_link& link, const std::string& image) {
  return std::any_of(link.runs.begin(), link.runs.end(), [&](const auto& entry) {
    return entry.second.serves && entry.second.image == image;
  });
}

// Compared as a whole; the greatest is chosen.
using suitability = std::tuple<bool, bool, bool, double>;

suitability suitability_of(const placement_request& request, const worker_link& link,
                           const interference_model& model, time_point now) {
  const auto& step = *request.step;
  const bool near_data = !step.data_label.empty() && link.listing->has_label(step.data_label);
  const bool near_siblings =
      !request.preferred_rack.empty() && link.listing->rack() == request.preferred_rack;
  const auto share = [&link](std::int64_t millicores) { return fill_share(link, millicores); };
  if (step.serves()) {
    return {near_data, near_siblings, serves_image(link, step.image),
            -share(link.free().millicores)};
  }
  double value = share(link.idle_millicores());
  if (step.fill) value -= idle_per_headroom * total_loss(link, step, model);
  if (request.starved) value = bearable_percent(step, link, model, now);
  return {near_data, near_siblings, false, value};
}

}  // namespace

std::uint32_t bearable_percent(const step_spec& step, const worker_link& link,
                               const interference_model& model, time_point now) {
  const auto share = fill_share(link, step.demand.millicores);
  double part = 1;
  for (const auto& [key, run] : link.runs) {
    if (!run.serves) continue;
    const auto room = expected_headroom(link, run, model, now) - least_expected_headroom;
    const auto loss = model.loss(run.image, step.image, share);
    if (room < loss) part = std::min(part, std::max(room, 0.0) / loss);
  }
  return static_cast<std::uint32_t>(part * full_speed);
}

worker_link* choose_worker(const placement_request& request, worker_links& links,
                           const interference_model& model, time_point now) {
  worker_link* best = nullptr;
  suitability best_value;
  for (auto& [id, link] : links) {
    if (!link.usable(now) || !meets_rules(request, *link.listing)) continue;
    if (!within_worker_limit(request, id) || !has_room(request, link, model, now)) {
      continue;
    }
    const auto value = suitability_of(request, link, model, now);
    if (best != nullptr && value <= best_value) continue;
    best = &link;
    best_value = value;
  }
  return best;
}

}  // namespace coltsfoot::jobs
