// Requests of the administration API. The HTTP server and `coltsfootctl` exchange them as JSON:
// POST /v1/admin/<message_name> with the request's fields, answered by [reply name, reply fields].
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "coltsfoot/model/cluster_config.h"
#include "coltsfoot/model/peer_messages.h"

namespace coltsfoot {

struct publish_config {
  static constexpr std::string_view message_name = "publish_config";
  std::uint64_t base = 0;
  std::string plans_yaml;
  std::string customers_yaml;
  std::string author;
};
COLTSFOOT_CODEC(publish_config, base, plans_yaml, customers_yaml, author)

struct mark_host {
  static constexpr std::string_view message_name = "mark_host";
  worker_id worker;
  bool leaving = true;
  std::string author;
};
COLTSFOOT_CODEC(mark_host, worker, leaving, author)

enum class change_status {
  accepted,
  conflict,  // based on an older version than the accepted one
  invalid,   // the lists have an error; `detail` gives line and key
  not_run,   // certainly not published
  unknown    // may have been published; look at the history
};
template <>
struct enum_names<change_status> {
  static constexpr std::array table{
      std::pair{change_status::accepted, std::string_view{"accepted"}},
      std::pair{change_status::conflict, std::string_view{"conflict"}},
      std::pair{change_status::invalid, std::string_view{"invalid"}},
      std::pair{change_status::not_run, std::string_view{"not_run"}},
      std::pair{change_status::unknown, std::string_view{"unknown"}}};
};

// Reply to `publish_config` and `mark_host`.
struct change_reply {
  static constexpr std::string_view message_name = "change_reply";
  change_status status = change_status::not_run;
  std::uint64_t version = 0;  // the version in force
  std::string detail;
};
COLTSFOOT_CODEC(change_reply, status, version, detail)

struct show_config {
  static constexpr std::string_view message_name = "show_config";
  bool with_lists = true;
};
COLTSFOOT_CODEC(show_config, with_lists)

// Something that was read from the `config` stream, accepted or not.
struct config_change {
  std::uint64_t version = 0;  // in force after it
  std::string kind;           // "publish" or "host_mark"
  std::string author;
  wall_time written_at{};
  std::string result;  // "accepted", or why it was refused
};
COLTSFOOT_CODEC(config_change, version, kind, author, written_at, result)

struct show_config_reply {
  static constexpr std::string_view message_name = "show_config_reply";
  cluster_config config;
  std::vector<config_change> history;  // the newest last, bounded
};
COLTSFOOT_CODEC(show_config_reply, config, history)

struct list_hosts {
  static constexpr std::string_view message_name = "list_hosts";
  bool all = true;
};
COLTSFOOT_CODEC(list_hosts, all)

struct list_hosts_reply {
  static constexpr std::string_view message_name = "list_hosts_reply";
  std::vector<worker_info> hosts;  // `leaving` joins the list's mark and the operators'
};
COLTSFOOT_CODEC(list_hosts_reply, hosts)

struct show_node {
  static constexpr std::string_view message_name = "show_node";
  bool with_units = true;
};
COLTSFOOT_CODEC(show_node, with_units)

struct show_node_reply {
  static constexpr std::string_view message_name = "show_node_reply";
  node_id node;
  bool ready = false;
  std::uint64_t config_version = 0;
  std::vector<member_entry> members;
  std::vector<unit_entry> units;
};
COLTSFOOT_CODEC(show_node_reply, node, ready, config_version, members, units)

// A request that could not be served.
struct operator_error {
  static constexpr std::string_view message_name = "operator_error";
  std::string reason;
  bool not_run = true;
};
COLTSFOOT_CODEC(operator_error, reason, not_run)

using operator_request = std::variant<publish_config, mark_host, show_config, list_hosts, show_node,
                                      submit_tasks, query_status, cancel_tasks>;
using operator_reply =
    std::variant<change_reply, show_config_reply, list_hosts_reply, show_node_reply,
                 submit_tasks_reply, query_status_reply, cancel_tasks_reply, operator_error>;

}  // namespace coltsfoot
