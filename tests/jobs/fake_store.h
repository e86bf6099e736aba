// An in-memory metadata store: topics of keyed records with offsets, and writer sequences in which
// a later writer fences off the earlier one.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoot/jobs/node_messages.h"
#include "coltsfoot/jobs/store_limits.h"

namespace coltsfoot::testing {

class fake_store {
 public:
  explicit fake_store(jobs::store_limits limits) : limits_(limits) {}

  jobs::append_verdict append(const jobs::append_to_jobs& command);
  // Writes a record on behalf of the operator or a worker.
  void put(jobs::store_topic topic, const std::string& key, const std::string& value);

  std::variant<jobs::list_page, jobs::tail_page, jobs::read_failed> read(
      const jobs::read_topic& command) const;
  // Returns whether a read would return records.
  bool has_news(const jobs::read_topic& command) const;

  // Drops all records except the newest of each key.
  void compact();

  std::size_t appends() const { return appends_; }

 private:
  struct topic {
    log_offset first = 0;
    std::vector<jobs::keyed_record> records;  // from `first` on
    std::map<std::string, std::string> newest;
    log_offset end() const { return first + records.size(); }
  };
  static constexpr std::size_t most_key_bytes = 255;
  bool fits(const std::vector<jobs::keyed_record>& records) const;
  static void add(topic& t, const jobs::keyed_record& record);

  struct writer {
    std::uint64_t fence = 0;
    std::uint64_t last_number = 0;
  };
  using partition = std::pair<jobs::store_topic, jobs::shard_number>;

  jobs::store_limits limits_;
  std::map<partition, topic> topics_;
  std::map<jobs::shard_number, writer> writers_;
  std::size_t appends_ = 0;
};

}  // namespace coltsfoot::testing
