#include "coltsfoot/config/settings.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <variant>

namespace coltsfoot {
namespace {

constexpr std::size_t max_settings_bytes = 65'536;

enum class text_kind { plain, address, url };

struct text_member {
  std::string node_settings::* member;
  text_kind kind = text_kind::plain;
};

using setting_member = std::variant<text_member, node_id node_settings::*, zone_id node_settings::*,
                                    std::vector<std::string> node_settings::*,
                                    duration node_settings::*, std::uint64_t node_settings::*,
                                    double node_settings::*, severity node_settings::*>;

// A default of "" means that the key must be given. "=key" takes the value of that key, which
// stands earlier in the table.
struct setting_row {
  std::string_view key;
  setting_member member;
  std::string_view standard;
  std::string_view low;   // durations and numbers only
  std::string_view high;  // durations and numbers only
  std::string_view meaning;
};

using s = node_settings;
using text = text_member;

const std::vector<setting_row>& table() {
  static const std::vector<setting_row> rows{
      {"node", &s::node, "", "", "", "id of this node, unique in the deployment"},
      {"zone", &s::zone, "", "", "", "availability zone of this node"},
      {"caller_address", text{&s::caller_address, text_kind::address}, "", "", "",
       "where callers connect"},
      {"operator_address", text{&s::operator_address, text_kind::address}, "=caller_address", "",
       "", "where operators connect"},
      {"peer_address", text{&s::peer_address, text_kind::address}, "", "", "",
       "where other nodes connect"},
      {"advertised_peer_address", text{&s::advertised_peer_address, text_kind::address},
       "=peer_address", "", "", "the peer address as other nodes reach it"},
      {"seed_peers", &s::seed_peers, "[]", "", "", "peer addresses to join through"},
      {"log_url", text{&s::log_url, text_kind::url}, "", "", "", "log service"},
      {"hosts_url", text{&s::hosts_url, text_kind::url}, "", "", "", "host list service"},
      {"charts_directory", text{&s::charts_directory}, "charts", "", "",
       "folder of the state charts"},
      {"heartbeat_interval", &s::heartbeat_interval, "500ms", "100ms", "10s",
       "between two rounds of gossip"},
      {"suspect_time", &s::suspect_time, "3s", "500ms", "60s",
       "a node that is silent for so long counts as dead"},
      {"config_poll_interval", &s::config_poll_interval, "1s", "100ms", "2s",
       "between two reads of the `config` stream"},
      {"stream_poll_interval", &s::stream_poll_interval, "500ms", "50ms", "10s",
       "between two reads of a unit's stream"},
      {"host_list_interval", &s::host_list_interval, "2s", "200ms", "60s",
       "between two reads of the host list"},
      {"worker_sync_interval", &s::worker_sync_interval, "1s", "100ms", "30s",
       "between two synchronisations of a worker"},
      {"lease", &s::lease, "10s", "1s", "10m", "lease of what runs on a worker"},
      {"lease_margin", &s::lease_margin, "2s", "100ms", "60s",
       "allowance for clock drift when a lease ends"},
      {"confirmation_period", &s::confirmation_period, "5s", "500ms", "60s",
       "an owner acts for so long after it read its stream"},
      {"peer_timeout", &s::peer_timeout, "2s", "100ms", "60s",
       "limit of a gossip or placement call to a node"},
      {"log_timeout", &s::log_timeout, "3s", "100ms", "60s", "limit of a call to the log"},
      {"request_timeout", &s::request_timeout, "30s", "100ms", "1h",
       "deadline of a request that names none"},
      {"longest_backend_call", &s::longest_backend_call, "10s", "100ms", "10m",
       "a backend server works on a request for at most so long"},
      {"retention", &s::retention, "24h", "10m", "8760h", "how long the log keeps entries"},
      {"shutdown_limit", &s::shutdown_limit, "30s", "1s", "1h",
       "longest duration of a graceful shutdown"},
      {"max_body_bytes", &s::max_body_bytes, "1048576", "1024", "67108864",
       "largest body of a request"},
      {"max_requests_in_flight", &s::max_requests_in_flight, "2048", "1", "1000000",
       "requests that this node works on at a time"},
      {"max_queued_requests", &s::max_queued_requests, "1024", "1", "1000000",
       "requests that wait for a slot in a rack"},
      {"max_queued_tasks", &s::max_queued_tasks, "100000", "1", "10000000",
       "open tasks of a customer"},
      {"memory_mb", &s::memory_mb, "0", "0", "16777216",
       "memory of this node in MiB; 0: that of the machine"},
      {"file_descriptors", &s::file_descriptors, "0", "0", "16777216",
       "file descriptors of this node; 0: the limit of the process"},
      {"client_memory_mb", &s::client_memory_mb, "0", "0", "1048576",
       "MiB for unfinished requests and unread answers; 0: a quarter of `memory_mb`"},
      {"client_connections", &s::client_connections, "0", "0", "1048576",
       "open connections of clients, all listeners; 0: half of `file_descriptors` less 200"},
      {"urgent_floor", &s::urgent_floor, "0.3", "0", "1",
       "share of capacity and queues kept for urgent work"},
      {"deferrable_floor", &s::deferrable_floor, "0.1", "0", "1",
       "share of capacity and queues kept for deferrable work"},
      {"retry_budget", &s::retry_budget, "0.1", "0", "1", "retries relative to requests"},
      {"log_level", &s::log_level, "info", "", "", "lines below it are dropped"},
      {"seed", &s::seed, "1", "0", "18446744073709551615", "seed of random choices"}};
  return rows;
}

std::optional<duration> parse_duration(std::string_view source) {
  const std::string value{source};
  struct unit {
    std::string_view name;
    std::int64_t milliseconds;
  };
  static constexpr std::array units{unit{"ms", 1}, unit{"s", 1'000}, unit{"m", 60'000},
                                    unit{"h", 3'600'000}};
  std::int64_t count = 0;
  const char* last = value.data() + value.size();
  const auto [end, failure] = std::from_chars(value.data(), last, count);
  if (failure != std::errc{} || count < 0) return std::nullopt;
  const std::string name = value.substr(static_cast<std::size_t>(end - value.data()));
  for (const unit& u : units) {
    if (u.name != name) continue;
    if (count > std::numeric_limits<std::int64_t>::max() / u.milliseconds) return std::nullopt;
    return duration{count * u.milliseconds};
  }
  return std::nullopt;
}

template <typename T>
std::optional<T> parse_number(std::string_view source) {
  const std::string value{source};
  T number{};
  const char* last = value.data() + value.size();
  const auto [end, failure] = std::from_chars(value.data(), last, number);
  if (failure != std::errc{} || end != last) return std::nullopt;
  return number;
}

bool is_url(std::string_view value) {
  constexpr std::string_view scheme = "http://";
  if (!value.starts_with(scheme)) return false;
  value.remove_prefix(scheme.size());
  return is_ip_port(value.substr(0, value.find('/')));
}

using failure_text = std::optional<std::string>;

template <typename T>
failure_text store_in_range(std::optional<T> value, const setting_row& row, std::optional<T> low,
                            std::optional<T> high, std::string_view syntax, T& out) {
  if (!value) return std::string{syntax};
  if (!(*value >= *low && *value <= *high)) {
    return fmt::format("out of range {} to {}", row.low, row.high);
  }
  out = *value;
  return std::nullopt;
}

failure_text store_text(std::string_view value, text_kind kind, std::string& out) {
  if (value.empty()) return "is empty";
  if (kind == text_kind::address && !is_ip_port(value)) return "expected ip:port";
  if (kind == text_kind::url && !is_url(value)) return "expected http://ip:port";
  out = value;
  return std::nullopt;
}

// Stores a scalar, or returns what is wrong with it.
failure_text store(node_settings& out, const setting_row& row, std::string_view value) {
  struct visitor {
    node_settings& out;
    const setting_row& row;
    std::string_view value;

    failure_text operator()(const text_member& m) const {
      return store_text(value, m.kind, out.*m.member);
    }
    failure_text operator()(node_id s::* m) const {
      return store_text(value, text_kind::plain, (out.*m).value);
    }
    failure_text operator()(zone_id s::* m) const {
      return store_text(value, text_kind::plain, (out.*m).value);
    }
    failure_text operator()(std::vector<std::string> s::*) const { return "expected a list"; }
    failure_text operator()(duration s::* m) const {
      return store_in_range(parse_duration(value), row, parse_duration(row.low),
                            parse_duration(row.high),
                            "wrong unit, expected a whole number with ms, s, m or h", out.*m);
    }
    failure_text operator()(std::uint64_t s::* m) const {
      using number = std::uint64_t;
      return store_in_range(parse_number<number>(value), row, parse_number<number>(row.low),
                            parse_number<number>(row.high), "expected a whole number without unit",
                            out.*m);
    }
    failure_text operator()(double s::* m) const {
      return store_in_range(parse_number<double>(value), row, parse_number<double>(row.low),
                            parse_number<double>(row.high), "expected a number without unit",
                            out.*m);
    }
    failure_text operator()(severity s::* m) const {
      const auto level = parse_name<severity>(value);
      if (!level) return "expected debug, info, warning or error";
      out.*m = *level;
      return std::nullopt;
    }
  };
  return std::visit(visitor{out, row, value}, row.member);
}

std::optional<config_error> store_list(const YAML::Node& node, const std::string& file,
                                       const setting_row& row, std::vector<std::string>& out) {
  if (!node.IsSequence()) return error_at(node, file, row.key, "expected a list");
  for (const auto& entry : node) {
    if (!entry.IsScalar() || !is_ip_port(entry.Scalar())) {
      return error_at(entry, file, row.key, "expected ip:port");
    }
    out.push_back(entry.Scalar());
  }
  return std::nullopt;
}

std::optional<config_error> store_default(node_settings& out, const YAML::Node& root,
                                          const std::string& file, const setting_row& row) {
  if (row.standard.empty()) return error_at(root, file, row.key, "missing key");
  if (std::holds_alternative<std::vector<std::string> s::*>(row.member)) return std::nullopt;
  if (!row.standard.starts_with('=')) {
    store(out, row, row.standard);
    return std::nullopt;
  }
  for (const setting_row& other : table()) {
    if (other.key != row.standard.substr(1)) continue;
    out.*std::get<text_member>(row.member).member = out.*std::get<text_member>(other.member).member;
  }
  return std::nullopt;
}

std::optional<config_error> check_together(const node_settings& settings, const YAML::Node& root,
                                           const std::string& file) {
  struct rule {
    bool kept;
    std::string_view key;
    std::string_view message;
  };
  // A worker must get at least two synchronisations in a lease, so that one may fail. Likewise for
  // heartbeats in the suspect time and reads in the confirmation period.
  const std::array rules{
      rule{settings.lease > 2 * settings.worker_sync_interval, "lease",
           "must be longer than twice worker_sync_interval"},
      rule{settings.lease_margin < settings.lease, "lease_margin", "must be shorter than lease"},
      rule{settings.suspect_time > 2 * settings.heartbeat_interval, "suspect_time",
           "must be longer than twice heartbeat_interval"},
      rule{settings.confirmation_period > 2 * settings.stream_poll_interval, "confirmation_period",
           "must be longer than twice stream_poll_interval"},
      rule{settings.retention > 10 * settings.lease, "retention",
           "must be longer than ten times lease"},
      rule{settings.urgent_floor + settings.deferrable_floor <= 1.0, "deferrable_floor",
           "the sum of urgent_floor and deferrable_floor exceeds 1"},
      rule{!settings.advertised_peer_address.starts_with("0.0.0.0:") &&
               !settings.advertised_peer_address.starts_with("[::]:"),
           "advertised_peer_address", "other nodes can't reach an unspecified address"}};
  for (const rule& r : rules) {
    if (r.kept) continue;
    const YAML::Node given = root[std::string{r.key}];
    return error_at(given ? given : root, file, r.key, r.message);
  }
  return std::nullopt;
}

std::optional<config_error> fill(node_settings& out, const YAML::Node& root,
                                 const std::string& file) {
  std::vector<std::string_view> keys;
  for (const setting_row& row : table()) keys.push_back(row.key);
  if (auto error = check_map(root, file, keys)) return error;
  for (const setting_row& row : table()) {
    const YAML::Node given = root[std::string{row.key}];
    if (!given) {
      if (auto error = store_default(out, root, file, row)) return error;
    } else if (const auto* list = std::get_if<std::vector<std::string> s::*>(&row.member)) {
      if (auto error = store_list(given, file, row, out.**list)) return error;
    } else if (!given.IsScalar()) {
      return error_at(given, file, row.key, "expected a single value");
    } else if (const auto failure = store(out, row, given.Scalar())) {
      return error_at(given, file, row.key, *failure);
    }
  }
  return check_together(out, root, file);
}

}  // namespace

bool is_ip_port(std::string_view value) {
  const auto colon = value.rfind(':');
  if (colon == std::string_view::npos) return false;
  const auto port = parse_number<std::uint16_t>(value.substr(colon + 1));
  if (!port || *port == 0) return false;
  std::string host{value.substr(0, colon)};
  std::array<unsigned char, sizeof(in6_addr)> number{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), number.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), number.data()) == 1;
}

tl::expected<node_settings, config_error> parse_settings(std::string_view yaml,
                                                         const std::string& file) {
  const auto root = read_yaml(yaml, {.file = file, .max_bytes = max_settings_bytes});
  if (!root) return tl::unexpected(root.error());
  node_settings out;
  if (auto error = fill(out, *root, file)) return tl::unexpected(*error);
  return out;
}

tl::expected<node_settings, config_error> load_settings(const std::string& path) {
  const auto text = read_file(path, max_settings_bytes);
  if (!text) return tl::unexpected(text.error());
  return parse_settings(*text, path);
}

std::string settings_reference() {
  std::string out = "| key | default | range | meaning |\n|---|---|---|---|\n";
  for (const setting_row& row : table()) {
    std::string standard{row.standard};
    if (standard.empty()) standard = "required";
    if (standard.starts_with('=')) standard = "as `" + standard.substr(1) + "`";
    const std::string range = row.low.empty() ? "" : fmt::format("{} to {}", row.low, row.high);
    out += fmt::format("| `{}` | {} | {} | {} |\n", row.key, standard, range, row.meaning);
  }
  return out;
}

}  // namespace coltsfoot
