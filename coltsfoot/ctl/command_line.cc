#include "coltsfoot/ctl/command_line.h"

#include <fmt/format.h>

#include <algorithm>

#include "coltsfoot/config/list_parser.h"
#include "coltsfoot/ctl/task_file.h"

namespace coltsfoot {
namespace {

using words_t = std::vector<std::string>;
using request_or_error = tl::expected<operator_request, std::string>;

struct lists_text {
  std::string plans;
  std::string customers;
};

tl::expected<lists_text, std::string> read_lists(const std::string& plans_path,
                                                 const std::string& customers_path) {
  const auto plans = read_file(plans_path, max_list_bytes);
  if (!plans) return tl::unexpected(to_string(plans.error()));
  const auto customers = read_file(customers_path, max_list_bytes);
  if (!customers) return tl::unexpected(to_string(customers.error()));
  const auto lists = parse_lists(*plans, *customers, plans_path, customers_path);
  if (!lists) return tl::unexpected(to_string(lists.error()));
  return lists_text{*plans, *customers};
}

request_or_error make_publish(const words_t& words, const ctl_flags& flags) {
  if (!flags.base) return tl::unexpected(std::string{"--base is missing; see config show"});
  const auto lists = read_lists(words[2], words[3]);
  if (!lists) return tl::unexpected(lists.error());
  return publish_config{.base = *flags.base,
                        .plans_yaml = lists->plans,
                        .customers_yaml = lists->customers,
                        .author = flags.author};
}

// Builds the file that the flags stand for, so that both ways are checked alike.
std::string tasks_yaml(const std::string& id, const ctl_flags& flags) {
  const nlohmann::json task{{"id", id},
                            {"processors", flags.processors},
                            {"memory", flags.memory},
                            {"accelerators", flags.accelerators},
                            {"kind", flags.kind},
                            {"urgency", flags.urgency},
                            {"idempotent", !flags.non_idempotent},
                            {"payload", flags.payload}};
  return nlohmann::json{{"customer", flags.customer}, {"tasks", {task}}}.dump();
}

request_or_error make_submit(const words_t& words, const ctl_flags& flags, wall_time now) {
  const bool from_flags = !flags.processors.empty() || !flags.memory.empty();
  std::string file = "flags";
  std::string yaml;
  if (from_flags) {
    yaml = tasks_yaml(words[2], flags);
  } else {
    file = words[2];
    const auto text = read_file(file, max_task_file_bytes);
    if (!text) return tl::unexpected(to_string(text.error()));
    yaml = *text;
  }
  auto tasks = parse_tasks(yaml, file, now);
  if (!tasks) return tl::unexpected(to_string(tasks.error()));
  return *tasks;
}

template <typename Request>
request_or_error make_task_request(const words_t& words, const ctl_flags& flags) {
  if (flags.customer.empty()) return tl::unexpected(std::string{"--customer is missing"});
  Request request{.customer = customer_id{flags.customer}};
  for (std::size_t i = 2; i < words.size(); ++i) request.tasks.emplace_back(words[i]);
  return request;
}

request_or_error make_mark(const words_t& words, const ctl_flags& flags) {
  return mark_host{
      .worker = worker_id{words[2]}, .leaving = words[1] == "leave", .author = flags.author};
}

struct command_row {
  std::string_view group;
  std::string_view verb;
  std::string_view operands;
  std::size_t least;  // operands
  std::size_t most;
  std::string_view meaning;
  request_or_error (*make)(const words_t&, const ctl_flags&, wall_time);
};

constexpr std::size_t many = 1'000;

const std::vector<command_row>& commands() {
  using w = const words_t&;
  using f = const ctl_flags&;
  static const std::vector<command_row> rows{
      {"config", "check", "PLANS CUSTOMERS", 2, 2, "check two list files offline",
       [](w, f, wall_time) -> request_or_error {
         return tl::unexpected(std::string{"runs offline"});
       }},
      {"config", "publish", "PLANS CUSTOMERS", 2, 2, "publish two lists (--base, --author)",
       [](w words, f flags, wall_time) { return make_publish(words, flags); }},
      {"config", "show", "", 0, 0, "print the configuration in force",
       [](w, f, wall_time) -> request_or_error { return show_config{}; }},
      {"config", "history", "", 0, 0, "print the latest changes",
       [](w, f, wall_time) -> request_or_error { return show_config{.with_lists = false}; }},
      {"host", "leave", "WORKER", 1, 1, "mark a worker as leaving (--author)",
       [](w words, f flags, wall_time) { return make_mark(words, flags); }},
      {"host", "return", "WORKER", 1, 1, "take the mark back (--author)",
       [](w words, f flags, wall_time) { return make_mark(words, flags); }},
      {"host", "list", "", 0, 0, "list the workers",
       [](w, f, wall_time) -> request_or_error { return list_hosts{}; }},
      {"task", "submit", "FILE | ID", 1, 1,
       "submit the tasks of a file, or one task by --customer, --processors, --memory ...",
       [](w words, f flags, wall_time now) { return make_submit(words, flags, now); }},
      {"task", "status", "ID...", 1, many, "print the state of tasks (--customer)",
       [](w words, f flags, wall_time) { return make_task_request<query_status>(words, flags); }},
      {"task", "explain", "ID", 1, 1, "say why a task waits or failed (--customer)",
       [](w words, f flags, wall_time) { return make_task_request<query_status>(words, flags); }},
      {"task", "list", "", 0, 0, "list the tasks of a customer (--customer)",
       [](w words, f flags, wall_time) { return make_task_request<query_status>(words, flags); }},
      {"task", "cancel", "ID...", 1, many, "cancel tasks (--customer)",
       [](w words, f flags, wall_time) { return make_task_request<cancel_tasks>(words, flags); }},
      {"node", "status", "", 0, 0, "print what a node knows of nodes and units",
       [](w, f, wall_time) -> request_or_error { return show_node{}; }}};
  return rows;
}

}  // namespace

std::string command_summary() {
  std::string out = "Commands:\n";
  for (const command_row& row : commands()) {
    const std::string usage = fmt::format("{} {} {}", row.group, row.verb, row.operands);
    out += fmt::format("  {:<34} {}\n", usage, row.meaning);
  }
  return out +
         "Exit codes: 0 ok, 1 refused or not run, 2 usage or bad input, 3 no node reached,\n"
         "  4 outcome unknown, 5 conflict\n";
}

request_or_error make_request(const words_t& words, const ctl_flags& flags, wall_time now) {
  const auto found = std::ranges::find_if(commands(), [&words](const command_row& row) {
    return words.size() >= 2 && row.group == words[0] && row.verb == words[1];
  });
  if (found == commands().end()) return tl::unexpected(std::string{"unknown command"});
  const std::size_t operands = words.size() - 2;
  if (operands < found->least || operands > found->most) {
    return tl::unexpected(
        fmt::format("usage: {} {} {}", found->group, found->verb, found->operands));
  }
  return found->make(words, flags, now);
}

std::optional<std::string> check_files(const std::string& plans, const std::string& customers) {
  const auto lists = read_lists(plans, customers);
  if (lists) return std::nullopt;
  return lists.error();
}

bool changes_state(const operator_request& request) {
  return std::holds_alternative<publish_config>(request) ||
         std::holds_alternative<mark_host>(request) ||
         std::holds_alternative<submit_tasks>(request) ||
         std::holds_alternative<cancel_tasks>(request);
}

}  // namespace coltsfoot
