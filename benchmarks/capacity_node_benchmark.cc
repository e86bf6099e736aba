// Measures how the cost of membership, configuration, routing data and of a whole node grows with
// the number of nodes, units, hosts and customers. See capacity_benchmark.cc for the owners:
//
//   build/capacity_node_benchmark --benchmark_counters_tabular=true
#include <benchmark/benchmark.h>

#include <algorithm>

#include "benchmarks/capacity_support.h"
#include "benchmarks/counting_allocator.h"
#include "coltsfoot/customer/candidate_choice.h"

namespace coltsfoot::capacity {
namespace {

// --- Membership ---

struct members_fixture {
  members_fixture(int nodes, int units)
      : before(live_bytes),
        members({.self = {.node = node_name(0), .incarnation = 1},
                 .address = node_address(0),
                 .zone = zone_id{"zone-00"},
                 .seeds = {}},
                now) {
    gossip message = all_members(nodes, 1);
    for (int i = 0; i < units; ++i) message.units.push_back(sample_unit(i, node_name(i % nodes)));
    members.on_gossip(1, message, now, out);
    out.take_commands();
  }
  std::int64_t before;
  outbox out;
  time_point now{duration{1'000'000}};
  membership members;
};

// One round of gossip that a node sends; `bytes` is the size of one message.
void send_gossip_round(State& state) {
  members_fixture fixture{size_of(state), size_of(state, 1)};
  const double bytes = static_cast<double>(live_bytes - fixture.before);
  std::size_t sent = 0;
  std::uint64_t heartbeat = 1;
  for (auto _ : state) {
    fixture.now += duration{500};
    fixture.members.on_tick(fixture.now, fixture.out);
    state.PauseTiming();
    for (auto& c : fixture.out.take_commands()) {
      if (auto* request = std::get_if<send_peer_request>(&c)) {
        sent = std::max(sent, encode_msgpack(request->request).size());
        fixture.members.on_peer_replied(request->call, tl::unexpected(peer_failure::unknown),
                                        fixture.now, fixture.out);
      }
    }
    fixture.members.on_gossip(1, all_members(size_of(state), ++heartbeat), fixture.now,
                              fixture.out);
    fixture.out.take_commands();
    state.ResumeTiming();
  }
  state.counters["bytes"] = plain(static_cast<double>(sent));
  state.counters["memory"] = plain(bytes);
}
BENCHMARK(send_gossip_round)
    ->Args({9, 20})
    ->Args({100, 20})
    ->Args({400, 20})
    ->Args({2'000, 20})
    ->Args({9, 200})
    ->Args({9, 2'055})
    ->Args({2'000, 2'055})
    ->Iterations(200)
    ->Unit(benchmark::kMicrosecond);

// A message of 4 members and 1 unit that a node receives, its answer included.
void receive_gossip(State& state) {
  members_fixture fixture{size_of(state), size_of(state, 1)};
  gossip message = all_members(5, 1);
  message.units.push_back(sample_unit(0, node_name(0)));
  for (auto _ : state) {
    for (auto& member : message.members) ++member.heartbeat;
    fixture.members.on_gossip(1, message, fixture.now, fixture.out);
    benchmark::DoNotOptimize(fixture.out.take_commands());
  }
}
BENCHMARK(receive_gossip)
    ->Args({9, 20})
    ->Args({100, 20})
    ->Args({400, 20})
    ->Args({2'000, 20})
    ->Args({9, 2'055})
    ->Args({2'000, 2'055})
    ->Unit(benchmark::kMicrosecond);

// The choice of the claimer of one unit, as it is made after a change of the live nodes.
void choose_claimer(State& state) {
  members_fixture fixture{size_of(state), 0};
  const auto unit = rack_unit(sample_rack);
  for (auto _ : state) {
    benchmark::DoNotOptimize(choose(unit.value, fixture.members.live_nodes()));
  }
}
BENCHMARK(choose_claimer)->Arg(9)->Arg(100)->Arg(400)->Arg(2'000);

// The same while the live nodes stay the same.
void look_up_claimer(State& state) {
  members_fixture fixture{size_of(state), 0};
  const auto unit = rack_unit(sample_rack);
  for (auto _ : state) benchmark::DoNotOptimize(fixture.members.rendezvous_choice(unit));
}
BENCHMARK(look_up_claimer)->Arg(9)->Arg(100)->Arg(400)->Arg(2'000);

// The owner and address of one rack, as a router looks it up.
void look_up_rack(State& state) {
  members_fixture fixture{9, size_of(state)};
  const double bytes = static_cast<double>(live_bytes - fixture.before);
  int i = 0;
  for (auto _ : state) {
    i = (i + 7) % size_of(state);
    benchmark::DoNotOptimize(fixture.members.directory().owner_address(rack_unit(rack_name(i))));
  }
  state.counters["bytes/rack"] = each(bytes, state);
}
BENCHMARK(look_up_rack)->Arg(20)->Arg(200)->Arg(1'875);

// All racks, as each routed request reads them to choose one.
void list_racks(State& state) {
  members_fixture fixture{9, size_of(state)};
  for (auto _ : state) benchmark::DoNotOptimize(fixture.members.directory().racks());
}
BENCHMARK(list_racks)->Arg(20)->Arg(200)->Arg(1'875);

// The candidate racks of one accepted task.
void choose_candidate_racks(State& state) {
  members_fixture fixture{9, size_of(state)};
  random_engine random{7};
  const candidate_options options{.limit = {.millicores = 100, .memory_mb = 100}, .count = 4};
  for (auto _ : state) {
    benchmark::DoNotOptimize(choose_candidates(fixture.members.directory(), options, random));
  }
}
BENCHMARK(choose_candidate_racks)->Arg(20)->Arg(200)->Arg(1'875);

// --- Configuration ---

publish_entry sample_publish(int customers, std::uint64_t base) {
  std::string list = "customers:\n";
  for (int i = 0; i < customers; ++i) {
    list += fmt::format("  - {{id: customer-{:03}, plan: plan-{:02}}}\n", i, i % 10);
  }
  std::string plans = "plans:\n";
  for (int i = 0; i < 10; ++i) {
    plans += fmt::format(
        "  - {{id: plan-{:02}, processors: 4000, memory: 16000GB, accelerators: 8, "
        "urgency: urgent}}\n",
        i);
  }
  return {.id = fmt::format("node-0001/1/{}", base),
          .base = base,
          .plans_yaml = std::move(plans),
          .customers_yaml = std::move(list),
          .author = "operator",
          .written_at = {}};
}

host_mark_entry sample_mark(int number) {
  return {.id = fmt::format("node-0001/2/{}", number),
          .worker = worker_id{fmt::format("worker-{:05}", number % 1'000)},
          .leaving = (number / 1'000) % 2 == 0,
          .author = "operator",
          .written_at = {}};
}

// One publication of all customers.
void fold_publish(State& state) {
  config_fold fold;
  std::uint64_t base = 0;
  std::size_t bytes = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const log_entry entry{base, encode_msgpack(config_entry{sample_publish(size_of(state), base)})};
    bytes = entry.payload.size();
    state.ResumeTiming();
    if (fold.apply(entry).at(0).status != change_status::accepted) {
      state.SkipWithError("not accepted");
      break;
    }
    ++base;
  }
  state.counters["bytes"] = plain(static_cast<double>(bytes));
}
BENCHMARK(fold_publish)->Arg(20)->Arg(60)->Arg(180)->Arg(540)->Unit(benchmark::kMicrosecond);

// Reads a history of `range(0)` host marks with 180 customers, as a starting node does.
void fold_history(State& state) {
  std::vector<log_entry> entries{{0, encode_msgpack(config_entry{sample_publish(180, 0)})}};
  std::size_t bytes = 0;
  for (int i = 1; i <= size_of(state); ++i) {
    entries.push_back({static_cast<log_offset>(i), encode_msgpack(config_entry{sample_mark(i)})});
    bytes += entries.back().payload.size();
  }
  std::size_t restated = 0;
  double memory = 0;
  for (auto _ : state) {
    const std::int64_t before = live_bytes;
    config_fold fold;
    for (const auto& entry : entries) fold.apply(entry);
    memory = static_cast<double>(live_bytes - before);
    state.PauseTiming();
    restated = encode_msgpack(config_entry{fold.restate({})}).size();
    state.ResumeTiming();
  }
  state.counters["bytes/change"] = each(static_cast<double>(bytes), state);
  state.counters["restate"] = plain(static_cast<double>(restated));
  state.counters["memory"] = plain(memory);
}
BENCHMARK(fold_history)->Arg(500)->Arg(2'000)->Arg(16'000)->Unit(benchmark::kMillisecond);

// --- Messages ---

// The host list as a node receives it.
void decode_host_list(State& state) {
  const auto text = nlohmann::json(sample_hosts(size_of(state) / workers_per_rack)).dump();
  double memory = 0;
  for (auto _ : state) {
    const std::int64_t before = live_bytes;
    const auto hosts = decode_json<host_list>(text);
    memory = static_cast<double>(live_bytes - before);
    benchmark::DoNotOptimize(hosts);
  }
  state.counters["bytes/host"] = each(static_cast<double>(text.size()), state);
  state.counters["memory/host"] = each(memory, state);
}
BENCHMARK(decode_host_list)->Arg(64)->Arg(1'000)->Arg(15'000)->Unit(benchmark::kMillisecond);

// One message through the codec: encoded and decoded once.
template <typename Message>
void pass_message(State& state, const Message& message) {
  std::size_t bytes = 0;
  for (auto _ : state) {
    const auto text = encode_msgpack(message);
    bytes = text.size();
    benchmark::DoNotOptimize(decode_msgpack<Message>(text));
  }
  state.counters["bytes"] = plain(static_cast<double>(bytes));
}

peer_request sample_place() {
  return place_task{.rack = sample_rack,
                    .customer_epoch = 900,
                    .attempt = {900, 1},
                    .spec = sample_task(1),
                    .limit = {.millicores = 100, .memory_mb = 100},
                    .checkpoint = {},
                    .avoid = {}};
}
peer_request sample_gossip() {
  auto message = all_members(5, 1);
  message.units.push_back(sample_unit(0, node_name(0)));
  return message;
}
peer_request sample_updates() {
  return task_updates{.rack = sample_rack,
                      .rack_epoch = 5,
                      .customer = sample_customer,
                      .updates = {{.attempt = {sample_customer, sample_task(1).id, {900, 1}},
                                   .worker = worker_id{"worker-00017"},
                                   .state = attempt_state::finished,
                                   .limit = {.millicores = 100, .memory_mb = 100}}}};
}
peer_request sample_submit() {
  return submit_tasks{.customer = sample_customer, .tasks = {sample_task(1)}};
}
record_batch sample_outcome() {
  return {.unit_epoch = 5,
          .writer = {.node = node_name(1), .incarnation = 1},
          .sequence = 7,
          .records = {task_outcome_record{.task = sample_task(1).id, .attempt = {900, 1}}}};
}
BENCHMARK_CAPTURE(pass_message, place_task, sample_place());
BENCHMARK_CAPTURE(pass_message, place_task_reply,
                  peer_reply{place_task_reply{.status = place_status::placed,
                                              .worker = worker_id{"worker-00017"}}});
BENCHMARK_CAPTURE(pass_message, gossip, sample_gossip());
BENCHMARK_CAPTURE(pass_message, task_updates, sample_updates());
BENCHMARK_CAPTURE(pass_message, submit_tasks, sample_submit());
BENCHMARK_CAPTURE(pass_message, outcome_batch, sample_outcome());

// --- Whole node ---

// One virtual second of a node among `range(0)` nodes, `range(1)` racks and `range(2)` customers.
// The time is that of the core alone, without transport and codecs.
void node_second(State& state) {
  const std::int64_t before = live_bytes;
  single_node node{
      {.nodes = size_of(state), .racks = size_of(state, 1), .customers = size_of(state, 2)}};
  node.run_for(duration{15'000});
  const double memory = static_cast<double>(live_bytes - before);
  node.reset();
  for (auto _ : state) {
    const auto begin = node.spent();
    node.run_for(duration{1'000});
    state.SetIterationTime(std::chrono::duration<double>(node.spent() - begin).count());
  }
  const auto rate = [&](std::uint64_t count) {
    return plain(static_cast<double>(count) / static_cast<double>(state.iterations()));
  };
  const auto& traffic = node.traffic();
  state.counters["owned"] = plain(static_cast<double>(node.owned()));
  state.counters["log_reads"] = rate(traffic.log_reads);
  state.counters["appends"] = rate(traffic.log_appends);
  state.counters["host_reads"] = rate(traffic.host_list_reads);
  state.counters["syncs"] = rate(traffic.worker_syncs);
  state.counters["gossip"] = rate(traffic.gossip_messages);
  state.counters["gossip_B"] = rate(traffic.gossip_bytes);
  state.counters["memory"] = plain(memory);
}
BENCHMARK(node_second)
    ->Args({1, 1, 0})
    ->Args({1, 4, 0})
    ->Args({1, 16, 0})
    ->Args({1, 64, 0})
    ->Args({1, 1, 4})
    ->Args({1, 1, 16})
    ->Args({1, 1, 64})
    ->Args({9, 9, 11})
    ->Args({9, 90, 11})
    ->Args({9, 1'875, 180})
    ->Args({100, 1'875, 180})
    ->Args({400, 1'875, 180})
    ->Iterations(3)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace coltsfoot::capacity

BENCHMARK_MAIN();
