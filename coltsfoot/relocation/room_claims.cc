#include "coltsfoot/relocation/room_claims.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::relocation {
namespace {

// Slow runs that first starts don't wait for, one for each of so many workers: some need a kind of
// room that is never there, and places that are free between two passes would stay unused.
constexpr std::size_t workers_per_ignored_run = 16;

}  // namespace

void room_claims::renew(urgencies_by_service slow_runs, std::size_t workers) {
  limits_.clear();
  const auto ignored = workers / workers_per_ignored_run;
  for (auto& [service, urgencies] : slow_runs) {
    if (urgencies.size() <= ignored) continue;
    const auto at = urgencies.begin() + static_cast<std::ptrdiff_t>(ignored);
    std::nth_element(urgencies.begin(), at, urgencies.end());
    limits_.emplace(service, *at);
  }
}

bool room_claims::hold_back(const service_id& service, const jobs::job_urgency& urgency) const {
  const auto found = limits_.find(service);
  return found != limits_.end() && found->second < urgency;
}

}  // namespace coltsfoot::relocation
