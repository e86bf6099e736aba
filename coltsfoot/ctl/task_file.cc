#include "coltsfoot/ctl/task_file.h"

#include <charconv>
#include <set>

#include "coltsfoot/config/list_parser.h"

namespace coltsfoot {
namespace {

constexpr std::size_t max_tasks = 10'000;

tl::expected<std::int64_t, std::string> parse_count(std::string_view text) {
  std::int64_t number = 0;
  const char* first = text.data();
  const char* last = first + text.size();
  const auto [end, failure] = std::from_chars(first, last, number);
  if (failure != std::errc{} || end != last) {
    return tl::unexpected(std::string{"expected a whole number"});
  }
  if (number < 0) return tl::unexpected(std::string{"is negative"});
  return number;
}

tl::expected<bool, std::string> parse_bool(std::string_view text) {
  if (text == "true") return true;
  if (text == "false") return false;
  return tl::unexpected(std::string{"expected true or false"});
}

template <named_enum E>
tl::expected<E, std::string> parse_enum(std::string_view text) {
  if (const auto value = parse_name<E>(text)) return *value;
  return tl::unexpected("unknown value: " + std::string{text});
}

tl::expected<std::string, std::string> parse_text(std::string_view text) {
  return std::string{text};
}

tl::expected<std::string, std::string> parse_id(std::string_view text) {
  if (text.empty() || text.size() > 128) {
    return tl::unexpected(std::string{"expected 1 to 128 characters"});
  }
  return std::string{text};
}

// Reads the values of one map and keeps the first error.
class map_reader {
 public:
  map_reader(const YAML::Node& node, const std::string& file) : node_(node), file_(file) {}

  template <typename T, typename Parse>
  void read(std::string_view key, bool required, T& out, Parse&& parse) {
    if (error_) return;
    const YAML::Node value = node_[std::string{key}];
    if (!value) {
      if (required) error_ = error_at(node_, file_, key, "missing key");
      return;
    }
    if (!value.IsScalar()) {
      error_ = error_at(value, file_, key, "expected one value");
      return;
    }
    const auto parsed = parse(value.Scalar());
    if (parsed) {
      out = *parsed;
    } else {
      error_ = error_at(value, file_, key, parsed.error());
    }
  }

  const std::optional<config_error>& error() const { return error_; }

 private:
  const YAML::Node& node_;
  const std::string& file_;
  std::optional<config_error> error_;
};

tl::expected<task_spec, config_error> read_task(const YAML::Node& node, const std::string& file) {
  const auto wrong = check_map(node, file,
                               {"id", "processors", "memory", "accelerators", "kind", "urgency",
                                "class", "service", "idempotent", "expected_run_ms", "payload"});
  if (wrong) return tl::unexpected(*wrong);
  task_spec task;
  std::int64_t expected_run_ms = 0;
  map_reader reader{node, file};
  reader.read("id", true, task.id.value, parse_id);
  reader.read("processors", true, task.size.millicores, parse_processors);
  reader.read("memory", true, task.size.memory_mb, parse_memory);
  reader.read("accelerators", false, task.size.accelerators, parse_count);
  reader.read("kind", false, task.kind, parse_enum<task_kind>);
  reader.read("urgency", false, task.priority, parse_enum<urgency>);
  reader.read("class", false, task.interference_class, parse_text);
  reader.read("service", false, task.service.value, parse_text);
  reader.read("idempotent", false, task.idempotent, parse_bool);
  reader.read("expected_run_ms", false, expected_run_ms, parse_count);
  reader.read("payload", false, task.payload, parse_text);
  if (reader.error()) return tl::unexpected(*reader.error());
  task.expected_run = duration{expected_run_ms};
  return task;
}

}  // namespace

tl::expected<submit_tasks, config_error> parse_tasks(std::string_view yaml, const std::string& file,
                                                     wall_time now) {
  const auto root =
      read_yaml(yaml, {.file = file, .max_bytes = max_task_file_bytes, .max_depth = 4});
  if (!root) return tl::unexpected(root.error());
  if (auto error = check_map(*root, file, {"customer", "tasks"})) return tl::unexpected(*error);
  submit_tasks out;
  map_reader reader{*root, file};
  reader.read("customer", true, out.customer.value, parse_id);
  if (reader.error()) return tl::unexpected(*reader.error());
  const YAML::Node tasks = (*root)["tasks"];
  if (!tasks || !tasks.IsSequence() || tasks.size() == 0 || tasks.size() > max_tasks) {
    return tl::unexpected(
        error_at(tasks ? tasks : *root, file, "tasks", "expected a list of 1 to 10000 tasks"));
  }
  std::set<task_id> ids;
  for (const auto& node : tasks) {
    auto task = read_task(node, file);
    if (!task) return tl::unexpected(task.error());
    if (!ids.insert(task->id).second) {
      return tl::unexpected(error_at(node["id"], file, "id", "duplicate id " + task->id.value));
    }
    task->customer = out.customer;
    task->issued_at = now;
    out.tasks.push_back(std::move(*task));
  }
  return out;
}

}  // namespace coltsfoot
