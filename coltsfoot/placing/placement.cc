#include "coltsfoot/placing/placement.h"

#include <algorithm>
#include <tuple>

#include "coltsfoot/placing/pacing.h"

namespace coltsfoot::jobs {
namespace {

// The least headroom that a filling task may be expected to leave to serving ones.
constexpr double least_expected_headroom = 1.35;

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

// Filling runs of a worker that its reports do not show yet.
std::vector<const placed_run*> unseen_fill(const worker_link& link, time_point now) {
  std::vector<const placed_run*> unseen;
  if (link.fill_millicores == 0) return unseen;
  for (const auto& [key, run] : link.runs) {
    if (run.fill_millicores == 0) continue;
    const bool shows = run.phase == start_phase::confirmed && now - run.began > shows_after;
    if (!shows) unseen.push_back(&run);
  }
  return unseen;
}

// Headroom that a serving task keeps once all filling tasks that were placed show in the reports.
double expected_headroom(const worker_link& link, const placed_run& serving,
                         const std::vector<const placed_run*>& unseen,
                         const interference_model& model) {
  double headroom = serving.headroom > 0 ? serving.headroom : assumed_headroom;
  for (const auto* run : unseen) {
    headroom -= model.loss(serving.image, run->image, fill_share(link, run->fill_millicores));
  }
  return headroom;
}

bool leaves_short_room(const placement_request& request, const worker_link& link) {
  static const short_task_room each_keeps_its_part;
  const auto& room = request.short_room == nullptr ? each_keeps_its_part : *request.short_room;
  return room.admits(link.life.worker, link.listing->capacity, link.free(), request.step->demand);
}

// Why the room that is left on a worker does not do; nothing if it does.
std::optional<placing_obstacle> lacks_room(const placement_request& request,
                                           const worker_link& link, const interference_model& model,
                                           time_point now) {
  const auto& step = *request.step;
  const auto needed = room_needed(step);
  const auto free = link.free();
  if (needed.memory_mb > free.memory_mb || needed.accelerators > free.accelerators) {
    return placing_obstacle::memory;
  }
  if (needed.millicores > free.millicores) return placing_obstacle::processors;
  if (step.long_running) {
    const bool admitted = !request.leaves_room() || leaves_short_room(request, link);
    return admitted ? std::nullopt : std::optional{placing_obstacle::kept_room};
  }
  if (!step.fill) return std::nullopt;
  if (link.idle_millicores() < step.demand.millicores) return placing_obstacle::processors;
  const bool borne = request.starved || bearable_percent(step, link, model, now) >= full_speed;
  return borne ? std::nullopt : std::optional{placing_obstacle::interference};
}

// Headroom that all serving tasks of a worker lose together.
double total_loss(const worker_link& link, const step_spec& step, const interference_model& model) {
  if (link.serving == 0) return 0;
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

}  // namespace

std::uint32_t bearable_percent(const step_spec& step, const worker_link& link,
                               const interference_model& model, time_point now) {
  if (link.serving == 0) return full_speed;
  const auto share = fill_share(link, step.demand.millicores);
  const auto unseen = unseen_fill(link, now);
  double part = 1;
  for (const auto& [key, run] : link.runs) {
    if (!run.serves) continue;
    const auto room = expected_headroom(link, run, unseen, model) - least_expected_headroom;
    const auto loss = model.loss(run.image, step.image, share);
    if (room < loss) part = std::min(part, std::max(room, 0.0) / loss);
  }
  return static_cast<std::uint32_t>(part * full_speed);
}

std::optional<placing_obstacle> obstacle_to(const placement_request& request,
                                            const worker_link& link,
                                            const interference_model& model, time_point now) {
  if (const auto unusable = link.obstacle(now)) return unusable;
  if (!meets_rules(request, *link.listing)) return placing_obstacle::wrong_kind;
  if (!within_worker_limit(request, link.life.worker)) return placing_obstacle::worker_limit;
  return lacks_room(request, link, model, now);
}

worker_ranking::worker_ranking(const placement_request& request, worker_links& links,
                               const interference_model& model, time_point now)
    : request_(request), model_(model), now_(now) {
  for (auto& [id, link] : links) {
    if (auto value = judge(link)) candidates_.push_back({.value = *value, .link = &link});
  }
  std::make_heap(candidates_.begin(), candidates_.end(), suits_less);
}

worker_link* worker_ranking::best() const {
  return candidates_.empty() ? nullptr : candidates_.front().link;
}

void worker_ranking::reconsider_best() {
  if (candidates_.empty()) return;
  std::pop_heap(candidates_.begin(), candidates_.end(), suits_less);
  const auto value = judge(*candidates_.back().link);
  if (!value) {
    candidates_.pop_back();
    return;
  }
  candidates_.back().value = *value;
  std::push_heap(candidates_.begin(), candidates_.end(), suits_less);
}

// Of workers that suit equally, the one with the lowest id comes first.
bool worker_ranking::suits_less(const candidate& a, const candidate& b) {
  if (a.value != b.value) return a.value < b.value;
  return b.link->life.worker < a.link->life.worker;
}

std::optional<worker_ranking::suitability> worker_ranking::judge(const worker_link& link) const {
  if (obstacle_to(request_, link, model_, now_)) return std::nullopt;
  const auto& step = *request_.step;
  const bool near_data = !step.data_label.empty() && link.listing->has_label(step.data_label);
  const bool near_siblings =
      !request_.preferred_rack.empty() && link.listing->rack() == request_.preferred_rack;
  const bool warm = link.listing->cold_until <= now_;
  if (step.serves()) {
    return suitability{near_data, near_siblings, serves_image(link, step.image), warm,
                       -fill_share(link, link.free().millicores)};
  }
  double value = fill_share(link, link.idle_millicores());
  if (step.fill) value -= idle_per_headroom * total_loss(link, step, model_);
  if (request_.starved) value = bearable_percent(step, link, model_, now_);
  return suitability{near_data, near_siblings, false, warm, value};
}

}  // namespace coltsfoot::jobs
