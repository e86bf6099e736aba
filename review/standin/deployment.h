// A small deployment for a case: the store, runners, processes of coltsfoot_fleetd and a caller.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "review/standin/recorder.h"
#include "review/standin/runner_fleet.h"
#include "review/standin/store_standin.h"

namespace review {

struct http_answer {
  int status = 0;  // 0: no answer
  std::string body;
};

// One process of coltsfoot_fleetd.
class node_process {
 public:
  node_process(std::string name, std::string folder, std::string store_address, recorder& record);
  ~node_process();
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;

  bool start();
  // Sends a signal and waits until the process has ended.
  void end(int signal);
  bool is_ready() const;
  bool has_ended();  // by itself, too
  const std::string& name() const { return name_; }
  const std::string& caller_address() const { return caller_address_; }

 private:
  bool write_settings() const;

  std::string name_;
  std::string folder_;
  std::string store_address_;
  recorder& record_;
  std::string caller_address_;
  std::string readiness_address_;
  int peer_port_ = 0;
  int metrics_port_ = 0;
  pid_t pid_ = -1;
};

class deployment {
 public:
  // `node_count` processes; `runners` are added before `start`.
  deployment(recorder& record, std::size_t node_count);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Returns whether all processes became ready.
  bool start(const std::vector<runner_options>& runners);

  // Calls of a caller on the queue, at one node or at the first.
  http_answer submit(const std::string& id, const std::string& body, std::size_t node = 0);
  http_answer query(const std::string& id, std::size_t node = 0);
  http_answer cancel(const std::string& id, std::size_t node = 0);
  int pending_count(std::size_t node = 0);  // -1: no answer
  std::string state_of(const std::string& id, std::size_t node = 0);

  store_standin& store() { return store_; }
  runner_fleet& runners() { return runners_; }
  node_process& node(std::size_t i) { return *nodes_[i]; }
  std::size_t node_count() const { return nodes_.size(); }
  // The node whose claim of the jobs is the newest in the store.
  std::size_t owner() const;
  recorder& record() { return record_; }

 private:
  http_answer call(const std::string& method, const std::string& path, const std::string& body,
                   std::size_t node);

  recorder& record_;
  std::string folder_;
  store_standin store_;
  runner_fleet runners_;
  std::vector<std::unique_ptr<node_process>> nodes_;
};

http_answer http_call(const std::string& method, const std::string& url, const std::string& host,
                      const std::string& body, long timeout_ms);

void sleep_ms(std::int64_t ms);

// Waits until `condition()` holds; returns whether it did in time.
template <typename F>
bool wait_for(std::int64_t limit_ms, F&& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds{limit_ms};
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    sleep_ms(10);
  }
  return true;
}

}  // namespace review
