// The part of a shard that records what callers ask for.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_shard.h"

namespace coltsfoot::jobs {
namespace {

// How long a node waits for the owner to take a notice. A notice that is lost is read in the
// journal.
constexpr duration notice_timeout{500};

// The time between two appends for callers that fail doubles up to this many times.
constexpr std::uint32_t most_append_doublings = 4;

// The store may execute an append that it has not answered this much later.
constexpr duration late_append_time{10'000};

}  // namespace

// Tells a caller that a record was certainly not made. `verdict` is what it would have been told.
void job_shard::refuse(call_id call, caller_verdict verdict, std::string detail) {
  context_.refuse(call, verdict == caller_verdict::accepted, std::move(detail));
}

void job_shard::append_for_caller(const caller_request& request, keyed_record record,
                                  caller_verdict verdict) {
  const auto deadline =
      context_.now + std::max(request.time_left - context_.options.answer_margin, duration{0});
  const auto open = caller_appends_.find(record.key);
  if (open != caller_appends_.end()) {
    open->second.give_up = std::min(open->second.give_up, deadline);
    open->second.calls.push_back(request.call);
    return;
  }
  // Without an answer to the newest read, the store is away: the caller can come back later.
  const bool store_away = !journal_.healthy_since();
  const bool doubtful = may_be_recorded_late(record.key);
  if (store_away || context_.refuses_waiting) {
    if (doubtful) return answer_unknown(request.call);
    return refuse(request.call, verdict,
                  store_away ? "the journal can't be written" : "the node is shutting down");
  }
  auto key = record.key;
  caller_appends_.emplace(std::move(key), caller_append{.record = std::move(record),
                                                        .calls = {request.call},
                                                        .verdict = verdict,
                                                        .arrived = context_.now,
                                                        .give_up = deadline,
                                                        .doubtful = doubtful});
}

void job_shard::send_caller_appends() {
  if (caller_append_call_ != 0 || caller_appends_.empty() || context_.now < next_caller_append_)
    return;
  std::vector<keyed_record> records;
  records.reserve(caller_appends_.size());
  for (const auto& [key, entry] : caller_appends_) records.push_back(entry.record);
  records.resize(end_of_append(records, 0, context_.options.store));
  for (const auto& record : records) caller_batch_.insert(record.key);
  caller_append_call_ = context_.new_call();
  committed_by_owner_ = false;
  if (owner_ && !resign_sent_) {
    commit_queue_.push_back(
        {.peer_call = std::nullopt, .records = std::move(records), .arrived = context_.now});
  } else if (may_ask_owner()) {
    ask_owner_to_commit(std::move(records));
  } else {
    append_for_callers(std::move(records));
  }
}

void job_shard::append_for_callers(std::vector<keyed_record> records) {
  ++context_.stats.appends;
  context_.push(append_to_jobs{.call = caller_append_call_,
                               .shard = number_,
                               .records = std::move(records),
                               .timeout = context_.options.append_timeout});
}

void job_shard::on_caller_append_ended(append_verdict verdict) {
  caller_append_call_ = 0;
  const auto keys = std::exchange(caller_batch_, {});
  if (verdict != append_verdict::recorded) {
    const auto doublings = std::min(failed_caller_appends_, most_append_doublings);
    next_caller_append_ = context_.now + context_.options.append_retry * (1U << doublings);
    ++failed_caller_appends_;
    for (const auto& key : keys) {
      const auto found = caller_appends_.find(key);
      if (found == caller_appends_.end()) continue;
      if (verdict != append_verdict::not_recorded) found->second.doubtful = true;
    }
    return expire_caller_appends();
  }
  failed_caller_appends_ = 0;
  for (const auto& key : keys) {
    const auto found = caller_appends_.find(key);
    if (found == caller_appends_.end()) continue;
    const auto entry = std::move(found->second);
    caller_appends_.erase(found);
    log(severity::info,
        fmt::format("event=caller_record key={} outcome=recorded waited_ms={} by_owner={}",
                    log_value(entry.record.key), (context_.now - entry.arrived).count(),
                    committed_by_owner_));
    apply(entry.record);
    if (!committed_by_owner_) notify_owner(entry.record);
    for (const auto call : entry.calls) context_.answer(call, {.verdict = entry.verdict});
  }
}

void job_shard::answer_unknown(call_id call) {
  context_.answer(call, {.verdict = caller_verdict::outcome_unknown,
                         .retry_after = context_.options.retry_after,
                         .detail = "the journal did not answer"});
}

bool job_shard::may_be_recorded_late(const std::string& key) const {
  return unknown_outcomes_.contains(key) || caller_batch_.contains(key);
}

bool job_shard::may_be_accepted_late(const job_id& id) const {
  return may_be_recorded_late(acceptance_key(id)) && !state_.table.early_cancels().contains(id);
}

bool job_shard::may_be_accepted(const job_id& id) const {
  const auto key = acceptance_key(id);
  return caller_appends_.contains(key) || may_be_recorded_late(key);
}

bool job_shard::is_expired(const std::string& key, const caller_append& entry) const {
  if (context_.now >= entry.give_up) return true;
  return !entry.doubtful && !caller_batch_.contains(key) && caller_append_call_ == 0 &&
         context_.now - entry.arrived >= context_.options.submit_patience;
}

void job_shard::answer_unrecorded(const std::string& key, const caller_append& entry) {
  const bool certain = !entry.doubtful && !caller_batch_.contains(key);
  const auto verdict = !certain                                    ? caller_verdict::outcome_unknown
                       : entry.verdict == caller_verdict::accepted ? caller_verdict::unavailable
                                                                   : caller_verdict::gone_wrong;
  log(severity::warning,
      fmt::format("event=caller_record key={} outcome={} waited_ms={}", log_value(key),
                  name_of(verdict), (context_.now - entry.arrived).count()));
  for (const auto call : entry.calls) {
    if (certain) {
      refuse(call, entry.verdict, "the journal can't be written");
    } else {
      answer_unknown(call);
    }
  }
  if (!certain) unknown_outcomes_[key] = context_.now;
}

void job_shard::expire_caller_appends() {
  std::erase_if(unknown_outcomes_, [this](const auto& outcome) {
    return context_.now - outcome.second >= late_append_time;
  });
  std::erase_if(caller_appends_, [this](const auto& item) {
    const auto& [key, entry] = item;
    if (!is_expired(key, entry)) return false;
    answer_unrecorded(key, entry);
    return true;
  });
}

void job_shard::end_caller_appends() {
  for (const auto& [key, entry] : std::exchange(caller_appends_, {})) answer_unrecorded(key, entry);
}

void job_shard::notify_owner(const keyed_record& record) {
  if (!has_other_owner()) return;
  context_.push(
      ask_peer{.call = context_.new_call(),
               .address = state_.claim.peer_address,
               .request = job_notice{.shard = number_, .key = record.key, .value = record.value},
               .timeout = notice_timeout});
}

}  // namespace coltsfoot::jobs
