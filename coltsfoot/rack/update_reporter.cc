#include "coltsfoot/rack/update_reporter.h"

#include <algorithm>

namespace coltsfoot {

void update_reporter::mark(const attempt_id& attempt, bool ended) {
  auto& state = customers_[attempt.customer];
  state.pending[attempt] = entry{.ended = ended, .fresh = true};
  state.urgent = true;
  state.back_off = duration{0};
}

void update_reporter::forget(const attempt_id& attempt) {
  const auto found = customers_.find(attempt.customer);
  if (found == customers_.end()) return;
  found->second.pending.erase(attempt);
  if (found->second.pending.empty() && !found->second.call) customers_.erase(found);
}

std::vector<due_report> update_reporter::due(time_point now) const {
  std::vector<due_report> reports;
  for (const auto& [customer, state] : customers_) {
    if (state.call || state.pending.empty()) continue;
    if (!state.urgent && now < state.not_before) continue;
    due_report report{.customer = customer, .attempts = {}};
    // Fresh ones first, so that unanswered repeats don't hold them up in a full batch.
    for (const bool fresh : {true, false}) {
      for (const auto& [attempt, pending] : state.pending) {
        if (report.attempts.size() >= options_.batch_limit) break;
        if (pending.fresh == fresh) report.attempts.push_back(attempt);
      }
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

void update_reporter::sent(const due_report& report, call_id call, time_point now) {
  auto& state = customers_[report.customer];
  sent_report record{.customer = report.customer, .attempts = {}};
  for (const auto& attempt : report.attempts) {
    const auto found = state.pending.find(attempt);
    if (found == state.pending.end()) continue;
    found->second.fresh = false;
    record.attempts.emplace(attempt, found->second.ended);
  }
  state.urgent = std::any_of(state.pending.begin(), state.pending.end(),
                             [](const auto& item) { return item.second.fresh; });
  state.call = call;
  raise_back_off(state, now);
  calls_.emplace(call, std::move(record));
}

void update_reporter::postpone(const customer_id& customer, time_point now) {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) return;
  found->second.urgent = false;
  raise_back_off(found->second, now);
}

void update_reporter::raise_back_off(customer_state& state, time_point now) const {
  state.back_off =
      std::clamp(state.back_off * 2, options_.first_back_off, options_.longest_back_off);
  state.not_before = now + state.back_off;
}

std::optional<due_report> update_reporter::on_result(call_id call, bool answered) {
  const auto found_call = calls_.find(call);
  if (found_call == calls_.end()) return std::nullopt;
  const sent_report record = std::move(found_call->second);
  calls_.erase(found_call);
  due_report ended{.customer = record.customer, .attempts = {}};
  const auto found = customers_.find(record.customer);
  if (found == customers_.end()) return ended;
  auto& state = found->second;
  state.call.reset();
  for (const auto& [attempt, was_ended] : record.attempts) {
    if (was_ended) {
      ended.attempts.push_back(attempt);
      continue;
    }
    const auto pending = state.pending.find(attempt);
    if (!answered || pending == state.pending.end()) continue;
    if (!pending->second.fresh && !pending->second.ended) state.pending.erase(pending);
  }
  if (state.pending.empty()) customers_.erase(found);
  return ended;
}

}  // namespace coltsfoot
