// Clients that send parts of requests to a server of the loopback interface, and what the server's
// process uses meanwhile.
//
//   process_watch watch{pid};
//   client_crowd crowd{port, 120};
//   crowd.send_each(head + part_of_a_body, [&] { watch.sample(); });
//   EXPECT_LT(watch.memory_growth_kb(), 32 * 1024);
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace coltsfoot::testing {

class client_crowd {
 public:
  // Opens the connections.
  client_crowd(std::uint16_t port, std::size_t count);
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  // Sends `bytes` on each connection, one after the other, and calls `after_each`. A connection
  // that the server has closed, or reads nothing of for a second, is left as it is.
  void send_each(const std::string& bytes, const std::function<void()>& after_each) const;

  // Reads what has come on each connection until nothing has for a second. Returns how many have
  // the status 200 to 599 at their start.
  std::size_t count_answered() const;

 private:
  std::vector<int> sockets_;
};

// Resident memory and open descriptors of a process. The growth is relative to the construction.
class process_watch {
 public:
  explicit process_watch(pid_t pid);

  void sample();
  std::int64_t memory_growth_kb();  // of the peak
  std::int64_t descriptor_growth() const { return most_descriptors_ - descriptors_at_start_; }

 private:
  std::int64_t status_kb(const std::string& field) const;
  std::int64_t descriptors() const;

  pid_t pid_;
  std::int64_t memory_at_start_;
  std::int64_t descriptors_at_start_;
  std::int64_t most_descriptors_;
};

}  // namespace coltsfoot::testing
