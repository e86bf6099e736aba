#include "tests/process/support/local_cluster.h"
#include "tests/support/project_paths.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <stdexcept>

namespace coltsfoot::testing {
namespace {

constexpr std::chrono::seconds call_limit{15};

constexpr std::string_view settings_format = R"(node: n{0}
zone: z{1}
caller_address: "127.0.0.1:{2}"
peer_address: "127.0.0.1:{3}"
seed_peers: [{4}]
log_url: "http://127.0.0.1:{5}"
hosts_url: "http://127.0.0.1:{6}"
charts_directory: "{7}/charts"
)";

// Keep the tests short.
constexpr std::string_view short_intervals = R"(suspect_time: 2s
heartbeat_interval: 200ms
config_poll_interval: 500ms
host_list_interval: 500ms
worker_sync_interval: 500ms
lease: 4s
lease_margin: 1s
confirmation_period: 3s
log_timeout: 1s
)";

}  // namespace

local_cluster::local_cluster(local_cluster_options options) : options_(std::move(options)) {
  directory_ = fmt::format("{}/process-tests/{}", program_dir(), options_.name);
  std::filesystem::remove_all(directory_);
  std::filesystem::create_directories(directory_);
  start_standins();
  for (int n = 0; n < options_.nodes; ++n) {
    ports_.emplace_back();
  }
  nodes_.resize(static_cast<std::size_t>(options_.nodes));
  for (int n = 0; n < options_.nodes; ++n) start_node(n);
}

void local_cluster::start_standins() {
  const auto program = program_path("coltsfoot_standin");
  const auto start = [&](std::vector<std::string> arguments, const std::string& name) {
    standins_.push_back(
        std::make_unique<child_process>(program, std::move(arguments), directory_, name));
    return standins_.back()->wait_for_port();
  };
  log_port_ = start({"log", "--switches", options_.log_switches}, "log");
  host_list hosts;
  for (int w = 0; w < workers(); ++w) {
    const std::string number = std::to_string(w);
    worker_ports_.push_back(
        start({"worker", "--id", "w" + number, "--millicores", "8000", "--memory-mb", "16000"},
              "worker" + number));
    backend_ports_.push_back(start({"backend", "--slots", "8"}, "backend" + number));
    const std::string zone = fmt::format("z{}", w / options_.workers_per_rack);
    hosts.workers.push_back(
        {.id = worker_id{"w" + number},
         .zone = zone_id{zone},
         .rack = rack_id{zone + "/r0"},
         .address = fmt::format("127.0.0.1:{}", worker_ports_.back()),
         .capacity = {.millicores = 8'000, .memory_mb = 16'000},
         .backends = {{.id = backend_id{"b" + number},
                       .service = service_id{"pacecast"},
                       .address = fmt::format("127.0.0.1:{}", backend_ports_.back()),
                       .slots = 8,
                       .connections = 64}}});
  }
  const auto file = write_file("hosts.json", nlohmann::json(hosts).dump(2));
  hosts_port_ = start({"hosts", "--file", file}, "hosts");
}

std::string local_cluster::settings_of(int number) const {
  std::string seeds;
  for (const auto& ports : ports_) {
    seeds += fmt::format("{}\"127.0.0.1:{}\"", seeds.empty() ? "" : ", ", ports.peers.number());
  }
  const auto& own = ports_.at(number);
  return fmt::format(settings_format, number, number % options_.racks, own.callers.number(),
                     own.peers.number(), seeds, log_port_, hosts_port_, source_dir()) +
         std::string{options_.short_intervals ? short_intervals : ""} + options_.more_settings;
}

void local_cluster::start_node(int number) {
  const auto file = write_file(fmt::format("n{}.yaml", number), settings_of(number));
  nodes_.at(number) = std::make_unique<child_process>(program_path("coltsfootd"),
                                                      std::vector<std::string>{"--config", file},
                                                      directory_, fmt::format("n{}", number));
}

std::pair<std::optional<int>, std::string> local_cluster::run_with_settings(
    const std::string& name, const std::string& yaml) {
  const auto file = write_file(name + ".yaml", yaml);
  child_process process{program_path("coltsfootd"), {"--config", file}, directory_, name};
  const auto status = process.wait_for_exit();
  return {status, process.output()};
}

bool local_cluster::wait_until_ready() {
  std::size_t running = 0;
  for (const auto& node : nodes_) running += node->running() ? 1U : 0U;
  return wait_until([&] {
    for (int n = 0; n < options_.nodes; ++n) {
      if (!node(n).running()) continue;
      const auto state = state_of(n);
      if (!state || !state->ready || state->members.size() != running) return false;
      std::size_t racks = 0;
      for (const auto& unit : state->units) {
        const bool serves = !unit.services.empty() && unit.ready;
        racks += unit.unit.value.starts_with("rack/") && serves ? 1U : 0U;
      }
      if (racks != static_cast<std::size_t>(options_.racks)) return false;
    }
    return true;
  });
}

std::optional<change_reply> local_cluster::publish_from(int node, std::uint64_t base,
                                                        const std::string& author) {
  const publish_config request{
      .base = base,
      .plans_yaml = fmt::format("plans:\n  - {{id: gold, processors: {}, memory: 64GB, "
                                "accelerators: 0, urgency: urgent}}\n",
                                options_.plan_processors),
      .customers_yaml = fmt::format(
          "customers:\n  - {{id: acme, plan: gold}}\n  - {{id: of-{}, plan: gold}}\n", author),
      .author = author};
  const auto reply = ask(node, request);
  const auto* change = reply ? std::get_if<change_reply>(&*reply) : nullptr;
  return change == nullptr ? std::nullopt : std::optional{*change};
}

bool local_cluster::publish() {
  const auto change = publish_from(0, 0, "test");
  if (!change || change->status != change_status::accepted) return false;
  return wait_until([&] {
    for (int n = 0; n < options_.nodes; ++n) {
      const auto state = state_of(n);
      if (!state || state->config_version < change->version) return false;
      if (!owner_of(n, unit_id{"customer/acme"})) return false;
    }
    return true;
  });
}

std::optional<show_node_reply> local_cluster::state_of(int node) {
  const auto reply = ask(node, show_node{});
  const auto* state = reply ? std::get_if<show_node_reply>(&*reply) : nullptr;
  return state == nullptr ? std::nullopt : std::optional{*state};
}

std::optional<show_config_reply> local_cluster::config_of(int node) {
  const auto reply = ask(node, show_config{});
  const auto* config = reply ? std::get_if<show_config_reply>(&*reply) : nullptr;
  return config == nullptr ? std::nullopt : std::optional{*config};
}

std::optional<operator_reply> local_cluster::ask(int node, const operator_request& request) {
  const nlohmann::json message = request;
  const auto result = fetch({.method = "POST",
                             .url = fmt::format("http://{}/v1/admin/{}", address_of(node),
                                                message.at(0).get<std::string>()),
                             .body = message.at(1).dump()});
  if (!result) return std::nullopt;
  auto reply = decode_json<operator_reply>(result->body);
  return reply ? std::optional{std::move(*reply)} : std::nullopt;
}

task_spec local_cluster::task(const std::string& id, std::int64_t run_ms) const {
  const auto now = std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
  return {.id = task_id{id},
          .customer = customer_id{"acme"},
          .size = {.millicores = 1'000, .memory_mb = 512},
          .interference_class = "pricing",
          .issued_at = now,
          .payload = nlohmann::json{{"run_ms", run_ms}, {"result", "done " + id}}.dump()};
}

submit_status local_cluster::submit(int node, const task_spec& spec) {
  const auto reply = ask(node, submit_tasks{.customer = spec.customer, .tasks = {spec}});
  if (!reply) return submit_status::unknown;
  if (const auto* results = std::get_if<submit_tasks_reply>(&*reply)) {
    return results->results.at(0).status;
  }
  const auto* error = std::get_if<operator_error>(&*reply);
  return error != nullptr && error->not_run ? submit_status::not_run : submit_status::unknown;
}

std::optional<task_status> local_cluster::status_of(int node, const std::string& task) {
  const auto reply =
      ask(node, query_status{.customer = customer_id{"acme"}, .tasks = {task_id{task}}});
  if (!reply) return std::nullopt;
  const auto* found = std::get_if<query_status_reply>(&*reply);
  if (found == nullptr || found->tasks.empty()) return std::nullopt;
  return found->tasks[0];
}

bool local_cluster::wait_for_task(int node, const std::string& task, task_phase phase,
                                  std::chrono::milliseconds limit) {
  return wait_until(
      [&] {
        const auto status = status_of(node, task);
        return status && status->phase == phase;
      },
      limit);
}

http_result local_cluster::call(int node, const std::string& id, const std::string& target,
                                std::vector<http_header> headers) {
  headers.push_back({"coltsfoot-customer", "acme"});
  headers.push_back({"coltsfoot-request-id", id});
  return fetch({.method = "POST",
                .url = fmt::format("http://{}/v1/services/pacecast{}", address_of(node), target),
                .headers = std::move(headers),
                .body = "ping"});
}

std::optional<int> local_cluster::owner_of(int asked, const unit_id& unit) {
  const auto state = state_of(asked);
  if (!state) return std::nullopt;
  for (const auto& entry : state->units) {
    if (entry.unit != unit || !entry.ready) continue;
    for (const auto& member : state->members) {
      if (member.node == entry.owner) return std::stoi(entry.owner.value.substr(1));
    }
  }
  return std::nullopt;
}

std::optional<int> local_cluster::wait_for_new_owner(int asked, const unit_id& unit, int former) {
  std::optional<int> owner;
  const bool found = wait_until([&] {
    owner = owner_of(asked, unit);
    return owner && *owner != former;
  });
  return found ? owner : std::nullopt;
}

std::string local_cluster::address_of(int node) const {
  return fmt::format("127.0.0.1:{}", caller_port(node));
}

void local_cluster::control_worker(int worker, const nlohmann::json& switches) {
  control(worker_ports_.at(worker), switches);
}

void local_cluster::control_backend(int backend, const nlohmann::json& switches) {
  control(backend_ports_.at(backend), switches);
}

void local_cluster::control_all_backends(const nlohmann::json& switches) {
  for (const auto port : backend_ports_) control(port, switches);
}

std::vector<nlohmann::json> local_cluster::worker_journals() {
  std::vector<nlohmann::json> out;
  out.reserve(worker_ports_.size());
  for (const auto port : worker_ports_) out.push_back(read_control(port));
  return out;
}

std::vector<nlohmann::json> local_cluster::backend_journals() {
  std::vector<nlohmann::json> out;
  out.reserve(backend_ports_.size());
  for (const auto port : backend_ports_) out.push_back(read_control(port));
  return out;
}

void local_cluster::control(std::uint16_t port, const nlohmann::json& switches) {
  const auto result = fetch({.method = "POST",
                             .url = fmt::format("http://127.0.0.1:{}/control", port),
                             .body = switches.dump()});
  if (!result || result->status != 200) throw std::runtime_error("a stand-in refused its switches");
}

nlohmann::json local_cluster::read_control(std::uint16_t port) {
  const auto result = fetch({.url = fmt::format("http://127.0.0.1:{}/control", port)});
  if (!result) throw std::runtime_error("a stand-in did not answer");
  return nlohmann::json::parse(result->body);
}

http_result local_cluster::fetch(http_request request) {
  request.timeout = call_limit;
  std::promise<http_result> promise;
  auto future = promise.get_future();
  client_.send(std::move(request), [&promise](http_result r) { promise.set_value(std::move(r)); });
  return future.get();
}

std::string local_cluster::write_file(const std::string& name, const std::string& text) const {
  const std::string path = directory_ + "/" + name;
  std::ofstream{path} << text;
  return path;
}

}  // namespace coltsfoot::testing
