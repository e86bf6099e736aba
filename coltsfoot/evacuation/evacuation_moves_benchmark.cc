// Time of one decision on moves out of an evacuated zone: a third of the workers, each with four
// long-running tasks and four others, of jobs of eight tasks.
#include <benchmark/benchmark.h>

#include "coltsfoot/evacuation/evacuation_moves.h"

namespace coltsfoot::jobs {
namespace {

const time_point now{duration{100'000}};
const service_id service{"s"};
const interference_model model{{}};

constexpr int tasks_per_worker = 8;
constexpr std::uint32_t tasks_per_job = 8;

struct fleet {
  worker_links links;
  job_table table;
};

void add_run(fleet& f, worker_link& link, int number) {
  const auto job_number = number / static_cast<int>(tasks_per_job);
  const auto index = static_cast<task_index>(number) % tasks_per_job;
  const job_id id{"j" + std::to_string(job_number)};
  if (index == 0) {
    f.table.accept({.id = id,
                    .service = service,
                    .spec = {.steps = {{.count = tasks_per_job,
                                        .demand = {.millicores = 1'000, .memory_mb = 100},
                                        .estimate = duration{20'000},
                                        .long_running = job_number % 2 == 0,
                                        .max_unavailable = 1}}}});
  }
  auto& j = *f.table.find(id);
  auto& task = j.tasks[index];
  task.phase = task_phase::assigned;
  task.run = 1;
  task.life = link.life;
  auto run = run_of_step(j.accepted.spec.steps[0], task, now);
  run.phase = start_phase::confirmed;
  run.percent = run.long_running ? 100 : 0;
  link.add({.job = id, .index = index}, std::move(run));
}

fleet make_fleet(int workers, std::int64_t free_millicores) {
  fleet f;
  int task = 0;
  for (int i = 0; i < workers; ++i) {
    const worker_id id{"w" + std::to_string(i)};
    auto& link = f.links.try_emplace(id, id, 1U, now).first->second;
    link.listing = worker_listing{
        .id = id,
        .service = service,
        .capacity = {.millicores = std::int64_t{tasks_per_worker} * 1'000 + free_millicores,
                     .memory_mb = 10'000},
        .labels = {"l", "r"}};
    link.listed = true;
    link.evacuated = i % 3 == 0;
    link.last_contact = now;
    link.newest_report = now;
    for (int n = 0; n < tasks_per_worker; ++n) add_run(f, link, task++);
  }
  return f;
}

// `range(0)`: workers of the shard; `range(1)`: free millicores of each.
void decide_evacuation_moves(benchmark::State& state) {
  const auto f = make_fleet(static_cast<int>(state.range(0)), state.range(1));
  const moves_in_progress none;
  const evacuation_inputs inputs{
      .links = f.links,
      .table = f.table,
      .model = model,
      .moves = none,
      .request_for = [](const job& j, const task_ref& ref) -> placement_request {
        return {.step = &j.step_of(ref), .service = j.accepted.service};
      }};
  std::size_t moves = 0;
  for (auto _ : state) moves = evacuation_moves(inputs, {}, now).size();
  state.counters["moves"] = static_cast<double>(moves);
}
BENCHMARK(decide_evacuation_moves)
    ->ArgsProduct({{128, 490, 5'000}, {0, 2'000}})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace coltsfoot::jobs

BENCHMARK_MAIN();
