#include "tests/soak/standin/store_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <restinio/utils/base64.hpp>

namespace coltsfoot::testing {
namespace {

using internal::query_value;
using nlohmann::json;

constexpr std::int64_t append_ms = 4;
constexpr std::size_t page_items = 500;
constexpr std::size_t page_bytes = std::size_t{1024} * 1024;
constexpr std::size_t remembered_appends = 5;
constexpr std::string_view worker_topic = "keyed.servers";
constexpr std::string_view node_mark = "{node}";

std::uint64_t number_in(const rest_request& request, const char* name, std::uint64_t fallback) {
  const auto text = query_value(request.target, name);
  return text ? std::stoull(*text) : fallback;
}

std::string big_endian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>((value >> (8U * static_cast<unsigned>(i))) & 0xffU));
  }
  return out;
}

std::uint64_t read_big_endian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const unsigned char byte : bytes) value = (value << 8U) | byte;
  return value;
}

std::string key_of(const std::string& content) {
  return content.substr(1, static_cast<unsigned char>(content.front()));
}

rest_response json_response(int status, std::string body) {
  return {.status = status,
          .headers = {{.name = "Content-Type", .value = "application/json"}},
          .body = std::move(body)};
}

bool carries_caller_records(std::string_view body) {
  return body.find("acceptance/") != std::string_view::npos ||
         body.find("cancellation/") != std::string_view::npos;
}

}  // namespace

std::string configuration(const std::string& host, const std::string& prefix) {
  const json route{{"name", "r"},        {"host", host},          {"pathPrefix", prefix},
                   {"service", "svc"},   {"priority", 0},         {"maxAttempts", 4},
                   {"slackFactor", 1.5}, {"targetLatencyMs", 250}};
  return json{{"version", 7}, {"routes", {route}}, {"services", {{{"name", "svc"}}}}}.dump();
}

store_server::store_server(std::size_t nodes, const soak_record& record) : record_(record) {
  for (std::size_t node = 0; node < nodes; ++node) {
    listeners_.push_back(std::make_unique<cut_listener>(
        [this, node](const rest_request& request, const rest_responder& respond) {
          handle(node, request, respond);
        }));
  }
}

store_server::~store_server() {
  {
    const std::lock_guard lock{mutex_};
    stopping_ = true;
  }
  if (timers_.joinable()) timers_.join();
}

bool store_server::start() {
  timers_ = std::thread{[this] { run_timers(); }};
  return std::all_of(listeners_.begin(), listeners_.end(),
                     [](auto& listener) { return listener->start(); });
}

void store_server::put(const std::string& topic, const std::string& key, const std::string& value) {
  const std::lock_guard lock{mutex_};
  add(partitions_[{topic, 0}], static_cast<char>(key.size()) + key + value);
  answer_reads();
}

std::string store_server::newest(const std::string& topic, const std::string& key) {
  const std::lock_guard lock{mutex_};
  const auto& values = partitions_[{topic, 0}].newest;
  const auto found = values.find(key);
  return found == values.end() ? std::string{} : found->second.value;
}

void store_server::set_down(bool down) {
  const std::lock_guard lock{mutex_};
  down_ = down;
}

void store_server::delay_caller_appends(std::int64_t ms) {
  const std::lock_guard lock{mutex_};
  caller_delay_ms_ = ms;
}

std::string store_server::shown(std::size_t node, bool workers, const std::string& key,
                                const std::string& value) const {
  auto out = value;
  const auto at = workers ? out.find(node_mark) : std::string::npos;
  if (at != std::string::npos) out.replace(at, node_mark.size(), address_at_(key, node));
  return out;
}

void store_server::handle(std::size_t node, const rest_request& request,
                          const rest_responder& respond) {
  const auto topic = query_value(request.target, "topic");
  const std::lock_guard lock{mutex_};
  if (!topic) return respond({.status = 404});
  if (down_) return respond({.status = 503});
  auto& part = partitions_[{*topic, number_in(request, "part", 0)}];
  const bool workers = *topic == worker_topic;
  if (request.target.starts_with("/api/log-append")) return append(part, request, respond);
  if (request.target.starts_with("/api/log-read")) {
    return read(node, workers, part, request, respond);
  }
  list(node, workers, part, request, respond);
}

void store_server::add(partition& to, std::string content) {
  const auto key = key_of(content);
  auto value = content.substr(1 + key.size());
  if (value.empty()) {
    to.newest.erase(key);
  } else {
    to.newest[key] = {.value = std::move(value), .offset = to.records.size()};
  }
  to.records.push_back(std::move(content));
}

void store_server::add_all(partition& to, std::string_view body) {
  constexpr std::size_t length_bytes = 4;
  while (body.size() >= length_bytes) {
    const auto length = read_big_endian(body.substr(0, length_bytes));
    add(to, std::string{body.substr(length_bytes, length)});
    body.remove_prefix(length_bytes + length);
  }
}

void store_server::answer_later(const rest_responder& respond, int status, std::string body) {
  delayed_.emplace_back(record_.now_ms() + append_ms, [respond, status, text = std::move(body)] {
    respond(json_response(status, text));
  });
}

void store_server::append(partition& to, const rest_request& request,
                          const rest_responder& respond) {
  const auto name = query_value(request.target, "producer");
  if (caller_delay_ms_ > 0 && carries_caller_records(request.body)) {
    // The writer of a sequence repeats its number before that, so that this one is void then.
    if (name) return;
    delayed_.emplace_back(record_.now_ms() + caller_delay_ms_,
                          [this, &to, respond, body = request.body] {
                            const std::lock_guard lock{mutex_};
                            add_all(to, body);
                            answer_reads();
                          });
    return;
  }
  producer_state* producer = name ? &to.producers[*name] : nullptr;
  const auto sequence = number_in(request, "sequence", 0);
  if (producer != nullptr) {
    const auto epoch = number_in(request, "epoch", 0);
    if (epoch < producer->epoch) return answer_later(respond, 409, R"({"reason":"fenced"})");
    if (epoch > producer->epoch) *producer = {.epoch = epoch, .next = sequence};
    for (const auto& former : producer->last) {
      if (former.sequence == sequence) return answer_later(respond, 200, former.answer);
    }
    if (sequence != producer->next) return answer_later(respond, 409, R"({"reason":"seq"})");
  }
  const auto first = to.records.size();
  add_all(to, request.body);
  const auto body = json{{"offset", first}, {"endOffset", to.records.size()}}.dump();
  if (producer != nullptr) {
    producer->next = sequence + 1;
    producer->last.push_back({.sequence = sequence, .answer = body});
    if (producer->last.size() > remembered_appends) producer->last.erase(producer->last.begin());
  }
  answer_later(respond, 200, body);
  answer_reads();
}

void store_server::read(std::size_t node, bool workers, partition& from,
                        const rest_request& request, const rest_responder& respond) {
  constexpr std::uint64_t default_kb = 1'024;
  const auto wait = static_cast<std::int64_t>(number_in(request, "waitMs", 0));
  reads_.push_back({.node = node,
                    .workers = workers,
                    .from = &from,
                    .offset = number_in(request, "from", 0),
                    .max_bytes = number_in(request, "maxKb", default_kb) * 1'024,
                    .answer_by = record_.now_ms() + wait,
                    .respond = respond});
  answer_reads();
}

void store_server::list(std::size_t node, bool workers, const partition& from,
                        const rest_request& request, const rest_responder& respond) {
  const auto after = query_value(request.target, "dependencies");
  json items = json::array();
  std::size_t bytes = 0;
  auto at = after ? from.newest.upper_bound(*after) : from.newest.begin();
  for (; at != from.newest.end() && items.size() < page_items && bytes < page_bytes; ++at) {
    bytes += at->second.value.size();
    const auto value = shown(node, workers, at->first, at->second.value);
    items.push_back({{"key", at->first},
                     {"value", restinio::utils::base64::encode(value)},
                     {"offset", at->second.offset}});
  }
  const json body{
      {"items", items}, {"hasMore", at != from.newest.end()}, {"endOffset", from.records.size()}};
  respond(json_response(200, body.dump()));
}

// Answers reads for which records are there or whose time is over.
void store_server::answer_reads() {
  const auto now = record_.now_ms();
  std::erase_if(reads_, [&](const waiting_read& waiting) {
    const auto& records = waiting.from->records;
    if (records.size() <= waiting.offset && now < waiting.answer_by) return false;
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (auto i = waiting.offset; i < records.size(); ++i) {
      const bool full = i > waiting.offset && body.size() + records[i].size() > waiting.max_bytes;
      if (full) break;
      const auto content = shown(waiting.node, waiting.workers, key_of(records[i]), records[i]);
      body += big_endian(content.size(), 4) + content;
    }
    waiting.respond({.status = 200, .body = std::move(body)});
    return true;
  });
}

void store_server::run_timers() {
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
    std::vector<std::function<void()>> due;
    {
      const std::lock_guard lock{mutex_};
      if (stopping_) return;
      answer_reads();
      const auto now = record_.now_ms();
      std::erase_if(delayed_, [&](auto& entry) {
        if (entry.first > now) return false;
        due.push_back(std::move(entry.second));
        return true;
      });
    }
    for (const auto& call : due) call();
  }
}

}  // namespace coltsfoot::testing
