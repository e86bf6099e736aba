// Long-running tasks that are not restarted although workers have free capacity for them.
#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

// Four shards with four workers of eight cores each.
fleet_options four_shards(std::uint64_t seed, int nodes = 6) {
  return {.nodes = nodes, .workers = 16, .seed = seed, .workers_per_shard = 4};
}

// A worker that does not answer keeps its tasks until its lease expires.
constexpr duration max_lease{5'200};

// Maximum time from the last run of a long-running task to its restart if there is free capacity.
constexpr duration max_absence{6'000};

jobs::job_spec long_running_job(std::uint32_t width, std::int64_t millicores) {
  jobs::job_spec spec{.payload = "p", .steps = {{.count = width}}};
  spec.steps[0].demand = {.millicores = millicores, .memory_mb = 500};
  spec.steps[0].estimate = duration{100};
  spec.steps[0].long_running = true;
  return spec;
}

void wait_until_settled(virtual_fleet& fleet) {
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(duration{500});
}

// A name that has not been used and that the layout gives to `shard`.
class job_names {
 public:
  explicit job_names(const virtual_fleet& fleet)
      : layout_(fleet.node(0).shards().front()->layout()) {}

  std::string next(jobs::shard_number shard) {
    std::string name;
    do {
      name = "j" + std::to_string(used_++);
    } while (layout_.shard_of_job(jobs::job_id{name}, {}) != shard);
    return name;
  }

 private:
  jobs::fleet_layout layout_;
  int used_ = 0;
};

// Starts a long-running task on every worker that leaves three cores free. The workers of the first
// shard then have too little free capacity for another task of 2.2 cores. Returns the job with such
// tasks.
std::string fill_first_shard(virtual_fleet& fleet, job_names& names) {
  for (jobs::shard_number shard = 0; shard < 4; ++shard) {
    const auto name = names.next(shard);
    fleet.submit(0, name, long_running_job(4, 5'000));
    EXPECT_TRUE(fleet.run_until([&] { return fleet.running(name) == 4; }, duration{4'000}));
  }
  const auto rest = names.next(jobs::first_shard);
  fleet.submit(0, rest, long_running_job(4, 2'200));
  EXPECT_TRUE(fleet.run_until([&] { return fleet.running(rest) == 4; }, duration{4'000}));
  return rest;
}

TEST(absent_task_test, tasks_of_a_lost_worker_run_on_busy_workers_of_another_shard) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{four_shards(seed)};
    wait_until_settled(fleet);
    job_names names{fleet};
    fill_first_shard(fleet, names);
    for (int worker = 0; worker < 16; ++worker) {
      if (fleet.worker(worker).runs().size() < 2) continue;
      fleet.set_worker_reachable(worker, false);
      break;
    }
    fleet.run_for(duration{20'000});
    EXPECT_TRUE(fleet.absences().broken().empty())
        << *fleet.absences().broken().begin() << " seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// The other shards have capacity for the task, and tasks that have never run and can't use it.
TEST(absent_task_test, first_starts_that_wait_in_another_shard_hold_back_no_restart) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{four_shards(seed)};
    wait_until_settled(fleet);
    job_names names{fleet};
    const auto lost = fill_first_shard(fleet, names);
    auto one_per_worker = long_running_job(160, 300);
    one_per_worker.steps[0].max_per_worker = 1;
    fleet.submit(0, names.next(1), one_per_worker);
    fleet.run_for(duration{6'000});
    for (int worker = 0; worker < 16; ++worker) {
      if (fleet.worker(worker).free().millicores >= 2'000) continue;
      fleet.set_worker_reachable(worker, false);
      break;
    }
    // The tasks of the other job may not share a worker, which the watch for absences doesn't know.
    fleet.run_for(max_lease + max_absence);
    EXPECT_EQ(fleet.running(lost), 4U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// The other workers are full, so that the tasks can only run where they failed before.
TEST(absent_task_test, tasks_run_on_a_worker_that_has_recovered_from_failing_all_its_runs) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{{.nodes = 3, .workers = 4, .seed = seed, .max_attempts = 100}};
    wait_until_settled(fleet);
    fleet.submit(0, "long", long_running_job(8, 3'500));
    ASSERT_TRUE(fleet.run_until([&] { return fleet.running("long") == 8; }, duration{4'000}));
    fleet.set_worker_failing(0, true);
    fleet.restart_worker(0);
    fleet.run_for(duration{8'000});
    fleet.set_worker_failing(0, false);
    fleet.run_for(duration{20'000});
    EXPECT_EQ(fleet.running("long"), 8U) << "seed " << seed;
    EXPECT_TRUE(fleet.absences().broken().empty())
        << *fleet.absences().broken().begin() << " seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Random integers from one seed.
class random_integers {
 public:
  explicit random_integers(std::uint64_t seed) : random_(seed) {}

  int between(int low, int high) {
    return low + static_cast<int>(random_() % static_cast<unsigned>(high - low + 1));
  }

 private:
  random_engine random_;
};

// Submits long-running jobs until they demand `share` of the processors of four_shards, most
// of them in the first shard, which they fill before the others.
void submit_uneven_load(virtual_fleet& fleet, job_names& names, random_integers& draw,
                        double share) {
  const auto max_demand = static_cast<std::int64_t>(share * 16 * 64'000);
  std::int64_t demanded = 0;
  while (demanded < max_demand) {
    const auto width = draw.between(2, 8);
    const auto millicores = draw.between(6, 20) * 1'000;
    demanded += std::int64_t{width} * millicores;
    const auto shard = static_cast<jobs::shard_number>(std::max(0, draw.between(-1, 3)));
    fleet.submit(0, names.next(shard),
                 long_running_job(static_cast<std::uint32_t>(width), millicores));
    fleet.run_for(duration{draw.between(50, 300)});
  }
}

// The load differs between shards, tasks fail, and workers are lost, some of them permanently.
TEST(absent_task_test, restarts_tasks_within_the_bound_through_repeated_losses) {
  duration longest{0};
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    auto options = four_shards(seed);
    options.lost_answers = 0.02;
    options.failing_tasks = 0.1;
    options.max_attempts = 9;
    options.capacity = {.millicores = 64'000, .memory_mb = 250'000};
    virtual_fleet fleet{options};
    random_integers draw{seed};
    wait_until_settled(fleet);
    job_names names{fleet};
    submit_uneven_load(fleet, names, draw, 0.86);
    for (int round = 0; round < 24; ++round) {
      jobs::job_spec brief{.payload = "p", .steps = {{.count = 3}}};
      brief.steps[0].demand = {.millicores = 8'000, .memory_mb = 2'000};
      brief.steps[0].estimate = duration{640};
      const auto shard = static_cast<jobs::shard_number>(draw.between(0, 3));
      fleet.submit(draw.between(0, 5), names.next(shard), brief);
      if (round == 4) fleet.set_worker_reachable(draw.between(0, 15), false);
      if (round == 10) {
        const int worker = draw.between(0, 15);
        fleet.restart_worker(worker);
        fleet.set_worker_reachable(worker, false);
        fleet.run_for(duration{draw.between(500, 6'000)});
        fleet.set_worker_reachable(worker, true);
      }
      fleet.run_for(duration{draw.between(300, 1'500)});
    }
    fleet.run_for(duration{15'000});
    longest = std::max(longest, fleet.absences().longest_absence());
    EXPECT_TRUE(fleet.absences().broken().empty())
        << *fleet.absences().broken().begin() << " seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
  std::cout << "longest absence: " << longest.count() << " ms\n";
}

std::size_t handovers(const virtual_fleet& fleet) {
  std::size_t sum = 0;
  for (const auto& shard : fleet.node(0).shards()) {
    for (const auto& [id, j] : shard->table()) sum += j.handovers.size();
  }
  return sum;
}

// Injects one temporary fault into a node or a worker. The first node is spared so that it can be
// queried.
void inject_temporary_fault(virtual_fleet& fleet, random_integers& draw, int nodes) {
  const int node = draw.between(1, nodes - 1);
  const int worker = draw.between(0, 15);
  const int kind = draw.between(0, 7);
  if (kind == 0) fleet.kill_node(node);
  if (kind == 1) fleet.freeze_node(node, true);
  if (kind == 2) fleet.cut_store(node, true);
  if (kind == 3) fleet.set_worker_reachable(worker, false);
  if (kind == 4) fleet.restart_worker(worker);
  if (kind == 5) fleet.compact_store();
  fleet.run_for(duration{draw.between(200, 2'500)});
  if (kind == 0) fleet.start_node(node);
  if (kind == 1) fleet.freeze_node(node, false);
  if (kind == 2) fleet.cut_store(node, false);
  if (kind == 3) fleet.set_worker_reachable(worker, true);
}

// A task in two shards would run twice; one in none would never run again; one whose job was
// cancelled in another shard would run on.
TEST(absent_task_test, invariants_hold_while_tasks_change_shards_under_repeated_faults) {
  std::size_t handed_over = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    // With few nodes, some own several shards.
    const int nodes = seed % 2 == 0 ? 3 : 6;
    auto options = four_shards(seed, nodes);
    options.lost_answers = 0.03;
    options.late_orders = 0.03;
    options.lost_append_answers = 0.03;
    options.failing_tasks = 0.1;
    options.max_attempts = 9;
    options.capacity = {.millicores = 64'000, .memory_mb = 250'000};
    virtual_fleet fleet{options};
    random_integers draw{seed};
    wait_until_settled(fleet);
    job_names names{fleet};
    submit_uneven_load(fleet, names, draw, 0.8);
    const auto cancelled_job = names.next(jobs::first_shard);
    fleet.submit(0, cancelled_job, long_running_job(6, 9'000));
    for (int round = 0; round < 16; ++round) {
      inject_temporary_fault(fleet, draw, nodes);
      if (round == 12) fleet.cancel(0, cancelled_job);
    }
    handed_over += handovers(fleet);
    fleet.run_for(duration{15'000});
    EXPECT_EQ(fleet.running(cancelled_job), 0U) << "seed " << seed;
    EXPECT_TRUE(fleet.absences().broken().empty())
        << *fleet.absences().broken().begin() << " seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
  EXPECT_GT(handed_over, 30U);
}

}  // namespace
}  // namespace coltsfoot::testing
