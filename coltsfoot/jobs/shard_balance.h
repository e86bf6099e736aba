// Decides which shard gets room from another one.
//
// Load it answers: shards that fill unevenly. Jobs come to a shard by their ids and long-running
// ones stay, so that one shard runs out of room while another has workers without any task.
//
//   std::vector<shard_load> loads = ...;
//   if (const auto needy = shard_in_need(loads, own, worker.capacity)) give(worker, *needy);
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoot/base/resources.h"
#include "coltsfoot/jobs/fleet_layout.h"
#include "coltsfoot/jobs/job_table.h"

namespace coltsfoot::jobs {

struct shard_load {
  resources capacity;       // of its listed workers
  resources wanted;         // by tasks that run or could run now
  std::size_t workers = 0;  // listed ones
};

struct balance_options {
  // Share of its capacity that tasks want from which on a shard is given workers.
  double needy_above = 0.85;
  // The giver stays emptier than the receiver by this share, so that no worker goes to and fro.
  double least_difference = 0.04;
  // Share of an even part of the fleet's workers that a shard keeps for its own jobs. A shard with
  // hardly any workers loses all its room with the next one that fails.
  double least_part = 0.5;
  // Workers that one owner can serve.
  std::size_t most_workers = 192;
};

// The most that a single worker is believed to have: some times the median of each kind. An entry
// of another writer with boundless room would make its shard look empty.
resources plausible_capacity(const std::vector<resources>& capacities);

// Counts a worker in another shard.
void move_worker(std::vector<shard_load>& loads, shard_number from, shard_number to,
                 const resources& capacity);

// Room that the tasks of a job hold or could take now. Filling tasks use only what others leave and
// do not count, nor do tasks that no worker is large enough for; `largest` is the largest worker.
// Steps count only if `can_run` holds, if given: more room of any kind would not help the others.
resources wanted_room(const job& j, const resources& largest, wall_time now,
                      const std::function<bool(const step_spec&)>& can_run = {});

// Labels of racks near which open jobs want to run.
std::set<std::string> wanted_racks(const job_table& table);

// Returns the shard that needs a worker of `capacity` most, if shard `own` can spare one.
std::optional<shard_number> shard_in_need(const std::vector<shard_load>& loads, shard_number own,
                                          const resources& capacity,
                                          const balance_options& options = {});

}  // namespace coltsfoot::jobs
