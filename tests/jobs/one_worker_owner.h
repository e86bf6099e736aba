// A test fixture: an owner of jobs with one worker and one job, played by hand without a network.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {

inline const worker_id worker{"w"};
inline const job_id job_name{"j"};

// An owner with one worker and one job of a single task.
class one_worker_owner : public ::testing::Test {
 protected:
  one_worker_owner() {
    table_.accept(
        {.id = job_name,
         .service = service_id{"s"},
         .spec = {.payload = "p", .steps = {{.demand = {.millicores = 1'000, .memory_mb = 100}}}}});
    owner_.emplace(job_owner_options{}, 1, table_, now_, wall_, log_sink{});
    owner_->on_accepted(job_name, now_);
    owner_->on_listing({.id = worker,
                        .incarnation = 1,
                        .service = service_id{"s"},
                        .address = "a",
                        .capacity = {.millicores = 8'000, .memory_mb = 1'000},
                        .labels = {"a", "r"}},
                       now_);
  }

  void pass(duration time) {
    now_ += time;
    owner_->tick(now_, wall_);
  }

  // The newest order of a kind that was given since the last call.
  template <typename Order>
  std::optional<worker_order> newest() {
    auto orders = owner_->take_orders();
    const auto found = std::find_if(orders.rbegin(), orders.rend(), [](const auto& order) {
      return std::holds_alternative<Order>(order.order);
    });
    return found == orders.rend() ? std::nullopt : std::optional{*found};
  }

  // The worker answers a look in its life `incarnation`; the owner knows it in its life `known`.
  void answer_look(std::uint64_t known, std::uint64_t incarnation, std::vector<running_row> running,
                   std::vector<ended_row> ended = {}) {
    look_answer answer{.verdict = order_verdict::accepted,
                       .report = {.clock = 1'000,
                                  .incarnation = incarnation,
                                  .running = std::move(running),
                                  .ended = std::move(ended)}};
    owner_->on_look_answer({.worker = worker, .incarnation = known}, answer, now_, now_);
  }

  void record() {
    owner_->take_batch();
    owner_->on_batch_recorded(now_);
  }

  // The job's task runs on the worker, which has confirmed it.
  void start_first_run() {
    answer_look(1, 1, {});
    owner_->place(now_, wall_);
    record();
    owner_->on_start_answer({.worker = worker, .incarnation = 1}, first_run_,
                            {.verdict = order_verdict::accepted, .clock = 1'000}, now_);
    owner_->take_orders();
    table_.request_cancel(job_name);
  }

  const run_ref first_run_{.task = {.job = job_name}, .run = 1};
  time_point now_{duration{100'000}};
  wall_time wall_{duration{100'000}};
  job_table table_;
  std::optional<job_owner> owner_;
};

}  // namespace coltsfoot::jobs
