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
  // Opens the connections, from an address of the loopback interface.
  client_crowd(std::uint16_t port, std::size_t count, std::string source = "127.0.0.1");
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  // Sends `bytes` on each connection, one after the other, and calls `after_each`. A connection
  // that the server has closed, or reads nothing of for a second, is left as it is.
  void send_each(const std::string& bytes, const std::function<void()>& after_each) const;

  // The same with bytes of their own for each connection, named by its number.
  void send_each(const std::function<std::string(std::size_t)>& bytes_of,
                 const std::function<void()>& after_each) const;

  // Opens the connections anew that the server has closed. Returns their numbers.
  std::vector<std::size_t> come_back();

  // Sends `bytes` on one connection; false if not all of them could be sent.
  bool send(std::size_t number, const std::string& bytes) const;

  // What has come on one connection until nothing has for a second, or it has ended.
  std::string read(std::size_t number) const;

  // Reads what has come on each connection until nothing has for a second. Returns how many have
  // the status 200 to 599 at their start.
  std::size_t count_answered() const;

 private:
  int open_connection() const;

  std::uint16_t port_;
  std::string source_;
  std::vector<int> sockets_;
};

// Opens `count` connections, one after the other, each of which is reset as soon as it is open.
void reset_connections(std::uint16_t port, std::size_t count);

// Resident memory and open descriptors of a process, and what its kernel has received for it on
// the ports that are watched. The growth is relative to the construction.
class process_watch {
 public:
  explicit process_watch(pid_t pid, std::vector<std::uint16_t> ports = {});

  void sample();
  std::int64_t memory_growth_kb();  // of the peak
  std::int64_t descriptor_growth() const { return most_descriptors_ - descriptors_at_start_; }
  std::int64_t descriptors() const;
  // The most bytes that the process had not read yet.
  std::int64_t most_unread_kb() const { return most_unread_bytes_ / 1024; }

 private:
  std::int64_t status_kb(const std::string& field) const;
  std::int64_t unread_bytes() const;

  pid_t pid_;
  std::vector<std::uint16_t> ports_;
  std::int64_t memory_at_start_;
  std::int64_t descriptors_at_start_;
  std::int64_t most_descriptors_;
  std::int64_t most_unread_bytes_ = 0;
};

}  // namespace coltsfoot::testing
