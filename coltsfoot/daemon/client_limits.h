// Limits on clients of a program, from its settings and its machine, and how they are reported.
//
//   const auto limits = resolve_client_limits({.memory_mb = 160}, read_machine(), largest_request);
//   if (!limits) report(limits.error());  // "client_memory_mb: ..."
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "coltsfoot/base/time.h"
#include "coltsfoot/observe/exposition.h"
#include "coltsfoot/transport/client_budget.h"

namespace coltsfoot {

// As in the settings of the programs. 0: not given.
struct client_limit_settings {
  std::uint64_t memory_mb = 0;
  std::uint64_t file_descriptors = 0;
  std::uint64_t client_memory_mb = 0;
  std::uint64_t client_connections = 0;
};

struct machine_size {
  std::uint64_t memory_bytes = 0;
  std::uint64_t file_descriptors = 0;  // that this process may open
};
machine_size read_machine();

// Memory that an incomplete request takes at most, with buffers that grow by doubling.
// `max_body_bytes` is the limit of the listener.
std::size_t largest_request_bytes(std::size_t max_body_bytes);

// Descriptors reserved for files, and the least that the store, workers and peers need.
inline constexpr std::uint64_t reserved_file_descriptors = 200;
inline constexpr std::uint64_t least_other_descriptors = 64;

// Errors name the key.
tl::expected<client_limits, std::string> resolve_client_limits(
    const client_limit_settings& settings, const machine_size& machine,
    std::size_t largest_request);

// What the peer port may take, which clients that are no nodes may reach too.
struct peer_limits {
  std::size_t bytes = 0;  // requests that are incomplete or not answered, and unread replies
  std::size_t connections = 0;
};

// Derived from the same settings as the limits on clients, which must be valid: an eighth of the
// memory, but two requests of the largest size at least; half of the descriptors that the clients
// leave.
peer_limits resolve_peer_limits(const client_limit_settings& settings, const machine_size& machine,
                                const client_limits& clients, std::size_t largest_request);

// Memory for accepted jobs, in bytes: a quarter.
std::size_t resolve_job_memory(const client_limit_settings& settings, const machine_size& machine);

// Adds what clients use, the limits, and the connections closed.
void add_client_metrics(exposition& page, const client_budget_stats& stats);

// Reports closed connections and failed accepts at a bounded rate.
class client_close_log {
 public:
  // Returns a line if there were any since the last line and that is long enough ago.
  std::optional<std::string> sample(const client_budget_stats& stats, time_point now);

 private:
  std::array<std::uint64_t, client_close_causes> reported_{};
  std::uint64_t reported_accepts_ = 0;
  std::optional<time_point> last_line_;
};

}  // namespace coltsfoot
