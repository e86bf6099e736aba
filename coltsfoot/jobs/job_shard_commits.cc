// The part of a shard that lets its owner record what callers ask for at any node.
//
// Load it answers: a store that carries out the appends to a journal one at a time, and slowly. If
// each node appended what its own callers ask for, the appends would queue until they fail, those
// of the owner too. One writer collects what has come while its former append was under way (group
// commit), so that the appends don't grow with the nodes or with the calls.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_shard.h"

namespace coltsfoot::jobs {
namespace {

// After an owner has failed to record something, this node appends by itself for this long, and
// for twice as long after each further failure.
constexpr duration owner_pause{2'000};
constexpr std::uint32_t most_pause_doublings = 3;

// The owner answers once its append under way and the next one have ended.
duration commit_timeout(const job_node_options& options) {
  return 2 * options.append_timeout;
}

append_verdict verdict_of(record_fate fate) {
  switch (fate) {
    case record_fate::recorded:
      return append_verdict::recorded;
    case record_fate::not_recorded:
      return append_verdict::not_recorded;
    case record_fate::unknown:
      break;
  }
  return append_verdict::unknown;
}

record_fate fate_of(const tl::expected<peer_reply, peer_failure>& result) {
  if (!result) {
    return result.error() == peer_failure::not_processed ? record_fate::not_recorded
                                                         : record_fate::unknown;
  }
  const auto* reply = std::get_if<journal_records_reply>(&*result);
  return reply == nullptr ? record_fate::not_recorded : reply->fate;
}

}  // namespace

// --- At the node that has the callers ---

// An owner that has failed is asked again once the journal shows that it lives.
bool job_shard::may_ask_owner() const {
  return has_other_owner() && context_.now >= ask_owner_again_ &&
         (failed_commits_ == 0 || owner_seen_ > owner_failed_);
}

void job_shard::ask_owner_to_commit(std::vector<keyed_record> records) {
  committed_by_owner_ = true;
  journal_records request{.shard = number_};
  request.records.reserve(records.size());
  for (auto& record : records) {
    request.records.push_back({.key = std::move(record.key), .value = std::move(record.value)});
  }
  context_.push(ask_peer{.call = caller_append_call_,
                         .address = state_.claim.peer_address,
                         .request = std::move(request),
                         .timeout = commit_timeout(context_.options)});
}

bool job_shard::on_peer_answered(const peer_answered& event) {
  if (event.call != caller_append_call_ || !committed_by_owner_) return false;
  const auto fate = fate_of(event.result);
  on_caller_append_ended(verdict_of(fate));
  if (fate == record_fate::recorded) {
    failed_commits_ = 0;
  } else if (!event.result || fate == record_fate::not_recorded) {
    on_owner_failed(fate);
  }
  // Otherwise the owner lives and waits for the store like everybody else.
  return true;
}

// What was left to a former owner may still be recorded. It is tried again with the present one.
void job_shard::on_owner_replaced() {
  if (caller_append_call_ != 0 && committed_by_owner_) {
    on_caller_append_ended(append_verdict::unknown);
    next_caller_append_ = context_.now;
  }
  failed_commits_ = 0;
  ask_owner_again_ = {};
}

void job_shard::on_owner_failed(record_fate fate) {
  const auto doublings = std::min(failed_commits_, most_pause_doublings);
  const auto pause = owner_pause * (1U << doublings);
  ++failed_commits_;
  owner_failed_ = context_.now;
  ask_owner_again_ = context_.now + pause;
  log(severity::info,
      fmt::format("event=owner_does_not_record owner={} fate={} direct_for_ms={}",
                  log_value_or_none(state_.claim.node), name_of(fate), pause.count()));
  next_caller_append_ = context_.now;
  failed_caller_appends_ = 0;
}

// --- At the owner ---

void job_shard::on_commit_request(call_id peer_call, std::vector<keyed_record> records) {
  commit_request request{
      .peer_call = peer_call, .records = std::move(records), .arrived = context_.now};
  const bool valid =
      std::all_of(request.records.begin(), request.records.end(), [this](const auto& record) {
        return is_caller_record(record) && size_of(record) <= context_.options.store.record_bytes;
      });
  if (!owner_ || resign_sent_ || !valid) return settle_commit(request, record_fate::not_recorded);
  commit_queue_.push_back(std::move(request));
}

// Whoever has asked for these takes their fate for unknown by now, and counts on it that they are
// not appended any more.
void job_shard::drop_late_commits() {
  std::vector<commit_request> late;
  std::erase_if(commit_queue_, [&](auto& request) {
    if (context_.now - request.arrived < commit_timeout(context_.options)) return false;
    late.push_back(std::move(request));
    return true;
  });
  settle_commits(late, record_fate::not_recorded);
}

// Adds waiting requests to the owner's batch, as far as one append carries them all.
void job_shard::take_commits() {
  drop_late_commits();
  own_records_ = owner_batch_.size();
  if (resign_sent_) return;
  auto waiting = std::exchange(commit_queue_, {});
  for (auto& request : waiting) {
    const auto before = owner_batch_.size();
    owner_batch_.insert(owner_batch_.end(), request.records.begin(), request.records.end());
    if (end_of_append(owner_batch_, 0, context_.options.store) == owner_batch_.size()) {
      commit_batch_.push_back(std::move(request));
    } else {
      owner_batch_.resize(before);
      commit_queue_.push_back(std::move(request));
    }
  }
}

// An append has failed. The owner repeats its own records; those of callers are tried once, as an
// append of the callers' node would, since they must not be recorded much later.
void job_shard::withdraw_commits(append_verdict verdict) {
  if (commit_batch_.empty()) return;
  owner_batch_.resize(own_records_);
  if (owner_batch_.empty()) owner_batch_ = {claim_record(state_.claim)};
  settle_commits(commit_batch_, verdict == append_verdict::not_recorded ? record_fate::not_recorded
                                                                        : record_fate::unknown);
}

void job_shard::settle_commit(const commit_request& request, record_fate fate) {
  if (!request.peer_call) return on_caller_append_ended(verdict_of(fate));
  if (fate == record_fate::recorded) {
    for (const auto& record : request.records) apply(record);
  }
  context_.push(
      answer_peer{.call = *request.peer_call, .reply = journal_records_reply{.fate = fate}});
}

void job_shard::settle_commits(std::vector<commit_request>& requests, record_fate fate) {
  for (const auto& request : std::exchange(requests, {})) settle_commit(request, fate);
}

}  // namespace coltsfoot::jobs
