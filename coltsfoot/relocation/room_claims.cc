#include "coltsfoot/relocation/room_claims.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::relocation {
namespace {

// Slow runs that first starts don't wait for, one for each of so many workers: some need a kind of
// room that is never there, and places that are free between two passes would stay unused.
constexpr std::size_t workers_per_ignored_run = 16;

}  // namespace

void room_claims::renew(std::vector<jobs::job_urgency> slow_runs, std::size_t workers) {
  size_ = slow_runs.size();
  last_before_.reset();
  const auto ignored = workers / workers_per_ignored_run;
  if (slow_runs.size() <= ignored) return;
  const auto at = slow_runs.begin() + static_cast<std::ptrdiff_t>(ignored);
  std::nth_element(slow_runs.begin(), at, slow_runs.end());
  last_before_ = *at;
}

}  // namespace coltsfoot::relocation
