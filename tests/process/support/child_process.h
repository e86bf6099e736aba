// Starts a program of this repository and ends it by its process id.
//
//   child_process log{program_path("coltsfoot_standin"), {"log"}, "log"};
//   const std::uint16_t port = log.wait_for_port();
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoot::testing {

// Path of a program in the build folder.
std::string program_path(const std::string& name);

// A TCP port of the loopback interface that nothing listens on. It is kept bound until the object
// is destroyed, so that no connection or server is given it, and a program that binds with
// SO_REUSEADDR can listen on it. Throws if there is none.
class reserved_port {
 public:
  reserved_port();
  ~reserved_port();
  reserved_port(reserved_port&& other) noexcept
      : socket_(std::exchange(other.socket_, -1)), number_(other.number_) {}
  reserved_port& operator=(reserved_port&&) = delete;
  reserved_port(const reserved_port&) = delete;
  reserved_port& operator=(const reserved_port&) = delete;

  std::uint16_t number() const { return number_; }

 private:
  int socket_ = -1;
  std::uint16_t number_ = 0;
};

// Calls `done` every few milliseconds until it returns true. False if `limit` passes first.
template <typename F>
bool wait_until(F&& done, std::chrono::milliseconds limit = std::chrono::seconds{30});

class child_process {
 public:
  // Standard output and error go to `<directory>/<name>.log`.
  child_process(const std::string& program, std::vector<std::string> arguments,
                const std::string& directory, const std::string& name);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  // Waits for the line "listening on 127.0.0.1:PORT". Throws if it doesn't come.
  std::uint16_t wait_for_port() const;

  void signal(int number) const;

  // Sets how many descriptors the process may open; throws if that fails.
  void limit_descriptors(std::uint64_t count) const;

  // Sends SIGKILL and waits for the end.
  void kill_now();

  // Waits for the end and returns the exit status; nothing if the limit passes first.
  std::optional<int> wait_for_exit(std::chrono::milliseconds limit = std::chrono::seconds{30});

  bool running();
  pid_t pid() const { return pid_; }
  std::string output() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
  std::string log_path_;
};

}  // namespace coltsfoot::testing

#include "tests/process/support/wait_until.h"
