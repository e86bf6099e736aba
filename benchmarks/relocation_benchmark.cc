// Measures one pass of the decision which fill runs move, by number of workers and by whether any
// worker has room for them:
//
//   build/relocation_benchmark
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "coltsfoot/relocation/slow_runs.h"

namespace coltsfoot::relocation {
namespace {

constexpr time_point start_time{duration{1'000'000}};
constexpr duration age{4'000};  // of the runs
constexpr int serving_runs = 3;
constexpr int fill_runs = 6;
constexpr int images = 9;

// Workers with serving and fill runs, of which those of every second worker are slowed.
class fleet {
 public:
  fleet(int workers, bool with_room) {
    constexpr std::uint32_t tasks_per_job = 20;
    for (int i = 0; i < workers; ++i) add_worker(i, with_room && i % 10 == 0);
    const auto jobs = workers * fill_runs / static_cast<int>(tasks_per_job) + 1;
    for (int i = 0; i < jobs; ++i) {
      table_.accept({.id = job_name(i),
                     .service = service_id{"s"},
                     .spec = {.steps = {fill_step(i, tasks_per_job)}}});
    }
    int next = 0;
    for (auto& [id, link] : links_) {
      const bool slowed = next / fill_runs % 2 == 1;
      for (int run = 0; run < fill_runs; ++run, ++next) {
        if (link.serving == 0) continue;  // has room
        add_fill(link, job_name(next / static_cast<int>(tasks_per_job)),
                 static_cast<jobs::task_index>(next) % tasks_per_job, slowed ? 20 : 100);
      }
    }
  }

  fleet_view view() const { return {links_, table_, model_, speeds_, correction_, wall_time{}}; }

 private:
  static jobs::job_id job_name(int number) { return jobs::job_id{fmt::format("{:016}", number)}; }

  static jobs::step_spec fill_step(int job, std::uint32_t count) {
    return {.count = count,
            .demand = {.millicores = 7'000, .memory_mb = 13'000},
            .estimate = duration{8'000},
            .checkpoints = true,
            .fill = true,
            .image = fmt::format("fill-{}", job % images)};
  }

  void add_worker(int number, bool empty) {
    const worker_id id{fmt::format("i-{:010}", number)};
    auto& link = links_.try_emplace(id, id, 1, start_time).first->second;
    link.listing = jobs::worker_listing{.id = id,
                                        .service = service_id{"s"},
                                        .capacity = {.millicores = 64'000, .memory_mb = 256'000},
                                        .labels = {"a", fmt::format("r{}", number / 8)}};
    link.listed = true;
    link.last_contact = start_time;
    link.newest_report = start_time;
    for (int run = 0; run < serving_runs && !empty; ++run) {
      link.add({jobs::job_id{"serving"}, static_cast<jobs::task_index>(number * 10 + run)},
               {.phase = jobs::start_phase::confirmed,
                .demand = {.millicores = 13'000, .memory_mb = 26'000},
                .serves = true,
                .image = fmt::format("serving-{}", run),
                .headroom = 1.4});
    }
  }

  void add_fill(jobs::worker_link& link, const jobs::job_id& job, jobs::task_index index,
                std::uint32_t pace) {
    auto& j = *table_.find(job);
    auto& task = j.tasks[index];
    task.phase = jobs::task_phase::assigned;
    task.run = 1;
    auto run = jobs::run_of_step(j.accepted.spec.steps[0], task, start_time - age);
    run.phase = jobs::start_phase::confirmed;
    run.pace = pace;
    run.percent = pace / 2;
    run.progress.begin(0, pace, start_time - age);
    run.progress.observe(run.percent, pace, start_time);
    link.add({job, index}, std::move(run));
  }

  jobs::worker_links links_;
  jobs::job_table table_;
  jobs::interference_model model_{{}};
  typical_speeds speeds_;
  jobs::estimate_correction correction_;
};

void decide(benchmark::State& state) {
  const fleet load{static_cast<int>(state.range(0)), state.range(1) != 0};
  slow_run_finder finder{{.restore = duration{300}}};
  std::size_t moves = 0;
  for (auto _ : state) {
    moves += finder.choose(load.view(), relocation_options{}.most_under_way, start_time).size();
  }
  state.counters["moves"] = static_cast<double>(moves) / static_cast<double>(state.iterations());
}
BENCHMARK(decide)
    ->ArgNames({"workers", "room"})
    ->Args({490, 0})
    ->Args({490, 1})
    ->Args({5'000, 0})
    ->Args({5'000, 1})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace coltsfoot::relocation

BENCHMARK_MAIN();
