#include "coltsfoot/standin/log_standin.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace coltsfoot {
namespace {

using internal::json_answer;
using internal::rest_request;
using internal::rest_responder;
using internal::rest_response;
using internal::status_answer;

constexpr std::string_view streams_prefix = "/v1/streams/";
// Bounds one page; a reader asks again for the rest.
constexpr std::size_t max_page_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::uint64_t default_page_entries = 1000;

std::uint64_t query_number(std::string_view target, std::string_view name, std::uint64_t missing) {
  const auto text = internal::query_value(target, name);
  if (!text) return missing;
  std::uint64_t value = 0;
  const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
  return parsed.ec == std::errc{} ? value : missing;
}

}  // namespace

log_standin::log_standin(log_standin_options options)
    : switches_(options.switches),
      server_(options.port, [this](const rest_request& request, const rest_responder& respond) {
        handle(request, respond);
      }) {}

void log_standin::handle(const rest_request& request, const rest_responder& respond) {
  if (request.target == "/control") return control(request, respond);
  if (!request.target.starts_with(streams_prefix)) return respond(status_answer(404));
  auto answer = status_answer(503, "down");
  if (!switches_.down) {
    const auto end = std::min(request.target.find('?'), request.target.size());
    const auto name = internal::url_decode(std::string_view{request.target}.substr(
        streams_prefix.size(), end - streams_prefix.size()));
    answer = request.method == "POST" ? append(name, request.body) : read(name, request.target);
  }
  if (switches_.slow_ms <= 0) return respond(std::move(answer));
  server_.after(duration{switches_.slow_ms}, [respond, answer] { respond(answer); });
}

rest_response log_standin::append(const std::string& name, const std::string& payload) {
  auto& stream = streams_[name];
  const auto now = internal::monotonic_now();
  const log_offset offset = stream.first + stream.entries.size();
  stream.entries.push_back({.payload = payload, .appended_at = now});
  ++appends_;
  append_bytes_ += payload.size();
  trim(stream, now);
  if (switches_.lose_append_answers > 0) {
    --switches_.lose_append_answers;
    ++lost_answers_;
    return {.drop = true};
  }
  return json_answer({{"offset", offset}});
}

rest_response log_standin::read(const std::string& name, const std::string& target) {
  ++reads_;
  auto& stream = streams_[name];
  trim(stream, internal::monotonic_now());
  log_page page{.first_retained = stream.first, .next = stream.first + stream.entries.size()};
  const auto max = query_number(target, "max", default_page_entries);
  std::size_t bytes = 0;
  for (auto offset = std::max(query_number(target, "from", 0), stream.first);
       offset < page.next && page.entries.size() < max && bytes < max_page_bytes; ++offset) {
    const auto& payload = stream.entries[offset - stream.first].payload;
    bytes += payload.size();
    page.entries.push_back({.offset = offset, .payload = payload});
  }
  return {.headers = {{.name = "Content-Type", .value = "application/msgpack"}},
          .body = encode_msgpack(page)};
}

void log_standin::trim(stream& stream, time_point now) const {
  const auto is_over = [&] {
    if (stream.entries.empty()) return false;
    const auto limit = switches_.retention_entries;
    if (limit > 0 && stream.entries.size() > static_cast<std::size_t>(limit)) return true;
    return switches_.retention_ms > 0 &&
           now - stream.entries.front().appended_at >= duration{switches_.retention_ms};
  };
  while (is_over()) {
    stream.entries.pop_front();
    ++stream.first;
  }
}

void log_standin::control(const rest_request& request, const rest_responder& respond) {
  if (request.method == "POST" && !internal::update_switches(switches_, request.body)) {
    return respond(status_answer(400, "invalid switches"));
  }
  nlohmann::json streams = nlohmann::json::object();
  for (auto& [name, stream] : streams_) {
    trim(stream, internal::monotonic_now());
    streams[name] = {{"first_retained", stream.first},
                     {"next", stream.first + stream.entries.size()}};
  }
  respond(json_answer({{"switches", switches_},
                       {"appends", appends_},
                       {"append_bytes", append_bytes_},
                       {"lost_answers", lost_answers_},
                       {"reads", reads_},
                       {"streams", streams}}));
}

}  // namespace coltsfoot
