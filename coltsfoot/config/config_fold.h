// Computes the configuration from the entries of the `config` stream in log order.
//
// All folds that are complete agree at each offset. A fold that misses entries (the stream was
// trimmed past its position) isn't complete; it becomes so at a restate whose state covers all
// offsets that the fold didn't read.
//
//   config_fold fold;
//   fold.skip_to(page.first_retained);
//   for (const log_entry& entry : page.entries) fold.apply(entry);
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoot/model/cluster_config.h"
#include "coltsfoot/model/operator_messages.h"
#include "coltsfoot/model/records.h"

namespace coltsfoot {

// What became of an entry with an id.
struct entry_result {
  std::string id;
  bool accepted = false;
  std::uint64_t version = 0;  // after it
  std::string detail;         // why it was refused
};

class config_fold {
 public:
  // Applies the entry at `next()`. An entry at a lower offset is ignored; at a higher one it is a
  // gap as in `skip_to`. Returns the result of each publish or host mark that took part.
  std::vector<entry_result> apply(const log_entry& entry);

  // Says that entries below `first_retained` can't be read any more.
  void skip_to(log_offset first_retained);

  // Takes the state of another complete fold if it is at a higher offset. Returns whether it did.
  bool adopt(const restate_entry& state);

  // Returns the present state as an entry. Only meaningful if the fold is complete.
  restate_entry restate(wall_time written_at) const;

  const cluster_config& config() const { return config_; }
  const std::deque<config_change>& history() const { return history_; }
  log_offset next() const { return next_; }
  bool complete() const { return complete_; }

  // When the newest entry that holds the whole state was written; nothing if there is none.
  std::optional<wall_time> newest_restate() const { return newest_restate_; }

  // When the oldest entry that a new reader would need was written; nothing if none is needed.
  std::optional<wall_time> oldest_needed() const { return oldest_needed_; }

 private:
  void apply_complete(const config_entry& entry, std::vector<entry_result>& results);
  entry_result apply_publish(const publish_entry& entry);
  entry_result apply_mark(const host_mark_entry& entry);
  void load(const restate_entry& state);
  bool remember(const std::string& id);
  void add_history(std::string kind, const std::string& author, wall_time at, std::string result);

  struct waiting_entry {
    log_offset offset = 0;
    config_entry entry;
  };

  cluster_config config_;
  std::deque<std::string> recent_ids_;  // oldest first
  std::set<std::string> recent_id_set_;
  std::deque<config_change> history_;
  std::deque<waiting_entry> waiting_;  // read while incomplete, to be replayed after a restate
  log_offset next_ = 0;
  log_offset waiting_from_ = 0;  // offsets from here up to `next_` are in `waiting_`
  bool complete_ = true;
  std::optional<wall_time> newest_restate_;
  std::optional<wall_time> oldest_needed_;
};

}  // namespace coltsfoot
