#include "coltsfoot/config/config_fold.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/config/list_parser.h"

namespace coltsfoot {
namespace {

// An append is repeated within seconds; the log takes several hundred entries a second at most, and
// this stream far fewer. All folds must use the same number, since it decides what is a repeat.
constexpr std::size_t max_recent_ids = 512;

constexpr std::size_t max_history = 200;

// Bounds the memory of a reader that waits for a restate.
constexpr std::size_t max_waiting = 1'000;

constexpr std::size_t max_worker_id_bytes = 255;

wall_time written_at(const config_entry& entry) {
  return std::visit([](const auto& body) { return body.written_at; }, entry);
}

}  // namespace

std::vector<entry_result> config_fold::apply(const log_entry& entry) {
  std::vector<entry_result> results;
  if (entry.offset < next_) return results;
  skip_to(entry.offset);
  next_ = entry.offset + 1;
  const auto decoded = decode_msgpack<config_entry>(entry.payload);
  if (!decoded) return results;  // every fold ignores it
  if (const auto* state = std::get_if<restate_entry>(&*decoded)) {
    apply_restate(entry.offset, *state, results);
  } else if (complete_) {
    apply_change(entry.offset, *decoded, results);
  } else {
    waiting_.push_back({entry.offset, *decoded});
    if (waiting_.size() > max_waiting) {
      waiting_from_ = waiting_.front().offset + 1;
      waiting_.pop_front();
    }
  }
  return results;
}

void config_fold::skip_to(log_offset first_retained) {
  if (first_retained <= next_) return;
  complete_ = false;
  waiting_.clear();
  waiting_from_ = first_retained;
  next_ = first_retained;
}

std::optional<std::vector<entry_result>> config_fold::adopt(const restate_entry& state) {
  if (complete_ || state.next < waiting_from_ || state.config.version < config_.version) {
    return std::nullopt;
  }
  std::vector<entry_result> results;
  next_ = std::max(next_, state.next);
  // The age of what the log holds is unknown here, so it counts as old: a restate is due.
  needed_.assign(1, needed_entry{});
  take(state, results);
  return results;
}

void config_fold::apply_restate(log_offset offset, const restate_entry& entry,
                                std::vector<entry_result>& results) {
  if (entry.next > offset) return;
  if (!complete_) {
    if (entry.next < waiting_from_ || entry.config.version < config_.version) return;
    needed_.clear();
    take(entry, results);
  } else {
    while (!needed_.empty() && needed_.front().offset < entry.next) needed_.pop_front();
  }
  needed_.push_back({offset, entry.written_at});
}

void config_fold::take(const restate_entry& state, std::vector<entry_result>& results) {
  config_ = state.config;
  recent_ids_.assign(state.recent_ids.begin(), state.recent_ids.end());
  recent_id_set_ = {state.recent_ids.begin(), state.recent_ids.end()};
  complete_ = true;
  for (const waiting_entry& waiting : std::exchange(waiting_, {})) {
    if (waiting.offset >= state.next) apply_change(waiting.offset, waiting.entry, results);
  }
}

void config_fold::apply_change(log_offset offset, const config_entry& entry,
                               std::vector<entry_result>& results) {
  needed_.push_back({offset, written_at(entry)});
  if (const auto* publish = std::get_if<publish_entry>(&entry)) apply_publish(*publish, results);
  if (const auto* mark = std::get_if<host_mark_entry>(&entry)) apply_mark(*mark, results);
}

void config_fold::apply_publish(const publish_entry& entry, std::vector<entry_result>& results) {
  if (!remember(entry.id)) return;
  entry_result result{.id = entry.id};
  if (entry.base != config_.version) {
    result.status = change_status::conflict;
    result.detail = fmt::format("conflict: based on {}, now {}", entry.base, config_.version);
  } else if (auto lists = parse_lists(entry.plans_yaml, entry.customers_yaml); !lists) {
    result.status = change_status::invalid;
    result.detail = "invalid: " + to_string(lists.error());
  } else {
    config_.plans = std::move(lists->plans);
    config_.customers = std::move(lists->customers);
    ++config_.version;
  }
  finish(publish_entry::message_name, entry.author, entry.written_at, std::move(result), results);
}

void config_fold::apply_mark(const host_mark_entry& entry, std::vector<entry_result>& results) {
  if (!remember(entry.id)) return;
  entry_result result{.id = entry.id};
  if (entry.worker.empty() || entry.worker.value.size() > max_worker_id_bytes) {
    result.status = change_status::invalid;
    result.detail = "invalid: worker id is empty or too long";
  } else {
    if (entry.leaving) {
      config_.leaving.insert(entry.worker.value);
    } else {
      config_.leaving.erase(entry.worker.value);
    }
    ++config_.version;
  }
  finish(host_mark_entry::message_name, entry.author, entry.written_at, std::move(result), results);
}

void config_fold::finish(std::string_view kind, const std::string& author, wall_time at,
                         entry_result result, std::vector<entry_result>& results) {
  result.version = config_.version;
  history_.push_back({.version = config_.version,
                      .kind = std::string{kind},
                      .author = author,
                      .written_at = at,
                      .result = result.detail.empty() ? "accepted" : result.detail});
  if (history_.size() > max_history) history_.pop_front();
  results.push_back(std::move(result));
}

// Returns whether `id` is new. An entry without an id can't be told from its repeat and is ignored.
bool config_fold::remember(const std::string& id) {
  if (id.empty() || !recent_id_set_.insert(id).second) return false;
  recent_ids_.push_back(id);
  if (recent_ids_.size() > max_recent_ids) {
    recent_id_set_.erase(recent_ids_.front());
    recent_ids_.pop_front();
  }
  return true;
}

restate_entry config_fold::restate(wall_time at) const {
  return {.config = config_,
          .recent_ids = {recent_ids_.begin(), recent_ids_.end()},
          .next = next_,
          .written_at = at};
}

std::optional<wall_time> config_fold::oldest_needed() const {
  if (needed_.empty()) return std::nullopt;
  return needed_.front().written_at;
}

}  // namespace coltsfoot
