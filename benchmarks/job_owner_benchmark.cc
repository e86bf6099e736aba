// Measures the processor time that the owner of the jobs needs for each start, by size of the
// fleet. Workers answer from memory; only the owner's own calls are timed:
//
//   build/job_owner_benchmark
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <chrono>
#include <queue>
#include <vector>

#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

constexpr duration step_time{5};       // between two rounds of answers
constexpr duration lead_time{3'000};   // until the load is steady
constexpr duration timed_load{5'000};  // that is timed
constexpr duration report_every{200};  // of a worker on which nothing ends
constexpr resources worker_capacity{.millicores = 64'000, .memory_mb = 256'000};

struct ending {
  time_point at;
  std::size_t worker = 0;
  run_ref run;
  friend bool operator>(const ending& a, const ending& b) { return a.at > b.at; }
};

struct bench_worker {
  worker_life life;
  std::vector<ended_row> ends;
  std::map<run_ref, std::int64_t> running;  // with the figure that a report shows
  std::uint64_t last_end = 0;
  bool looked_at = false;
  time_point look_sent{};
};

// A fleet with the mix of jobs of a live installation: short steps with processors of their own,
// wide steps that fill, and a base of tasks that serve users.
class load {
 public:
  explicit load(int workers) : jobs_per_second_(workers / 12.0) {
    for (int i = 0; i < workers; ++i) {
      workers_.push_back(
          {.life = {.worker = worker_id{fmt::format("i-{:010}", i)}, .incarnation = 1}});
    }
    owner_.emplace(job_owner_options{}, 1, table_, now_, wall(), log_sink{});
    for (int i = 0; i < workers; ++i) {
      owner_->on_listing({.id = workers_[static_cast<std::size_t>(i)].life.worker,
                          .incarnation = 1,
                          .service = service_id{"s"},
                          .address = std::to_string(i),
                          .capacity = worker_capacity,
                          .labels = {"a", fmt::format("r{}", i / 8)}},
                         now_);
    }
    for (int i = 0; i < workers / 4; ++i) submit(serving_job());
  }

  void run_for(duration time) {
    for (const auto end = now_ + time; now_ < end; now_ += step_time) round();
  }
  std::chrono::nanoseconds spent() const { return spent_; }
  std::uint64_t starts() const { return owner_->stats().starts; }

 private:
  wall_time wall() const { return wall_time{now_.time_since_epoch()}; }

  template <typename Call>
  void timed(const Call& call) {
    const auto before = std::chrono::steady_clock::now();
    call();
    spent_ += std::chrono::steady_clock::now() - before;
  }

  job_spec serving_job() const {
    return {.steps = {{.count = 10,
                       .demand = {.millicores = 13'000, .memory_mb = 26'000},
                       .estimate = duration{500},
                       .long_running = true,
                       .image = fmt::format("serving-{}", jobs_ % 5),
                       .response_target = duration{50}}}};
  }
  job_spec short_job() const {
    return {.steps = {{.count = 10,
                       .demand = {.millicores = 8'000, .memory_mb = 13'000},
                       .estimate = duration{800}}}};
  }
  job_spec filling_job() const {
    const step_spec step{.count = 20,
                         .demand = {.millicores = 7'000, .memory_mb = 13'000},
                         .estimate = duration{1'700},
                         .fill = true,
                         .image = fmt::format("fill-{}", jobs_ % 9)};
    job_spec spec{.steps = {step, step}};
    spec.steps[1].depends_on = {0};
    return spec;
  }

  void submit(job_spec spec) {
    const job_id id{fmt::format("{:016}", ++jobs_)};
    table_.accept({.id = id,
                   .queue = queue_id{"q"},
                   .service = service_id{"s"},
                   .max_attempts = 3,
                   .slack_factor = 1.5,
                   .latency_target = duration{1'000},
                   .accepted_at = wall(),
                   .spec = std::move(spec)});
    timed([&] { owner_->on_accepted(id, now_); });
  }

  void round() {
    due_jobs_ += jobs_per_second_ * static_cast<double>(step_time.count()) / 1000;
    for (; due_jobs_ >= 1; due_jobs_ -= 1) {
      submit(jobs_ % 3 == 0 ? short_job() : filling_job());
    }
    while (!endings_.empty() && endings_.top().at <= now_) {
      const auto& next = endings_.top();
      auto& worker = workers_[next.worker];
      worker.running.erase(next.run);
      worker.ends.push_back({.number = ++worker.last_end, .run = next.run, .end = run_end::done});
      endings_.pop();
    }
    answer_looks();
    timed([&] {
      owner_->tick(now_, wall());
      owner_->place(now_, wall());
    });
    if (owner_->has_batch()) {
      timed([&] {
        owner_->take_batch();
        owner_->on_batch_recorded(now_);
      });
    }
    take_orders();
  }

  void answer_looks() {
    for (auto& worker : workers_) {
      if (!worker.looked_at) continue;
      if (worker.ends.empty() && now_ < worker.look_sent + report_every) continue;
      look_answer answer{.verdict = order_verdict::accepted,
                         .report = {.clock = now_.time_since_epoch().count(), .incarnation = 1}};
      for (const auto& [run, figure] : worker.running) {
        answer.report.running.push_back({.run = run, .percent = 50, .figure = figure});
      }
      answer.report.ended = worker.ends;
      worker.looked_at = false;
      timed([&] { owner_->on_look_answer(worker.life, answer, worker.look_sent, now_); });
    }
  }

  void take_orders() {
    std::vector<worker_order> orders;
    timed([&] { orders = owner_->take_orders(); });
    for (const auto& order : orders) {
      auto& worker = workers_[std::stoul(order.address)];
      if (const auto* start = std::get_if<start_order>(&order.order)) {
        const auto* j = table_.find(start->run.task.job);
        const auto& step = j->step_of(start->run.task);
        worker.running[start->run] = step.serves() ? 25 : step.demand.millicores;
        if (!step.long_running) {
          endings_.push(
              {.at = now_ + step.estimate, .worker = std::stoul(order.address), .run = start->run});
        }
        timed([&] {
          owner_->on_start_answer(
              order.life, start->run,
              {.verdict = order_verdict::accepted, .clock = now_.time_since_epoch().count()}, now_);
        });
      } else if (const auto* look = std::get_if<look_order>(&order.order)) {
        std::erase_if(worker.ends,
                      [&](const auto& row) { return row.number <= look->forget_up_to; });
        worker.looked_at = true;
        worker.look_sent = now_;
      }
    }
  }

  double jobs_per_second_;
  double due_jobs_ = 0;
  std::uint64_t jobs_ = 0;
  time_point now_{duration{1'000'000}};
  job_table table_;
  std::optional<job_owner> owner_;
  std::vector<bench_worker> workers_;
  std::priority_queue<ending, std::vector<ending>, std::greater<>> endings_;
  std::chrono::nanoseconds spent_{0};
};

void own_jobs(benchmark::State& state) {
  double starts = 0;
  double seconds = 0;
  for (auto _ : state) {
    load fleet{static_cast<int>(state.range(0))};
    fleet.run_for(lead_time);
    const auto before = fleet.spent();
    const auto starts_before = fleet.starts();
    fleet.run_for(timed_load);
    const std::chrono::duration<double> spent = fleet.spent() - before;
    state.SetIterationTime(spent.count());
    starts += static_cast<double>(fleet.starts() - starts_before);
    seconds += spent.count();
  }
  state.counters["us_per_start"] = seconds / starts * 1e6;
  state.counters["starts_per_s"] = starts / std::chrono::duration<double>(timed_load).count() /
                                   static_cast<double>(state.iterations());
}
BENCHMARK(own_jobs)->Arg(60)->Arg(240)->Arg(480)->Iterations(1)->UseManualTime()->Unit(
    benchmark::kMillisecond);

}  // namespace
}  // namespace coltsfoot::jobs

BENCHMARK_MAIN();
