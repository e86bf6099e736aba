#include "coltsfoot/customer/plan_account.h"

namespace coltsfoot {

void plan_account::charge(const key& attempt, const resources& limit) {
  release(attempt);
  charges_.emplace(attempt, limit);
  used_ += limit;
}

void plan_account::release(const key& attempt) {
  const auto found = charges_.find(attempt);
  if (found == charges_.end()) return;
  used_ -= found->second;
  charges_.erase(found);
}

bool plan_account::has_room(const resources& limit, const resources& plan_limit) const {
  return (used_ + limit).fits_in(plan_limit);
}

}  // namespace coltsfoot
