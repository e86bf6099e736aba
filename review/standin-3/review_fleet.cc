#include "review_fleet.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "tests/support/project_paths.h"

namespace coltsfoot::review {
namespace {

using nlohmann::json;
using testing::reserved_port;

constexpr const char* host = "review.example";
constexpr const char* prefix = "/q/";
constexpr duration caller_timeout{3'000};
constexpr int most_tries = 20;
constexpr std::string_view takeover_line = "event=became_owner";
constexpr std::array<const char*, 3> zones{"za", "zb", "zc"};

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

review_node::review_node(const review_fleet_options& options, std::size_t number,
                         const std::string& store_address)
    : folder_(options.folder),
      name_(fmt::format("node-{}", number)),
      caller_address_(loopback(ports_[0])),
      readiness_address_(loopback(ports_[1])) {
  write_settings(store_address);
}

void review_node::write_settings(const std::string& store_address) const {
  std::ifstream in{testing::source_dir() + "/platform/deployment.yaml.in"};
  std::stringstream text;
  text << in.rdbuf();
  auto settings = text.str();
  const std::vector<std::pair<std::string, std::string>> fields{
      {"{{node}}", name_},
      {"{{zone}}", zones.at(0)},
      {"{{listenAddresses.frontend}}", caller_address_},
      {"{{listenAddresses.readiness}}", readiness_address_},
      {"{{ipAddress}}:{{internalPortRange.0}}", loopback(ports_[2])},
      {"{{ipAddress}}:9464", loopback(ports_[3])},
      {"{{platform.address}}", store_address},
      {"{{limits.cpuShare}}", "0.25"},
      {"{{limits.memoryMb}}", "260"},
      {"{{limits.fileDescriptors}}", "4100"},
      {"{{limits.linkBandwidthMbps}}", "200.0"},
      {"{{platform.parts}}", "8"},
      {"{{bounds.holdMaxMs}}", "10000"},
      {"{{bounds.restoreMs}}", "250"},
      {"{{bounds.gracePeriodS}}", "6"}};
  for (const auto& [from, to] : fields) replace_all(settings, from, to);
  std::ofstream{folder_ + "/" + name_ + ".yaml"} << settings;
}

void review_node::start() {
  process_ = std::make_unique<testing::child_process>(
      testing::program_path("coltsfoot_fleetd"),
      std::vector<std::string>{"--config", folder_ + "/" + name_ + ".yaml"}, folder_, name_);
}

void review_node::end() {
  if (!process_) return;
  process_->signal(SIGCONT);
  process_->kill_now();
  process_.reset();
}

// --- The deployment ---

review_fleet::review_fleet(const review_fleet_options& options)
    : options_(options),
      record_(options.record),
      store_(options.nodes, record_),
      workers_(1, store_, record_) {}

review_fleet::~review_fleet() {
  end();
}

void review_fleet::end() {
  stopping_ = true;
  http_.stop();
  nodes_.clear();
}

bool review_fleet::start_workers() {
  if (workers_started_) return true;
  workers_started_ = true;
  if (!store_.start()) return false;
  store_.set_address_source([this](const std::string& id, std::size_t) {
    const auto address = workers_.address_at(id, 0);
    return options_.route ? options_.route(id, address) : address;
  });
  store_.put("keyed.op", "config", testing::configuration(host, prefix));
  const auto listed = options_.workers - options_.silent_workers;
  for (std::size_t i = 0; i < options_.workers; ++i) {
    const auto rack =
        i < listed ? fmt::format("r1-{}", i / options_.workers_per_rack) : std::string{"r1-new"};
    if (!workers_.add({.id = fmt::format("i-{:04x}", i),
                       .zone = zones.at(i % zones.size()),
                       .rack = rack,
                       .millicores = options_.worker_millicores})) {
      return false;
    }
    if (i >= listed) workers_.cut_store(i, true);
  }
  return true;
}

void review_fleet::start_world() {
  if (!std::exchange(world_started_, true)) workers_.start();
}

bool review_fleet::start() {
  if (!start_workers()) return false;
  start_world();
  for (std::size_t i = 0; i < options_.nodes; ++i) {
    nodes_.push_back(std::make_unique<review_node>(options_, i, store_.listener(i).address()));
    nodes_.back()->start();
  }
  const bool ready = std::all_of(nodes_.begin(), nodes_.end(), [this](const auto& node) {
    return testing::wait_until([&] {
      std::promise<bool> answered;
      http_.send({.url = "http://" + node->readiness_address() + "/api/readiness",
                  .timeout = duration{500}},
                 [&answered](const http_result& r) { answered.set_value(r && r->status == 200); });
      return answered.get_future().get();
    });
  });
  record_.note(ready ? "all nodes are ready" : "not all nodes became ready");
  return ready;
}

// A read's body begins with the end of the partition, in eight bytes.
std::uint64_t review_fleet::journal_end(std::uint64_t shard) {
  constexpr std::size_t end_bytes = 8;
  std::promise<std::uint64_t> answered;
  http_.send({.url = fmt::format("http://{}/api/log-read?topic=keyed.jobs&part={}&from=0&maxKb=1",
                                 store_.listener(0).address(), shard)},
             [&answered](const http_result& result) {
               std::uint64_t end = 0;
               for (std::size_t i = 0; result && i < end_bytes && i < result->body.size(); ++i) {
                 end = (end << 8U) | static_cast<unsigned char>(result->body[i]);
               }
               answered.set_value(end);
             });
  return answered.get_future().get();
}

std::size_t review_fleet::takeovers() const {
  std::size_t sum = 0;
  for (const auto& node : nodes_) {
    const auto log = node->output();
    for (auto at = log.find(takeover_line); at != std::string::npos;
         at = log.find(takeover_line, at + 1)) {
      ++sum;
    }
  }
  return sum;
}

// --- Callers ---

void review_fleet::call(std::size_t node, const std::string& method, const std::string& id,
                        const std::string& body, std::function<void(caller_answer)> done) {
  http_request request{
      .method = method,
      .url = "http://" + nodes_.at(node)->caller_address() + prefix + id,
      .headers = {{.name = "Host", .value = host},
                  {.name = "Content-Type", .value = "application/json"},
                  {.name = "Deadline-Ms", .value = std::to_string(caller_timeout.count())}},
      .body = body,
      .timeout = caller_timeout};
  record_.note(fmt::format("sent {} job={} node={}", method, id, node));
  http_.send(std::move(request),
             [this, node, method, id, done = std::move(done)](const http_result& result) {
               caller_answer answer;
               if (result) answer = {.status = result->status, .body = result->body};
               record_.note(fmt::format("answered {} job={} node={} status={} body={}", method, id,
                                        node, answer.status, answer.body));
               done(answer);
             });
}

caller_answer review_fleet::call_and_wait(std::size_t node, const std::string& method,
                                          const std::string& id, const std::string& body) {
  auto answered = std::make_shared<std::promise<caller_answer>>();
  call(node, method, id, body,
       [answered](caller_answer answer) { answered->set_value(std::move(answer)); });
  return answered->get_future().get();
}

void review_fleet::submit(std::size_t node, const std::string& id, const std::string& body) {
  {
    const std::lock_guard lock{mutex_};
    jobs_.try_emplace(id);
  }
  send_submission(node, id, body, most_tries);
}

// A refusal is final: the job never runs. Without a certain answer the job is handed in again.
void review_fleet::send_submission(std::size_t node, const std::string& id, const std::string& body,
                                   int tries_left) {
  call(node, "POST", id, body, [this, node, id, body, tries_left](const caller_answer& answer) {
    if (answer.status == 200) {
      const std::lock_guard lock{mutex_};
      jobs_[id].accepted = true;
      return;
    }
    if (answer.status == 429 || answer.status == 503) return;
    if (stopping_ || tries_left == 0) return;
    send_submission((node + 1) % nodes_.size(), id, body, tries_left - 1);
  });
}

std::size_t review_fleet::accepted_jobs() {
  const std::lock_guard lock{mutex_};
  return static_cast<std::size_t>(std::count_if(
      jobs_.begin(), jobs_.end(), [](const auto& entry) { return entry.second.accepted; }));
}

std::size_t review_fleet::open_jobs() {
  std::vector<std::string> open;
  {
    const std::lock_guard lock{mutex_};
    for (const auto& [id, job] : jobs_) {
      if (job.accepted && !job.completed) open.push_back(id);
    }
  }
  std::size_t still_open = 0;
  std::size_t asked = 0;
  for (const auto& id : open) {
    const auto answer = call_and_wait(asked++ % nodes_.size(), "GET", id);
    const std::lock_guard lock{mutex_};
    jobs_[id].completed =
        answer.status == 200 && answer.body.find("completed") != std::string::npos;
    if (!jobs_[id].completed) ++still_open;
  }
  return still_open;
}

std::string body_of(const simple_job& job) {
  const json work{{"workMs", job.lasts ? 0 : job.work_ms}, {"cpu", job.millicores}};
  json step{
      {"count", job.tasks}, {"cpu", job.millicores}, {"memMb", 256}, {"estimatedMs", job.work_ms}};
  if (!job.data_rack.empty()) step["affinity"] = job.data_rack;
  if (!job.label.empty()) step["requirements"] = job.label;
  if (job.lasts) step["longRunning"] = true;
  return json{{"specification", work.dump()}, {"steps", {step}}}.dump();
}

std::string job_name(std::uint64_t number) {
  return fmt::format("{:016x}", 0x5c0e7a21d94b0000ULL + number);
}

}  // namespace coltsfoot::review
