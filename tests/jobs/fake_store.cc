#include "tests/jobs/fake_store.h"

namespace coltsfoot::testing {

using jobs::append_verdict;

void fake_store::add(topic& t, const jobs::keyed_record& record) {
  t.records.push_back(record);
  if (record.value.empty()) {
    t.newest.erase(record.key);
  } else {
    t.newest[record.key] = record.value;
  }
}

bool fake_store::fits(const std::vector<jobs::keyed_record>& records) const {
  std::size_t bytes = 0;
  for (const auto& record : records) {
    const auto size = jobs::size_of(record);
    if (size > limits_.record_bytes || record.key.size() > most_key_bytes) return false;
    bytes += size;
  }
  return bytes <= limits_.append_bytes;
}

append_verdict fake_store::append(const jobs::append_to_jobs& command) {
  if (!fits(command.records)) return append_verdict::unknown;  // the answer has no meaning to nodes
  auto& t = topics_[{jobs::store_topic::jobs, command.shard}];
  auto& writer = writers_[command.shard];
  if (const auto& sequence = command.sequence) {
    if (sequence->fence < writer.fence) return append_verdict::fenced;
    if (sequence->fence == writer.fence) {
      if (sequence->number == writer.last_number) return append_verdict::recorded;  // a retry
      if (sequence->number != writer.last_number + 1) return append_verdict::fenced;
    }
  }
  if (command.sequence) {
    writer = {.fence = command.sequence->fence, .last_number = command.sequence->number};
  }
  for (const auto& record : command.records) add(t, record);
  ++appends_;
  return append_verdict::recorded;
}

void fake_store::put(jobs::store_topic topic, const std::string& key, const std::string& value) {
  add(topics_[{topic, jobs::first_shard}], {.key = key, .value = value});
}

bool fake_store::has_news(const jobs::read_topic& command) const {
  const auto* tail = std::get_if<jobs::tail_request>(&command.request);
  const auto found = topics_.find({command.topic, command.shard});
  if (tail == nullptr) return true;
  return found != topics_.end() && found->second.end() > tail->from;
}

std::variant<jobs::list_page, jobs::tail_page, jobs::read_failed> fake_store::read(
    const jobs::read_topic& command) const {
  static const topic empty;
  const auto found = topics_.find({command.topic, command.shard});
  const auto& t = found == topics_.end() ? empty : found->second;
  if (std::holds_alternative<jobs::list_request>(command.request)) {
    jobs::list_page page{.end = t.end()};
    for (const auto& [key, value] : t.newest) page.records.push_back({.key = key, .value = value});
    return page;
  }
  const auto from = std::get<jobs::tail_request>(command.request).from;
  if (from < t.first) return jobs::read_failed{.history_gone = true};
  jobs::tail_page page{.next = t.end(), .end = t.end()};
  for (auto i = from; i < t.end(); ++i) page.records.push_back(t.records[i - t.first]);
  return page;
}

void fake_store::compact() {
  for (auto& [name, t] : topics_) {
    t.first = t.end();
    t.records.clear();
  }
}

}  // namespace coltsfoot::testing
