#include "review/standin/store_standin.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace review {
namespace {

using coltsfoot::internal::query_value;
using nlohmann::json;

constexpr std::int64_t append_ms = 4;
constexpr std::size_t page_items = 500;
constexpr std::size_t page_bytes = std::size_t{1024} * 1024;
constexpr std::size_t remembered_appends = 5;

std::int64_t steady_ms() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::uint64_t number_in(const rest_request& request, const char* name, std::uint64_t fallback) {
  const auto text = query_value(request.target, name);
  return text ? std::stoull(*text) : fallback;
}

std::string big_endian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) out.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
  return out;
}

std::uint64_t read_big_endian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const unsigned char byte : bytes) value = (value << 8U) | byte;
  return value;
}

std::string base64(std::string_view bytes) {
  constexpr std::string_view digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto part = bytes.substr(i, 3);
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = (group << 8U) | (k < part.size() ? static_cast<unsigned char>(part[k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out.push_back(k <= part.size() ? digits[(group >> (18 - 6 * k)) & 0x3fU] : '=');
    }
  }
  return out;
}

rest_response json_response(int status, const json& body) {
  return {.status = status,
          .headers = {{.name = "Content-Type", .value = "application/json"}},
          .body = body.dump()};
}

}  // namespace

store_standin::store_standin()
    : listener_({.threads = 2}, [this](const rest_request& request, const rest_responder& respond) {
        handle(request, respond);
      }) {}

store_standin::~store_standin() {
  {
    const std::lock_guard lock{mutex_};
    stopping_ = true;
  }
  if (timers_.joinable()) timers_.join();
}

bool store_standin::start() {
  timers_ = std::thread{[this] { run_timers(); }};
  return listener_.start().has_value();
}

std::string store_standin::address() const {
  return "127.0.0.1:" + std::to_string(listener_.port());
}

void store_standin::put(const std::string& topic, const std::string& key,
                        const std::string& value) {
  const std::lock_guard lock{mutex_};
  add(partitions_[{topic, 0}], static_cast<char>(key.size()) + key + value);
  answer_reads();
}

void store_standin::delay_caller_appends(std::int64_t ms) {
  const std::lock_guard lock{mutex_};
  caller_delay_ms_ = ms;
}

std::pair<std::size_t, std::size_t> store_standin::appends() const {
  const std::lock_guard lock{mutex_};
  return {appends_, unanswered_};
}

std::optional<std::string> store_standin::newest(const std::string& topic,
                                                 const std::string& key) const {
  const std::lock_guard lock{mutex_};
  const auto found = partitions_.find({topic, 0});
  if (found == partitions_.end()) return std::nullopt;
  const auto value = found->second.newest.find(key);
  if (value == found->second.newest.end()) return std::nullopt;
  return value->second.value;
}

void store_standin::handle(const rest_request& request, const rest_responder& respond) {
  const auto topic = query_value(request.target, "topic");
  if (!topic) return respond({.status = 404});
  const std::lock_guard lock{mutex_};
  auto& part = partitions_[{*topic, number_in(request, "part", 0)}];
  if (request.target.starts_with("/api/log-append")) return append(part, request, respond);
  if (request.target.starts_with("/api/log-read")) return read(part, request, respond);
  if (request.target.starts_with("/api/log-newest")) return list(part, request, respond);
  respond({.status = 404});
}

void store_standin::add(partition& to, std::string content) {
  const auto key_size = static_cast<unsigned char>(content.front());
  const auto key = content.substr(1, key_size);
  auto value = content.substr(1 + key_size);
  if (value.empty()) {
    to.newest.erase(key);
  } else {
    to.newest[key] = {.value = std::move(value), .offset = to.records.size()};
  }
  to.records.push_back(std::move(content));
}

void store_standin::add_all(partition& to, std::string_view body) {
  while (body.size() >= 4) {
    const auto length = read_big_endian(body.substr(0, 4));
    add(to, std::string{body.substr(4, length)});
    body.remove_prefix(4 + length);
  }
}

void store_standin::append(partition& to, const rest_request& request,
                           const rest_responder& respond) {
  const auto answer_later = [&](int status, const json& body) {
    delayed_.emplace_back(steady_ms() + append_ms,
                          [respond, response = json_response(status, body)] { respond(response); });
  };
  ++appends_;
  const auto name = query_value(request.target, "producer");
  if (!name && caller_delay_ms_ > 0) {
    ++unanswered_;
    silent_.push_back(respond);
    delayed_.emplace_back(steady_ms() + caller_delay_ms_, [this, &to, body = request.body] {
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
    if (epoch < producer->epoch) return answer_later(409, {{"reason", "fenced"}});
    if (epoch > producer->epoch) {
      *producer = {.epoch = epoch, .next = sequence};
    }
    for (const auto& former : producer->last) {
      if (former.sequence == sequence) return answer_later(200, json::parse(former.answer));
    }
    if (sequence != producer->next) {
      return answer_later(409, {{"reason", "seq"}, {"sequence", producer->next}});
    }
  }
  const auto first = to.records.size();
  add_all(to, request.body);
  const json body{{"offset", first}, {"endOffset", to.records.size()}};
  if (producer != nullptr) {
    producer->next = sequence + 1;
    producer->last.push_back({.sequence = sequence, .answer = body.dump()});
    if (producer->last.size() > remembered_appends) producer->last.erase(producer->last.begin());
  }
  answer_later(200, body);
  answer_reads();
}

void store_standin::read(partition& from, const rest_request& request,
                         const rest_responder& respond) {
  reads_.push_back(
      {.from = &from,
       .offset = number_in(request, "from", 0),
       .max_bytes = number_in(request, "maxKb", 1024) * 1024,
       .answer_by = steady_ms() + static_cast<std::int64_t>(number_in(request, "waitMs", 0)),
       .respond = respond});
  answer_reads();
}

void store_standin::list(partition& from, const rest_request& request,
                         const rest_responder& respond) {
  const auto after = query_value(request.target, "dependencies");
  json items = json::array();
  std::size_t bytes = 0;
  auto at = after ? from.newest.upper_bound(coltsfoot::internal::url_decode(*after))
                  : from.newest.begin();
  for (; at != from.newest.end() && items.size() < page_items && bytes < page_bytes; ++at) {
    bytes += at->second.value.size();
    items.push_back(
        {{"key", at->first}, {"value", base64(at->second.value)}, {"offset", at->second.offset}});
  }
  respond(json_response(200, {{"items", items},
                              {"hasMore", at != from.newest.end()},
                              {"endOffset", from.records.size()}}));
}

// Answers reads for which records are there or whose time is over.
void store_standin::answer_reads() {
  const auto now = steady_ms();
  std::erase_if(reads_, [now](const waiting_read& waiting) {
    const auto& records = waiting.from->records;
    if (records.size() <= waiting.offset && now < waiting.answer_by) return false;
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (auto i = waiting.offset; i < records.size(); ++i) {
      const bool full = i > waiting.offset && body.size() + records[i].size() > waiting.max_bytes;
      if (full) break;
      body += big_endian(records[i].size(), 4) + records[i];
    }
    waiting.respond({.status = 200, .body = std::move(body)});
    return true;
  });
}

void store_standin::run_timers() {
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
    std::vector<std::function<void()>> due;
    {
      const std::lock_guard lock{mutex_};
      if (stopping_) return;
      answer_reads();
      const auto now = steady_ms();
      std::erase_if(delayed_, [&](auto& entry) {
        if (entry.first > now) return false;
        due.push_back(std::move(entry.second));
        return true;
      });
    }
    for (const auto& call : due) call();
  }
}

}  // namespace review
