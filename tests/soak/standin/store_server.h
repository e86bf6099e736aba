// The platform's store for a soak: a log with keyed topics. Each node has a listener of its own, so
// that it can be cut off, and may be shown other addresses of workers than the rest.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/soak/standin/cut_listener.h"
#include "tests/soak/standin/soak_clock.h"

namespace coltsfoot::testing {

// The operator's configuration of one queue.
std::string configuration(const std::string& host, const std::string& prefix);

class store_server {
 public:
  store_server(std::size_t nodes, const soak_record& record);
  ~store_server();
  store_server(const store_server&) = delete;
  store_server& operator=(const store_server&) = delete;

  bool start();
  cut_listener& listener(std::size_t node) { return *listeners_.at(node); }
  // What the operator or a worker writes. `{node}` in the value is replaced by what `address_at`
  // returns for the node that reads.
  void put(const std::string& topic, const std::string& key, const std::string& value);
  void set_address_source(std::function<std::string(const std::string& key, std::size_t node)> at) {
    address_at_ = std::move(at);
  }
  // The newest value of a key in the first partition of a topic; empty if there is none.
  std::string newest(const std::string& topic, const std::string& key);
  // While set, no call is answered by the store.
  void set_down(bool down);
  // From now on appends for callers are not answered and are executed this much later; 0: as ever.
  void delay_caller_appends(std::int64_t ms);

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
    std::size_t node = 0;
    bool workers = false;
    partition* from = nullptr;
    std::uint64_t offset = 0;
    std::size_t max_bytes = 0;
    std::int64_t answer_by = 0;
    rest_responder respond;
  };

  void handle(std::size_t node, const rest_request& request, const rest_responder& respond);
  void append(partition& to, const rest_request& request, const rest_responder& respond);
  static void add(partition& to, std::string content);
  static void add_all(partition& to, std::string_view body);
  void read(std::size_t node, bool workers, partition& from, const rest_request& request,
            const rest_responder& respond);
  void list(std::size_t node, bool workers, const partition& from, const rest_request& request,
            const rest_responder& respond);
  void answer_reads();
  void run_timers();
  std::string shown(std::size_t node, bool workers, const std::string& key,
                    const std::string& value) const;
  void answer_later(const rest_responder& respond, int status, std::string body);

  const soak_record& record_;
  std::mutex mutex_;
  std::function<std::string(const std::string&, std::size_t)> address_at_;
  std::map<std::pair<std::string, std::uint64_t>, partition> partitions_;
  std::vector<waiting_read> reads_;
  std::vector<std::pair<std::int64_t, std::function<void()>>> delayed_;
  std::int64_t caller_delay_ms_ = 0;
  bool down_ = false;
  bool stopping_ = false;
  std::vector<std::unique_ptr<cut_listener>> listeners_;
  std::thread timers_;
};

}  // namespace coltsfoot::testing
