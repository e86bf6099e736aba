#include "coltsfoot/platform/http_log.h"

#include <utility>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot {
namespace {

tl::expected<log_offset, log_protocol_error> decode_offset(const http_response& response) {
  if (response.status != 200) {
    return tl::unexpected(log_protocol_error{"status " + std::to_string(response.status)});
  }
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  const auto offset = body.is_object() ? body.find("offset") : body.end();
  if (offset == body.end() || !offset->is_number_unsigned()) {
    return tl::unexpected(log_protocol_error{"answer without an offset"});
  }
  return offset->get<log_offset>();
}

tl::expected<log_page, log_protocol_error> decode_page(const http_response& response) {
  if (response.status != 200) {
    return tl::unexpected(log_protocol_error{"status " + std::to_string(response.status)});
  }
  auto page = decode_msgpack<log_page>(response.body);
  if (!page) return tl::unexpected(log_protocol_error{page.error().message});
  return std::move(*page);
}

void report(const log_sink& log, const char* event, const std::string& stream, log_failure failure,
            const std::string& detail) {
  if (!log) return;
  log(severity::warning, std::string{"event="} + event + " stream=" + log_value(stream) +
                             " failure=" + std::string{name_of(failure)} +
                             " error=" + log_value(detail));
}

}  // namespace

http_log::http_log(http_client& client, http_log_options options, log_sink log)
    : client_(client), options_(std::move(options)), log_(std::move(log)) {}

void http_log::append(const std::string& stream, std::string payload, append_callback done) {
  http_request request{.method = "POST",
                       .url = options_.url + "/v1/streams/" + url_encode(stream),
                       .headers = {{.name = "Content-Type", .value = "application/octet-stream"}},
                       .body = std::move(payload),
                       .timeout = options_.timeout};
  client_.send(std::move(request),
               [log = log_, stream, done = std::move(done)](const http_result& result) {
                 const auto fail = [&](log_failure failure, const std::string& detail) {
                   report(log, "log_append_failed", stream, failure, detail);
                   done(tl::unexpected(failure));
                 };
                 if (!result) {
                   const bool not_sent = result.error().kind == http_failure::not_sent;
                   return fail(not_sent ? log_failure::unavailable : log_failure::unknown,
                               result.error().detail);
                 }
                 // The protocol reserves 503 for "certainly not written".
                 if (result->status == 503) return fail(log_failure::unavailable, "status 503");
                 const auto offset = decode_offset(*result);
                 if (!offset) return fail(log_failure::unknown, offset.error().message);
                 done(*offset);
               });
}

void http_log::read(const std::string& stream, log_offset from, std::uint32_t max_entries,
                    read_callback done) {
  http_request request{.method = "GET",
                       .url = options_.url + "/v1/streams/" + url_encode(stream) + "?from=" +
                              std::to_string(from) + "&max=" + std::to_string(max_entries),
                       .timeout = options_.timeout};
  client_.send(std::move(request),
               [log = log_, stream, done = std::move(done)](const http_result& result) {
                 const auto fail = [&](const std::string& detail) {
                   report(log, "log_read_failed", stream, log_failure::unavailable, detail);
                   done(tl::unexpected(log_failure::unavailable));
                 };
                 if (!result) return fail(result.error().detail);
                 auto page = decode_page(*result);
                 if (!page) return fail(page.error().message);
                 done(std::move(*page));
               });
}

}  // namespace coltsfoot
