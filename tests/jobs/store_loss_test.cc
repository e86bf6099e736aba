// Tests of owners that lose the store, on virtual time: while a successor may own the jobs, what
// they keep alive on workers must not be started elsewhere, and an outage for all must not end
// work.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

constexpr int node_count = 3;
constexpr int worker_count = 6;

jobs::job_spec lasting_job(std::uint32_t tasks) {
  jobs::step_spec step{.count = tasks, .demand = {.millicores = 1'000, .memory_mb = 500}};
  step.long_running = true;
  return {.payload = "p", .steps = {step}};
}

// A settled fleet with one job of 12 tasks that last.
class store_loss_test : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  void SetUp() override {
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.is_settled(); }, duration{8'000}));
    fleet_.run_for(duration{500});
    fleet_.submit(0, "j", lasting_job(12));
    ASSERT_TRUE(fleet_.run_until([&] { return fleet_.running("j") == 12; }, duration{3'000}));
    fleet_.run_for(duration{2'000});
    owner_ = fleet_.owner();
    ASSERT_GE(owner_, 0);
  }

  // Cuts the owner from the store, and splits the workers: the owner reaches those for which
  // `is_left` holds, the other nodes the others.
  template <typename F>
  void split(F is_left, bool cut) {
    fleet_.cut_store(owner_, cut);
    for (int node = 0; node < node_count; ++node) {
      for (int worker = 0; worker < worker_count; ++worker) {
        if (is_left(worker) != (node == owner_)) fleet_.cut_worker(node, worker, cut);
      }
    }
  }

  void expect_unbroken() const { EXPECT_TRUE(fleet_.broken().empty()) << *fleet_.broken().begin(); }

  virtual_fleet fleet_{{.nodes = node_count, .workers = worker_count, .seed = GetParam()}};
  int owner_ = -1;
};

// Guards against leases that an owner renews while its successor counts them as over.
TEST_P(store_loss_test, an_owner_behind_a_partition_keeps_no_run_that_is_started_elsewhere) {
  for (const duration cut : {duration{4'000}, duration{8'000}, duration{20'000}}) {
    int kept = 0;
    while (!fleet_.runs_tasks(kept)) ++kept;
    const auto is_left = [kept](int worker) { return worker == kept; };
    split(is_left, true);
    fleet_.run_for(cut);
    split(is_left, false);
    fleet_.run_for(duration{9'000});
    expect_unbroken();
    EXPECT_EQ(fleet_.running("j"), 12U) << "after a cut of " << cut.count() << " ms";
    owner_ = fleet_.owner();
    ASSERT_GE(owner_, 0);
  }
}

// Guards against a successor that takes the workers which it can't reach for free while the former
// owner, with most of the workers on its side, keeps their work alive.
TEST_P(store_loss_test, a_successor_that_reaches_few_workers_starts_no_run_of_the_others) {
  const auto is_left = [](int worker) { return worker < 4; };
  split(is_left, true);
  fleet_.run_for(duration{12'000});
  expect_unbroken();
  split(is_left, false);
  fleet_.run_for(duration{9'000});
  expect_unbroken();
  EXPECT_EQ(fleet_.running("j"), 12U);
}

// Guards against leases that run out because nothing can be recorded.
TEST_P(store_loss_test, an_outage_of_the_store_ends_no_work_however_long_it_is) {
  const auto starts = fleet_.starts();
  fleet_.set_store_down(true);
  fleet_.run_for(duration{180'000});
  fleet_.set_store_down(false);
  fleet_.run_for(duration{5'000});
  EXPECT_EQ(fleet_.lapsed(), 0U);
  EXPECT_EQ(fleet_.running("j"), 12U);
  EXPECT_EQ(fleet_.starts(), starts);
  expect_unbroken();
}

// Guards against one worker that is lost during an outage ending the work on the others.
TEST_P(store_loss_test, an_outage_of_the_store_beside_a_lost_worker_ends_only_its_work) {
  fleet_.set_store_down(true);
  fleet_.run_for(duration{3'000});
  fleet_.set_worker_reachable(0, false);
  fleet_.run_for(duration{30'000});
  const auto lapsed_alone = fleet_.worker(0).lapsed();
  EXPECT_EQ(fleet_.lapsed(), lapsed_alone);
  fleet_.set_worker_reachable(0, true);
  fleet_.set_store_down(false);
  fleet_.run_for(duration{9'000});
  EXPECT_EQ(fleet_.running("j"), 12U);
  expect_unbroken();
}

// Guards against an owner that takes a worker's next life, which has forgotten the successor, for
// one that obeys it.
TEST_P(store_loss_test, workers_that_restart_behind_a_partition_give_the_former_owner_no_say) {
  const auto is_left = [](int worker) { return worker < 2; };
  split(is_left, true);
  fleet_.run_for(duration{4'000});
  // The successor's workers restart, and the former owner reaches them again.
  for (int worker = 2; worker < worker_count; ++worker) {
    for (int node = 0; node < node_count; ++node) fleet_.cut_worker(node, worker, node != owner_);
    fleet_.restart_worker(worker);
  }
  fleet_.run_for(duration{12'000});
  expect_unbroken();
}

// Cuts of pairs and from the store, kills, pauses and restarts, each of up to 11 s, that overlap.
TEST_P(store_loss_test, no_task_runs_twice_through_series_of_cuts) {
  random_engine random{GetParam()};
  const auto draw = [&random](int bound) { return static_cast<int>(random() % bound); };
  struct fault {
    duration until;
    std::function<void()> mend;
  };
  std::vector<fault> open;
  duration now{0};
  for (int step = 0; step < 120; ++step, now += duration{500}) {
    std::erase_if(open, [&](const fault& f) {
      if (f.until > now) return false;
      f.mend();
      return true;
    });
    if (draw(3) == 0) {
      const int node = draw(node_count);
      const int worker = draw(worker_count);
      const auto until = now + duration{500 + draw(10'500)};
      switch (draw(6)) {
        case 0:
        case 1:
          fleet_.cut_worker(node, worker, true);
          open.push_back({until, [this, node, worker] { fleet_.cut_worker(node, worker, false); }});
          break;
        case 2:
          for (int other = worker % 2; other < worker_count; other += 2) {
            fleet_.cut_worker(node, other, true);
            open.push_back({until, [this, node, other] { fleet_.cut_worker(node, other, false); }});
          }
          break;
        case 3:
          fleet_.cut_store(node, true);
          open.push_back({until, [this, node] { fleet_.cut_store(node, false); }});
          break;
        case 4:
          if (!fleet_.runs(node)) break;
          fleet_.freeze_node(node, true);
          open.push_back({until, [this, node] { fleet_.freeze_node(node, false); }});
          break;
        default:
          fleet_.kill_node(node);
          open.push_back({until, [this, node] {
                            if (!fleet_.runs(node)) fleet_.start_node(node);
                          }});
      }
    }
    fleet_.run_for(duration{500});
  }
  for (const auto& fault : open) fault.mend();
  fleet_.run_for(duration{20'000});
  expect_unbroken();
  EXPECT_EQ(fleet_.running("j"), 12U);
}

// A fifth of a second is what a takeover with all workers in reach may take to start new work.
TEST_P(store_loss_test, a_successor_that_reaches_all_workers_starts_new_work_at_once) {
  fleet_.kill_node(owner_);
  ASSERT_TRUE(fleet_.run_until([&] { return fleet_.owner() >= 0; }, duration{4'000}));
  fleet_.submit(fleet_.owner(), "k", lasting_job(4));
  EXPECT_TRUE(fleet_.run_until([&] { return fleet_.running("k") == 4; }, duration{200}));
}

// Other seeds than those of CI can be played by hand.
std::uint64_t first_seed() {
  const char* text = std::getenv("FLEET_FIRST_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

INSTANTIATE_TEST_SUITE_P(seeds, store_loss_test,
                         ::testing::Range<std::uint64_t>(first_seed(), first_seed() + 40));

}  // namespace
}  // namespace coltsfoot::testing
