// Events of a job node and the commands that it returns. A command with a call id gets exactly one
// event with the same id as its result, a time-out included.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "coltsfoot/jobs/fleet_layout.h"
#include "coltsfoot/jobs/job.h"
#include "coltsfoot/jobs/job_record.h"
#include "coltsfoot/jobs/topic_follower.h"
#include "coltsfoot/jobs/worker_calls.h"
#include "coltsfoot/model/peer_messages.h"

namespace coltsfoot::jobs {

// Topics of keyed records in the platform's store.
enum class store_topic { jobs, configuration, workers };

// --- Callers ---

enum class caller_action { submit, query, cancel, count };

struct caller_request {
  call_id call = 0;
  caller_action action = caller_action::query;
  std::string host;
  std::string path;
  duration time_left{0};  // until the caller gives up
  // Of a submission: the job, or why the body is none.
  tl::expected<job_spec, std::string> spec;
};

enum class caller_verdict {
  accepted,         // recorded
  state,            // `state` holds it
  cancelled,        // the cancellation is recorded
  counted,          // `pending` holds the number
  no_such_job,      //
  no_such_queue,    //
  malformed,        //
  overloaded,       // not recorded, and will never run
  unavailable,      // not recorded, and will never run
  outcome_unknown,  // may be recorded
  gone_wrong        // a query that can't be answered now
};

struct caller_answer {
  caller_verdict verdict = caller_verdict::unavailable;
  job_state state = job_state::queued;
  std::size_t pending = 0;
  duration retry_after{0};
  std::string detail;
};

// --- Store ---

// Makes the appends of one owner one sequence that a later owner ends.
struct append_sequence {
  std::uint64_t fence = 0;
  std::uint64_t number = 0;
};

enum class append_verdict {
  recorded,
  not_recorded,  // certainly not
  unknown,       // may be recorded, also later
  fenced         // a later owner has begun its sequence
};

// --- Events ---

struct append_ended {
  call_id call = 0;
  append_verdict verdict = append_verdict::unknown;
};
struct read_failed {
  bool history_gone = false;
};
struct topic_read {
  call_id call = 0;
  store_topic topic = store_topic::jobs;
  shard_number shard = first_shard;
  std::variant<list_page, tail_page, read_failed> page;
};
struct start_answered {
  order_origin origin;
  worker_life life;
  run_ref run;
  order_answer answer;
  time_point sent_at;
};
struct stop_answered {
  order_origin origin;
  worker_life life;
  run_ref run;
  order_answer answer;
};
struct pace_answered {
  order_origin origin;
  worker_life life;
  run_ref run;
  order_answer answer;
};
struct look_answered {
  order_origin origin;
  worker_life life;
  look_answer answer;
  time_point sent_at;
};
struct peer_asked {
  call_id call = 0;
  peer_request request;
};
struct peer_answered {
  call_id call = 0;
  tl::expected<peer_reply, peer_failure> result;
};
struct shutdown_asked {};
struct time_passed {
  duration own_delay{0};  // how late the threads of this node have run lately
};

using node_event = std::variant<caller_request, append_ended, topic_read, start_answered,
                                stop_answered, pace_answered, look_answered, peer_asked,
                                peer_answered, shutdown_asked, time_passed>;

// --- Commands ---

struct answer_caller_call {
  call_id call = 0;
  caller_answer answer;
};
struct append_to_jobs {  // result: append_ended
  call_id call = 0;
  shard_number shard = first_shard;
  std::vector<keyed_record> records;
  std::optional<append_sequence> sequence;
  duration timeout{0};
};
struct read_topic {  // result: topic_read
  call_id call = 0;
  store_topic topic = store_topic::jobs;
  shard_number shard = first_shard;  // of the jobs; the other topics are not divided
  follow_request request;
};
struct give_order {  // result: start_answered, stop_answered, pace_answered or look_answered
  order_origin origin;
  std::uint64_t fence = 0;  // that the worker is told
  worker_order order;
  time_point sent_at;
};
struct ask_peer {  // result: peer_answered
  call_id call = 0;
  std::string address;
  peer_request request;
  duration timeout{0};
};
struct answer_peer {
  call_id call = 0;
  peer_reply reply;
};
struct refuse_peer {
  call_id call = 0;
};
struct show_ready {
  bool ready = false;
};
struct end_process {};

using node_command = std::variant<answer_caller_call, append_to_jobs, read_topic, give_order,
                                  ask_peer, answer_peer, refuse_peer, show_ready, end_process>;

}  // namespace coltsfoot::jobs

namespace coltsfoot {
template <>
struct enum_names<jobs::caller_verdict> {
  static constexpr std::array table{
      std::pair{jobs::caller_verdict::accepted, std::string_view{"accepted"}},
      std::pair{jobs::caller_verdict::state, std::string_view{"state"}},
      std::pair{jobs::caller_verdict::cancelled, std::string_view{"cancelled"}},
      std::pair{jobs::caller_verdict::counted, std::string_view{"counted"}},
      std::pair{jobs::caller_verdict::no_such_job, std::string_view{"no_such_job"}},
      std::pair{jobs::caller_verdict::no_such_queue, std::string_view{"no_such_queue"}},
      std::pair{jobs::caller_verdict::malformed, std::string_view{"malformed"}},
      std::pair{jobs::caller_verdict::overloaded, std::string_view{"overloaded"}},
      std::pair{jobs::caller_verdict::unavailable, std::string_view{"unavailable"}},
      std::pair{jobs::caller_verdict::outcome_unknown, std::string_view{"outcome_unknown"}},
      std::pair{jobs::caller_verdict::gone_wrong, std::string_view{"gone_wrong"}}};
};
template <>
struct enum_names<jobs::append_verdict> {
  static constexpr std::array table{
      std::pair{jobs::append_verdict::recorded, std::string_view{"recorded"}},
      std::pair{jobs::append_verdict::not_recorded, std::string_view{"not_recorded"}},
      std::pair{jobs::append_verdict::unknown, std::string_view{"unknown"}},
      std::pair{jobs::append_verdict::fenced, std::string_view{"fenced"}}};
};
template <>
struct enum_names<jobs::store_topic> {
  static constexpr std::array table{
      std::pair{jobs::store_topic::jobs, std::string_view{"jobs"}},
      std::pair{jobs::store_topic::configuration, std::string_view{"configuration"}},
      std::pair{jobs::store_topic::workers, std::string_view{"workers"}}};
};
}  // namespace coltsfoot
