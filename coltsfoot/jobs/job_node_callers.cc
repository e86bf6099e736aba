// The part of a node that serves callers and other nodes' questions.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_node.h"

namespace coltsfoot::jobs {
namespace {

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
  context_.open_calls.emplace(request.call, request.path);
  if (!config_ || !layout().decided()) {
    return context_.answer(request.call, {.verdict = caller_verdict::unavailable,
                                          .retry_after = context_.options.retry_after,
                                          .detail = "starting"});
  }
  const auto* queue = config_->match(request.host, request.path);
  if (queue == nullptr) {
    if (configuration_is_fresh()) {
      return context_.answer(request.call, {.verdict = caller_verdict::no_such_queue});
    }
    // A newer configuration may have it.
    return context_.answer(request.call, {.verdict = caller_verdict::unavailable,
                                          .retry_after = context_.options.retry_after,
                                          .detail = "the configuration is being read"});
  }
  const std::string name = request.path.substr(queue->path_prefix.size());
  if (request.action == caller_action::count ||
      (name.empty() && request.action == caller_action::query)) {
    if (!journals_are_read()) {
      return context_.answer(request.call, {.verdict = caller_verdict::gone_wrong,
                                            .retry_after = context_.options.retry_after,
                                            .detail = "the journal is being read"});
    }
    return context_.answer(request.call,
                           {.verdict = caller_verdict::counted, .pending = pending(queue->id)});
  }
  if (name.empty() || name.find('/') != std::string::npos) {
    return context_.answer(
        request.call, {.verdict = caller_verdict::malformed, .detail = "no job id in the path"});
  }
  if (name.size() > most_job_id_bytes) {
    return context_.answer(
        request.call, {.verdict = caller_verdict::malformed, .detail = "the job id is too long"});
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

job_node::found_job job_node::find(const job_id& id) {
  for (auto& shard : shards_) {
    const auto* known = shard->table().find(id);
    if (known != nullptr && !known->accepted.partial) {
      return {.shard = shard.get(), .record = known};
    }
  }
  return {};
}

bool job_node::journals_are_read() const {
  return std::all_of(shards_.begin(), shards_.end(),
                     [](const auto& shard) { return shard->caught_up(); });
}

bool job_node::journals_are_fresh() const {
  return std::all_of(shards_.begin(), shards_.end(),
                     [](const auto& shard) { return shard->is_fresh(); });
}

bool job_node::journals_include(time_point time) const {
  return std::all_of(shards_.begin(), shards_.end(),
                     [time](const auto& shard) { return shard->includes(time); });
}

// A node that reads the journals rarely would let a caller wait for its next read.
void job_node::hurry_journals_behind(time_point time) {
  for (auto& shard : shards_) {
    if (!shard->includes(time)) shard->hurry_journal();
  }
}

bool job_node::configuration_is_fresh() const {
  const auto read_at = configuration_.last_success();
  return configuration_.caught_up() && read_at &&
         context_.now - *read_at < context_.options.store_silence;
}

std::size_t job_node::pending(const queue_id& queue) const {
  std::size_t sum = 0;
  for (const auto& shard : shards_) sum += shard->table().pending(queue);
  return sum;
}

void job_node::submit(const caller_request& request, const queue_config& queue, const job_id& id) {
  if (!request.spec) {
    return context_.answer(request.call,
                           {.verdict = caller_verdict::malformed, .detail = request.spec.error()});
  }
  if (const auto fault = fault_of(*request.spec)) {
    return context_.answer(request.call, {.verdict = caller_verdict::malformed, .detail = *fault});
  }
  if (find(id).shard != nullptr) {
    return context_.answer(request.call, {.verdict = caller_verdict::accepted});
  }
  auto record = acceptance_record(accepted_from(request, queue, id, context_.wall));
  if (size_of(record) > context_.options.store.record_bytes) {
    return context_.answer(request.call, {.verdict = caller_verdict::malformed,
                                          .detail = "is too large to be recorded"});
  }
  auto& shard = *shards_.at(layout().shard_of_job(id, *request.spec));
  if (!has_memory_for(request, shard, id)) {
    return context_.answer(request.call, {.verdict = caller_verdict::overloaded,
                                          .retry_after = context_.options.retry_after,
                                          .detail = "the jobs take too much memory"});
  }
  shard.append_for_caller(request, std::move(record), caller_verdict::accepted);
}

// A job that may be accepted already, as an earlier call asked, can't be refused as never run.
bool job_node::has_memory_for(const caller_request& request, const job_shard& shard,
                              const job_id& id) {
  if (shard.may_be_accepted(id)) return true;
  return memory_.admit(
      bytes_of_job(*request.spec), [this] { return bytes_of_jobs(); }, context_.now);
}

std::size_t job_node::bytes_of_jobs() const {
  std::size_t bytes = 0;
  for (const auto& shard : shards_) {
    for (const auto& [id, known] : shard->table()) bytes += bytes_of_job(known);
  }
  return bytes;
}

void job_node::cancel(const caller_request& request, const job_id& id) {
  const auto found = find(id);
  if (found.shard == nullptr) return cancel_unknown(request, id);
  // An end that is not in the journal may be unknown to the next owner, which would go on.
  const auto state = found.shard->shown_state(*found.record);
  if (state != job_state::queued && state != job_state::running) {
    return context_.answer(request.call, {.verdict = caller_verdict::cancelled});
  }
  found.shard->append_for_caller(request, cancellation_record(id), caller_verdict::cancelled);
}

// Another node may just have accepted the job. That nobody was told so is shown by a read of the
// journals that was sent after the call had arrived.
void job_node::cancel_unknown(const caller_request& request, const job_id& id) {
  if (!journals_are_fresh() || context_.refuses_waiting) return refuse_cancel(request.call);
  unproved_cancels_.emplace(
      request.call, unproved_cancel{.request = request, .job = id, .arrived = context_.now});
}

void job_node::settle_unproved_cancels() {
  for (auto& [call, waiting] : std::exchange(unproved_cancels_, {})) {
    const auto time_left = waiting.request.time_left - (context_.now - waiting.arrived);
    if (find(waiting.job).shard != nullptr) {
      waiting.request.time_left = time_left;
      cancel(waiting.request, waiting.job);
    } else if (journals_include(waiting.arrived)) {
      waiting.request.time_left = time_left;
      cancel_in_all_shards(waiting.request, waiting.job);
    } else if (time_left <= context_.options.answer_margin || !journals_are_fresh() ||
               context_.refuses_waiting) {
      refuse_cancel(call);
    } else {
      hurry_journals_behind(waiting.arrived);
      unproved_cancels_.emplace(call, std::move(waiting));
    }
  }
}

// The append of an acceptance that got no answer, at any node, may still be carried out: a job that
// is accepted after the record of its cancellation never starts. Which shard it would belong to
// depends on its specification, which is not known.
void job_node::cancel_in_all_shards(const caller_request& request, const job_id& id) {
  context_.log(severity::info,
               fmt::format("event=unknown_job_cancelled job={} shards={} time_left_ms={}",
                           log_value(id.value), shards_.size(), request.time_left.count()));
  context_.split(request.call, shards_.size());
  for (auto& shard : shards_) {
    shard->append_for_caller(request, cancellation_record(id), caller_verdict::no_such_job);
  }
}

void job_node::refuse_cancel(call_id call) {
  context_.answer(call, {.verdict = caller_verdict::gone_wrong,
                         .retry_after = context_.options.retry_after,
                         .detail = "the journal can't be read"});
}

void job_node::query(const caller_request& request, const job_id& id) {
  auto found = find(id);
  const bool final_state =
      found.record != nullptr && (found.record->ended() || found.record->cancel_requested);
  // An unknown job can be asked for at its owner only if it is known which shard it belongs to.
  auto* shard =
      found.shard != nullptr ? found.shard : shards_.at(layout().shard_of_job(id, {})).get();
  const bool own_copy_decides = final_state || !shard->has_other_owner();
  if (own_copy_decides || context_.refuses_waiting) return answer_state(request.call, id);
  const auto call = context_.new_call();
  peer_queries_.emplace(call, peer_query{.caller = request.call, .job = id});
  context_.push(ask_peer{.call = call,
                         .address = shard->claim().peer_address,
                         .request = job_query{.shard = shard->number(), .job = id.value},
                         .timeout = context_.options.peer_timeout});
}

void job_node::answer_state(call_id call, const job_id& id) {
  const auto found = find(id);
  if (found.record != nullptr) {
    return context_.answer(
        call, {.verdict = caller_verdict::state, .state = found.shard->shown_state(*found.record)});
  }
  const bool may_come = std::any_of(shards_.begin(), shards_.end(), [&](const auto& shard) {
    return shard->may_be_accepted_late(id);
  });
  if (journals_are_fresh() && !may_come) {
    return context_.answer(call, {.verdict = caller_verdict::no_such_job});
  }
  context_.answer(call, {.verdict = caller_verdict::gone_wrong,
                         .retry_after = context_.options.retry_after,
                         .detail = may_come ? "the outcome of the job's acceptance is unknown"
                                            : "the journal can't be read"});
}

// --- Other nodes ---

void job_node::on(const peer_asked& event) {
  if (const auto* notice = std::get_if<job_notice>(&event.request)) {
    const bool known = notice->shard < shards_.size() && shards_[notice->shard]->is_owner();
    if (known) shards_[notice->shard]->on_notice({.key = notice->key, .value = notice->value});
    return context_.push(
        answer_peer{.call = event.call, .reply = job_notice_reply{.taken = known}});
  }
  if (const auto* commit = std::get_if<journal_records>(&event.request)) {
    return commit_records(event.call, *commit);
  }
  if (const auto* query = std::get_if<job_query>(&event.request)) {
    const bool owned = query->shard < shards_.size() && shards_[query->shard]->is_owner();
    job_query_reply reply{.owner = owned};
    const auto* known = owned ? shards_[query->shard]->table().find(job_id{query->job}) : nullptr;
    if (known != nullptr && !known->accepted.partial) {
      reply.known = true;
      reply.state = name_of(shards_[query->shard]->shown_state(*known));
    }
    return context_.push(answer_peer{.call = event.call, .reply = std::move(reply)});
  }
  context_.push(refuse_peer{.call = event.call});
}

void job_node::commit_records(call_id call, const journal_records& message) {
  if (message.shard >= shards_.size()) {
    const journal_records_reply reply{.fate = record_fate::not_recorded};
    return context_.push(answer_peer{.call = call, .reply = reply});
  }
  std::vector<keyed_record> records;
  records.reserve(message.records.size());
  for (const auto& [key, value] : message.records) records.push_back({.key = key, .value = value});
  shards_[message.shard]->on_commit_request(call, std::move(records));
}

void job_node::on(const peer_answered& event) {
  for (auto& shard : shards_) {
    if (shard->on_peer_answered(event)) return;
  }
  const auto found = peer_queries_.find(event.call);
  if (found == peer_queries_.end()) return;  // the result of a notice
  const auto query = found->second;
  peer_queries_.erase(found);
  const auto* reply = event.result ? std::get_if<job_query_reply>(&*event.result) : nullptr;
  if (reply != nullptr && reply->owner && reply->known) {
    if (const auto state = parse_name<job_state>(reply->state)) {
      return context_.answer(query.caller, {.verdict = caller_verdict::state, .state = *state});
    }
  }
  answer_state(query.caller, query.job);
}

}  // namespace coltsfoot::jobs
