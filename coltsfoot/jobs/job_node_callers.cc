// The part of a node that serves callers and other nodes' questions.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_node.h"

namespace coltsfoot::jobs {
namespace {

// How long a node waits for the owner to take a notice. A notice that is lost is read in the
// journal.
constexpr duration notice_timeout{500};

// Time kept back from a caller's deadline for the answer's way.
constexpr duration answer_margin{100};

accepted_job accepted_from(const caller_request& request, const queue_config& queue,
                           const job_id& id, wall_time wall) {
  return {.id = id,
          .queue = queue.id,
          .service = queue.service,
          .priority = queue.priority,
          .max_attempts = queue.max_attempts,
          .slack_factor = queue.slack_factor,
          .latency_target = queue.latency_target,
          .accepted_at = wall,
          .spec = *request.spec};
}

}  // namespace

void job_node::on(const caller_request& request) {
  open_calls_.insert(request.call);
  if (!config_) {
    return answer(request.call, {.verdict = caller_verdict::unavailable,
                                 .retry_after = options_.retry_after,
                                 .detail = "no configuration yet"});
  }
  const auto* queue = config_->match(request.host, request.path);
  if (queue == nullptr) return answer(request.call, {.verdict = caller_verdict::no_such_queue});
  const std::string name = request.path.substr(queue->path_prefix.size());
  if (request.action == caller_action::count ||
      (name.empty() && request.action == caller_action::query)) {
    return answer(request.call,
                  {.verdict = caller_verdict::counted, .pending = table_.pending(queue->id)});
  }
  if (name.empty() || name.find('/') != std::string::npos) {
    return answer(request.call,
                  {.verdict = caller_verdict::malformed, .detail = "no job id in the path"});
  }
  const job_id id{name};
  switch (request.action) {
    case caller_action::submit:
      return submit(request, *queue, id);
    case caller_action::cancel:
      return cancel(request, id);
    case caller_action::query:
      return query(request, id);
    case caller_action::count:
      return;
  }
}

void job_node::submit(const caller_request& request, const queue_config& queue, const job_id& id) {
  if (!request.spec) {
    return answer(request.call,
                  {.verdict = caller_verdict::malformed, .detail = request.spec.error()});
  }
  if (const auto fault = fault_of(*request.spec)) {
    return answer(request.call, {.verdict = caller_verdict::malformed, .detail = *fault});
  }
  if (table_.find(id) != nullptr) {
    return answer(request.call, {.verdict = caller_verdict::accepted});
  }
  append_for_caller(request, acceptance_record(accepted_from(request, queue, id, wall_)),
                    caller_verdict::accepted);
}

void job_node::cancel(const caller_request& request, const job_id& id) {
  const auto* known = table_.find(id);
  if (known == nullptr) {
    if (!journal_is_fresh()) {
      return answer(request.call,
                    {.verdict = caller_verdict::gone_wrong, .retry_after = options_.retry_after});
    }
    return answer(request.call, {.verdict = caller_verdict::no_such_job});
  }
  if (known->ended() || known->cancel_requested) {
    return answer(request.call, {.verdict = caller_verdict::cancelled});
  }
  append_for_caller(request, cancellation_record(id), caller_verdict::cancelled);
}

void job_node::query(const caller_request& request, const job_id& id) {
  const auto* known = table_.find(id);
  const bool final_state = known != nullptr && (known->ended() || known->cancel_requested);
  const bool ask = !owner_ && !final_state && claim_.fence != 0 && !claim_.resigned &&
                   claim_.node != options_.node;
  if (!ask) return answer_state(request.call, id);
  const auto call = new_call();
  peer_queries_.emplace(call, peer_query{.caller = request.call, .job = id});
  push(ask_peer{.call = call,
                .address = claim_.peer_address,
                .request = job_query{.job = id.value},
                .timeout = options_.peer_timeout});
}

void job_node::answer_state(call_id call, const job_id& id) {
  const auto* known = table_.find(id);
  if (known != nullptr) {
    return answer(call, {.verdict = caller_verdict::state,
                         .state = owner_ ? owner_->visible_state(*known) : state_of(*known)});
  }
  if (journal_is_fresh()) return answer(call, {.verdict = caller_verdict::no_such_job});
  answer(call, {.verdict = caller_verdict::gone_wrong,
                .retry_after = options_.retry_after,
                .detail = "the journal can't be read"});
}

bool job_node::journal_is_fresh() const {
  return jobs_.caught_up() && jobs_.last_success() && now_ - *jobs_.last_success() < options_.fresh;
}

void job_node::answer(call_id call, caller_answer answer) {
  ++stats_.answers[answer.verdict];
  open_calls_.erase(call);
  push(answer_caller_call{.call = call, .answer = std::move(answer)});
}

// --- Appends for callers ---

void job_node::append_for_caller(const caller_request& request, keyed_record record,
                                 caller_verdict verdict) {
  auto& entry = caller_appends_[record.key];
  const auto deadline = now_ + std::max(request.time_left - answer_margin, duration{0});
  if (entry.calls.empty()) {
    entry.record = std::move(record);
    entry.verdict = verdict;
    entry.arrived = now_;
    entry.give_up = deadline;
  }
  entry.give_up = std::min(entry.give_up, deadline);
  entry.calls.push_back(request.call);
}

void job_node::send_caller_appends() {
  if (caller_append_call_ != 0 || caller_appends_.empty() || now_ < next_caller_append_) return;
  std::vector<keyed_record> records;
  for (const auto& [key, entry] : caller_appends_) {
    records.push_back(entry.record);
    caller_batch_.insert(key);
  }
  caller_append_call_ = new_call();
  ++stats_.appends;
  push(append_to_jobs{.call = caller_append_call_,
                      .records = std::move(records),
                      .timeout = options_.append_timeout});
}

void job_node::on_caller_append_ended(append_verdict verdict) {
  caller_append_call_ = 0;
  const auto keys = std::exchange(caller_batch_, {});
  if (verdict != append_verdict::recorded) {
    next_caller_append_ = now_ + options_.append_retry;
    for (const auto& key : keys) {
      const auto found = caller_appends_.find(key);
      if (found == caller_appends_.end()) continue;
      if (verdict != append_verdict::not_recorded) found->second.doubtful = true;
    }
    return expire_caller_appends();
  }
  for (const auto& key : keys) {
    const auto found = caller_appends_.find(key);
    if (found == caller_appends_.end()) continue;
    const auto entry = std::move(found->second);
    caller_appends_.erase(found);
    log(severity::info, fmt::format("event=caller_record key={} outcome=recorded waited_ms={}",
                                    log_value(entry.record.key), (now_ - entry.arrived).count()));
    apply_job_record(entry.record);
    notify_owner(entry.record);
    for (const auto call : entry.calls) answer(call, {.verdict = entry.verdict});
  }
}

void job_node::expire_caller_appends() {
  for (auto at = caller_appends_.begin(); at != caller_appends_.end();) {
    const auto& [key, entry] = *at;
    const bool under_way = caller_batch_.contains(key);
    const bool refused = !entry.doubtful && !under_way && caller_append_call_ == 0 &&
                         now_ - entry.arrived >= options_.submit_patience;
    const bool out_of_time = now_ >= entry.give_up;
    if (!refused && !out_of_time) {
      ++at;
      continue;
    }
    const bool certain = !entry.doubtful && !under_way;
    const auto verdict = !certain ? caller_verdict::outcome_unknown
                         : entry.verdict == caller_verdict::accepted ? caller_verdict::unavailable
                                                                     : caller_verdict::gone_wrong;
    log(severity::warning,
        fmt::format("event=caller_record key={} outcome={} waited_ms={}", log_value(key),
                    name_of(verdict), (now_ - entry.arrived).count()));
    for (const auto call : entry.calls) {
      answer(call, {.verdict = verdict,
                    .retry_after = options_.retry_after,
                    .detail = "the journal can't be written"});
    }
    at = caller_appends_.erase(at);
  }
}

void job_node::notify_owner(const keyed_record& record) {
  if (owner_ || claim_.fence == 0 || claim_.resigned || claim_.node == options_.node) return;
  push(ask_peer{.call = new_call(),
                .address = claim_.peer_address,
                .request = job_notice{.key = record.key, .value = record.value},
                .timeout = notice_timeout});
}

// --- Other nodes ---

void job_node::on(const peer_asked& event) {
  if (const auto* notice = std::get_if<job_notice>(&event.request)) {
    if (owner_) apply_job_record({.key = notice->key, .value = notice->value});
    return push(answer_peer{.call = event.call, .reply = job_notice_reply{.taken = is_owner()}});
  }
  if (const auto* query = std::get_if<job_query>(&event.request)) {
    job_query_reply reply{.owner = is_owner()};
    const auto* known = owner_ ? table_.find(job_id{query->job}) : nullptr;
    if (known != nullptr) {
      reply.known = true;
      reply.state = name_of(owner_->visible_state(*known));
    }
    return push(answer_peer{.call = event.call, .reply = std::move(reply)});
  }
  push(refuse_peer{.call = event.call});
}

void job_node::on(const peer_answered& event) {
  const auto found = peer_queries_.find(event.call);
  if (found == peer_queries_.end()) return;  // the result of a notice
  const auto query = found->second;
  peer_queries_.erase(found);
  const auto* reply = event.result ? std::get_if<job_query_reply>(&*event.result) : nullptr;
  if (reply != nullptr && reply->owner && reply->known) {
    if (const auto state = parse_name<job_state>(reply->state)) {
      return answer(query.caller, {.verdict = caller_verdict::state, .state = *state});
    }
  }
  answer_state(query.caller, query.job);
}

}  // namespace coltsfoot::jobs
