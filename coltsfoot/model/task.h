// Tasks as callers submit them, their attempts and their outcomes.
#pragma once

#include <string>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"

namespace coltsfoot {

// The two kinds of work that share a machine. Each keeps a configured floor of capacity and queue.
enum class urgency { deferrable, urgent };
template <>
struct enum_names<urgency> {
  static constexpr std::array table{std::pair{urgency::deferrable, std::string_view{"deferrable"}},
                                    std::pair{urgency::urgent, std::string_view{"urgent"}}};
};

enum class task_kind { batch, latency_critical };
template <>
struct enum_names<task_kind> {
  static constexpr std::array table{
      std::pair{task_kind::batch, std::string_view{"batch"}},
      std::pair{task_kind::latency_critical, std::string_view{"latency_critical"}}};
};

// What a caller asks to be run. Sizes and times are the caller's declaration and may be far off.
struct task_spec {
  task_id id;
  customer_id customer;
  task_kind kind = task_kind::batch;
  urgency priority = urgency::deferrable;
  resources size;                  // declared need
  std::string interference_class;  // tasks of one class are expected to behave alike
  service_id service;              // replicas of one service are spread over racks; may be empty
  bool idempotent = true;          // false: runs at most once, whatever fails
  duration expected_run{0};        // declared run time; 0 if unknown
  wall_time issued_at{};           // when the caller made the id
  std::string payload;             // passed to the worker as it is
};
COLTSFOOT_CODEC(task_spec, id, customer, kind, priority, size, interference_class, service,
                idempotent, expected_run, issued_at, payload)

// Number of one attempt to run a task. Only grows, over changes of the customer's owner too.
struct attempt_number {
  epoch customer_epoch = 0;
  std::uint32_t counter = 0;
  friend auto operator<=>(const attempt_number&, const attempt_number&) = default;
};
COLTSFOOT_CODEC(attempt_number, customer_epoch, counter)

// State of a task as its customer's owner sees it.
enum class task_phase {
  queued,      // recorded, not placed
  recovering,  // a new owner waits for what the candidate racks hold
  placing,     // sent to a rack owner, not answered
  running,
  stopping,  // being stopped, because of a cancellation
  finished,
  failed,
  cancelled
};
template <>
struct enum_names<task_phase> {
  static constexpr std::array table{
      std::pair{task_phase::queued, std::string_view{"queued"}},
      std::pair{task_phase::recovering, std::string_view{"recovering"}},
      std::pair{task_phase::placing, std::string_view{"placing"}},
      std::pair{task_phase::running, std::string_view{"running"}},
      std::pair{task_phase::stopping, std::string_view{"stopping"}},
      std::pair{task_phase::finished, std::string_view{"finished"}},
      std::pair{task_phase::failed, std::string_view{"failed"}},
      std::pair{task_phase::cancelled, std::string_view{"cancelled"}}};
};

// How a task ended.
enum class outcome_kind { finished, failed, cancelled };
template <>
struct enum_names<outcome_kind> {
  static constexpr std::array table{
      std::pair{outcome_kind::finished, std::string_view{"finished"}},
      std::pair{outcome_kind::failed, std::string_view{"failed"}},
      std::pair{outcome_kind::cancelled, std::string_view{"cancelled"}}};
};

// Answer to a status question.
struct task_status {
  task_id id;
  task_phase phase = task_phase::queued;
  attempt_number attempt;
  rack_id rack;        // empty unless placed
  worker_id worker;    // empty unless running
  std::string reason;  // why it waits, failed or can never run
  std::string result;  // what the worker returned, if finished
};
COLTSFOOT_CODEC(task_status, id, phase, attempt, rack, worker, reason, result)

}  // namespace coltsfoot
