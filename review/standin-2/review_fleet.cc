#include "review/standin-2/review_fleet.h"

#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace coltsfoot::review {
namespace {

using nlohmann::json;

constexpr const char* host = "review.example";
constexpr const char* prefix = "/q/";
constexpr duration caller_timeout{3'000};

std::string loopback(const reserved_port& port) {
  return fmt::format("127.0.0.1:{}", port.number());
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

}  // namespace

review_fleet::review_fleet(const fleet_options& options)
    : options_(options),
      record_(options.record),
      store_(options.nodes, record_),
      runners_(options.nodes, store_, record_) {}

review_fleet::~review_fleet() {
  http_.stop();
  nodes_.clear();
}

bool review_fleet::start() {
  if (!store_.start()) return false;
  store_.set_address_source(
      [this](const std::string& id, std::size_t node) { return runners_.address_at(id, node); });
  store_.put("keyed.op", "config", options_.config);
  runners_.start();
  for (std::size_t i = 0; i < options_.nodes; ++i) {
    nodes_.push_back(std::make_unique<node_process>());
    nodes_.back()->name = fmt::format("node-{}", i);
    write_settings(i);
    start_node(i);
  }
  for (std::size_t i = 0; i < options_.nodes; ++i) {
    if (!wait_until_ready(i)) return false;
  }
  return true;
}

void review_fleet::write_settings(std::size_t node) const {
  std::ifstream in{options_.template_};
  std::stringstream text;
  text << in.rdbuf();
  auto settings = text.str();
  const auto& ports = nodes_.at(node)->ports;
  const std::vector<std::pair<std::string, std::string>> fields{
      {"{{node}}", nodes_.at(node)->name},
      {"{{zone}}", "za"},
      {"{{listenAddresses.frontend}}", loopback(ports[0])},
      {"{{listenAddresses.readiness}}", loopback(ports[1])},
      {"{{ipAddress}}:{{internalPortRange.0}}", loopback(ports[2])},
      {"{{ipAddress}}:9464", loopback(ports[3])},
      {"{{platform.address}}", const_cast<store_server&>(store_).listener(node).address()},
      {"{{limits.cpuShare}}", "0.25"},
      {"{{limits.linkBandwidthMbps}}", "1000.0"},
      {"{{limits.memoryMb}}", "512"},
      {"{{limits.fileDescriptors}}", "4096"},
      {"{{platform.parts}}", "8"},
      {"{{bounds.holdMaxMs}}", "10000"},
      {"{{bounds.gracePeriodS}}", "6"}};
  for (const auto& [from, to] : fields) replace_all(settings, from, to);
  std::ofstream{options_.folder + "/" + nodes_.at(node)->name + ".yaml"} << settings;
}

void review_fleet::start_node(std::size_t node) {
  auto& n = *nodes_.at(node);
  n.process = std::make_unique<child_process>(
      options_.program,
      std::vector<std::string>{"--config", options_.folder + "/" + n.name + ".yaml"},
      options_.folder, n.name);
  record_.note("process started node=" + n.name);
}

bool review_fleet::wait_until_ready(std::size_t node) {
  const auto url = "http://" + loopback(nodes_.at(node)->ports[1]) + "/api/readiness";
  return testing::wait_until(
      [&] {
        std::promise<bool> ready;
        http_.send({.url = url, .timeout = duration{500}},
                   [&ready](const http_result& r) { ready.set_value(r && r->status == 200); });
        return ready.get_future().get();
      },
      std::chrono::seconds{20});
}

std::size_t review_fleet::owner() {
  const auto claim = store_.newest("keyed.jobs", "owner");
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (claim.find(nodes_[i]->name) != std::string::npos) return i;
  }
  return 0;
}

void review_fleet::restart_node(std::size_t node, int signal) {
  auto& n = *nodes_.at(node);
  record_.note(fmt::format("signal {} to node={}", signal, n.name));
  n.process->signal(signal);
  n.process->wait_for_exit(std::chrono::seconds{8});
  n.process.reset();
  start_node(node);
}

caller_result review_fleet::call(std::size_t node, const std::string& method, const std::string& id,
                                 const std::string& body) {
  http_request request{
      .method = method,
      .url = "http://" + loopback(nodes_.at(node)->ports[0]) + prefix + id,
      .headers = {{.name = "Host", .value = host},
                  {.name = "Content-Type", .value = "application/json"},
                  {.name = "Deadline-Ms", .value = std::to_string(caller_timeout.count())}},
      .body = body,
      .timeout = caller_timeout};
  std::promise<caller_result> answered;
  http_.send(std::move(request), [&answered](const http_result& r) {
    answered.set_value(r ? caller_result{.status = r->status, .body = r->body} : caller_result{});
  });
  auto result = answered.get_future().get();
  record_.note(fmt::format("caller {} job={} node={} status={} answer={}", method, id, node,
                           result.status, result.body));
  return result;
}

std::string review_fleet::state(std::size_t node, const std::string& id) {
  const auto result = call(node, "GET", id);
  if (result.status != 200) return {};
  return json::parse(result.body).value("state", std::string{});
}

std::int64_t review_fleet::pending(std::size_t node) {
  const auto result = call(node, "GET", "");
  if (result.status != 200) return -1;
  return json::parse(result.body).value("pendingCount", std::int64_t{0});
}

fleet_options options_of(int argc, char** argv) {
  if (argc != 5) throw std::invalid_argument{"usage: case PROGRAM TEMPLATE FOLDER RECORD"};
  return {.program = argv[1], .template_ = argv[2], .folder = argv[3], .record = argv[4]};
}

bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string{value} != "0";
}

std::string one_queue(int max_attempts, bool admission_check) {
  const json route{{"name", "r-1"},
                   {"host", host},
                   {"pathPrefix", prefix},
                   {"kind", "non_idempotent"},
                   {"timeoutMs", caller_timeout.count()},
                   {"service", "svc"},
                   {"priority", 0},
                   {"maxAttempts", max_attempts},
                   {"slackFactor", 1.5},
                   {"targetLatencyMs", 250}};
  const json service{
      {"name", "svc"}, {"healthPath", "/health"}, {"admissionCheck", admission_check}};
  return json{{"version", 7}, {"routes", {route}}, {"services", {service}}}.dump();
}

}  // namespace coltsfoot::review
