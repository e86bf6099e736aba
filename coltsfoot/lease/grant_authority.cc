#include "coltsfoot/lease/grant_authority.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::jobs {

grant_authority::grant_authority(grant_options options, witness_set witnesses,
                                 time_point confirmed_at, time_point now)
    : options_(options),
      former_(std::move(witnesses)),
      recorded_(former_),
      confirmed_at_(confirmed_at),
      unreached_(recorded_) {
  settle(now);
}

void grant_authority::on_confirmed(time_point at) {
  confirmed_at_ = std::max(confirmed_at_, at);
}

void grant_authority::on_obeyed(const worker_life& life, time_point sent_at, time_point now) {
  auto& newest = obeyed_[life];
  newest = std::max(newest, sent_at);
  if (majority_reached_) return;
  // Another life of a witness shows that the one which obeyed the former owner is over.
  reached_ +=
      std::erase_if(unreached_, [&](const worker_life& w) { return w.worker == life.worker; });
  settle(now);
}

void grant_authority::propose(witness_set next) {
  proposed_ = std::move(next);
}

void grant_authority::on_proposal_recorded() {
  if (!proposed_) return;
  recorded_ = std::move(*proposed_);
  proposed_.reset();
  std::erase_if(obeyed_, [this](const auto& entry) { return !recorded_.contains(entry.first); });
}

bool grant_authority::has_majority(const witness_set& witnesses, time_point now) const {
  const auto count = std::count_if(witnesses.begin(), witnesses.end(), [&](const auto& life) {
    const auto found = obeyed_.find(life);
    return found != obeyed_.end() && now < found->second + options_.validity;
  });
  return 2 * static_cast<std::size_t>(count) > witnesses.size();
}

bool grant_authority::may_grant(time_point now) const {
  if (now < confirmed_at_ + options_.validity) return true;
  return has_majority(recorded_, now) && (!proposed_ || has_majority(*proposed_, now));
}

std::optional<time_point> grant_authority::inherited_until(duration longest_lease) const {
  if (!majority_reached_) return std::nullopt;
  return *majority_reached_ + options_.validity + options_.margin + longest_lease;
}

void grant_authority::settle(time_point now) {
  const auto gone = static_cast<std::size_t>(
      std::count_if(missing_since_.begin(), missing_since_.end(), [&](const auto& entry) {
        return unreached_.contains(entry.first) && now - entry.second >= options_.absence_limit;
      }));
  const auto counting = reached_ + unreached_.size() - gone;
  if (counting == 0 || 2 * reached_ > counting) majority_reached_ = now;
}

}  // namespace coltsfoot::jobs
