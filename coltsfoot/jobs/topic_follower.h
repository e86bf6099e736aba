// Follows one topic of keyed records: first a listing of the newest record of each key, then the
// records that come after it. Starts over with a listing when the topic's history is gone.
//
//   topic_follower follower{{.poll_interval = duration{250}}};
//   if (const auto request = follower.next_request(now)) read(*request);
//   for (auto& change : follower.on_page(page, now)) apply(change);
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/jobs/job_record.h"

namespace coltsfoot::jobs {

struct topic_follower_options {
  duration poll_interval{250};  // least time between the starts of two reads of the tail
  duration poll_wait{500};      // how long the store may hold back an empty answer
  duration first_backoff{50};   // after a failed read; doubles with each further one
  duration longest_backoff{400};
  // A page of a listing is large: on a slow link, or while many nodes list at once, it takes longer
  // than an answer that is lost should be waited for. Doubles with each failed page.
  duration first_list_patience{1'000};
  duration longest_list_patience{4'000};
  // Reads of several topics share a link: small pages keep what was read if one of them fails.
  std::size_t page_bytes = std::size_t{64} * 1024;
  // A record that does not fit into a page is asked for with a larger one.
  std::size_t longest_page_bytes = std::size_t{1024} * 1024;
};

// Reads the newest records of all keys above `after`.
struct list_request {
  std::string after;
  duration patience{0};  // how long the answer may take
};
// Reads records from an offset on.
struct tail_request {
  log_offset from = 0;
  duration wait{0};
  std::size_t page_bytes = 0;
};
using follow_request = std::variant<list_request, tail_request>;

struct list_page {
  std::vector<keyed_record> records;
  bool more = false;
  log_offset end = 0;  // of the topic when the page was made
};
struct tail_page {
  std::vector<keyed_record> records;
  log_offset next = 0;  // offset after the last record of the page
  log_offset end = 0;   // of the topic
};

// Records to apply. A listing is passed on whole, sorted by key.
struct topic_change {
  bool is_listing = false;  // keys that are not in `records` do not exist
  std::vector<keyed_record> records;
};

class topic_follower {
 public:
  explicit topic_follower(topic_follower_options options)
      : options_(options),
        page_bytes_(options.page_bytes),
        list_patience_(options.first_list_patience) {}

  // Returns the next read to send, or nothing if one is under way or none is due.
  std::optional<follow_request> next_request(time_point now);

  std::optional<topic_change> on_page(list_page page, time_point now);
  std::optional<topic_change> on_page(tail_page page, time_point now);
  // The records from the requested offset on are gone.
  void on_history_gone(time_point now);
  void on_failure(time_point now);

  // Changes the least time between the starts of two reads.
  void set_poll_interval(duration interval) { options_.poll_interval = interval; }

  // Makes the next read due at once.
  void hurry() { due_ = {}; }
  // Begins with a listing again, for instance after a time without reading.
  void restart();

  // Whether a read has reached the end of the topic since the start or the last listing.
  bool caught_up() const { return caught_up_; }
  // All that was recorded before this time has been read. Nothing until a read has reached the end
  // of the topic since the start or the last listing.
  std::optional<time_point> complete_until() const { return complete_until_; }
  // Offset that the next read starts from; only meaningful after a listing.
  log_offset position() const { return position_; }
  // Time of the last read that succeeded, and of the first of the unbroken series it belongs to.
  std::optional<time_point> last_success() const { return last_success_; }
  std::optional<time_point> healthy_since() const { return healthy_since_; }
  bool reading() const { return reading_; }

 private:
  void succeeded(time_point now);
  // Whether the read that has ended was sent before the last restart.
  bool take_stale();

  topic_follower_options options_;
  bool reading_ = false;
  bool stale_ = false;  // the read under way was sent before a restart
  bool listed_ = false;
  bool caught_up_ = false;
  bool listing_started_ = false;
  std::string list_after_;
  std::vector<keyed_record> listing_;
  time_point tail_sent_{};  // when the newest read of the tail was sent
  std::optional<time_point> complete_until_;
  log_offset position_ = 0;
  std::size_t page_bytes_;
  time_point due_{};
  duration backoff_{0};
  duration list_patience_;
  std::optional<time_point> last_success_;
  std::optional<time_point> healthy_since_;
};

}  // namespace coltsfoot::jobs
