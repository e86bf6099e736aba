// One of the two programs, started with low limits on its clients, and the requests that crowds of
// clients send to it.
//
//   limited_program program{{.name = "coltsfoot_fleetd", .client_connections = 40}};
//   EXPECT_TRUE(program.answers_an_ordinary_request());
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tests/process/support/child_process.h"

namespace coltsfoot::testing {

struct limited_program_options {
  std::string name;  // coltsfoot_fleetd or coltsfootd
  int client_memory_mb = 8;
  int client_connections = 40;
  std::string more_settings;  // further lines
  std::string store_address;  // empty: nothing listens there; only for coltsfoot_fleetd
};

class limited_program {
 public:
  explicit limited_program(limited_program_options options);

  void write_settings(int connections) const;

  std::uint16_t port() const { return callers_.number(); }
  std::uint16_t peer_port() const { return peers_.number(); }
  // A page that is larger than an answer to a caller.
  std::uint16_t metrics_port() const { return metrics_.number(); }
  child_process& process() { return *process_; }

  // The head of an ordinary request, with `headers` at its end.
  std::string head(std::string_view headers) const;

  bool answers_an_ordinary_request() const;

 private:
  bool is_fleet() const { return options_.name == "coltsfoot_fleetd"; }
  std::string settings(int connections) const;

  limited_program_options options_;
  std::string settings_file_;
  reserved_port callers_;
  reserved_port peers_;
  reserved_port readiness_;
  reserved_port metrics_;
  reserved_port nothing_;
  std::optional<child_process> process_;
};

// Headers and parts of chunked bodies.
inline constexpr std::string_view chunked = "Transfer-Encoding: chunked\r\n\r\n";
inline constexpr std::string_view last_chunk = "0\r\n\r\n";
std::string chunks(std::size_t count, std::size_t size);

}  // namespace coltsfoot::testing
