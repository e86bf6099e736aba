#include "coltsfoot/jobs/topic_follower.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::jobs {

std::optional<follow_request> topic_follower::next_request(time_point now) {
  if (reading_ || now < due_) return std::nullopt;
  reading_ = true;
  due_ = now + options_.poll_interval;
  if (!listed_) return list_request{.after = list_after_, .patience = list_patience_};
  tail_sent_ = now;
  const auto wait = caught_up_ ? options_.poll_wait : duration{0};
  return tail_request{.from = position_, .wait = wait, .page_bytes = page_bytes_};
}

std::optional<topic_change> topic_follower::on_page(list_page page, time_point now) {
  if (take_stale()) return std::nullopt;
  succeeded(now);
  due_ = now;
  if (!listing_started_) {
    // Later pages may hold newer records; reading the tail from here applies them once more.
    position_ = page.end;
    listing_started_ = true;
  }
  if (!page.records.empty()) list_after_ = page.records.back().key;
  std::move(page.records.begin(), page.records.end(), std::back_inserter(listing_));
  if (page.more) return std::nullopt;
  listed_ = true;
  std::sort(listing_.begin(), listing_.end(),
            [](const auto& a, const auto& b) { return a.key < b.key; });
  return topic_change{.is_listing = true, .records = std::exchange(listing_, {})};
}

std::optional<topic_change> topic_follower::on_page(tail_page page, time_point now) {
  if (take_stale()) return std::nullopt;
  succeeded(now);
  const bool record_is_larger = page.next == position_ && page.next < page.end;
  page_bytes_ = record_is_larger ? std::min(2 * page_bytes_, options_.longest_page_bytes)
                                 : options_.page_bytes;
  position_ = page.next;
  caught_up_ = page.next >= page.end;
  if (caught_up_) {
    complete_until_ = tail_sent_;
  } else {
    due_ = now;
  }
  if (page.records.empty()) return std::nullopt;
  return topic_change{.records = std::move(page.records)};
}

void topic_follower::on_history_gone(time_point now) {
  if (take_stale()) return;
  succeeded(now);
  restart();
}

void topic_follower::on_failure(time_point now) {
  stale_ = false;
  reading_ = false;
  healthy_since_.reset();
  list_patience_ = std::min(list_patience_ * 2, options_.longest_list_patience);
  backoff_ = std::clamp(backoff_ * 2, options_.first_backoff, options_.longest_backoff);
  due_ = now + backoff_;
}

void topic_follower::restart() {
  stale_ = reading_;
  listed_ = false;
  caught_up_ = false;
  complete_until_.reset();
  listing_started_ = false;
  list_after_.clear();
  listing_.clear();
  due_ = {};
}

bool topic_follower::take_stale() {
  if (!stale_) return false;
  stale_ = false;
  reading_ = false;
  return true;
}

void topic_follower::succeeded(time_point now) {
  reading_ = false;
  backoff_ = duration{0};
  list_patience_ = options_.first_list_patience;
  last_success_ = now;
  if (!healthy_since_) healthy_since_ = now;
}

}  // namespace coltsfoot::jobs
