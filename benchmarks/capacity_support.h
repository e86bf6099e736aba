// Parts of the capacity benchmark: sample data of the design size, a rack owner with full workers,
// and one node that runs against an in-memory platform.
//
//   single_node node{{.nodes = 9, .racks = 9, .customers = 11}};
//   node.run_for(duration{10'000});
//   report(node.traffic().log_reads);
#pragma once

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoot/node/node_core.h"
#include "tests/support/project_paths.h"

namespace coltsfoot::capacity {

using benchmark::Counter;
using benchmark::State;

inline int size_of(const State& state, int index = 0) {
  return static_cast<int>(state.range(index));
}

// `total` divided by the first size of a benchmark.
inline Counter each(double total, const State& state) {
  return {total / static_cast<double>(state.range(0))};
}

inline Counter plain(double value) {
  return {value};
}

inline Counter seconds_per_item(double items) {
  return {items, Counter::kIsIterationInvariantRate | Counter::kInvert};
}

inline const customer_id sample_customer{"customer-017"};
inline const rack_id sample_rack{"zone-11/rack-0042"};
constexpr int workers_per_rack = 8;

inline rack_id rack_name(int number) {
  return rack_id{fmt::format("zone-{:02}/rack-{:04}", number % 25, number)};
}

inline node_id node_name(int number) {
  return node_id{fmt::format("node-{:04}", number)};
}

inline std::string node_address(int number) {
  return fmt::format("10.1.{}.{}:7000", number / 250, number % 250);
}

inline task_spec sample_task(int number) {
  return {.id = task_id{fmt::format("job-{:05}/task-{:06}", number % 78'000, number)},
          .customer = sample_customer,
          .size = {.millicores = 100, .memory_mb = 100},
          .interference_class = fmt::format("class-{}", number % 10),
          .service = service_id{"pricing"},
          .expected_run = duration{60'000},
          .issued_at = wall_time{duration{1'700'000'000'000}},
          .payload = "command=price;input=orders/2026-12-04/part-00017"};
}

inline worker_info sample_worker(const rack_id& rack, int number) {
  const std::string address = fmt::format("10.2.{}.{}", number / 250, number % 250);
  return {.id = worker_id{fmt::format("worker-{:05}", number)},
          .zone = zone_id{rack.value.substr(0, rack.value.find('/'))},
          .rack = rack,
          .address = address + ":9000",
          .capacity = {.millicores = 64'000, .memory_mb = 250'000},
          .backends = {{.id = backend_id{fmt::format("backend-{:05}", number)},
                        .service = service_id{"tracking"},
                        .address = address + ":8000",
                        .slots = 8,
                        .connections = 64}}};
}

inline host_list sample_hosts(int racks, int per_rack = workers_per_rack) {
  host_list out;
  for (int i = 0; i < racks * per_rack; ++i) {
    out.workers.push_back(sample_worker(rack_name(i / per_rack), i));
  }
  return out;
}

inline unit_entry sample_unit(int number, const node_id& owner) {
  return {.unit = rack_unit(rack_name(number)),
          .unit_epoch = 17,
          .owner = owner,
          .version = 12,
          .ready = true,
          .largest_free = {.millicores = 20'000, .memory_mb = 90'000},
          .total_free = {.millicores = 120'000, .memory_mb = 500'000},
          .total_capacity = {.millicores = 512'000, .memory_mb = 2'000'000},
          .pressure = 0.25,
          .services = {{service_id{"tracking"}, 30, 64}}};
}

inline cluster_config sample_config(int customers) {
  cluster_config out{.version = 1};
  const resources limit{.millicores = 960'000'000, .memory_mb = 4'000'000'000};
  out.plans["gold"] = {.id = plan_id{"gold"}, .limit = limit, .highest_urgency = urgency::urgent};
  for (int i = 0; i < customers; ++i) {
    const auto name = fmt::format("customer-{:03}", i);
    out.customers[name] = {.id = customer_id{name}, .plan = plan_id{"gold"}};
  }
  return out;
}

inline held_attempt sample_held(int number) {
  return {.attempt = {sample_customer, sample_task(number).id, {900, 1}},
          .limit = {.millicores = 100, .memory_mb = 100},
          .spec = sample_task(number)};
}

// The surroundings of one rack owner or customer owner.
struct unit_surroundings {
  outbox out;
  std::vector<record> append;
  cluster_config config = sample_config(180);
  host_list hosts;
  unit_directory directory;
  time_point now{duration{1'000'000}};

  unit_context context(bool may_act = true) {
    return {.out = out,
            .append = append,
            .config = config,
            .hosts = hosts,
            .directory = directory,
            .may_act = may_act,
            .wall = wall_time{duration{1'700'000'000'000} + now.time_since_epoch()}};
  }
};

// A rack owner whose workers hold `tasks` attempts each. Answers all syncs.
class loaded_rack {
 public:
  loaded_rack(int workers, int tasks) : owner_(rack_owner_options{.rack = sample_rack}) {
    auto context = around.context();
    for (int i = 0; i < workers; ++i) {
      const auto worker = sample_worker(sample_rack, i);
      around.hosts.workers.push_back(worker);
      auto& reply = replies_[worker.id];
      reply = {.rack_epoch = 5, .held = {}, .usage = {}};
      for (int t = 0; t < tasks; ++t) reply.held.push_back(sample_held(i * tasks + t));
      owner_.apply(roster_add_record{.worker = worker}, around.now, context);
    }
    owner_.start_owning(5, around.now, context);
    around.now += duration{1'100};
    owner_.on_tick(around.now, context);
    answer();
    if (!owner_.recovered()) throw std::logic_error("the rack is not recovered");
  }

  void tick(duration passed, bool may_act = true) {
    around.now += passed;
    auto context = around.context(may_act);
    owner_.on_tick(around.now, context);
  }

  // Answers the syncs and reports that were sent.
  void answer() {
    auto context = around.context();
    for (auto& c : around.out.take_commands()) {
      if (auto* sync = std::get_if<sync_worker>(&c)) {
        owner_.on_worker_synced(sync->call, replies_.at(sync->request.worker), around.now, context);
      } else if (auto* report = std::get_if<send_peer_request>(&c)) {
        owner_.on_peer_replied(report->call, task_updates_reply{}, around.now, context);
      }
    }
  }

  void ask(int number) {
    auto context = around.context();
    const auto call = around.out.new_call();
    owner_.on_peer_request(call,
                           place_task{.rack = sample_rack,
                                      .customer_epoch = 900,
                                      .attempt = {900, 2},
                                      .spec = sample_task(1'000'000 + number),
                                      .limit = {.millicores = 100, .memory_mb = 100},
                                      .checkpoint = {},
                                      .avoid = {}},
                           around.now, context);
  }

  rack_owner& owner() { return owner_; }
  unit_surroundings around;

 private:
  rack_owner owner_;
  std::map<worker_id, worker_sync_reply> replies_;
};

// What the nodes from number 1 on would say if one message could hold all of them.
inline gossip all_members(int nodes, std::uint64_t heartbeat) {
  gossip message{.from = node_name(1), .config_version = 1, .members = {}, .units = {}};
  for (int i = 1; i < nodes; ++i) {
    message.members.push_back({.node = node_name(i),
                               .incarnation = 1,
                               .address = node_address(i),
                               .zone = zone_id{fmt::format("zone-{:02}", i % 25)},
                               .heartbeat = heartbeat,
                               .log_readable = true});
  }
  return message;
}

// What a node asked of the outside.
struct node_traffic {
  std::uint64_t log_reads = 0;
  std::uint64_t log_appends = 0;
  std::uint64_t host_list_reads = 0;
  std::uint64_t worker_syncs = 0;
  std::uint64_t gossip_messages = 0;
  std::uint64_t gossip_bytes = 0;
  std::uint64_t other_messages = 0;
};

struct single_node_options {
  int nodes = 1;  // the others never speak after the start, but count as alive
  int racks = 8;
  int customers = 1;
};

// One node of a deployment. Its peers are entries of one gossip message per second; the log, the
// host list and the workers answer at once. Only the time inside the core is counted.
class single_node {
 public:
  explicit single_node(single_node_options options)
      : options_(options), hosts_(sample_hosts(options.racks)) {
    node_core_options core{.self = {.node = node_name(0), .incarnation = 1},
                           .address = node_address(0),
                           .zone = zone_id{"zone-00"},
                           .charts = chart_set::load(testing::charts_dir()).value()};
    core_.emplace(std::move(core), now_);
    publish_customers();
    hear_peers();
  }

  void run_for(duration time) {
    for (const auto end = now_ + time; now_ < end; now_ += duration{20}) {
      if (now_ >= heard_ + duration{1'000}) hear_peers();
      give(tick{});
    }
  }

  std::chrono::nanoseconds spent() const { return spent_; }
  const node_traffic& traffic() const { return traffic_; }
  void reset() {
    spent_ = {};
    traffic_ = {};
  }
  std::size_t owned() const { return owned_; }

 private:
  void publish_customers() {
    std::string customers = "customers:\n";
    for (int i = 0; i < options_.customers; ++i) {
      customers += fmt::format("  - {{id: customer-{:03}, plan: gold}}\n", i);
    }
    const config_entry entry =
        publish_entry{.id = "first",
                      .plans_yaml =
                          "plans:\n  - {id: gold, processors: 100000, memory: 400000GB, "
                          "accelerators: 0, urgency: urgent}\n",
                      .customers_yaml = options_.customers == 0 ? "customers: []\n" : customers,
                      .author = "benchmark",
                      .written_at = {}};
    streams_["config"].push_back(encode_msgpack(entry));
  }

  void hear_peers() {
    ++heartbeat_;
    heard_ = now_;
    if (options_.nodes == 1) return;
    const auto before = spent_;
    give(peer_request_received{.call = ++peer_calls_,
                               .request = all_members(options_.nodes, heartbeat_)});
    spent_ = before;
  }

  void give(const event& first) {
    std::vector<event> events{first};
    for (std::size_t i = 0; i < events.size(); ++i) {
      const event e = std::move(events[i]);
      const auto begin = std::chrono::steady_clock::now();
      auto commands = core_->handle(e, now_);
      spent_ += std::chrono::steady_clock::now() - begin;
      for (auto& c : commands) {
        if (auto result = execute(c)) events.push_back(std::move(*result));
      }
    }
  }

  std::optional<event> execute(const command& c) {
    if (const auto* read = std::get_if<read_log>(&c)) return execute(*read);
    if (const auto* append = std::get_if<append_log>(&c)) {
      ++traffic_.log_appends;
      auto& stream = streams_[append->stream];
      if (append->stream != "config" && stream.empty()) ++owned_;
      stream.push_back(append->payload);
      return log_appended{.call = append->call, .offset = stream.size() - 1};
    }
    if (const auto* read = std::get_if<read_host_list>(&c)) {
      ++traffic_.host_list_reads;
      return host_list_read{.call = read->call, .hosts = hosts_};
    }
    if (const auto* sync = std::get_if<sync_worker>(&c)) {
      ++traffic_.worker_syncs;
      return worker_synced{.call = sync->call,
                           .reply = worker_sync_reply{
                               .rack_epoch = sync->request.rack_epoch, .held = {}, .usage = {}}};
    }
    if (const auto* sent = std::get_if<send_peer_request>(&c)) {
      if (std::holds_alternative<gossip>(sent->request)) {
        ++traffic_.gossip_messages;
        traffic_.gossip_bytes += encode_msgpack(sent->request).size();
      } else {
        ++traffic_.other_messages;
      }
      return peer_replied{.call = sent->call, .reply = tl::unexpected(peer_failure::unknown)};
    }
    return std::nullopt;
  }

  std::optional<event> execute(const read_log& read) {
    ++traffic_.log_reads;
    const auto& stream = streams_[read.stream];
    log_page page{.first_retained = 0, .next = stream.size(), .entries = {}};
    for (auto at = read.from; at < stream.size() && page.entries.size() < read.max_entries; ++at) {
      page.entries.push_back({at, stream[at]});
    }
    return log_read{.call = read.call, .page = std::move(page)};
  }

  single_node_options options_;
  host_list hosts_;
  time_point now_{duration{1'000'000}};
  time_point heard_;
  std::uint64_t heartbeat_ = 0;
  call_id peer_calls_ = 0;
  std::optional<node_core> core_;
  std::map<std::string, std::vector<std::string>> streams_;
  std::chrono::nanoseconds spent_{};
  node_traffic traffic_;
  std::size_t owned_ = 0;
};

}  // namespace coltsfoot::capacity
