// Stand-in for a worker: obeys epochs, sequences and leases, enforces its capacity and runs fake
// tasks. A task's payload is JSON with the fields of `fake_task`.
//
//   worker_standin worker{{.capacity = {.millicores = 64'000, .memory_mb = 250'000}}};
//   worker.start();
//   // POST /v1/sync, GET and POST /control
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/model/worker.h"
#include "coltsfoot/standin/internal/standin_server.h"

namespace coltsfoot {

struct fake_task {
  std::int64_t run_ms = 0;            // 0: ends at once; negative: never ends by itself
  std::string result;                 // returned when it finishes
  bool fail = false;                  // ends as failed instead
  std::int64_t used_millicores = -1;  // in usage reports; negative: the limit
  std::int64_t used_memory_mb = -1;
  double slowdown = 1.0;   // in usage reports
  bool checkpoint = true;  // whether it can be checkpointed; the checkpoint is its progress in ms
};
COLTSFOOT_CODEC(fake_task, run_ms, result, fail, used_millicores, used_memory_mb, slowdown,
                checkpoint)

struct worker_switches {
  bool fail_all = false;          // each start ends as failed at once
  bool paused = false;            // answers nothing; calls are handled when it is resumed
  std::int64_t slow_ms = 0;       // delay of each answer
  std::int64_t lose_answers = 0;  // calls that are carried out but get no answer
  std::int64_t usage_interval_ms = 1'000;
  std::int64_t usage_lag_ms = 0;  // from a measurement to the first call that returns it
};
COLTSFOOT_CODEC(worker_switches, fail_all, paused, slow_ms, lose_answers, usage_interval_ms,
                usage_lag_ms)

struct worker_standin_options {
  std::uint16_t port = 0;
  worker_id id;  // calls for another worker are refused; empty: any
  resources capacity{.millicores = 64'000, .memory_mb = 250'000};
  worker_switches switches;
};

class worker_standin {
 public:
  explicit worker_standin(worker_standin_options options);
  ~worker_standin();
  worker_standin(const worker_standin&) = delete;
  worker_standin& operator=(const worker_standin&) = delete;

  tl::expected<void, transport_error> start() { return server_.start(); }
  void stop() { server_.stop(); }
  std::uint16_t port() const { return server_.port(); }

 private:
  struct running_task {
    held_attempt held;
    fake_task behaviour;
    duration progress{0};  // up to `updated_at`
    time_point updated_at;
    time_point next_report;
  };

  void handle(const internal::rest_request& request, const internal::rest_responder& respond);
  void handle_sync(const internal::rest_request& request, const internal::rest_responder& respond);
  void control(const internal::rest_request& request, const internal::rest_responder& respond);
  worker_sync_reply sync(const worker_sync_request& request, time_point now);
  void execute(const worker_command& command, time_point now);
  void start_task(const worker_command& command, time_point now);
  void end_task(running_task& task, attempt_state state, const std::string& reason, time_point at);
  void advance(time_point now);
  void advance_task(running_task& task, time_point until);
  void measure(running_task& task, time_point at);
  void check_periodically();
  resources used() const;
  void note(const char* event, const held_attempt& held, const std::string& reason, time_point at);

  worker_id id_;
  resources capacity_;
  worker_switches switches_;
  epoch epoch_ = 0;
  std::uint64_t sequence_ = 0;
  std::optional<time_point> lease_end_;
  std::map<attempt_id, running_task> tasks_;
  std::multimap<time_point, usage_report> reports_;  // by the time when they are available
  std::deque<std::pair<internal::rest_request, internal::rest_responder>> held_calls_;
  std::uint64_t capacity_violations_ = 0;
  std::uint64_t leases_expired_ = 0;
  std::uint64_t stale_calls_ = 0;
  nlohmann::json journal_ = nlohmann::json::array();
  internal::standin_server server_;
};

}  // namespace coltsfoot
