#include "tests/soak/soak_fleet.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>

#include "tests/support/project_paths.h"

namespace coltsfoot::testing {
namespace {

using nlohmann::json;

constexpr const char* host = "soak.example";
constexpr const char* prefix = "/q/";
constexpr duration caller_timeout{3'000};
constexpr int most_tries = 20;
constexpr std::array<const char*, zone_count> zones{"za", "zb", "zc"};

std::string loopback(const reserved_port& port) {
  return fmt::format("127.0.0.1:{}", port.number());
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

}  // namespace

// --- One process ---

soak_node::soak_node(const soak_fleet_options& options, std::size_t number,
                     const std::string& store_address)
    : program_(options.program),
      folder_(options.folder),
      name_(fmt::format("node-{}", number)),
      zone_(zones.at(number % zone_count)),
      caller_address_(loopback(ports_[0])),
      readiness_address_(loopback(ports_[1])) {
  write_settings(store_address);
}

void soak_node::write_settings(const std::string& store_address) const {
  std::ifstream in{source_dir() + "/platform/settings.yaml.in"};
  std::stringstream text;
  text << in.rdbuf();
  auto settings = text.str();
  const std::vector<std::pair<std::string, std::string>> fields{
      {"{{node}}", name_},
      {"{{zone}}", zone_},
      {"{{listenAddresses.frontend}}", caller_address_},
      {"{{listenAddresses.readiness}}", readiness_address_},
      {"{{ipAddress}}:{{internalPortRange.0}}", loopback(ports_[2])},
      {"{{ipAddress}}:9464", loopback(ports_[3])},
      {"{{platform.address}}", store_address},
      {"{{limits.cpuShare}}", "0.25"},
      {"{{limits.linkBandwidthMbps}}", "1000.0"},
      {"{{limits.memoryMb}}", "512"},
      {"{{limits.fileDescriptors}}", "4096"},
      {"{{platform.parts}}", "8"},
      {"{{bounds.holdMaxMs}}", "10000"},
      {"{{bounds.gracePeriodS}}", "6"}};
  for (const auto& [from, to] : fields) replace_all(settings, from, to);
  std::ofstream{folder_ + "/" + name_ + ".yaml"} << settings;
}

void soak_node::start() {
  process_ = std::make_unique<child_process>(
      program_, std::vector<std::string>{"--config", folder_ + "/" + name_ + ".yaml"}, folder_,
      name_);
  paused_ = false;
  asked_to_end_ = false;
}

void soak_node::ask_to_end() {
  asked_to_end_ = true;
  signal(SIGTERM);
}

void soak_node::signal(int number) const {
  if (process_) process_->signal(number);
}

void soak_node::pause(bool paused) {
  signal(paused ? SIGSTOP : SIGCONT);
  paused_ = paused;
}

void soak_node::end(int number) {
  if (!process_) return;
  if (paused_) pause(false);
  process_->signal(number);
  process_->wait_for_exit(std::chrono::seconds{8});
  process_.reset();
}

bool soak_node::has_crashed() {
  return process_ && !paused_ && !asked_to_end_ && !process_->running();
}

// --- The deployment ---

soak_fleet::soak_fleet(const soak_fleet_options& options)
    : options_(options),
      record_(options.folder + "/record.txt"),
      store_(options.nodes, record_),
      workers_(options.nodes, store_, record_) {}

soak_fleet::~soak_fleet() {
  stopping_ = true;
  http_.stop();
  nodes_.clear();
}

bool soak_fleet::start() {
  if (!store_.start()) return false;
  store_.set_address_source(
      [this](const std::string& id, std::size_t node) { return workers_.address_at(id, node); });
  store_.put("keyed.op", "config", configuration(host, prefix));
  for (std::size_t i = 0; i < options_.workers; ++i) {
    const bool added = workers_.add({.id = fmt::format("w-{:02}", i),
                                     .zone = zones.at(zone_of_worker(i)),
                                     .rack = fmt::format("r-{}", i % (2 * zone_count))});
    if (!added) return false;
  }
  workers_.start();
  for (std::size_t i = 0; i < options_.nodes; ++i) {
    nodes_.push_back(std::make_unique<soak_node>(options_, i, store_.listener(i).address()));
    nodes_.back()->start();
  }
  return std::all_of(nodes_.begin(), nodes_.end(), [this](const auto& node) {
    return wait_until([&] {
      std::promise<bool> ready;
      http_.send({.url = "http://" + node->readiness_address() + "/api/readiness",
                  .timeout = duration{500}},
                 [&ready](const http_result& r) { ready.set_value(r && r->status == 200); });
      return ready.get_future().get();
    });
  });
}

std::size_t soak_fleet::owner() {
  const auto claim = store_.newest("keyed.jobs", "owner");
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (claim.find(nodes_[i]->name()) != std::string::npos) return i;
  }
  return 0;
}

// --- Callers ---

http_request soak_fleet::request_to(std::size_t node, const std::string& method,
                                    const std::string& id) const {
  return {.method = method,
          .url = "http://" + nodes_.at(node)->caller_address() + prefix + id,
          .headers = {{.name = "Host", .value = host},
                      {.name = "Content-Type", .value = "application/json"},
                      {.name = "Deadline-Ms", .value = std::to_string(caller_timeout.count())}},
          .timeout = caller_timeout};
}

void soak_fleet::submit(const std::string& id, std::size_t node, std::size_t tasks,
                        std::int64_t work_ms) {
  constexpr std::int64_t millicores = 2'000;
  const json work{{"workMs", work_ms}, {"cpu", millicores}};
  json step{{"count", tasks},
            {"cpu", millicores},
            {"memMb", 256},
            {"estimatedMs", work_ms == 0 ? 1'000 : work_ms}};
  if (work_ms == 0) step["longRunning"] = true;
  const json body{{"specification", work.dump()}, {"steps", {step}}};
  {
    const std::lock_guard lock{mutex_};
    jobs_[id].lasts = work_ms == 0;
  }
  send_submission(id, node, body.dump(), most_tries);
}

// A refusal is final: the job never runs. Without a certain answer the job is handed in again.
void soak_fleet::send_submission(const std::string& id, std::size_t node, const std::string& body,
                                 int tries_left) {
  auto request = request_to(node, "POST", id);
  request.body = body;
  http_.send(std::move(request), [=, this](const http_result& result) {
    const int status = result ? result->status : 0;
    const bool certain = status == 200 || status == 429 || status == 503;
    if (certain) {
      record_.note(fmt::format("submitted job={} node={} status={}", id, node, status));
      const std::lock_guard lock{mutex_};
      if (status != 200) return;
      jobs_[id].accepted = true;
      jobs_[id].accepted_at = record_.now_ms();
      return;
    }
    if (stopping_ || tries_left == 0) return;
    send_submission(id, (node + 1) % nodes_.size(), body, tries_left - 1);
  });
}

std::size_t soak_fleet::open_jobs() {
  std::vector<std::string> open;
  for (const auto& [id, job] : jobs()) {
    if (job.accepted && !job.lasts && !job.completed) open.push_back(id);
  }
  std::vector<std::future<void>> answers;
  for (const auto& id : open) {
    auto answered = std::make_shared<std::promise<void>>();
    answers.push_back(answered->get_future());
    http_.send(request_to(answers.size() % nodes_.size(), "GET", id),
               [this, id, answered](const http_result& result) {
                 const bool done = result && result->status == 200 &&
                                   result->body.find("completed") != std::string::npos;
                 if (done) {
                   const std::lock_guard lock{mutex_};
                   jobs_[id].completed = true;
                 }
                 answered->set_value();
               });
  }
  for (auto& answer : answers) answer.get();
  const auto known = jobs();
  return static_cast<std::size_t>(std::count_if(
      open.begin(), open.end(), [&](const auto& id) { return !known.at(id).completed; }));
}

std::map<std::string, soak_job> soak_fleet::jobs() const {
  const std::lock_guard lock{mutex_};
  return jobs_;
}

std::size_t soak_fleet::revive_crashed() {
  std::size_t crashed = 0;
  for (auto& node : nodes_) {
    if (!node->has_crashed()) continue;
    ++crashed;
    record_.note("BROKEN a process has ended by itself");
    node->start();
  }
  return crashed;
}

}  // namespace coltsfoot::testing
