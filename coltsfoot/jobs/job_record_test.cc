#include "coltsfoot/jobs/job_record.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <limits>

#include "coltsfoot/jobs/store_limits.h"

namespace coltsfoot::jobs {
namespace {

accepted_job sample_job() {
  return {.id = job_id{"j"},
          .queue = queue_id{"q"},
          .service = service_id{"s"},
          .max_attempts = 2,
          .accepted_at = wall_time{duration{5}},
          .spec = {.payload = "p", .steps = {{.count = 3}, {.count = 2, .depends_on = {0}}}}};
}

struct journal_copy : journal_state {
  tl::expected<applied_record, record_error> apply(const keyed_record& record,
                                                   bool take_progress = true) {
    return apply_record(record, *this, {.take_progress = take_progress});
  }
};

TEST(job_record_test, an_acceptance_adds_a_job_once) {
  journal_copy copy;
  ASSERT_TRUE(copy.apply(acceptance_record(sample_job())));
  copy.table.find(job_id{"j"})->started = true;
  ASSERT_TRUE(copy.apply(acceptance_record(sample_job())));
  EXPECT_EQ(copy.table.size(), 1U);
  EXPECT_TRUE(copy.table.find(job_id{"j"})->started) << "a repetition changes nothing";
}

TEST(job_record_test, a_cancellation_holds_whatever_the_order_of_the_records) {
  journal_copy copy;
  ASSERT_TRUE(copy.apply(cancellation_record(job_id{"j"})));
  ASSERT_TRUE(copy.apply(acceptance_record(sample_job())));
  EXPECT_EQ(state_of(*copy.table.find(job_id{"j"})), job_state::cancelled);
}

TEST(job_record_test, the_owner_keeps_its_own_progress) {
  journal_copy copy;
  ASSERT_TRUE(copy.apply(acceptance_record(sample_job())));
  auto other = *copy.table.find(job_id{"j"});
  other.outcome = job_outcome::completed;
  ASSERT_TRUE(copy.apply(progress_record(other, store_limits{}.record_bytes), false));
  EXPECT_FALSE(copy.table.find(job_id{"j"})->ended());
  ASSERT_TRUE(copy.apply(progress_record(other, store_limits{}.record_bytes), true));
  EXPECT_EQ(state_of(*copy.table.find(job_id{"j"})), job_state::completed);
}

TEST(job_record_test, an_older_claim_does_not_replace_a_newer_one) {
  journal_copy copy;
  ASSERT_TRUE(copy.apply(claim_record({.fence = 4, .node = "b"})));
  ASSERT_TRUE(copy.apply(claim_record({.fence = 3, .node = "a"})));
  EXPECT_EQ(copy.claim.node, "b");
}

TEST(job_record_test, removal_leaves_nothing) {
  journal_copy copy;
  ASSERT_TRUE(copy.apply(acceptance_record(sample_job())));
  const auto removed = *copy.table.find(job_id{"j"});
  for (const auto& record : removal_records(removed)) ASSERT_TRUE(copy.apply(record));
  EXPECT_EQ(copy.table.size(), 0U);
}

TEST(job_record_test, the_newest_handover_of_a_task_counts_and_goes_with_the_job) {
  journal_copy copy;
  const job_id id{"j"};
  ASSERT_TRUE(copy.apply(acceptance_record(sample_job())));
  const task_handover newer{.to = 2, .number = 3, .run = 5, .checkpoint = "c"};
  ASSERT_TRUE(copy.apply(handover_record(id, 1, newer)));
  ASSERT_TRUE(copy.apply(handover_record(id, 1, {.to = 1, .number = 2})));
  EXPECT_EQ(copy.table.find(id)->handovers.at(1), newer);
  EXPECT_FALSE(copy.apply(handover_record(id, 1'000'000, newer)));
  EXPECT_FALSE(copy.apply({.key = "handover/j/x", .value = "1"}));
  const auto removals = removal_records(*copy.table.find(id));
  EXPECT_TRUE(std::any_of(removals.begin(), removals.end(), [&](const auto& record) {
    return record.key == handover_record(id, 1, newer).key && record.value.empty();
  }));
}

// Guards against progress that the store refuses for its size: nothing would be recorded any more.
TEST(job_record_test, the_progress_of_the_largest_job_fits_into_a_record) {
  journal_copy copy;
  auto accepted = sample_job();
  accepted.spec.steps = {{.count = most_tasks_per_job}};
  ASSERT_TRUE(copy.apply(acceptance_record(accepted)));
  auto& j = *copy.table.find(job_id{"j"});
  for (auto& task : j.tasks) {
    task = {.phase = task_phase::waiting, .run = 70'000, .checkpoint = std::string(30, 'c')};
  }
  const auto record = progress_record(j, store_limits{}.record_bytes);
  EXPECT_LE(size_of(record), store_limits{}.record_bytes);
  ASSERT_TRUE(copy.apply(record));
  EXPECT_EQ(j.tasks.back().run, 70'000U) << "all but the checkpoints is kept";
}

RC_GTEST_PROP(job_record_test, progress_is_read_as_it_was_written, ()) {
  journal_copy copy;
  RC_ASSERT(copy.apply(acceptance_record(sample_job())).has_value());
  auto changed = *copy.table.find(job_id{"j"});
  changed.started = true;
  for (auto& task : changed.tasks) {
    task.phase = static_cast<task_phase>(*rc::gen::inRange(0, 4));
    task.run = *rc::gen::inRange<run_number>(0, 1'000'000);
    task.failures = *rc::gen::inRange<std::uint32_t>(0, 5);
    if (task.phase == task_phase::assigned) {
      task.life = {.worker = worker_id{"w" + std::to_string(*rc::gen::inRange(0, 3))},
                   .incarnation = *rc::gen::arbitrary<std::uint64_t>()};
    }
    if (task.phase != task_phase::done) task.checkpoint = *rc::gen::arbitrary<std::string>();
  }
  changed.recount();
  RC_ASSERT(copy.apply(progress_record(changed, store_limits{}.record_bytes)).has_value());
  const auto& read = *copy.table.find(job_id{"j"});
  RC_ASSERT(read.open_tasks == changed.open_tasks);
  for (std::size_t i = 0; i < read.tasks.size(); ++i) {
    const auto& a = read.tasks[i];
    const auto& b = changed.tasks[i];
    const bool untouched = b.phase == task_phase::waiting && b.run == 0;
    RC_ASSERT(a.phase == b.phase);
    if (untouched) continue;
    RC_ASSERT(a.run == b.run);
    RC_ASSERT(a.failures == b.failures);
    RC_ASSERT(a.life == b.life);
    RC_ASSERT(a.checkpoint == b.checkpoint);
  }
}

// Bytes from another writer change nothing and end nothing.
RC_GTEST_PROP(job_record_test, malformed_records_change_nothing, (const std::string& value)) {
  journal_copy copy;
  RC_ASSERT(copy.apply(acceptance_record(sample_job())).has_value());
  const auto before =
      progress_record(*copy.table.find(job_id{"j"}), store_limits{}.record_bytes).value;
  if (!copy.apply({.key = "progress/j", .value = value}) || value.empty()) {
    RC_ASSERT(progress_record(*copy.table.find(job_id{"j"}), store_limits{}.record_bytes).value ==
              before);
  }
  RC_ASSERT(!copy.apply({.key = "acceptance/k", .value = "x" + value}).has_value());
  RC_ASSERT(copy.table.find(job_id{"k"}) == nullptr);
}

// Guards against a stored record that ends each node that reads it, again after each start.
TEST(job_record_test, a_stored_job_that_no_node_can_hold_is_ignored) {
  const auto stored = [](auto change) {
    auto accepted = sample_job();
    change(accepted);
    journal_copy copy;
    const bool applied = copy.apply(acceptance_record(accepted)).has_value();
    return applied || copy.table.size() > 0;
  };
  static constexpr auto huge = std::numeric_limits<std::int64_t>::max();
  EXPECT_TRUE(stored([](accepted_job&) {}));
  EXPECT_FALSE(stored([](accepted_job& job) {
    job.spec.repetitions = 2'147'483'648;
    job.spec.steps.assign(128, {.count = 67'108'864});
  }));
  EXPECT_FALSE(stored([](accepted_job& job) { job.accepted_at = wall_time{duration{huge}}; }));
  EXPECT_FALSE(stored([](accepted_job& job) { job.accepted_at = wall_time{duration{-huge}}; }));
  EXPECT_FALSE(stored([](accepted_job& job) { job.latency_target = duration{huge}; }));
  EXPECT_FALSE(stored([](accepted_job& job) { job.slack_factor = std::nan(""); }));
  EXPECT_FALSE(stored([](accepted_job& job) { job.spec.steps[0].estimate = duration{huge}; }));
}

TEST(job_record_test, the_transfer_with_the_highest_number_counts) {
  journal_state state;
  const worker_id worker{"w"};
  const worker_transfer second{.worker = worker, .to = 2, .number = 2};
  for (const auto& transfer : {second, worker_transfer{.worker = worker, .to = 1, .number = 1}}) {
    ASSERT_TRUE(apply_record(transfer_record(transfer), state, {}));
  }
  EXPECT_EQ(state.transfers.at(worker), second);
  EXPECT_TRUE(is_transfer(transfer_record(second)));
  EXPECT_FALSE(apply_record({.key = "transfer/w", .value = "?"}, state, {}));
}

}  // namespace
}  // namespace coltsfoot::jobs
