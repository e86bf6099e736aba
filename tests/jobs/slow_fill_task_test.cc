// Fill tasks next to serving tasks whose load rises, while other workers have processors to spare.
#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

constexpr int busy_workers = 6;
constexpr int all_workers = 12;
constexpr double low_load = 2.5;   // headroom of serving tasks without fill tasks
constexpr double high_load = 1.2;  // leaves fill tasks next to nothing
constexpr duration restore{200};
constexpr duration length{4'000};  // of a fill task

jobs::job_spec job_of(jobs::step_spec step) {
  return {.payload = "p", .steps = {std::move(step)}};
}

// Serving tasks on half of the workers, fill tasks beside them, and short tasks that leave the
// other workers after a second.
class slow_fill_task_test : public ::testing::Test {
 protected:
  void begin(duration restore_time, std::uint64_t seed = 1) {
    fleet_.emplace(fleet_options{.workers = all_workers, .seed = seed, .restore = restore_time});
    ASSERT_TRUE(fleet_->run_until([&] { return fleet_->is_settled(); }, duration{8'000}));
    fleet_->run_for(duration{500});
    fleet_->submit(0, "serving",
                   job_of({.count = busy_workers,
                           .demand = {.millicores = 4'000, .memory_mb = 1'000},
                           .estimate = duration{100},
                           .long_running = true,
                           .max_per_worker = 1,
                           .image = "search",
                           .response_target = duration{50}}));
    fleet_->run_for(duration{1'000});
    fleet_->submit(0, "short",
                   job_of({.count = all_workers - busy_workers,
                           .demand = {.millicores = 8'000, .memory_mb = 1'000},
                           .estimate = duration{1'000}}));
    fleet_->run_for(duration{100});
    fleet_->submit(0, "fill",
                   job_of({.count = busy_workers,
                           .demand = {.millicores = 2'000, .memory_mb = 1'000},
                           .estimate = length,
                           .checkpoints = true,
                           .fill = true,
                           .max_per_worker = 1,
                           .image = "sort"}));
    ASSERT_TRUE(
        fleet_->run_until([&] { return fleet_->running("fill") == busy_workers; }, duration{500}));
    fleet_->run_for(duration{800});
  }

  bool is_busy(int worker) {
    const auto& runs = fleet_->worker(worker).runs();
    return std::any_of(runs.begin(), runs.end(), [](const auto& entry) {
      return entry.first.job == jobs::job_id{"serving"};
    });
  }

  void set_load(double headroom) {
    for (int i = 0; i < all_workers; ++i) fleet_->worker(i).set_headroom(headroom);
  }

  const jobs::job_owner* owner() const {
    const auto number = fleet_->owner();
    return number < 0 ? nullptr : std::as_const(*fleet_->node(number).shards().front()).owner();
  }

  std::uint64_t moves() const { return owner() == nullptr ? 0 : owner()->stats().slow_moves; }

  // Runs that are being stopped.
  std::size_t stopping() const {
    std::size_t count = 0;
    if (owner() == nullptr) return count;
    for (const auto& [id, link] : owner()->links()) {
      count += static_cast<std::size_t>(
          std::count_if(link.runs.begin(), link.runs.end(),
                        [](const auto& entry) { return entry.second.stop_wanted; }));
    }
    return count;
  }

  // Time until the fill tasks have ended.
  duration time_to_end(duration limit) {
    const auto begun = fleet_->now();
    const int node = fleet_->runs(0) ? 0 : 1;
    fleet_->reaches(node, "fill", jobs::job_state::completed, limit);
    return fleet_->now() - begun;
  }

  void expect_sound() { EXPECT_TRUE(fleet_->broken().empty()) << *fleet_->broken().begin(); }

  std::optional<virtual_fleet> fleet_;
};

TEST_F(slow_fill_task_test, steps_end_earlier_when_slow_runs_move) {
  begin(duration{0});
  set_load(high_load);
  const auto without = time_to_end(duration{20'000});
  EXPECT_EQ(moves(), 0U) << "without the setting";
  begin(restore);
  set_load(high_load);
  const auto with = time_to_end(duration{20'000});
  EXPECT_LT(2 * with, without) << with.count() << " ms with, " << without.count() << " without";
  EXPECT_LE(moves(), busy_workers) << "each task moves once";
  EXPECT_GT(moves(), 0U);
  expect_sound();
}

TEST_F(slow_fill_task_test, moves_under_way_are_bounded) {
  begin(restore);
  set_load(high_load);
  std::size_t most = 0;
  // A stop may take less than the step of `run_until`.
  for (duration passed{0}; passed < duration{6'000}; passed += duration{1}) {
    fleet_->run_for(duration{1});
    most = std::max(most, stopping());
  }
  EXPECT_GT(most, 0U);
  EXPECT_LE(most, relocation::relocation_options{}.most_under_way);
}

// Runs must not go to and fro after the load, whose peaks are shorter than a move is worth.
TEST_F(slow_fill_task_test, short_peaks_move_little) {
  begin(restore);
  for (int i = 0; i < 8; ++i) {
    set_load(i % 2 == 0 ? high_load : low_load);
    fleet_->run_for(duration{1'000});
  }
  EXPECT_LE(moves(), busy_workers);
  expect_sound();
}

// The worker is cut off from its owner at any time around the decision and the stop.
TEST_F(slow_fill_task_test, a_worker_that_is_cut_off_around_the_stop_runs_nothing_twice) {
  std::uint64_t moved = 0;
  for (int cut_after = 0; cut_after <= 4'000; cut_after += 100) {
    begin(restore, static_cast<std::uint64_t>(cut_after) + 1);
    set_load(high_load);
    fleet_->run_for(duration{cut_after});
    const auto number = fleet_->owner();
    for (int worker = 0; worker < all_workers; ++worker) {
      if (is_busy(worker)) fleet_->cut_worker(number, worker, true);
    }
    fleet_->run_for(duration{2'000});
    moved += moves();
    fleet_->run_for(duration{10'000});
    for (int worker = 0; worker < all_workers; ++worker) fleet_->cut_worker(number, worker, false);
    set_load(low_load);
    EXPECT_LT(time_to_end(duration{20'000}), duration{20'000}) << "cut after " << cut_after;
    expect_sound();
  }
  EXPECT_GT(moved, 0U);
}

TEST_F(slow_fill_task_test, the_task_goes_on_from_its_checkpoint_if_the_owner_dies_after_the_stop) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    begin(restore, seed);
    bool killed = false;
    fleet_->set_stop_hook([&](const jobs::run_ref& run) {
      const auto number = fleet_->owner();
      if (killed || number < 0 || run.task.job != jobs::job_id{"fill"}) return;
      killed = true;
      fleet_->kill_node(number);
    });
    set_load(high_load);
    ASSERT_TRUE(fleet_->run_until([&] { return killed; }, duration{10'000}));
    EXPECT_LT(time_to_end(duration{25'000}), duration{25'000}) << "seed " << seed;
    EXPECT_GT(moves(), 0U) << "the successor moves slow runs too";
    expect_sound();
  }
}

// Serving tasks leave fill tasks about half of what those beside them would use. The job whose step
// waits only for one task was slowed with the others.
TEST(last_task_test, a_job_that_waits_for_its_last_task_ends_before_wide_steps) {
  // Without another worker, no run can move.
  virtual_fleet fleet{{.workers = 1, .restore = restore}};
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(duration{500});
  fleet.submit(0, "serving",
               job_of({.count = 1,
                       .demand = {.millicores = 4'000, .memory_mb = 1'000},
                       .estimate = duration{100},
                       .long_running = true,
                       .image = "search",
                       .response_target = duration{50}}));
  fleet.run_for(duration{1'000});
  const auto fill = [](std::uint32_t count) {
    return job_of({.count = count,
                   .demand = {.millicores = 1'000, .memory_mb = 500},
                   .estimate = length,
                   .fill = true,
                   .image = "sort"});
  };
  const auto begun = fleet.now();
  fleet.submit(0, "a-last", fill(1));
  fleet.submit(0, "b-wide", fill(2));
  const auto time_to = [&](const std::string& id) {
    EXPECT_TRUE(fleet.reaches(0, id, jobs::job_state::completed, duration{40'000}));
    return fleet.now() - begun;
  };
  fleet.run_for(duration{1'000});
  fleet.worker(0).set_headroom(1.9);
  const auto last = time_to("a-last");
  const auto wide = time_to("b-wide");
  EXPECT_LT(last, duration{5'000}) << "wide " << wide.count();
  EXPECT_LT(wide, duration{15'000}) << "last " << last.count();
}

}  // namespace
}  // namespace coltsfoot::testing
