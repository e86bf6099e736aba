// The part of a node that lets the shards it owns give workers to shards which lack room.
#include <algorithm>

#include "coltsfoot/jobs/job_node.h"

namespace coltsfoot::jobs {

void job_node::balance_shards() {
  const auto& options = context_.options;
  if (shards_.size() < 2 || owned_before_ == 0 || context_.now < next_balance_) return;
  next_balance_ = context_.now + options.balance_interval;
  // Entries that are only about to come back would make a shard look poor.
  const bool registry_settled =
      workers_.caught_up() && context_.now - registry_changed_ >= options.registry_quiet;
  if (context_.shutting_down || !registry_settled || !journals_are_read()) return;
  auto loads = shard_loads();
  for (auto& shard : shards_) {
    if (shard->is_owner()) give_workers(*shard, loads);
  }
}

resources job_node::plausible_worker_capacity() const {
  std::vector<resources> capacities;
  capacities.reserve(registry_.size());
  for (const auto& [id, listing] : registry_) capacities.push_back(listing.capacity);
  return plausible_capacity(capacities);
}

std::vector<job_node::usable_worker> job_node::usable_workers() const {
  std::vector<usable_worker> usable;
  const auto plausible = plausible_worker_capacity();
  for (const auto& [id, listing] : registry_) {
    const auto place = place_of(listing);
    if (!place || listing.draining || !listing.capacity.fits_in(plausible)) continue;
    if (context_.evacuated.contains(listing.zone)) continue;
    usable.push_back({.shard = place->shard, .listing = &listing});
  }
  return usable;
}

// By shard; workers on their way to another shard count there.
std::vector<shard_load> job_node::shard_loads() const {
  std::vector<shard_load> loads(shards_.size());
  resources largest;
  for (const auto& [shard, listing] : usable_workers()) {
    const auto& capacity = listing->capacity;
    loads[shard].capacity += capacity;
    ++loads[shard].workers;
    largest.millicores = std::max(largest.millicores, capacity.millicores);
    largest.memory_mb = std::max(largest.memory_mb, capacity.memory_mb);
    largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
  }
  const auto rooms = listed_rooms();
  for (const auto& shard : shards_) {
    auto& load = loads[shard->number()];
    for (const auto& [id, j] : shard->table()) {
      const auto can_run = [&, &service = j.accepted.service](const step_spec& step) {
        return rooms.has_places(shard->number(), {.step = &step, .service = service});
      };
      load.wanted += wanted_room(j, largest, context_.wall, can_run);
    }
    if (!shard->is_owner()) continue;
    for (const auto& [listing, to] : shard->owner()->transfers_under_way()) {
      move_worker(loads, shard->number(), to, listing.capacity);
    }
  }
  return loads;
}

void job_node::give_workers(job_shard& giver, std::vector<shard_load>& loads) {
  auto& owner = *giver.owner();
  const auto racks = wanted_racks(giver.table());
  while (owner.may_begin_transfer()) {
    const auto* spare = owner.spare_worker(racks, context_.now);
    if (spare == nullptr) return;
    const auto needy =
        shard_in_need(loads, giver.number(), spare->capacity, context_.options.balance);
    if (!needy) return;
    move_worker(loads, giver.number(), *needy, spare->capacity);
    owner.begin_transfer(spare->id, *needy, context_.now);
  }
}

}  // namespace coltsfoot::jobs
