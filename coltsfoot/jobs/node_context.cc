#include "coltsfoot/jobs/node_context.h"

#include <fmt/format.h>

#include <utility>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot::jobs {
namespace {

bool is_refusal(caller_verdict verdict) {
  switch (verdict) {
    case caller_verdict::accepted:
    case caller_verdict::state:
    case caller_verdict::cancelled:
    case caller_verdict::counted:
      return false;
    default:
      return true;
  }
}

}  // namespace

bool node_context::absorbs(call_id call, caller_verdict verdict) {
  const auto found = split_calls.find(call);
  if (found == split_calls.end()) return false;
  auto& split = found->second;
  const bool answered = split.answered;
  const bool failed =
      verdict != caller_verdict::cancelled && verdict != caller_verdict::no_such_job;
  split.answered = answered || failed;
  const bool last = --split.parts_left == 0;
  if (last) split_calls.erase(found);
  return answered || (!failed && !last);
}

void node_context::answer(call_id call, caller_answer answer) {
  if (absorbs(call, answer.verdict)) return;
  ++stats.answers[answer.verdict];
  const auto open = open_calls.find(call);
  if (open != open_calls.end()) {
    if (is_refusal(answer.verdict)) {
      log(severity::info,
          fmt::format("event=caller_refused path={} verdict={} retry_after_ms={} detail={}",
                      log_value(open->second), name_of(answer.verdict), answer.retry_after.count(),
                      log_value_or_none(answer.detail)));
    }
    open_calls.erase(open);
  }
  push(answer_caller_call{.call = call, .answer = std::move(answer)});
}

void node_context::refuse(call_id call, bool is_submission, std::string detail) {
  answer(call, {.verdict = is_submission ? caller_verdict::unavailable : caller_verdict::gone_wrong,
                .retry_after = options.retry_after,
                .detail = std::move(detail)});
}

}  // namespace coltsfoot::jobs
