#include "coltsfoot/transport/http_server.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/transport/internal/operator_body.h"
#include "coltsfoot/transport/internal/rest_listener.h"

namespace coltsfoot {
namespace {

using internal::rest_listener;
using internal::rest_request;
using internal::rest_responder;
using internal::rest_response;

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view admin_prefix = "/v1/admin/";

std::string dump(const nlohmann::json& value) {
  // Text of callers and backend servers may be invalid UTF-8, which must not throw here.
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

rest_response json_response(int status, const nlohmann::json& body) {
  return {.status = status,
          .headers = {{.name = "Content-Type", .value = "application/json"}},
          .body = dump(body)};
}

rest_response text_response(int status, std::string body) {
  return {.status = status,
          .headers = {{.name = "Content-Type", .value = "text/plain; version=0.0.4"}},
          .body = std::move(body)};
}

int status_of(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::deadline:
      return 504;
    case refusal_reason::not_permitted:
      return 403;
    case refusal_reason::unknown_customer:
      return 404;
    case refusal_reason::bad_request:
      return 400;
    case refusal_reason::duplicate:
    case refusal_reason::outcome_unknown:
    case refusal_reason::id_too_old:
      return 409;
    case refusal_reason::backend_failed:
      return 502;
    case refusal_reason::overloaded:
    case refusal_reason::no_backend:
    case refusal_reason::log_unavailable:
    case refusal_reason::not_owner:
    case refusal_reason::recovering:
    case refusal_reason::shutting_down:
      return 503;
  }
  return 503;
}

rest_response refusal_response(const service_answer& answer) {
  const auto status = status_of(answer.reason);
  auto response = json_response(status, {{"reason", answer.reason},
                                         {"executed", answer.executed},
                                         {"retry_after_ms", answer.retry_after},
                                         {"detail", answer.detail}});
  response.headers.push_back(
      {.name = "coltsfoot-execution", .value = std::string{name_of(answer.executed)}});
  if (status == 503) {
    // The header has a resolution of one second.
    const auto seconds = std::max<std::int64_t>(1, (answer.retry_after.count() + 999) / 1000);
    response.headers.push_back({.name = "Retry-After", .value = std::to_string(seconds)});
  }
  return response;
}

rest_response bad_request(int status, std::string detail) {
  auto response = refusal_response({.reason = refusal_reason::bad_request,
                                    .executed = execution::not_run,
                                    .detail = std::move(detail)});
  response.status = status;
  return response;
}

// `repeated`: the id was sent before, and what became of the earlier calls is not known here.
rest_response shutting_down_response(bool repeated, duration retry_after) {
  auto response = refusal_response({.reason = refusal_reason::shutting_down,
                                    .executed = repeated ? execution::unknown : execution::not_run,
                                    .retry_after = retry_after,
                                    .detail = "the node is shutting down"});
  response.close = true;
  return response;
}

rest_response answer_response(const service_answer& answer) {
  if (!answer.answered) return refusal_response(answer);
  rest_response response{.status = answer.status, .body = answer.body};
  for (auto& header : internal::end_to_end_headers(answer.headers)) {
    if (internal::equals_ignoring_case(header.name, "coltsfoot-execution")) continue;
    response.headers.push_back(std::move(header));
  }
  response.headers.push_back({.name = "coltsfoot-execution", .value = "ran"});
  return response;
}

std::optional<std::int64_t> parse_number(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

tl::expected<duration, std::string> parse_deadline(const rest_request& request,
                                                   const http_server_options& options) {
  const auto* text = request.header("coltsfoot-deadline-ms");
  if (text == nullptr) return options.default_deadline;
  const auto value = parse_number(*text);
  if (!value || *value <= 0) {
    return tl::unexpected(std::string{"coltsfoot-deadline-ms must be a positive number"});
  }
  return std::min(duration{*value}, options.longest_deadline);
}

tl::expected<void, std::string> parse_flag(const rest_request& request, const std::string& name,
                                           bool& out) {
  const auto* text = request.header(name);
  if (text == nullptr) return {};
  if (*text != "true" && *text != "false") return tl::unexpected(name + " must be true or false");
  out = *text == "true";
  return {};
}

tl::expected<void, std::string> parse_kind(const rest_request& request, service_request& out) {
  if (auto flag = parse_flag(request, "coltsfoot-idempotent", out.idempotent); !flag) return flag;
  if (auto flag = parse_flag(request, "coltsfoot-repeated", out.repeated); !flag) return flag;
  if (const auto* text = request.header("coltsfoot-urgency")) {
    const auto parsed = parse_name<urgency>(*text);
    if (!parsed) {
      return tl::unexpected(std::string{"coltsfoot-urgency must be urgent or deferrable"});
    }
    out.priority = *parsed;
  }
  const auto* issued = request.header("coltsfoot-issued-at-ms");
  if (issued != nullptr) {
    const auto value = parse_number(*issued);
    if (!value || *value <= 0) {
      return tl::unexpected(std::string{"coltsfoot-issued-at-ms must be a positive number"});
    }
    out.issued_at = wall_time{duration{*value}};
  } else if (!out.idempotent) {
    return tl::unexpected(
        std::string{"coltsfoot-issued-at-ms is required for non-idempotent requests"});
  }
  return {};
}

// `path` is the target behind the services prefix: "<service>/<rest>".
tl::expected<service_request, std::string> parse_service_request(
    rest_request request, const http_server_options& options) {
  const auto path = std::string_view{request.target}.substr(services_prefix.size());
  const auto end = std::min(path.find_first_of("/?"), path.size());
  const auto rest = path.substr(end);
  service_request out;
  out.service = service_id{std::string{path.substr(0, end)}};
  out.target = rest.starts_with('/') ? "" : "/";
  out.target += rest;
  if (out.service.empty()) return tl::unexpected(std::string{"the target names no service"});
  const auto* customer_name = request.header("coltsfoot-customer");
  if (customer_name == nullptr || customer_name->empty()) {
    return tl::unexpected(std::string{"coltsfoot-customer is required"});
  }
  out.customer = customer_id{*customer_name};
  const auto* id = request.header("coltsfoot-request-id");
  if (id == nullptr || id->empty()) {
    return tl::unexpected(std::string{"coltsfoot-request-id is required"});
  }
  out.id = request_id{*id};
  if (const auto kind = parse_kind(request, out); !kind) return tl::unexpected(kind.error());
  const auto deadline = parse_deadline(request, options);
  if (!deadline) return tl::unexpected(deadline.error());
  out.time_left = *deadline;
  out.method = request.method;
  for (auto& header : internal::end_to_end_headers(request.headers)) {
    const auto is_own =
        header.name.size() > 10 &&
        internal::equals_ignoring_case(std::string_view{header.name}.substr(0, 10), "coltsfoot-");
    if (!is_own) out.headers.push_back(std::move(header));
  }
  out.body = std::move(request.body);
  return out;
}

// Returns what is wrong with the size of a request, or nothing.
std::optional<std::string> size_fault(const rest_request& request,
                                      const http_server_options& options) {
  if (request.body.size() > options.max_body_bytes) {
    return "body larger than " + std::to_string(options.max_body_bytes) + " bytes";
  }
  if (request.target.size() > options.max_target_bytes) {
    return "target longer than " + std::to_string(options.max_target_bytes) + " bytes";
  }
  if (request.headers.size() > options.max_header_count) {
    return "more than " + std::to_string(options.max_header_count) + " headers";
  }
  const bool is_large = std::any_of(
      request.headers.begin(), request.headers.end(),
      [&](const auto& header) { return header.value.size() > options.max_header_value_bytes; });
  if (is_large) {
    return "header longer than " + std::to_string(options.max_header_value_bytes) + " bytes";
  }
  return std::nullopt;
}

struct caller_call {
  rest_responder respond;
  bool repeated = false;
  std::shared_ptr<void> in_progress;
};

enum class served_api { callers, operators, both };

}  // namespace

class http_server::impl : public std::enable_shared_from_this<http_server::impl> {
 public:
  impl(http_server_options options, http_server_handlers handlers, log_sink log)
      : options_(std::move(options)), handlers_(std::move(handlers)), log_(std::move(log)) {}

  tl::expected<void, transport_error> start() {
    const bool shared = options_.share_listener ||
                        (options_.callers == options_.operators && options_.callers.port != 0);
    callers_ = make_listener(options_.callers, shared ? served_api::both : served_api::callers);
    if (auto started = callers_->start(); !started) return started;
    if (shared) return {};
    operators_ = make_listener(options_.operators, served_api::operators);
    return operators_->start();
  }

  void stop() {
    if (callers_) callers_->stop();
    if (operators_) operators_->stop();
    const std::scoped_lock lock{mutex_};
    caller_calls_.clear();
    operator_calls_.clear();
  }

  std::uint16_t caller_port() const { return callers_ ? callers_->port() : 0; }
  std::uint16_t operator_port() const { return operators_ ? operators_->port() : caller_port(); }

  void answer_caller(call_id call, const service_answer& answer) {
    auto pending = take(caller_calls_, call);
    if (!pending) return;
    auto response = answer_response(answer);
    response.close = draining_;
    response.until_written = std::move(pending->in_progress);
    pending->respond(std::move(response));
  }

  void answer_operator(call_id call, const operator_reply& reply) {
    const auto respond = take(operator_calls_, call);
    if (!respond) return;
    const int status = std::holds_alternative<operator_error>(reply) ? 503 : 200;
    (*respond)(json_response(status, reply));
  }

  void set_ready(bool ready) { ready_ = ready; }

  void begin_drain() {
    const std::scoped_lock lock{mutex_};
    draining_ = true;
  }

  void refuse_open_calls() {
    std::unordered_map<call_id, caller_call> open;
    {
      const std::scoped_lock lock{mutex_};
      draining_ = true;
      open.swap(caller_calls_);
    }
    for (auto& [id, call] : open) {
      count(&http_server_stats::refused_draining);
      auto response = shutting_down_response(call.repeated, options_.retry_after);
      response.until_written = std::move(call.in_progress);
      call.respond(std::move(response));
    }
  }

  std::size_t in_progress() const { return *in_progress_; }

  // Only after `start`, which makes the listeners.
  http_server_stats stats() const {
    http_server_stats out;
    {
      const std::scoped_lock lock{mutex_};
      out = stats_;
    }
    for (const auto* listener : {callers_.get(), operators_.get()}) {
      if (listener == nullptr) continue;
      const auto counts = listener->stats();
      out.connections += counts.connections;
      out.rejected_connections += counts.rejected_connections;
      out.received_body_bytes += counts.received_body_bytes;
      out.sent_body_bytes += counts.sent_body_bytes;
    }
    return out;
  }

 private:
  std::unique_ptr<rest_listener> make_listener(const listen_address& address, served_api api) {
    // The listener's own bounds only close the connection. They are wider than those that are
    // answered with a message.
    return std::make_unique<rest_listener>(
        internal::rest_listener_options{
            .ip = address.ip,
            .port = address.port,
            .threads = 2,
            .max_body_bytes = listener_body_bytes(options_.max_body_bytes),
            .max_header_value_bytes = 2 * options_.max_header_value_bytes,
            .max_header_count = 2 * options_.max_header_count,
            .max_target_bytes = 2 * options_.max_target_bytes,
            .max_connections = options_.max_connections,
            .idle_timeout = options_.idle_timeout,
            .answer_timeout = options_.longest_deadline + duration{60'000},
            .clients = options_.clients,
            .refusal = refusal_response({.reason = refusal_reason::overloaded,
                                         .executed = execution::not_run,
                                         .retry_after = options_.retry_after,
                                         .detail = "too many requests wait for their answers"})},
        [this, api](rest_request request, const rest_responder& respond) {
          serve(api, std::move(request), respond);
        });
  }

  void serve(served_api api, rest_request request, const rest_responder& respond) {
    if (const auto fault = size_fault(request, options_)) {
      return reject(respond, bad_request(413, *fault));
    }
    const std::string_view target = request.target;
    const auto path = target.substr(0, target.find('?'));
    if (path == "/healthz") return respond(text_response(200, "ok\n"));
    if (path == "/readyz") {
      const bool ready = ready_ && !draining_;
      return respond(text_response(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    }
    if (api != served_api::operators && target.starts_with(services_prefix)) {
      return serve_caller(std::move(request), respond);
    }
    if (api != served_api::callers) {
      if (path == "/metrics") {
        return respond(text_response(200, handlers_.metrics ? handlers_.metrics() : ""));
      }
      if (path.starts_with(admin_prefix)) return serve_operator(request, respond);
    }
    reject(respond, bad_request(404, "unknown path"));
  }

  void serve_caller(rest_request request, const rest_responder& respond) {
    auto parsed = parse_service_request(std::move(request), options_);
    if (!parsed) return reject(respond, bad_request(400, parsed.error()));
    const auto call = add_caller_call(respond, parsed->repeated);
    if (!call) {
      count(&http_server_stats::refused_draining);
      return respond(shutting_down_response(parsed->repeated, options_.retry_after));
    }
    count(&http_server_stats::caller_requests);
    handlers_.on_caller(*call, std::move(*parsed));
  }

  void serve_operator(const rest_request& request, const rest_responder& respond) {
    if (request.method != "POST") return reject(respond, bad_request(405, "use POST"));
    const auto name = std::string_view{request.target}.substr(admin_prefix.size());
    auto parsed = internal::decode_operator_body(name, request.body);
    if (!parsed) return reject(respond, bad_request(400, parsed.error()));
    const auto call = add_operator_call(respond);
    count(&http_server_stats::operator_requests);
    handlers_.on_operator(call, std::move(*parsed));
  }

  void reject(const rest_responder& respond, rest_response response) {
    count(&http_server_stats::malformed);
    if (log_) {
      log_(severity::warning,
           "event=http_request_rejected status=" + std::to_string(response.status) +
               " answer=" + log_value(response.body));
    }
    respond(std::move(response));
  }

  // Returns nothing if the server drains.
  std::optional<call_id> add_caller_call(const rest_responder& respond, bool repeated) {
    const std::scoped_lock lock{mutex_};
    if (draining_) return std::nullopt;
    ++*in_progress_;
    std::shared_ptr<void> guard{nullptr, [counter = in_progress_](void*) { --*counter; }};
    caller_calls_.emplace(
        ++last_call_,
        caller_call{.respond = respond, .repeated = repeated, .in_progress = std::move(guard)});
    return last_call_;
  }

  call_id add_operator_call(const rest_responder& respond) {
    const std::scoped_lock lock{mutex_};
    operator_calls_.emplace(++last_call_, respond);
    return last_call_;
  }

  template <typename Pending>
  std::optional<Pending> take(std::unordered_map<call_id, Pending>& calls, call_id call) {
    const std::scoped_lock lock{mutex_};
    const auto found = calls.find(call);
    if (found == calls.end()) return std::nullopt;
    auto pending = std::move(found->second);
    calls.erase(found);
    return pending;
  }

  void count(std::uint64_t http_server_stats::* counter) {
    const std::scoped_lock lock{mutex_};
    ++(stats_.*counter);
  }

  http_server_options options_;
  http_server_handlers handlers_;
  log_sink log_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> draining_{false};  // set under `mutex_`: no caller's call is added after it
  // Shared with answers that are being written.
  std::shared_ptr<std::atomic<std::size_t>> in_progress_ =
      std::make_shared<std::atomic<std::size_t>>(0);
  // The listeners are destroyed after the calls, whose responders refer to them.
  std::unique_ptr<rest_listener> callers_;
  std::unique_ptr<rest_listener> operators_;
  mutable std::mutex mutex_;
  std::unordered_map<call_id, caller_call> caller_calls_;
  std::unordered_map<call_id, rest_responder> operator_calls_;
  call_id last_call_ = 0;
  http_server_stats stats_;
};

http_server::http_server(http_server_options options, http_server_handlers handlers, log_sink log)
    : impl_(std::make_shared<impl>(std::move(options), std::move(handlers), std::move(log))) {}
http_server::~http_server() {
  stop();
}
tl::expected<void, transport_error> http_server::start() {
  return impl_->start();
}
void http_server::stop() {
  impl_->stop();
}
std::uint16_t http_server::caller_port() const {
  return impl_->caller_port();
}
std::uint16_t http_server::operator_port() const {
  return impl_->operator_port();
}
void http_server::answer_caller(call_id call, const service_answer& answer) {
  impl_->answer_caller(call, answer);
}
void http_server::answer_operator(call_id call, const operator_reply& reply) {
  impl_->answer_operator(call, reply);
}
void http_server::set_ready(bool ready) {
  impl_->set_ready(ready);
}
void http_server::begin_drain() {
  impl_->begin_drain();
}
void http_server::refuse_open_calls() {
  impl_->refuse_open_calls();
}
std::size_t http_server::in_progress() const {
  return impl_->in_progress();
}
http_server_stats http_server::stats() const {
  return impl_->stats();
}

}  // namespace coltsfoot
