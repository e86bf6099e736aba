#include "review/standin/deployment.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace review {
namespace {

constexpr const char* host = "nony24.example";
constexpr const char* prefix = "/lohu930/";
constexpr long caller_deadline_ms = 3'000;
// Keeps a faulty process from taking the memory of the machine that the case runs on.
constexpr rlim_t most_address_space = rlim_t{4} * 1024 * 1024 * 1024;
constexpr std::int64_t start_limit_ms = 30'000;
constexpr const char* program = "target/coltsfoot_fleetd";
constexpr const char* settings_template = "platform/settings.yaml.in";

int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool bound = bind(fd, generic, size) == 0 && getsockname(fd, generic, &size) == 0;
  close(fd);
  return bound ? ntohs(address.sin_port) : 0;
}

std::string loopback(int port) {
  return fmt::format("127.0.0.1:{}", port);
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

std::size_t take_body(char* data, std::size_t size, std::size_t count, void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

std::string temporary_folder() {
  std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  return mkdtemp(name.data()) == nullptr ? std::string{} : name;
}

}  // namespace

void sleep_ms(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

http_answer http_call(const std::string& method, const std::string& url,
                      const std::string& host_name, const std::string& body, long timeout_ms) {
  CURL* handle = curl_easy_init();
  http_answer answer;
  curl_slist* headers = curl_slist_append(nullptr, "Content-Type: application/json");
  headers = curl_slist_append(headers, ("Host: " + host_name).c_str());
  headers = curl_slist_append(headers, fmt::format("Deadline-Ms: {}", timeout_ms).c_str());
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
  if (!body.empty()) curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
  if (curl_easy_perform(handle) == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  return answer;
}

// --- One process ---

node_process::node_process(std::string name, std::string folder, std::string store_address,
                           recorder& record)
    : name_(std::move(name)),
      folder_(std::move(folder)),
      store_address_(std::move(store_address)),
      record_(record),
      caller_address_(loopback(free_port())),
      readiness_address_(loopback(free_port())),
      peer_port_(free_port()),
      metrics_port_(free_port()) {}

node_process::~node_process() {
  end(SIGKILL);
}

bool node_process::write_settings() const {
  std::ifstream in{settings_template};
  std::stringstream text;
  text << in.rdbuf();
  auto settings = text.str();
  const std::vector<std::pair<std::string, std::string>> fields{
      {"{{node}}", name_},
      {"{{zone}}", "munnar"},
      {"{{listenAddresses.frontend}}", caller_address_},
      {"{{listenAddresses.readiness}}", readiness_address_},
      {"{{ipAddress}}:{{internalPortRange.0}}", loopback(peer_port_)},
      {"{{ipAddress}}:9464", loopback(metrics_port_)},
      {"{{platform.address}}", store_address_},
      {"{{limits.cpuShare}}", "0.25"},
      {"{{limits.linkBandwidthMbps}}", "1000.0"},
      {"{{limits.memoryMb}}", "512"},
      {"{{limits.fileDescriptors}}", "4096"},
      {"{{platform.parts}}", "8"},
      {"{{bounds.holdMaxMs}}", "10000"},
      {"{{bounds.gracePeriodS}}", "6"}};
  for (const auto& [from, to] : fields) replace_all(settings, from, to);
  if (settings.empty() || settings.find("{{") != std::string::npos) return false;
  std::ofstream out{folder_ + "/" + name_ + ".yaml"};
  out << settings;
  return out.good();
}

bool node_process::start() {
  if (!write_settings()) return false;
  const auto settings = folder_ + "/" + name_ + ".yaml";
  const auto log = folder_ + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ < 0) return false;
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit memory{.rlim_cur = most_address_space, .rlim_max = most_address_space};
    setrlimit(RLIMIT_AS, &memory);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(program, program, "--config", settings.c_str(), nullptr);
    _exit(127);
  }
  record_.note(fmt::format("process_started node={}", name_));
  return true;
}

void node_process::end(int signal) {
  if (pid_ <= 0) return;
  kill(pid_, signal);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
  record_.note(fmt::format("process_ended node={} signal={}", name_, signal));
}

bool node_process::has_ended() {
  if (pid_ <= 0) return true;
  if (waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = -1;
  return true;
}

bool node_process::is_ready() const {
  return http_call("GET", "http://" + readiness_address_ + "/api/readiness", "platform", "", 500)
             .status == 200;
}

// --- The deployment ---

deployment::deployment(recorder& record, std::size_t node_count)
    : record_(record), folder_(temporary_folder()), runners_(store_, record) {
  store_.start();
  for (std::size_t i = 0; i < node_count; ++i) {
    nodes_.push_back(std::make_unique<node_process>(fmt::format("frontend-munnar-{}", i + 1),
                                                    folder_, store_.address(), record));
  }
}

deployment::~deployment() {
  nodes_.clear();
  if (getenv("REVIEW_KEEP") != nullptr) {
    record_.note("kept " + folder_);
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

bool deployment::start(const std::vector<runner_options>& runners) {
  const nlohmann::json config{{"version", 7},
                              {"routes",
                               {{{"name", "r-wrr6x73"},
                                 {"host", host},
                                 {"pathPrefix", prefix},
                                 {"kind", "non_idempotent"},
                                 {"timeoutMs", 3000},
                                 {"targetLatencyMs", 250},
                                 {"priority", 0},
                                 {"service", "pacecast"},
                                 {"maxAttempts", 4},
                                 {"slackFactor", 1.5}}}},
                              {"services",
                               {{{"name", "pacecast"},
                                 {"healthPath", "/health"},
                                 {"connectionLimit", 64},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"admissionCheck", true},
                                 {"standby", false}}}},
                              {"limits",
                               {{"maxHeaderBytes", 16384},
                                {"maxBodyBytes", 262144},
                                {"headerTimeoutMs", 3000},
                                {"idleTimeoutMs", 15000}}}};
  store_.put("keyed.op", "config", config.dump());
  for (const auto& runner : runners) {
    if (!runners_.add(runner)) return false;
  }
  runners_.start();
  for (auto& node : nodes_) {
    if (!node->start()) return false;
  }
  for (auto& node : nodes_) {
    if (!wait_for(start_limit_ms, [&] { return node->is_ready(); })) return false;
  }
  return true;
}

http_answer deployment::call(const std::string& method, const std::string& path,
                             const std::string& body, std::size_t node) {
  const auto url = "http://" + nodes_[node]->caller_address() + path;
  const auto sent = record_.now_ms();
  auto answer = http_call(method, url, host, body, caller_deadline_ms);
  record_.note(fmt::format("call {} {} node={} body={} -> {} {} took_ms={}", method, path,
                           nodes_[node]->name(), body.empty() ? "-" : body, answer.status,
                           answer.body, record_.now_ms() - sent));
  return answer;
}

http_answer deployment::submit(const std::string& id, const std::string& body, std::size_t node) {
  return call("POST", prefix + id, body, node);
}

http_answer deployment::query(const std::string& id, std::size_t node) {
  return call("GET", prefix + id, "", node);
}

http_answer deployment::cancel(const std::string& id, std::size_t node) {
  return call("DELETE", prefix + id, "", node);
}

int deployment::pending_count(std::size_t node) {
  const auto answer = call("GET", prefix, "", node);
  if (answer.status != 200) return -1;
  return nlohmann::json::parse(answer.body).value("pendingCount", -1);
}

std::string deployment::state_of(const std::string& id, std::size_t node) {
  const auto answer = query(id, node);
  if (answer.status != 200) return fmt::format("status {}", answer.status);
  return nlohmann::json::parse(answer.body).value("state", "?");
}

std::size_t deployment::owner() const {
  const auto claim = store_.newest("keyed.jobs", "owner");
  for (std::size_t i = 0; claim && i < nodes_.size(); ++i) {
    if (claim->find(nodes_[i]->name()) != std::string::npos) return i;
  }
  return 0;
}

}  // namespace review
