#include "coltsfoot/daemon/client_limits.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <string_view>

namespace coltsfoot {
namespace {

constexpr std::uint64_t mib = 1'048'576;

// A quarter of the memory is for clients, and a quarter of a job node's for accepted jobs.
constexpr std::uint64_t memory_divisor = 4;

// More would only serve clients that don't complete their requests.
constexpr std::uint64_t most_default_bytes = 1'024 * mib;
constexpr std::uint64_t most_default_connections = 16'384;
constexpr std::uint64_t least_default_connections = 16;

// The HTTP parser accepts headers of up to 80 KiB; as strings they take at most twice that.
constexpr std::size_t largest_header_bytes = 163'840;

// Of the memory, for the peer port.
constexpr std::uint64_t peer_memory_divisor = 8;
constexpr std::uint64_t most_peer_connections = 256;
constexpr std::uint64_t least_peer_connections = 16;

constexpr duration log_interval{10'000};

constexpr std::array<std::string_view, client_close_causes> cause_names{
    "memory_receiving", "memory_sending", "connections", "refused", "memory_waiting"};

std::uint64_t default_bytes(std::uint64_t memory_bytes, std::size_t largest_request) {
  return std::max<std::uint64_t>(std::min(memory_bytes / memory_divisor, most_default_bytes),
                                 2 * largest_request);
}

// Half of what the files leave is for clients, the other half for the store, workers and peers.
std::uint64_t default_connections(std::uint64_t descriptors, std::uint64_t bytes) {
  const auto free = descriptors - std::min(descriptors, reserved_file_descriptors);
  const auto most = std::min(most_default_connections, bytes / 2 / client_connection_bytes);
  return std::clamp(free / 2, least_default_connections, most);
}

std::uint64_t memory_of(const client_limit_settings& settings, const machine_size& machine) {
  return settings.memory_mb > 0 ? settings.memory_mb * mib : machine.memory_bytes;
}

std::uint64_t descriptors_of(const client_limit_settings& settings, const machine_size& machine) {
  return settings.file_descriptors > 0
             ? std::min(settings.file_descriptors, machine.file_descriptors)
             : machine.file_descriptors;
}

}  // namespace

machine_size read_machine() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return {.memory_bytes = static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) *
                          static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)),
          .file_descriptors = limit.rlim_cur};
}

std::size_t largest_request_bytes(std::size_t max_body_bytes) {
  return 2 * max_body_bytes + largest_header_bytes + client_connection_bytes;
}

tl::expected<client_limits, std::string> resolve_client_limits(
    const client_limit_settings& settings, const machine_size& machine,
    std::size_t largest_request) {
  const auto memory = memory_of(settings, machine);
  const auto bytes = settings.client_memory_mb > 0 ? settings.client_memory_mb * mib
                                                   : default_bytes(memory, largest_request);
  if (bytes < largest_request) {
    return tl::unexpected(fmt::format("client_memory_mb: one request takes up to {}",
                                      (largest_request + mib - 1) / mib));
  }
  if (bytes > memory) {
    return tl::unexpected(
        fmt::format("client_memory_mb: more than the memory of {} MiB", memory / mib));
  }
  const auto descriptors = descriptors_of(settings, machine);
  const auto connections = settings.client_connections > 0
                               ? settings.client_connections
                               : default_connections(descriptors, bytes);
  if (connections + least_other_descriptors > descriptors) {
    return tl::unexpected(fmt::format("client_connections: only {} of the {} descriptors remain",
                                      descriptors - std::min(descriptors, connections),
                                      descriptors));
  }
  if (connections * client_connection_bytes > bytes / 2) {
    return tl::unexpected(
        fmt::format("client_connections: more than {}, which take half of client_memory_mb",
                    bytes / 2 / client_connection_bytes));
  }
  return client_limits{.bytes = bytes, .connections = connections};
}

peer_limits resolve_peer_limits(const client_limit_settings& settings, const machine_size& machine,
                                const client_limits& clients, std::size_t largest_request) {
  const auto memory =
      std::min(memory_of(settings, machine) / peer_memory_divisor, most_default_bytes);
  const auto left = descriptors_of(settings, machine) - clients.connections;
  return {.bytes = std::max<std::uint64_t>(memory, 2 * largest_request),
          .connections = std::clamp((left - least_other_descriptors) / 2, least_peer_connections,
                                    most_peer_connections)};
}

std::size_t resolve_job_memory(const client_limit_settings& settings, const machine_size& machine) {
  return memory_of(settings, machine) / memory_divisor;
}

void add_client_metrics(exposition& page, const client_budget_stats& stats) {
  page.add_gauge("client_memory_bytes", static_cast<double>(stats.bytes));
  page.add_gauge("client_memory_limit_bytes", static_cast<double>(stats.limits.bytes));
  page.add_gauge("client_waiting_bytes", static_cast<double>(stats.waiting_bytes));
  page.add_gauge("client_connections", static_cast<double>(stats.connections));
  page.add_gauge("client_connections_limit", static_cast<double>(stats.limits.connections));
  page.add_counter("client_accepts_failed_total", stats.failed_accepts);
  for (std::size_t n = 0; n < client_close_causes; ++n) {
    page.add_counter("client_connections_closed_total", stats.closed[n],
                     exposition_label("cause", cause_names[n]));
  }
}

std::optional<std::string> client_close_log::sample(const client_budget_stats& stats,
                                                    time_point now) {
  if (stats.closed == reported_ && stats.failed_accepts == reported_accepts_) return std::nullopt;
  if (last_line_ && now - *last_line_ < log_interval) return std::nullopt;
  std::string line = "event=clients_closed";
  for (std::size_t n = 0; n < client_close_causes; ++n) {
    line += fmt::format(" {}={}", cause_names[n], stats.closed[n] - reported_[n]);
  }
  line += fmt::format(
      " failed_accepts={} bytes={} waiting_bytes={} byte_limit={} open_connections={} "
      "open_limit={}",
      stats.failed_accepts - reported_accepts_, stats.bytes, stats.waiting_bytes,
      stats.limits.bytes, stats.connections, stats.limits.connections);
  reported_ = stats.closed;
  reported_accepts_ = stats.failed_accepts;
  last_line_ = now;
  return line;
}

}  // namespace coltsfoot
