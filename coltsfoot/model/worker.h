// Workers, backend servers and the worker synchronisation call.
#pragma once

#include <string>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/task.h"

namespace coltsfoot {

// A backend server on a worker. Slots bound requests being processed, connections bound open ones.
struct backend_info {
  backend_id id;
  service_id service;
  std::string address;  // "ip:port"
  std::int32_t slots = 0;
  std::int32_t connections = 0;
};
COLTSFOOT_CODEC(backend_info, id, service, address, slots, connections)

// One entry of the platform's host list. The list lags behind the truth.
struct worker_info {
  worker_id id;
  zone_id zone;
  rack_id rack;         // "<zone>/<rack>"
  std::string address;  // "ip:port"
  resources capacity;   // what tasks may use
  bool leaving = false;
  std::vector<backend_info> backends;
};
COLTSFOOT_CODEC(worker_info, id, zone, rack, address, capacity, leaving, backends)

struct host_list {
  std::vector<worker_info> workers;
};
COLTSFOOT_CODEC(host_list, workers)

// Identifies one attempt of one task.
struct attempt_id {
  customer_id customer;
  task_id task;
  attempt_number attempt;
  friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};
COLTSFOOT_CODEC(attempt_id, customer, task, attempt)

enum class worker_command_kind { start, throttle, unthrottle, checkpoint_and_stop, stop };
template <>
struct enum_names<worker_command_kind> {
  static constexpr std::array table{
      std::pair{worker_command_kind::start, std::string_view{"start"}},
      std::pair{worker_command_kind::throttle, std::string_view{"throttle"}},
      std::pair{worker_command_kind::unthrottle, std::string_view{"unthrottle"}},
      std::pair{worker_command_kind::checkpoint_and_stop, std::string_view{"checkpoint_and_stop"}},
      std::pair{worker_command_kind::stop, std::string_view{"stop"}}};
};

// A command to a worker. Repeating one has no further effect.
struct worker_command {
  worker_command_kind kind = worker_command_kind::start;
  attempt_id attempt;
  task_spec spec;          // start only
  resources limit;         // start only: what the worker reserves and enforces
  std::string checkpoint;  // start only: checkpoint to resume from; empty for a fresh start
};
COLTSFOOT_CODEC(worker_command, kind, attempt, spec, limit, checkpoint)

// State of an attempt on a worker. Ended attempts stay listed until they are released.
enum class attempt_state { running, throttled, finished, failed, stopped };
template <>
struct enum_names<attempt_state> {
  static constexpr std::array table{
      std::pair{attempt_state::running, std::string_view{"running"}},
      std::pair{attempt_state::throttled, std::string_view{"throttled"}},
      std::pair{attempt_state::finished, std::string_view{"finished"}},
      std::pair{attempt_state::failed, std::string_view{"failed"}},
      std::pair{attempt_state::stopped, std::string_view{"stopped"}}};
};

struct held_attempt {
  attempt_id attempt;
  attempt_state state = attempt_state::running;
  resources limit;         // what is reserved while running or throttled
  task_spec spec;          // as given at the start
  bool started = true;     // false: failed before any of its work was done
  std::string reason;      // why it failed
  std::string result;      // finished only
  std::string checkpoint;  // stopped only; empty if it could not be checkpointed
};
COLTSFOOT_CODEC(held_attempt, attempt, state, limit, spec, started, reason, result, checkpoint)

// A usage measurement. It arrives late; `measured_at` says how late.
struct usage_report {
  attempt_id attempt;
  resources used;
  double slowdown = 1.0;  // run time relative to running alone; 1.0 means undisturbed
  std::vector<std::string> neighbour_classes;  // interference classes beside it at that time
  wall_time measured_at{};
};
COLTSFOOT_CODEC(usage_report, attempt, used, slowdown, neighbour_classes, measured_at)

// The synchronisation call of a rack owner to a worker. Renews the lease of all that runs there.
struct worker_sync_request {
  worker_id worker;
  epoch rack_epoch = 0;
  std::uint64_t sequence = 0;  // grows with each call of an epoch
  duration lease{0};
  std::vector<worker_command> commands;
  std::vector<attempt_id> release;  // ended attempts whose end is recorded
};
COLTSFOOT_CODEC(worker_sync_request, worker, rack_epoch, sequence, lease, commands, release)

enum class sync_status { accepted, stale_epoch, stale_sequence };
template <>
struct enum_names<sync_status> {
  static constexpr std::array table{
      std::pair{sync_status::accepted, std::string_view{"accepted"}},
      std::pair{sync_status::stale_epoch, std::string_view{"stale_epoch"}},
      std::pair{sync_status::stale_sequence, std::string_view{"stale_sequence"}}};
};

struct worker_sync_reply {
  sync_status status = sync_status::accepted;
  epoch rack_epoch = 0;             // the epoch that the worker obeys
  std::vector<held_attempt> held;   // all that the worker holds, also if the call was refused
  std::vector<usage_report> usage;  // new reports since the last accepted call
};
COLTSFOOT_CODEC(worker_sync_reply, status, rack_epoch, held, usage)

}  // namespace coltsfoot
