#include "coltsfoot/jobs/store_limits.h"

namespace coltsfoot::jobs {
namespace {

// Lengths of the record and of its key.
constexpr std::size_t framing_bytes = 5;

bool are_of_one_job(const keyed_record& a, const keyed_record& b) {
  const auto job = job_in_key(a.key);
  return !job.empty() && job == job_in_key(b.key);
}

}  // namespace

std::size_t size_of(const keyed_record& record) {
  return framing_bytes + record.key.size() + record.value.size();
}

std::size_t end_of_append(const std::vector<keyed_record>& records, std::size_t begin,
                          const store_limits& limits) {
  std::size_t bytes = 0;
  auto end = begin;  // after the last whole group that fits
  for (auto i = begin; i < records.size(); ++i) {
    bytes += size_of(records[i]);
    const bool fits = bytes <= limits.append_bytes;
    if (!fits && end > begin) return end;
    const bool group_ends = i + 1 == records.size() || !are_of_one_job(records[i], records[i + 1]);
    if (group_ends) end = i + 1;
  }
  return end;
}

}  // namespace coltsfoot::jobs
