// Messages between entry nodes. Each request has one reply type; `no_reply_error` says why there is
// none.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/request.h"
#include "coltsfoot/model/task.h"
#include "coltsfoot/model/worker.h"

namespace coltsfoot {

// --- Membership ---

// What a node says about a node, itself included.
struct member_entry {
  node_id node;
  std::uint64_t incarnation = 0;
  std::string address;  // "ip:port" of the peer transport
  zone_id zone;
  std::uint64_t heartbeat = 0;  // grows while the node lives
  bool leaving = false;
  bool log_readable = false;  // the node read the log within its confirmation period
};
COLTSFOOT_CODEC(member_entry, node, incarnation, address, zone, heartbeat, leaving, log_readable)

// Free slots of one service in a rack.
struct service_room {
  service_id service;
  std::int32_t free_slots = 0;
  std::int32_t total_slots = 0;
};
COLTSFOOT_CODEC(service_room, service, free_slots, total_slots)

// What an owner says of its unit. The hints are out of date on arrival.
struct unit_entry {
  unit_id unit;
  epoch unit_epoch = 0;
  node_id owner;
  std::uint64_t version = 0;  // grows with each change by this owner
  bool ready = false;         // false while the owner recovers
  // Racks only:
  resources largest_free;    // largest room on one worker
  resources total_free;      // summed over workers
  resources total_capacity;  // summed over workers that take new work
  double pressure = 0;       // queued demand relative to capacity
  std::vector<service_room> services;
};
COLTSFOOT_CODEC(unit_entry, unit, unit_epoch, owner, version, ready, largest_free, total_free,
                total_capacity, pressure, services)

struct gossip {
  static constexpr std::string_view message_name = "gossip";
  node_id from;
  std::uint64_t config_version = 0;
  std::vector<member_entry> members;
  std::vector<unit_entry> units;
};
COLTSFOOT_CODEC(gossip, from, config_version, members, units)

struct gossip_reply {
  static constexpr std::string_view message_name = "gossip_reply";
  gossip content;
};
COLTSFOOT_CODEC(gossip_reply, content)

// Asks for the newest accepted configuration.
struct fetch_config {
  static constexpr std::string_view message_name = "fetch_config";
  std::uint64_t newer_than = 0;
};
COLTSFOOT_CODEC(fetch_config, newer_than)

struct fetch_config_reply {
  static constexpr std::string_view message_name = "fetch_config_reply";
  std::uint64_t version = 0;
  std::string snapshot;  // encoded configuration state; empty if none is newer
};
COLTSFOOT_CODEC(fetch_config_reply, version, snapshot)

// --- Any node to the owner of a customer ---

struct submit_tasks {
  static constexpr std::string_view message_name = "submit_tasks";
  customer_id customer;
  std::vector<task_spec> tasks;
};
COLTSFOOT_CODEC(submit_tasks, customer, tasks)

enum class submit_status {
  accepted,  // recorded; also for a repeat of the same task
  not_run,   // certainly not accepted
  conflict,  // the id is in use by a different task
  unknown    // the append got no answer; ask by id
};
template <>
struct enum_names<submit_status> {
  static constexpr std::array table{
      std::pair{submit_status::accepted, std::string_view{"accepted"}},
      std::pair{submit_status::not_run, std::string_view{"not_run"}},
      std::pair{submit_status::conflict, std::string_view{"conflict"}},
      std::pair{submit_status::unknown, std::string_view{"unknown"}}};
};

struct submit_result {
  task_id task;
  submit_status status = submit_status::not_run;
  std::string reason;
  duration retry_after{0};
};
COLTSFOOT_CODEC(submit_result, task, status, reason, retry_after)

struct submit_tasks_reply {
  static constexpr std::string_view message_name = "submit_tasks_reply";
  std::vector<submit_result> results;
};
COLTSFOOT_CODEC(submit_tasks_reply, results)

// Asks for the state of tasks; all open and remembered tasks if `tasks` is empty.
struct query_status {
  static constexpr std::string_view message_name = "query_status";
  customer_id customer;
  std::vector<task_id> tasks;
};
COLTSFOOT_CODEC(query_status, customer, tasks)

struct query_status_reply {
  static constexpr std::string_view message_name = "query_status_reply";
  std::vector<task_status> tasks;  // without those that are unknown
};
COLTSFOOT_CODEC(query_status_reply, tasks)

struct cancel_tasks {
  static constexpr std::string_view message_name = "cancel_tasks";
  customer_id customer;
  std::vector<task_id> tasks;
};
COLTSFOOT_CODEC(cancel_tasks, customer, tasks)

struct cancel_tasks_reply {
  static constexpr std::string_view message_name = "cancel_tasks_reply";
  std::vector<submit_result> results;  // accepted: the cancellation is recorded
};
COLTSFOOT_CODEC(cancel_tasks_reply, results)

// Runs a non-idempotent request at most once.
struct run_request_once {
  static constexpr std::string_view message_name = "run_request_once";
  service_request request;
};
COLTSFOOT_CODEC(run_request_once, request)

// Reply to `run_request_once` and `forward_request`.
struct request_reply {
  static constexpr std::string_view message_name = "request_reply";
  service_answer answer;
};
COLTSFOOT_CODEC(request_reply, answer)

// --- Owner of a customer to the owner of a rack ---

// Asks for a task to be started on some worker of the rack. Repeating it has no further effect. An
// attempt is bound to one epoch of the rack's owner: repeats name the same one, and owners of other
// epochs answer not_owner.
struct place_task {
  static constexpr std::string_view message_name = "place_task";
  rack_id rack;
  epoch rack_epoch = 0;
  epoch customer_epoch = 0;
  attempt_number attempt;
  task_spec spec;
  resources limit;
  std::string checkpoint;
  std::vector<worker_id> avoid;  // workers on which earlier attempts failed
  double customer_share = 0;     // dominant share of the plan that the customer uses now
};
COLTSFOOT_CODEC(place_task, rack, rack_epoch, customer_epoch, attempt, spec, limit, checkpoint,
                avoid, customer_share)

enum class place_status {
  placed,         // a worker is chosen and its capacity is reserved
  refused,        // certainly not started, and this attempt never will be
  recovering,     // the rack owner can't tell yet; ask again
  not_owner,      // not acted upon: the receiver is not the owner, or not of the epoch named
  stale_customer  // a newer owner of the customer is known here
};
template <>
struct enum_names<place_status> {
  static constexpr std::array table{
      std::pair{place_status::placed, std::string_view{"placed"}},
      std::pair{place_status::refused, std::string_view{"refused"}},
      std::pair{place_status::recovering, std::string_view{"recovering"}},
      std::pair{place_status::not_owner, std::string_view{"not_owner"}},
      std::pair{place_status::stale_customer, std::string_view{"stale_customer"}}};
};

struct place_task_reply {
  static constexpr std::string_view message_name = "place_task_reply";
  place_status status = place_status::refused;
  worker_id worker;
  std::string reason;
  duration retry_after{0};
};
COLTSFOOT_CODEC(place_task_reply, status, worker, reason, retry_after)

// Asks what the rack holds of the customer. The rack refuses older customer epochs from then on.
struct query_tasks {
  static constexpr std::string_view message_name = "query_tasks";
  rack_id rack;
  customer_id customer;
  epoch customer_epoch = 0;
};
COLTSFOOT_CODEC(query_tasks, rack, customer, customer_epoch)

// The state of one attempt, as its rack owner knows it from the worker.
struct attempt_update {
  attempt_id attempt;
  worker_id worker;
  attempt_state state = attempt_state::running;
  bool lost = false;    // the worker is gone and its lease is past: not running any more
  bool started = true;  // false: certainly none of its work was done
  resources limit;
  std::string reason;
  std::string result;
  std::string checkpoint;
  resources peak_used;  // largest measured usage; zero if none was reported
};
COLTSFOOT_CODEC(attempt_update, attempt, worker, state, lost, started, limit, reason, result,
                checkpoint, peak_used)

struct query_tasks_reply {
  static constexpr std::string_view message_name = "query_tasks_reply";
  place_status status = place_status::placed;  // placed: the list is complete
  epoch rack_epoch = 0;                        // of the owner that answers
  std::vector<attempt_update> held;
};
COLTSFOOT_CODEC(query_tasks_reply, status, rack_epoch, held)

// Asks for an attempt to be stopped because its task was cancelled.
struct stop_task {
  static constexpr std::string_view message_name = "stop_task";
  rack_id rack;
  epoch customer_epoch = 0;
  attempt_id attempt;
};
COLTSFOOT_CODEC(stop_task, rack, customer_epoch, attempt)

struct stop_task_reply {
  static constexpr std::string_view message_name = "stop_task_reply";
  place_status status = place_status::placed;  // placed: being stopped; refused: not held here
};
COLTSFOOT_CODEC(stop_task_reply, status)

// --- Owner of a rack to the owner of a customer ---

// Repeated until all updates of ended attempts are answered as recorded.
struct task_updates {
  static constexpr std::string_view message_name = "task_updates";
  rack_id rack;
  epoch rack_epoch = 0;
  customer_id customer;
  std::vector<attempt_update> updates;
};
COLTSFOOT_CODEC(task_updates, rack, rack_epoch, customer, updates)

struct task_updates_reply {
  static constexpr std::string_view message_name = "task_updates_reply";
  std::vector<attempt_id> recorded;  // the worker may forget these
  std::vector<attempt_id> obsolete;  // running attempts that must be stopped and forgotten
};
COLTSFOOT_CODEC(task_updates_reply, recorded, obsolete)

// --- Any node to the owner of a rack ---

struct forward_request {
  static constexpr std::string_view message_name = "forward_request";
  rack_id rack;
  service_request request;
};
COLTSFOOT_CODEC(forward_request, rack, request)

// --- Any node to the owner of the fleet's jobs ---

// A record that the sender has appended to the journal of jobs.
struct job_notice {
  static constexpr std::string_view message_name = "job_notice";
  std::uint32_t shard = 0;
  std::string key;
  std::string value;
};
COLTSFOOT_CODEC(job_notice, shard, key, value)

struct job_notice_reply {
  static constexpr std::string_view message_name = "job_notice_reply";
  bool taken = false;  // false: the receiver is not the owner
};
COLTSFOOT_CODEC(job_notice_reply, taken)

// Records that the owner of the shard is to append to its journal with its own next ones. The reply
// follows once their fate is known.
struct journal_records {
  static constexpr std::string_view message_name = "journal_records";
  struct entry {
    std::string key;
    std::string value;
  };
  std::uint32_t shard = 0;
  std::vector<entry> records;
};
COLTSFOOT_CODEC(journal_records::entry, key, value)
COLTSFOOT_CODEC(journal_records, shard, records)

enum class record_fate {
  recorded,
  not_recorded,  // certainly not, and they never will be
  unknown        // may be recorded, also later
};
template <>
struct enum_names<record_fate> {
  static constexpr std::array table{
      std::pair{record_fate::recorded, std::string_view{"recorded"}},
      std::pair{record_fate::not_recorded, std::string_view{"not_recorded"}},
      std::pair{record_fate::unknown, std::string_view{"unknown"}}};
};

struct journal_records_reply {
  static constexpr std::string_view message_name = "journal_records_reply";
  record_fate fate = record_fate::unknown;
};
COLTSFOOT_CODEC(journal_records_reply, fate)

struct job_query {
  static constexpr std::string_view message_name = "job_query";
  std::uint32_t shard = 0;
  std::string job;
};
COLTSFOOT_CODEC(job_query, shard, job)

struct job_query_reply {
  static constexpr std::string_view message_name = "job_query_reply";
  bool owner = false;  // false: the receiver is not the owner, and says nothing
  bool known = false;
  std::string state;
};
COLTSFOOT_CODEC(job_query_reply, owner, known, state)

using peer_request =
    std::variant<gossip, fetch_config, submit_tasks, query_status, cancel_tasks, run_request_once,
                 place_task, query_tasks, stop_task, task_updates, forward_request, job_notice,
                 job_query, journal_records>;

// Reply of a node that does not own the unit a request was addressed to.
struct not_owner_reply {
  static constexpr std::string_view message_name = "not_owner_reply";
  unit_id unit;
  std::string reason;
};
COLTSFOOT_CODEC(not_owner_reply, unit, reason)

using peer_reply =
    std::variant<gossip_reply, fetch_config_reply, submit_tasks_reply, query_status_reply,
                 cancel_tasks_reply, request_reply, place_task_reply, query_tasks_reply,
                 stop_task_reply, task_updates_reply, not_owner_reply, job_notice_reply,
                 job_query_reply, journal_records_reply>;

// Why a peer request got no reply.
enum class peer_failure {
  not_processed,  // certainly not acted upon: not connected, REFUSED_STREAM or GOAWAY
  unknown         // may have been acted upon: connection lost or timed out
};
template <>
struct enum_names<peer_failure> {
  static constexpr std::array table{
      std::pair{peer_failure::not_processed, std::string_view{"not_processed"}},
      std::pair{peer_failure::unknown, std::string_view{"unknown"}}};
};

}  // namespace coltsfoot
