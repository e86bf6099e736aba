// A node's part in the configuration: reads the `config` stream, publishes for operators, takes
// newer versions from peers and restates the state before retention ends.
//
//   out.set_origin({core_module::config});
//   node.on_tick(now, wall, out);
//   if (node.ready()) use(node.current());
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "coltsfoot/config/config_fold.h"
#include "coltsfoot/node/commands.h"
#include "coltsfoot/node/outbox.h"

namespace coltsfoot {

struct config_node_options {
  writer_id writer;                    // makes the ids of entries unique
  duration poll_interval{1000};        // a version must be in force within 5 s
  std::uint32_t page_entries = 64;     // entries per read
  duration append_repeat{2000};        // wait before an append without answer is repeated
  duration answer_limit{10'000};       // after this an operator is told `unknown`
  duration fetch_timeout{2000};        // of `fetch_config`
  duration retention{24 * 3'600'000};  // how long the log keeps entries
  std::size_t max_pending = 16;        // changes of operators at a time
};

class config_node {
 public:
  explicit config_node(config_node_options options);

  void on_tick(time_point now, wall_time wall, outbox& out);
  void on_log_read(call_id call, const tl::expected<log_page, log_failure>& page, time_point now,
                   wall_time wall, outbox& out);
  void on_log_appended(call_id call, const tl::expected<log_offset, log_failure>& offset,
                       time_point now, wall_time wall, outbox& out);
  void on_peer_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply,
                       time_point now, wall_time wall, outbox& out);

  void on_operator_request(call_id call, const publish_config& request, time_point now,
                           wall_time wall, outbox& out);
  void on_operator_request(call_id call, const mark_host& request, time_point now, wall_time wall,
                           outbox& out);
  void on_operator_request(call_id call, const show_config& request, time_point now, wall_time wall,
                           outbox& out);

  // A peer at `address` has `version` in force, as its gossip says.
  void on_peer_version(const std::string& address, std::uint64_t version, time_point now,
                       outbox& out);

  void on_fetch_config(call_id call, const fetch_config& request, outbox& out);

  // Appends a restate if the oldest entry that a new reader needs is older than a third of the
  // retention time. `responsible`: this node is the rendezvous choice for "config". Call it at
  // most once per tick.
  void restate_if_due(bool responsible, time_point now, wall_time wall, outbox& out);

  // The configuration in force. Its version only grows.
  const cluster_config& current() const { return in_force_; }
  const std::deque<config_change>& history() const { return fold_.history(); }

  // When a read of the `config` stream last succeeded.
  std::optional<time_point> last_log_read() const { return last_log_read_; }

  // Whether the read that ended last failed.
  bool last_read_failed() const { return last_read_failed_; }

  // Whether the state was read whole, from the log or from a peer.
  bool ready() const { return ready_; }

 private:
  struct pending_change {
    call_id reply_to = 0;
    std::string payload;
    std::optional<call_id> appending;
    bool appended = false;  // the log confirmed it
    bool in_doubt = false;  // an append of it may have taken effect
    time_point last_append;
    time_point since;
  };

  void begin(call_id call, const std::string& id, const config_entry& entry, time_point now,
             outbox& out);
  void append(pending_change& change, time_point now, outbox& out);
  void read(outbox& out);
  void repeat_and_expire(time_point now, outbox& out);
  void handle_results(const std::vector<entry_result>& results, outbox& out);
  void put_in_force(const cluster_config& config, std::string_view source, outbox& out);
  void answer(call_id call, change_status status, std::string detail, outbox& out) const;
  std::string fresh_id();

  config_node_options options_;
  config_fold fold_;
  cluster_config in_force_;
  bool ready_ = false;
  std::uint64_t last_id_ = 0;
  std::map<std::string, pending_change> pending_;  // by entry id
  std::optional<call_id> reading_;
  std::optional<time_point> next_read_;  // nothing: read at the next tick
  std::optional<time_point> last_log_read_;
  bool last_read_failed_ = false;
  std::optional<call_id> fetching_;
  std::optional<time_point> last_fetch_;
  std::optional<time_point> behind_since_;  // when a peer first had a newer version
  std::optional<call_id> restating_;
  std::optional<time_point> last_restate_;
};

}  // namespace coltsfoot
