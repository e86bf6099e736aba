#include "coltsfoot/customer/submit_check.h"

#include "coltsfoot/base/codec.h"

namespace coltsfoot {

bool is_outside_id_window(wall_time issued_at, const customer_owner_options& options,
                          wall_time wall) {
  return issued_at < wall - options.id_window || issued_at > wall + options.clock_margin;
}

std::string reason_to_refuse(const task_spec& spec, const customer_owner_options& options,
                             const cluster_config& config, wall_time wall) {
  if (spec.customer != options.customer) return "task of another customer";
  const plan* its_plan = config.plan_of(spec.customer);
  if (its_plan == nullptr) return "unknown customer";
  if (spec.id.empty()) return "id missing";
  if (spec.id.value.size() > options.max_id_bytes) return "id too long";
  if (spec.payload.size() > options.max_payload_bytes) return "payload too large";
  if (spec.priority > its_plan->highest_urgency) return "urgency above the plan";
  if (spec.size.is_negative() || spec.size == resources{}) return "size must be positive";
  if (spec.expected_run < duration{0}) return "expected run time is negative";
  if (is_outside_id_window(spec.issued_at, options, wall)) return "issued_at outside the id window";
  return {};
}

bool is_same_spec(const task_spec& a, const task_spec& b) {
  // A caller that repeats a submission after a lost answer may give it a new time.
  task_spec repeated = b;
  repeated.issued_at = a.issued_at;
  return nlohmann::json(a) == nlohmann::json(repeated);
}

}  // namespace coltsfoot
