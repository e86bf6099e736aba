#include "late_start_proxy.h"

#include <utility>

namespace coltsfoot::review {

void late_start_proxy::receive(internal::rest_request request,
                               const internal::rest_responder& respond) {
  ++orders_;
  if (refuse_) return respond({.drop = true});
  if (hold_ && request.target == "/api/run-start") {
    keep_silent(respond);
    const std::lock_guard lock{mutex_};
    held_.push_back(std::move(request));
    return;
  }
  if (cut_) return keep_silent(respond);
  pass_on(request, [this, respond](const http_result& result) {
    if (cut_) return keep_silent(respond);
    if (!result) return respond({.drop = true});
    respond({.status = result->status,
             .headers = {{.name = "Content-Type", .value = "application/json"}},
             .body = result->body});
  });
}

void late_start_proxy::keep_silent(const internal::rest_responder& respond) {
  const std::lock_guard lock{mutex_};
  silent_.push_back(respond);
}

void late_start_proxy::pass_on(const internal::rest_request& request, http_client::callback done) {
  http_request out{.method = request.method,
                   .url = "http://" + worker_ + request.target,
                   .headers = {{.name = "Content-Type", .value = "application/json"}},
                   .body = request.body};
  if (const auto* expected = request.header("expected-instance")) {
    out.headers.push_back({.name = "Expected-Instance", .value = *expected});
  }
  http_.send(std::move(out), std::move(done));
}

std::vector<std::string> late_start_proxy::held_bodies() const {
  const std::lock_guard lock{mutex_};
  std::vector<std::string> bodies;
  for (const auto& request : held_) bodies.push_back(request.body);
  return bodies;
}

void late_start_proxy::release() {
  std::vector<internal::rest_request> held;
  {
    const std::lock_guard lock{mutex_};
    held = std::exchange(held_, {});
  }
  for (const auto& request : held) pass_on(request, [](const http_result&) {});
}

}  // namespace coltsfoot::review
