#include "coltsfoot/platform/http_worker.h"

#include <utility>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot {
namespace {

tl::expected<worker_sync_reply, worker_protocol_error> decode_reply(const http_response& response) {
  if (response.status != 200) {
    return tl::unexpected(worker_protocol_error{"status " + std::to_string(response.status)});
  }
  auto reply = decode_msgpack<worker_sync_reply>(response.body);
  if (!reply) return tl::unexpected(worker_protocol_error{reply.error().message});
  return std::move(*reply);
}

}  // namespace

http_worker::http_worker(http_client& client, log_sink log)
    : client_(client), log_(std::move(log)) {}

void http_worker::sync(const std::string& address, const worker_sync_request& request,
                       duration timeout, sync_callback done) {
  http_request call{.method = "POST",
                    .url = "http://" + address + "/v1/sync",
                    .headers = {{.name = "Content-Type", .value = "application/msgpack"}},
                    .body = encode_msgpack(request),
                    .timeout = timeout};
  client_.send(
      std::move(call), [log = log_, address, done = std::move(done)](const http_result& result) {
        const auto fail = [&](platform_failure failure, const std::string& detail) {
          if (log) {
            log(severity::warning, "event=worker_sync_failed worker=" + log_value(address) +
                                       " failure=" + std::string{name_of(failure)} +
                                       " error=" + log_value(detail));
          }
          done(tl::unexpected(failure));
        };
        if (!result) {
          const bool not_sent = result.error().kind == http_failure::not_sent;
          return fail(not_sent ? platform_failure::not_reached : platform_failure::unknown,
                      result.error().detail);
        }
        auto reply = decode_reply(*result);
        if (!reply) return fail(platform_failure::unknown, reply.error().message);
        done(std::move(*reply));
      });
}

}  // namespace coltsfoot
