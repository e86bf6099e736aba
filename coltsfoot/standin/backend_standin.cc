#include "coltsfoot/standin/backend_standin.h"

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

std::string header_or_empty(const rest_request& request, std::string_view name) {
  const auto* value = request.header(name);
  return value == nullptr ? std::string{} : *value;
}

duration run_time(const rest_request& request) {
  const auto text = internal::query_value(request.target, "ms").value_or("0");
  std::int64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return duration{std::max<std::int64_t>(ms, 0)};
}

}  // namespace

backend_standin::backend_standin(backend_standin_options options)
    : slots_(options.slots),
      switches_(options.switches),
      server_(options.port, [this](const rest_request& request, const rest_responder& respond) {
        handle(request, respond);
      }) {}

// Waiting requests refer to the listener, so they go first.
backend_standin::~backend_standin() {
  server_.stop();
  waiting_.clear();
}

void backend_standin::handle(const rest_request& request, const rest_responder& respond) {
  if (request.target == "/control") return control(request, respond);
  if (switches_.down) return respond({.drop = true});
  const auto in_progress = running_ + static_cast<std::int64_t>(waiting_.size()) + 1;
  max_concurrent_ = std::max(max_concurrent_, in_progress);
  if (running_ >= slots_) {
    waiting_.push_back([this, request, respond] { run(request, respond); });
  } else {
    run(request, respond);
  }
}

void backend_standin::run(const rest_request& request, const rest_responder& respond) {
  ++running_;
  const auto id = header_or_empty(request, "coltsfoot-request-id");
  journal_.push_back({{"request_id", id},
                      {"customer", header_or_empty(request, "coltsfoot-customer")},
                      {"method", request.method},
                      {"target", request.target},
                      {"at_ms", internal::wall_now()}});
  server_.after(run_time(request) + duration{switches_.slow_ms},
                [this, id, respond] { finish(id, respond); });
}

void backend_standin::finish(const std::string& request_id, const rest_responder& respond) {
  --running_;
  respond(answer_for(request_id));
  if (waiting_.empty()) return;
  const auto next = std::move(waiting_.front());
  waiting_.pop_front();
  next();
}

rest_response backend_standin::answer_for(const std::string& request_id) {
  const auto is_due = [](std::int64_t& remaining) {
    if (remaining <= 0) return false;
    --remaining;
    return true;
  };
  if (is_due(switches_.fail)) return status_answer(500, "injected failure");
  if (is_due(switches_.lose_answers)) return {.drop = true};
  auto answer = json_answer({{"request_id", request_id}});
  if (is_due(switches_.truncate_answers)) {
    answer.announced_length = answer.body.size();
    answer.body.resize(answer.body.size() / 2);
  }
  return answer;
}

void backend_standin::control(const rest_request& request, const rest_responder& respond) {
  if (request.method == "POST" && !internal::update_switches(switches_, request.body)) {
    return respond(status_answer(400, "invalid switches"));
  }
  respond(json_answer({{"switches", switches_},
                       {"slots", slots_},
                       {"running", running_},
                       {"waiting", waiting_.size()},
                       {"max_concurrent", max_concurrent_},
                       {"journal", journal_}}));
}

}  // namespace coltsfoot
