// Commands that the deciding core gives to its adapters, and the events it gets from them.
//
// A command that expects a result carries a call id; the event with the same id is its result.
// Each such command gets exactly one result event, a time-out included.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <variant>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/operator_messages.h"
#include "coltsfoot/model/peer_messages.h"
#include "coltsfoot/model/records.h"
#include "coltsfoot/model/request.h"
#include "coltsfoot/model/worker.h"

namespace coltsfoot {

// --- Commands with a result ---

struct send_peer_request {  // result: peer_replied
  call_id call = 0;
  std::string address;
  peer_request request;
  duration timeout{0};
};
struct append_log {  // result: log_appended
  call_id call = 0;
  std::string stream;
  std::string payload;
};
struct read_log {  // result: log_read
  call_id call = 0;
  std::string stream;
  log_offset from = 0;
  std::uint32_t max_entries = 0;
};
struct read_host_list {  // result: host_list_read
  call_id call = 0;
};
struct sync_worker {  // result: worker_synced
  call_id call = 0;
  std::string address;
  worker_sync_request request;
  duration timeout{0};
};
struct call_backend {  // result: backend_answered
  call_id call = 0;
  std::string address;
  service_request request;
  duration timeout{0};
};

// --- Commands without a result ---

// Answers the peer request whose event had this call id.
struct send_peer_reply {
  call_id call = 0;
  peer_reply reply;
};
// Refuses the peer request whose event had this call id: it was certainly not acted upon.
struct refuse_peer_request {
  call_id call = 0;
};
// Answers the caller whose event had this call id.
struct answer_caller {
  call_id call = 0;
  service_answer answer;
};
// Answers the operator whose event had this call id.
struct answer_operator {
  call_id call = 0;
  operator_reply reply;
};

enum class severity { debug, info, warning, error };
template <>
struct enum_names<severity> {
  static constexpr std::array table{std::pair{severity::debug, std::string_view{"debug"}},
                                    std::pair{severity::info, std::string_view{"info"}},
                                    std::pair{severity::warning, std::string_view{"warning"}},
                                    std::pair{severity::error, std::string_view{"error"}}};
};
// Writes a line of key=value pairs to the node's log.
struct write_log_line {
  severity level = severity::info;
  std::string text;
};
// Sets whether the readiness address answers that the node takes work.
struct set_ready {
  bool ready = false;
};
// The graceful shutdown is complete; the process may exit.
struct stop_process {};

using command = std::variant<send_peer_request, append_log, read_log, read_host_list, sync_worker,
                             call_backend, send_peer_reply, refuse_peer_request, answer_caller,
                             answer_operator, write_log_line, set_ready, stop_process>;

// --- Events ---

struct tick {};
struct peer_request_received {
  call_id call = 0;
  peer_request request;
};
struct peer_replied {
  call_id call = 0;
  tl::expected<peer_reply, peer_failure> reply;
};
struct log_appended {
  call_id call = 0;
  tl::expected<log_offset, log_failure> offset;
};
struct log_read {
  call_id call = 0;
  tl::expected<log_page, log_failure> page;
};

// Why a worker or the host list gave no answer.
enum class platform_failure {
  not_reached,  // certainly not received
  unknown       // may have been received
};
template <>
struct enum_names<platform_failure> {
  static constexpr std::array table{
      std::pair{platform_failure::not_reached, std::string_view{"not_reached"}},
      std::pair{platform_failure::unknown, std::string_view{"unknown"}}};
};

struct host_list_read {
  call_id call = 0;
  tl::expected<host_list, platform_failure> hosts;
};
struct worker_synced {
  call_id call = 0;
  tl::expected<worker_sync_reply, platform_failure> reply;
};
// `answer.answered` is set only if the backend server's answer is whole; otherwise
// `answer.executed` says whether it can have run the request.
struct backend_answered {
  call_id call = 0;
  service_answer answer;
};
struct caller_request_received {
  call_id call = 0;
  service_request request;
};
struct operator_request_received {
  call_id call = 0;
  operator_request request;
};
// SIGTERM: begin the graceful shutdown.
struct shutdown_requested {};

using event = std::variant<tick, peer_request_received, peer_replied, log_appended, log_read,
                           host_list_read, worker_synced, backend_answered, caller_request_received,
                           operator_request_received, shutdown_requested>;

}  // namespace coltsfoot
