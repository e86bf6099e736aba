#include "coltsfoot/jobs/shard_rooms.h"

#include <algorithm>
#include <ranges>

#include "coltsfoot/placing/worker_fit.h"

namespace coltsfoot::jobs {

bool needs_no_more_than(const task_need& other, const task_need& need) {
  return other.service == need.service && other.step->required_label == need.step->required_label &&
         (other.has_run || !need.has_run) && other.step->demand.fits_in(need.step->demand);
}

void shard_rooms::add_worker(shard_number shard, const worker_listing& listing) {
  auto& workers = workers_.at(shard);
  positions_[listing.id] = {shard, workers.size()};
  workers.push_back({.listing = &listing, .free = listing.capacity});
}

void shard_rooms::take(const worker_id& worker, const resources& demand, bool long_running) {
  const auto found = positions_.find(worker);
  if (found == positions_.end()) return;
  const auto [shard, position] = found->second;
  auto& held = workers_[shard][position];
  held.free -= demand;
  if (long_running) held.long_running_millicores += demand.millicores;
  held.runs_something = true;
}

void shard_rooms::keep_room_for_short_tasks() {
  for (shard_number shard = 0; shard < workers_.size(); ++shard) {
    std::map<service_id, std::vector<long_running_load>> loads;
    for (const auto& worker : workers_[shard]) {
      loads[worker.listing->service].push_back(
          {.worker = worker.listing->id,
           .capacity_millicores = worker.listing->capacity.millicores,
           .held_millicores = worker.long_running_millicores});
    }
    short_rooms_[shard] = {};
    for (auto& [service, workers] : loads) short_rooms_[shard].keep(std::move(workers), {});
  }
}

bool shard_rooms::reserve(shard_number shard, const task_need& need) {
  room* tightest = nullptr;
  for (auto& worker : workers_.at(shard)) {
    if (!suits(shard, worker, need)) continue;
    const bool tighter = tightest == nullptr ||
                         free_for(need, worker).millicores < free_for(need, *tightest).millicores;
    if (tighter) tightest = &worker;
  }
  if (tightest == nullptr) return false;
  if (need.has_run) {
    tightest->free -= need.step->demand;
  } else {
    tightest->first_starts += need.step->demand;
  }
  return true;
}

std::optional<shard_number> shard_rooms::best_for(const task_need& need, shard_number own) const {
  std::optional<shard_number> best;
  std::pair<std::size_t, std::size_t> most{0, 0};  // that run something; all
  for (shard_number shard = 0; shard < workers_.size(); ++shard) {
    if (shard == own) continue;
    std::pair<std::size_t, std::size_t> places{0, 0};
    for (const auto& worker : workers_[shard]) {
      if (!suits(shard, worker, need)) continue;
      places.first += worker.runs_something ? 1 : 0;
      ++places.second;
    }
    if (places <= most) continue;
    best = shard;
    most = places;
  }
  return best;
}

bool shard_rooms::has_places(shard_number shard, const task_need& need) const {
  const auto listing = [](const room& worker) -> const auto& { return *worker.listing; };
  return have_places(workers_.at(shard) | std::views::transform(listing), *need.step, need.service);
}

std::optional<shard_number> shard_rooms::able_shard(const task_need& need, shard_number own) const {
  std::optional<shard_number> best;
  std::uint64_t most = places_needed(*need.step) - 1;
  for (shard_number shard = 0; shard < workers_.size(); ++shard) {
    if (shard == own) continue;
    std::uint64_t places = 0;
    for (const auto& worker : workers_[shard]) {
      places += places_on(*worker.listing, *need.step, need.service);
    }
    if (places <= most) continue;
    best = shard;
    most = places;
  }
  return best;
}

resources shard_rooms::free_for(const task_need& need, const room& worker) {
  auto free = worker.free;
  if (!need.has_run) free -= worker.first_starts;
  return free;
}

bool shard_rooms::suits(shard_number shard, const room& worker, const task_need& need) const {
  const auto& step = *need.step;
  if (worker.listing->service != need.service) return false;
  const bool labelled =
      step.required_label.empty() || worker.listing->has_label(step.required_label);
  const auto free = free_for(need, worker);
  if (!labelled || !step.demand.fits_in(free)) return false;
  return need.has_run || short_rooms_[shard].admits(worker.listing->id, worker.listing->capacity,
                                                    free, step.demand);
}

}  // namespace coltsfoot::jobs
