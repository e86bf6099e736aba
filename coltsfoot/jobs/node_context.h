// What the parts of a job node share: options, the present time, and the commands to return.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoot/evacuation/evacuated_zones.h"
#include "coltsfoot/following/read_interval.h"
#include "coltsfoot/jobs/job_memory.h"
#include "coltsfoot/jobs/job_owner.h"
#include "coltsfoot/jobs/node_messages.h"
#include "coltsfoot/jobs/owner_election.h"
#include "coltsfoot/jobs/shard_balance.h"
#include "coltsfoot/jobs/topic_follower.h"

namespace coltsfoot::jobs {

// Reads what others write to the store, in the platform's format.
struct store_codec {
  std::function<tl::expected<fleet_config, std::string>(std::string_view)> config;
  // Of the worker that the key names.
  std::function<tl::expected<worker_listing, std::string>(std::string_view, std::string_view)>
      worker;
  std::string config_key;
  evacuation_format evacuation;
};

struct job_node_options {
  std::string node;
  std::uint64_t life = 0;      // tells the lives of a node apart
  std::uint32_t strength = 0;  // processor of the node, in thousandths of a core; 0: unknown
  std::string peer_address;    // "ip:port" of the peer transport
  store_codec codec;
  job_owner_options owner;
  store_limits store;
  election_options election;
  layout_options layout;
  topic_follower_options jobs_topic{.poll_wait = duration{400}};
  topic_follower_options config_topic{.poll_interval = duration{100}, .poll_wait = duration{1'500}};
  topic_follower_options workers_topic{.poll_interval = duration{400}, .poll_wait = duration{800}};
  duration heartbeat{400};         // the owner writes at least this often
  duration append_timeout{1'000};  // also of slow appends: the store may take 60 times as long
  duration append_retry{40};       // after an append that was not recorded
  // Calls to the store grow with the shards: each further one lets reads of all journals and an
  // owner's appends wait longer, up to a limit.
  read_interval_options read_interval;
  duration append_gap_per_shard{5};
  duration longest_append_gap{20};
  duration claim_retry{200};      // after a claim that was not recorded
  duration submit_patience{400};  // how long a submission is tried before it is refused
  duration peer_timeout{300};     // of a question to the owner
  duration fresh{1'000};          // age up to which a copy that is read often proves absence
  duration store_silence{2'500};  // without the store for this long, a node is not ready
  duration pause_limit{1'000};    // a pause in which a successor may have taken over
  duration retry_after{1'000};    // told to callers
  duration answer_margin{100};    // kept back from a caller's deadline for the answer's way
  // From the shutdown's start to the end of the node, which comes earlier if nothing is open.
  duration drain_time{4'000};
  // The last part of `drain_time`: new requests that would have to wait for the store are refused.
  duration refusal_time{1'500};
  duration registry_quiet{500};     // without a new worker, a first layout is decided
  duration layout_patience{6'000};  // from the start of the first owner to the first layout
  balance_options balance;
  duration balance_interval{500};
  duration handover_interval{250};
  std::size_t most_handovers_at_once = 16;  // of one shard, in an interval
  job_memory_options memory;
};

struct job_node_stats {
  std::map<caller_verdict, std::uint64_t> answers;
  std::uint64_t appends = 0;
  std::uint64_t appends_failed = 0;
  std::uint64_t journal_reads = 0;
  std::uint64_t reads_failed = 0;
  std::uint64_t malformed_records = 0;
  std::uint64_t claims = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t step_downs = 0;
};

// A caller's call that several shards answer.
struct split_call {
  std::size_t parts_left = 0;
  bool answered = false;  // a part has failed, and the caller was told
};

struct node_context {
  job_node_options options;
  log_sink sink;
  time_point now;
  wall_time wall;
  std::vector<node_command> commands;
  call_id last_call = 0;
  std::map<call_id, std::string> open_calls;  // of callers, with the path asked for
  std::map<call_id, split_call> split_calls;
  std::optional<time_point> store_contact;
  bool shutting_down = false;
  // Close to the end of the shutdown: only what can be answered at once is answered.
  bool refuses_waiting = false;
  std::size_t owned_shards = 0;  // claims under way included
  job_node_stats stats;
  evacuated_zones evacuated{options.codec.evacuation};

  call_id new_call() { return ++last_call; }
  void push(node_command command) { commands.push_back(std::move(command)); }
  void log(severity level, const std::string& text) const {
    if (sink) sink(level, text);
  }
  // Answers a caller; each refusal leaves a log line.
  void answer(call_id call, caller_answer answer);
  // From now on `parts` answers to a cancellation make one: the first that is a failure, or the
  // last.
  void split(call_id call, std::size_t parts) { split_calls[call] = {.parts_left = parts}; }
  // Tells a caller that what it asked for has certainly not been done.
  void refuse(call_id call, bool is_submission, std::string detail);

 private:
  // Whether the caller is not told of an answer to a part of its call.
  bool absorbs(call_id call, caller_verdict verdict);
};

}  // namespace coltsfoot::jobs
