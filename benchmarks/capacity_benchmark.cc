// Measures how the cost of rack owners, customer owners and the log grows with the size of their
// state. The figures of docs/CAPACITY.md come from runs of this program and of
// capacity_node_benchmark:
//
//   build/capacity_benchmark --benchmark_counters_tabular=true
#include <benchmark/benchmark.h>

#include <algorithm>
#include <deque>
#include <memory>

#include "benchmarks/capacity_support.h"
#include "benchmarks/counting_allocator.h"
#include "coltsfoot/customer/customer_owner.h"
#include "coltsfoot/logstream/stream_replica.h"
#include "coltsfoot/rack/request_service.h"
#include "tests/support/project_paths.h"

namespace coltsfoot::capacity {
namespace {

// --- Rack owner ---

// The choice among the workers of one rack, each with 24 tasks.
void choose_worker_of_rack(State& state) {
  std::vector<placement_worker> workers;
  for (int i = 0; i < size_of(state); ++i) {
    const auto info = sample_worker(sample_rack, i);
    placement_worker worker{.id = info.id, .capacity = info.capacity, .used = {}, .running = {}};
    for (int t = 0; t < 24; ++t) {
      const auto spec = sample_task(t);
      worker.running.push_back({spec.interference_class, spec.service, spec.priority});
    }
    workers.push_back(std::move(worker));
  }
  const placement_request request{.interference_class = "class-1",
                                  .service = service_id{"pricing"},
                                  .limit = {.millicores = 100, .memory_mb = 100},
                                  .avoid = {}};
  const interference_table table{interference_options{}};
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        choose_worker(request, workers, table, {}, time_point{duration{1'000}}));
  }
}
BENCHMARK(choose_worker_of_rack)->Arg(8)->Arg(16)->Arg(32)->Arg(64);

// Decides `range(1)` waiting requests in a rack of `range(0)` workers with 24 tasks each.
void place_waiting_tasks(State& state) {
  for (auto _ : state) {
    state.PauseTiming();
    auto rack = std::make_unique<loaded_rack>(size_of(state), 24);
    state.ResumeTiming();
    for (int i = 0; i < size_of(state, 1); ++i) rack->ask(i);
    rack->tick(duration{20});
    state.PauseTiming();
    rack.reset();  // not timed
    state.ResumeTiming();
  }
  state.counters["s/task"] = seconds_per_item(static_cast<double>(state.range(1)));
}
BENCHMARK(place_waiting_tasks)
    ->ArgsProduct({{8, 16, 32}, {1, 8, 32, 128}})
    ->Iterations(10)
    ->Unit(benchmark::kMicrosecond);

// One reading of the host list by one rack owner with 8 workers that hold nothing.
void read_roster(State& state) {
  loaded_rack rack{workers_per_rack, 0};
  for (int i = workers_per_rack; i < size_of(state); ++i) {
    rack.around.hosts.workers.push_back(sample_worker(rack_name(i / workers_per_rack), i));
  }
  for (auto _ : state) rack.tick(duration{200}, false);
  state.counters["s/host"] = seconds_per_item(static_cast<double>(state.range(0)));
}
BENCHMARK(read_roster)->Arg(64)->Arg(1'000)->Arg(4'000)->Arg(15'000);

// One second of a rack owner with 8 workers and `range(0)` tasks on each: 50 ticks, 8 syncs.
void rack_second(State& state) {
  const std::int64_t before = live_bytes;
  loaded_rack rack{workers_per_rack, size_of(state)};
  const auto bytes = static_cast<double>(live_bytes - before);
  for (auto _ : state) {
    for (int i = 0; i < 50; ++i) {
      rack.tick(duration{20});
      rack.answer();
    }
  }
  state.counters["bytes"] = Counter{bytes};
}
BENCHMARK(rack_second)->Arg(0)->Arg(6)->Arg(24)->Arg(96)->Unit(benchmark::kMicrosecond);

// A sync answer with `range(0)` held tasks on its way through the codec.
void worker_sync_codec(State& state) {
  worker_sync_reply reply{.rack_epoch = 5, .held = {}, .usage = {}};
  for (int i = 0; i < size_of(state); ++i) reply.held.push_back(sample_held(i));
  const auto bytes = encode_msgpack(reply);
  for (auto _ : state) benchmark::DoNotOptimize(decode_msgpack<worker_sync_reply>(bytes));
  state.counters["bytes"] = Counter{static_cast<double>(bytes.size())};
  state.counters["request"] = Counter{
      static_cast<double>(encode_msgpack(worker_sync_request{.worker = worker_id{"worker-00017"},
                                                             .rack_epoch = 5,
                                                             .sequence = 100'000,
                                                             .lease = duration{5'000},
                                                             .commands = {},
                                                             .release = {}})
                              .size())};
}
BENCHMARK(worker_sync_codec)->Arg(0)->Arg(6)->Arg(24)->Arg(96)->Unit(benchmark::kMicrosecond);

// One answer of a backend server, after which the next request starts, and one new request. 64
// requests run and `range(0)` wait throughout.
void answer_request(State& state) {
  unit_surroundings around;
  request_service service{{.queue_limit = 2 * static_cast<std::size_t>(state.range(0))}};
  std::vector<worker_info> workers;
  workers.reserve(workers_per_rack);
  for (int i = 0; i < workers_per_rack; ++i) workers.push_back(sample_worker(sample_rack, i));
  service.set_workers(workers);
  std::deque<call_id> running;
  call_id caller = 0;
  const auto forward = [&] {
    auto context = around.context();
    service.on_forward(++caller,
                       {.request = {.id = request_id{fmt::format("request-{}", caller)},
                                    .customer = sample_customer,
                                    .service = service_id{"tracking"},
                                    .time_left = duration{3'600'000}}},
                       around.now, context);
  };
  const auto collect = [&] {
    for (auto& c : around.out.take_commands()) {
      if (const auto* called = std::get_if<call_backend>(&c)) running.push_back(called->call);
    }
  };
  for (int i = 0; i < 64 + size_of(state); ++i) forward();
  collect();
  for (auto _ : state) {
    auto context = around.context();
    service.on_backend_answered(running.front(), {.answered = true}, around.now, context);
    running.pop_front();
    forward();
    collect();
    if (running.size() != 64) {
      state.SkipWithError("not all slots are in use");
      break;
    }
  }
}
BENCHMARK(answer_request)->Arg(16)->Arg(256)->Arg(4'096);

// --- Customer owner ---

struct loaded_customer {
  explicit loaded_customer(int tasks) {
    const auto charts = chart_set::load(testing::charts_dir()).value();
    owner.emplace(customer_owner_options{.customer = sample_customer, .task_chart = charts.task});
    around.hosts = sample_hosts(10);
    for (int i = 0; i < 10; ++i) around.directory.update(sample_unit(i, node_name(1)));
    around.directory.set_address(node_name(1), node_address(1));
    auto context = around.context();
    before = live_bytes;
    owner->start_owning(900, around.now, context);
    for (int i = 0; i < tasks; ++i) owner->apply(accepted(i), around.now, context);
    around.out.take_commands();  // log lines, which are no state of the owner
  }
  static record accepted(int number) {
    return task_accepted_record{
        sample_task(number),
        {rack_name(number % 10), rack_name((number + 3) % 10), rack_name((number + 6) % 10)}};
  }
  std::size_t tick() {
    around.now += duration{20};
    auto context = around.context();
    owner->on_tick(around.now, context);
    std::size_t sent = 0;
    for (auto& c : around.out.take_commands()) {
      if (auto* request = std::get_if<send_peer_request>(&c)) {
        ++sent;
        owner->on_peer_replied(
            request->call,
            place_task_reply{
                .status = place_status::placed, .worker = worker_id{"worker-00001"}, .reason = {}},
            around.now, context);
      }
    }
    return sent;
  }

  std::optional<customer_owner> owner;
  unit_surroundings around;
  std::int64_t before = 0;
};

// Starts of tasks, up to 256 in a tick, with `range(0)` tasks in the queue at the beginning.
void dispatch_tasks(State& state) {
  double started = 0;
  double bytes = 0;
  for (auto _ : state) {
    state.PauseTiming();
    auto customer = std::make_unique<loaded_customer>(size_of(state));
    bytes = static_cast<double>(live_bytes - customer->before);
    state.ResumeTiming();
    started = static_cast<double>(customer->tick());
    state.PauseTiming();
    customer.reset();  // not timed
    state.ResumeTiming();
  }
  state.counters["s/start"] = seconds_per_item(started);
  state.counters["bytes/task"] = each(bytes, state);
}
BENCHMARK(dispatch_tasks)
    ->Arg(300)
    ->Arg(1'000)
    ->Arg(4'000)
    ->Arg(16'000)
    ->Iterations(10)
    ->Unit(benchmark::kMicrosecond);

// A tick while `range(0)` tasks wait for room in the plan.
void tick_with_full_plan(State& state) {
  loaded_customer customer{size_of(state)};
  customer.around.config.plans["gold"].limit = {.millicores = 100, .memory_mb = 100};
  customer.tick();
  for (auto _ : state) customer.tick();
}
BENCHMARK(tick_with_full_plan)->Arg(300)->Arg(1'000)->Arg(4'000)->Arg(16'000);

// Records of the ends of `range(0)` tasks, whose ids are kept for a day.
void end_tasks(State& state) {
  double bytes = 0;
  for (auto _ : state) {
    state.PauseTiming();
    auto customer = std::make_unique<loaded_customer>(size_of(state));
    state.ResumeTiming();
    auto context = customer->around.context();
    for (int i = 0; i < size_of(state); ++i) {
      customer->owner->apply(task_outcome_record{.task = sample_task(i).id}, customer->around.now,
                             context);
    }
    state.PauseTiming();
    customer->around.out.take_commands();
    bytes = static_cast<double>(live_bytes - customer->before);
    customer.reset();  // not timed
    state.ResumeTiming();
  }
  state.counters["s/task"] = seconds_per_item(static_cast<double>(state.range(0)));
  state.counters["bytes/task"] = each(bytes, state);
}
BENCHMARK(end_tasks)->Arg(500)->Arg(2'000)->Arg(8'000)->Unit(benchmark::kMillisecond);

// --- Log ---

std::vector<record> accepted_records(int count) {
  std::vector<record> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) out.push_back(loaded_customer::accepted(i));
  return out;
}

// Batches of 100 records after a claim.
log_page sample_stream(int count) {
  const writer_id writer{.node = node_name(3), .incarnation = 1};
  log_page page;
  record_batch batch{.writer = writer, .sequence = 1, .records = {claim_record{writer, 0}}};
  page.entries.push_back({0, encode_msgpack(batch)});
  const auto records = accepted_records(count);
  for (std::size_t at = 0; at < records.size(); at += 100) {
    batch.unit_epoch = 1;
    ++batch.sequence;
    const auto end = std::min(at + 100, records.size());
    batch.records.assign(records.begin() + static_cast<std::ptrdiff_t>(at),
                         records.begin() + static_cast<std::ptrdiff_t>(end));
    page.entries.push_back({page.entries.size(), encode_msgpack(batch)});
  }
  page.next = page.entries.size();
  return page;
}

// A takeover up to the queries to the racks: reads, decodes and applies the stream.
void take_over(State& state) {
  const auto page = sample_stream(size_of(state));
  std::size_t bytes = 0;
  for (const auto& entry : page.entries) bytes += entry.payload.size();
  for (auto _ : state) {
    state.PauseTiming();
    auto customer = std::make_unique<loaded_customer>(0);
    customer->owner.emplace(customer_owner_options{.customer = sample_customer});
    state.ResumeTiming();
    auto context = customer->around.context();
    stream_replica replica{writer_id{.node = node_name(4), .incarnation = 1}};
    for (const auto& event : replica.read(page)) {
      const auto* applied = std::get_if<apply_record>(&event);
      if (applied != nullptr) customer->owner->apply(applied->entry, customer->around.now, context);
    }
    customer->owner->start_owning(2, customer->around.now, context);
    state.PauseTiming();
    customer.reset();  // not timed
    state.ResumeTiming();
  }
  state.counters["bytes/task"] = each(static_cast<double>(bytes), state);
  state.counters["s/task"] = seconds_per_item(static_cast<double>(state.range(0)));
}
BENCHMARK(take_over)->Arg(500)->Arg(2'000)->Arg(8'000)->Unit(benchmark::kMillisecond);

// A snapshot of a customer with `range(0)` open tasks, encoded.
void write_snapshot(State& state) {
  loaded_customer customer{size_of(state)};
  std::size_t bytes = 0;
  for (auto _ : state) {
    record_batch batch{.unit_epoch = 1, .records = customer.owner->snapshot_records()};
    bytes = encode_msgpack(batch).size();
  }
  state.counters["bytes/task"] = each(static_cast<double>(bytes), state);
  state.counters["s/task"] = seconds_per_item(static_cast<double>(state.range(0)));
}
BENCHMARK(write_snapshot)->Arg(500)->Arg(2'000)->Arg(8'000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace coltsfoot::capacity

BENCHMARK_MAIN();
