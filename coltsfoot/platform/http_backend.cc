#include "coltsfoot/platform/http_backend.h"

#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/transport/internal/rest_listener.h"

namespace coltsfoot {
namespace {

// The target goes into the request line as it is.
tl::expected<void, backend_protocol_error> check_target(const std::string& target) {
  if (!target.starts_with('/')) {
    return tl::unexpected(backend_protocol_error{"the target is no path: " + target});
  }
  if (target.find_first_of(" #") != std::string::npos) {
    return tl::unexpected(backend_protocol_error{"invalid character in target"});
  }
  return {};
}

service_answer refusal(refusal_reason reason, execution executed, std::string detail) {
  return {.reason = reason, .executed = executed, .detail = std::move(detail)};
}

}  // namespace

http_backend::http_backend(http_client& client, log_sink log)
    : client_(client), log_(std::move(log)) {}

void http_backend::call(const std::string& address, service_request request, duration timeout,
                        backend_callback done) {
  if (const auto checked = check_target(request.target); !checked) {
    return done(refusal(refusal_reason::bad_request, execution::not_run, checked.error().message));
  }
  http_request call{.method = std::move(request.method),
                    .url = "http://" + address + request.target,
                    .headers = internal::end_to_end_headers(request.headers),
                    .body = std::move(request.body),
                    .timeout = timeout};
  call.headers.push_back({.name = "coltsfoot-request-id", .value = request.id.value});
  call.headers.push_back({.name = "coltsfoot-customer", .value = request.customer.value});
  client_.send(std::move(call), [log = log_, address, id = request.id.value,
                                 done = std::move(done)](http_result result) {
    if (!result) {
      const bool not_sent = result.error().kind == http_failure::not_sent;
      const auto executed = not_sent ? execution::not_run : execution::unknown;
      if (log) {
        log(severity::warning, "event=backend_call_failed backend=" + log_value(address) +
                                   " request=" + log_value(id) +
                                   " executed=" + std::string{name_of(executed)} +
                                   " error=" + log_value(result.error().detail));
      }
      return done(refusal(refusal_reason::backend_failed, executed, result.error().detail));
    }
    done({.answered = true,
          .status = result->status,
          .headers = internal::end_to_end_headers(result->headers),
          .body = std::move(result->body),
          .executed = execution::ran});
  });
}

}  // namespace coltsfoot
