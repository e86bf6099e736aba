// Stand-in for the platform's store in the form of a log with keyed topics, as PROTOCOL.md has it:
// appends with a producer's sequence, reads that wait, and the newest record of each key.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "coltsfoot/transport/internal/rest_listener.h"

namespace review {

using coltsfoot::internal::rest_listener;
using coltsfoot::internal::rest_request;
using coltsfoot::internal::rest_responder;
using coltsfoot::internal::rest_response;

class store_standin {
 public:
  store_standin();
  ~store_standin();
  store_standin(const store_standin&) = delete;
  store_standin& operator=(const store_standin&) = delete;

  bool start();
  std::string address() const;
  // What the operator or a runner writes. An empty value removes the key.
  void put(const std::string& topic, const std::string& key, const std::string& value);
  // From now on, appends for callers get no answer and are carried out this much later; 0: as ever.
  void delay_caller_appends(std::int64_t ms);
  // Appends since the start, and those of them that got no answer.
  std::pair<std::size_t, std::size_t> appends() const;
  std::optional<std::string> newest(const std::string& topic, const std::string& key) const;

 private:
  struct keyed_value {
    std::string value;
    std::uint64_t offset = 0;
  };
  struct remembered_append {
    std::uint64_t sequence = 0;
    std::string answer;
  };
  struct producer_state {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::vector<remembered_append> last;
  };
  struct partition {
    std::vector<std::string> records;  // content without the length
    std::map<std::string, keyed_value> newest;
    std::map<std::string, producer_state> producers;
  };
  struct waiting_read {
    partition* from = nullptr;
    std::uint64_t offset = 0;
    std::size_t max_bytes = 0;
    std::int64_t answer_by = 0;
    rest_responder respond;
  };

  void handle(const rest_request& request, const rest_responder& respond);
  void append(partition& to, const rest_request& request, const rest_responder& respond);
  void add(partition& to, std::string content);
  void add_all(partition& to, std::string_view body);
  void read(partition& from, const rest_request& request, const rest_responder& respond);
  void list(partition& from, const rest_request& request, const rest_responder& respond);
  void answer_reads();
  void run_timers();

  mutable std::mutex mutex_;
  std::map<std::pair<std::string, std::uint64_t>, partition> partitions_;
  std::vector<waiting_read> reads_;
  std::vector<std::pair<std::int64_t, std::function<void()>>> delayed_;
  std::vector<rest_responder> silent_;  // of calls that get no answer: their channels stay open
  std::int64_t caller_delay_ms_ = 0;
  std::size_t appends_ = 0;
  std::size_t unanswered_ = 0;
  bool stopping_ = false;
  std::thread timers_;
  rest_listener listener_;
};

}  // namespace review
