#include "coltsfoot/standin/worker_standin.h"

#include <algorithm>
#include <charconv>

namespace coltsfoot {
namespace {

using internal::json_answer;
using internal::rest_request;
using internal::rest_responder;
using internal::status_answer;

// Tasks, leases and measurements are looked at this often without a call.
constexpr duration check_interval{5};
// Bounds the reports that wait for a call; the oldest are dropped.
constexpr std::size_t max_waiting_reports = 10'000;

bool is_active(const held_attempt& held) {
  return held.state == attempt_state::running || held.state == attempt_state::throttled;
}

duration parse_checkpoint(const std::string& text) {
  std::int64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return duration{ms};
}

wall_time to_wall(time_point at) {
  return internal::wall_now() - (internal::monotonic_now() - at);
}

}  // namespace

worker_standin::worker_standin(worker_standin_options options)
    : id_(std::move(options.id)),
      capacity_(options.capacity),
      switches_(options.switches),
      server_(options.port, [this](const rest_request& request, const rest_responder& respond) {
        handle(request, respond);
      }) {
  check_periodically();
}

// Calls that are held back refer to the listener, so they go first.
worker_standin::~worker_standin() {
  server_.stop();
  held_calls_.clear();
}

void worker_standin::check_periodically() {
  server_.after(check_interval, [this] {
    advance(internal::monotonic_now());
    check_periodically();
  });
}

void worker_standin::handle(const rest_request& request, const rest_responder& respond) {
  if (request.target == "/control") return control(request, respond);
  if (request.target != "/v1/sync" || request.method != "POST") return respond(status_answer(404));
  if (switches_.paused) {
    held_calls_.emplace_back(request, respond);
    return;
  }
  handle_sync(request, respond);
}

void worker_standin::handle_sync(const rest_request& request, const rest_responder& respond) {
  const auto call = decode_msgpack<worker_sync_request>(request.body);
  if (!call) return respond(status_answer(400, call.error().message));
  if (!id_.empty() && call->worker != id_) return respond(status_answer(400, "another worker"));
  const auto reply = sync(*call, internal::monotonic_now());
  if (switches_.lose_answers > 0) {
    --switches_.lose_answers;
    return respond({.drop = true});
  }
  internal::rest_response answer{
      .headers = {{.name = "Content-Type", .value = "application/msgpack"}},
      .body = encode_msgpack(reply)};
  if (switches_.slow_ms <= 0) return respond(std::move(answer));
  server_.after(duration{switches_.slow_ms}, [respond, answer] { respond(answer); });
}

worker_sync_reply worker_standin::sync(const worker_sync_request& request, time_point now) {
  advance(now);
  worker_sync_reply reply;
  if (request.rack_epoch < epoch_) {
    reply.status = sync_status::stale_epoch;
  } else if (request.rack_epoch == epoch_ && request.sequence <= sequence_) {
    reply.status = sync_status::stale_sequence;
  }
  if (reply.status == sync_status::accepted) {
    epoch_ = request.rack_epoch;
    sequence_ = request.sequence;
    lease_end_ = now + request.lease;
    for (const auto& attempt : request.release) {
      const auto found = tasks_.find(attempt);
      if (found != tasks_.end() && !is_active(found->second.held)) tasks_.erase(found);
    }
    for (const auto& command : request.commands) execute(command, now);
    while (!reports_.empty() && reports_.begin()->first <= now) {
      reply.usage.push_back(std::move(reports_.begin()->second));
      reports_.erase(reports_.begin());
    }
  } else {
    ++stale_calls_;
  }
  reply.rack_epoch = epoch_;
  for (const auto& [attempt, task] : tasks_) reply.held.push_back(task.held);
  return reply;
}

void worker_standin::execute(const worker_command& command, time_point now) {
  if (command.kind == worker_command_kind::start) return start_task(command, now);
  const auto found = tasks_.find(command.attempt);
  if (found == tasks_.end() || !is_active(found->second.held)) return;
  auto& task = found->second;
  switch (command.kind) {
    case worker_command_kind::throttle:
      task.held.state = attempt_state::throttled;
      return note("throttle", task.held, "", now);
    case worker_command_kind::unthrottle:
      task.held.state = attempt_state::running;
      return note("unthrottle", task.held, "", now);
    case worker_command_kind::checkpoint_and_stop:
      if (task.behaviour.checkpoint) task.held.checkpoint = std::to_string(task.progress.count());
      return end_task(task, attempt_state::stopped, "checkpoint_and_stop", now);
    case worker_command_kind::stop:
      return end_task(task, attempt_state::stopped, "stop", now);
    case worker_command_kind::start:
      return;
  }
}

void worker_standin::start_task(const worker_command& command, time_point now) {
  if (tasks_.contains(command.attempt)) return;
  auto behaviour = decode_json<fake_task>(command.spec.payload);
  const bool fits = !command.limit.is_negative() && (used() + command.limit).fits_in(capacity_);
  auto& task = tasks_[command.attempt];
  task.held = {.attempt = command.attempt, .limit = command.limit, .spec = command.spec};
  task.updated_at = now;
  task.next_report = now + duration{switches_.usage_interval_ms};
  task.progress = parse_checkpoint(command.checkpoint);
  if (!fits || !behaviour) {
    if (!fits) ++capacity_violations_;
    task.held.state = attempt_state::failed;
    task.held.started = false;
    task.held.reason = fits ? "invalid payload: " + behaviour.error().message : "over capacity";
    return note("refused", task.held, task.held.reason, now);
  }
  task.behaviour = std::move(*behaviour);
  note("start", task.held, "", now);
  if (switches_.fail_all) return end_task(task, attempt_state::failed, "injected failure", now);
  advance_task(task, now);
}

void worker_standin::end_task(running_task& task, attempt_state state, const std::string& reason,
                              time_point at) {
  task.held.state = state;
  if (state == attempt_state::failed) task.held.reason = reason;
  if (state == attempt_state::finished) task.held.result = task.behaviour.result;
  note(state == attempt_state::stopped ? "stop" : name_of(state).data(), task.held, reason, at);
}

// The end of the lease comes before anything that would happen after it.
void worker_standin::advance(time_point now) {
  const bool expired = lease_end_ && now >= *lease_end_;
  const auto until = expired ? *lease_end_ : now;
  bool any_stopped = false;
  for (auto& [attempt, task] : tasks_) {
    if (!is_active(task.held)) continue;
    advance_task(task, until);
    if (!expired || !is_active(task.held)) continue;
    if (task.behaviour.checkpoint) task.held.checkpoint = std::to_string(task.progress.count());
    end_task(task, attempt_state::stopped, "lease expired", now);
    any_stopped = true;
  }
  if (any_stopped) ++leases_expired_;
}

void worker_standin::advance_task(running_task& task, time_point until) {
  if (until > task.updated_at) {
    const auto elapsed = until - task.updated_at;
    // A throttled task runs at half speed.
    task.progress += task.held.state == attempt_state::throttled ? elapsed / 2 : elapsed;
    task.updated_at = until;
  }
  if (task.behaviour.run_ms >= 0 && task.progress >= duration{task.behaviour.run_ms}) {
    const bool fail = task.behaviour.fail;
    return end_task(task, fail ? attempt_state::failed : attempt_state::finished,
                    fail ? "the task failed" : "", until);
  }
  if (until >= task.next_report) measure(task, until);
}

void worker_standin::measure(running_task& task, time_point at) {
  task.next_report = at + duration{std::max<std::int64_t>(switches_.usage_interval_ms, 1)};
  const auto& behaviour = task.behaviour;
  usage_report report{.attempt = task.held.attempt,
                      .used = task.held.limit,
                      .slowdown = behaviour.slowdown,
                      .measured_at = to_wall(at)};
  if (behaviour.used_millicores >= 0) report.used.millicores = behaviour.used_millicores;
  if (behaviour.used_memory_mb >= 0) report.used.memory_mb = behaviour.used_memory_mb;
  for (const auto& [attempt, other] : tasks_) {
    if (&other == &task || !is_active(other.held)) continue;
    report.neighbour_classes.push_back(other.held.spec.interference_class);
  }
  reports_.emplace(at + duration{switches_.usage_lag_ms}, std::move(report));
  if (reports_.size() > max_waiting_reports) reports_.erase(reports_.begin());
}

resources worker_standin::used() const {
  resources sum;
  for (const auto& [attempt, task] : tasks_) {
    if (is_active(task.held)) sum += task.held.limit;
  }
  return sum;
}

void worker_standin::note(const char* event, const held_attempt& held, const std::string& reason,
                          time_point at) {
  const auto found = tasks_.find(held.attempt);
  const auto progress = found == tasks_.end() ? duration{0} : found->second.progress;
  journal_.push_back({{"event", event},
                      {"attempt", held.attempt},
                      {"reason", reason},
                      {"epoch", epoch_},
                      {"progress_ms", progress},
                      {"at_ms", to_wall(at)}});
}

void worker_standin::control(const rest_request& request, const rest_responder& respond) {
  advance(internal::monotonic_now());
  if (request.method == "POST") {
    if (!internal::update_switches(switches_, request.body)) {
      return respond(status_answer(400, "invalid switches"));
    }
    while (!switches_.paused && !held_calls_.empty()) {
      const auto [call, call_respond] = std::move(held_calls_.front());
      held_calls_.pop_front();
      handle_sync(call, call_respond);
    }
  }
  std::vector<held_attempt> held;
  held.reserve(tasks_.size());
  for (const auto& [attempt, task] : tasks_) held.push_back(task.held);
  respond(json_answer({{"switches", switches_},
                       {"epoch", epoch_},
                       {"sequence", sequence_},
                       {"capacity", capacity_},
                       {"used", used()},
                       {"held", held},
                       {"capacity_violations", capacity_violations_},
                       {"leases_expired", leases_expired_},
                       {"stale_calls", stale_calls_},
                       {"journal", journal_}}));
}

}  // namespace coltsfoot
