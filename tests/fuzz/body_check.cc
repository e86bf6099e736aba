#include "tests/fuzz/body_check.h"

#include <fmt/format.h>

#include <stdexcept>

#include "coltsfoot/jobs/job_record.h"
#include "coltsfoot/jobs/store_limits.h"
#include "coltsfoot/transport/internal/operator_body.h"
#include "platform/formats.h"
#include "tests/support/heap_meter.h"

namespace coltsfoot::testing {
namespace {

struct memory_bound {
  std::size_t per_byte = 0;
  std::size_t fixed = 0;

  std::size_t of(const job_body& body) const { return per_byte * body.text.size() + fixed; }
};

// The fixed parts are for the steps or tasks of a request, whose number is bounded.
constexpr memory_bound decode_bound{.per_byte = 16, .fixed = std::size_t{1} << 20U};
constexpr memory_bound record_bound{.per_byte = 32, .fixed = std::size_t{4} << 20U};
constexpr memory_bound operators_bound{.per_byte = 32, .fixed = std::size_t{4} << 20U};

constexpr std::size_t most_reason_bytes = 200;

void check_reason(const std::string& reason) {
  if (reason.empty() || reason.size() > most_reason_bytes) {
    throw std::logic_error{"refused with a reason of " + std::to_string(reason.size()) + " bytes"};
  }
}

std::size_t cost_for_operators(const job_body& body) {
  const heap_meter meter;
  for (const auto* name : {"submit_tasks", "query_status"}) {
    const auto request = internal::decode_operator_body(name, body.text);
    if (!request && request.error().empty()) throw std::logic_error{"refused without a reason"};
  }
  return meter.peak();
}

}  // namespace

body_cost cost_of(const job_body& body) {
  body_cost cost{.operators = cost_for_operators(body)};
  const heap_meter decode_meter;
  auto spec = platform::decode_job(body.text);
  cost.decode = decode_meter.peak();
  if (!spec) {
    check_reason(spec.error());
    return cost;
  }
  if (const auto fault = fault_of(*spec)) {
    check_reason(*fault);
    return cost;
  }
  const jobs::accepted_job job{.id = jobs::job_id{"j"}, .spec = std::move(*spec)};
  const heap_meter record_meter;
  const auto record = acceptance_record(job);
  cost.record = record_meter.peak();
  cost.is_accepted = jobs::size_of(record) <= jobs::store_limits{}.record_bytes;
  return cost;
}

std::optional<std::string> violation_of(const job_body& body) {
  try {
    const auto cost = cost_of(body);
    if (body.is_valid && !cost.is_accepted) return "a valid job is refused";
    if (cost.decode > decode_bound.of(body)) return fmt::format("decoding takes {}", cost.decode);
    if (cost.record > record_bound.of(body)) return fmt::format("the record takes {}", cost.record);
    if (cost.operators > operators_bound.of(body)) {
      return fmt::format("a request of an operator takes {}", cost.operators);
    }
  } catch (const std::exception& error) {
    return std::string{"exception: "} + error.what();
  }
  return std::nullopt;
}

}  // namespace coltsfoot::testing
