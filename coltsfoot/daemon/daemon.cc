#include "coltsfoot/daemon/daemon.h"

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <random>
#include <thread>

#include "coltsfoot/base/hash.h"
#include "coltsfoot/daemon/client_limits.h"
#include "coltsfoot/daemon/command_executor.h"
#include "coltsfoot/daemon/mailbox.h"
#include "coltsfoot/daemon/shared_text.h"
#include "coltsfoot/daemon/transport_metrics.h"
#include "coltsfoot/observe/exposition.h"
#include "coltsfoot/observe/logger.h"
#include "coltsfoot/platform/http_backend.h"
#include "coltsfoot/platform/http_host_list.h"
#include "coltsfoot/platform/http_log.h"
#include "coltsfoot/platform/http_worker.h"
#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/http_server.h"
#include "coltsfoot/transport/peer_client.h"
#include "coltsfoot/transport/peer_server.h"

namespace coltsfoot {
namespace {

// Interval of the core's tick events. Place requests are decided in batches of this length.
constexpr duration tick_interval{20};

// Interval at which the /metrics page is regenerated.
constexpr duration metrics_interval{1'000};

// Maximum time per server to wait for pending answers to be sent after the core has stopped.
constexpr duration drain_timeout{2'000};

time_point monotonic_now() {
  return time_point{
      std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

duration wall_clock_offset() {
  const auto wall =
      std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch());
  return wall - monotonic_now().time_since_epoch();
}

std::uint64_t new_incarnation() {
  // Increases with the wall clock, so that a later run of a node supersedes an earlier one; the
  // random low bits distinguish two runs started in the same millisecond.
  const auto wall =
      std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch());
  return (static_cast<std::uint64_t>(wall.count()) << 16U) | (std::random_device{}() & 0xffffU);
}

struct ip_port {
  std::string ip;
  std::uint16_t port = 0;
};

// Splits an address that was validated when the settings were loaded.
ip_port split_address(const std::string& address) {
  const auto colon = address.rfind(':');
  std::string ip = address.substr(0, colon);
  if (ip.starts_with('[')) ip = ip.substr(1, ip.size() - 2);
  return {.ip = std::move(ip),
          .port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

listen_address to_listen_address(const std::string& address) {
  const auto split = split_address(address);
  return {.ip = split.ip, .port = split.port};
}

std::string metrics_page(const node_core& core, const transport_stats& transport,
                         const client_budget_stats& clients) {
  exposition page;
  for (const auto& [name, value] : core.counters()) page.add_counter(name, value);
  for (const auto kind : {urgency::urgent, urgency::deferrable}) {
    page.add_histogram("request_seconds", exposition_label("urgency", name_of(kind)),
                       core.request_latency(kind));
  }
  add_transport_metrics(page, transport);
  add_client_metrics(page, clients);
  return page.text();
}

// Blocks SIGTERM and SIGINT in this thread and in all threads that it starts; ignores SIGPIPE.
sigset_t block_stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Runs the control thread: handles events one at a time, with a tick every `tick_interval`.
template <typename Executor, typename Transport>
void run_control_thread(node_core& core, mailbox& events, Executor& executor,
                        const Transport& transport, const client_budget& clients,
                        shared_text& metrics) {
  client_close_log closes;
  auto next_tick = std::chrono::steady_clock::now();
  auto next_metrics = next_tick;
  while (!executor.stopped()) {
    event e = tick{};
    if (std::chrono::steady_clock::now() >= next_tick) {
      next_tick = std::chrono::steady_clock::now() + tick_interval;
    } else {
      auto received = events.pop_until(next_tick);
      if (!received) continue;
      e = std::move(*received);
    }
    for (auto& c : core.handle(e, monotonic_now())) executor.execute(std::move(c));
    if (std::chrono::steady_clock::now() >= next_metrics) {
      next_metrics = std::chrono::steady_clock::now() + metrics_interval;
      const auto client_use = clients.stats();
      metrics.set(metrics_page(core, transport(), client_use));
      if (const auto line = closes.sample(client_use, monotonic_now())) {
        log_line(severity::warning, *line);
      }
    }
  }
}

bool started(const tl::expected<void, transport_error>& result, std::string_view what) {
  if (!result) {
    log_line(severity::error, fmt::format("event=start_failed part={} detail={}", what,
                                          log_value(result.error().message)));
  }
  return result.has_value();
}

client_limit_settings limit_settings_of(const node_settings& settings) {
  return {.memory_mb = settings.memory_mb,
          .file_descriptors = settings.file_descriptors,
          .client_memory_mb = settings.client_memory_mb,
          .client_connections = settings.client_connections};
}

tl::expected<client_limits, std::string> limits_of(const node_settings& settings) {
  return resolve_client_limits(
      limit_settings_of(settings), read_machine(),
      largest_request_bytes(http_server::listener_body_bytes(settings.max_body_bytes)));
}

template <typename Server>
void wait_until_idle(const Server& server) {
  const auto limit = monotonic_now() + drain_timeout;
  while (server.in_progress() > 0 && monotonic_now() < limit) {
    std::this_thread::sleep_for(duration{10});
  }
}

}  // namespace

node_core_options core_options(const node_settings& settings, chart_set charts,
                               std::uint64_t incarnation, duration wall_offset) {
  node_core_options out{
      .self = {.node = settings.node, .incarnation = incarnation},
      .address = settings.advertised_peer_address,
      .zone = settings.zone,
      // Nodes with equal settings must not make the same random choices.
      .seed = stable_hash(std::to_string(settings.seed), settings.node.value),
      .wall_offset = wall_offset,
      .charts = std::move(charts),
      .host_list_interval = settings.host_list_interval,
      .claim_delay = settings.suspect_time,
      .shutdown_limit = settings.shutdown_limit,
  };
  out.membership.seeds = settings.seed_peers;
  out.membership.heartbeat_interval = settings.heartbeat_interval;
  out.membership.suspect_time = settings.suspect_time;
  out.membership.gossip_timeout = settings.peer_timeout;
  out.config.poll_interval = settings.config_poll_interval;
  out.config.retention = settings.retention;
  out.stream.retention = settings.retention;
  out.stream.confirmation_period = settings.confirmation_period;
  out.stream.read_interval = settings.stream_poll_interval;
  out.rack.lease = settings.lease;
  out.rack.lease_margin = settings.lease_margin;
  out.rack.confirmation_period = settings.confirmation_period;
  out.rack.sync_interval = settings.worker_sync_interval;
  // A sync in progress must finish within the lease margin.
  out.rack.sync_timeout = std::min(out.rack.sync_timeout, settings.lease_margin / 2);
  out.rack.report_timeout = settings.peer_timeout;
  out.rack.floors.urgent = settings.urgent_floor;
  out.rack.floors.deferrable = settings.deferrable_floor;
  out.rack.requests.longest_call = settings.longest_backend_call;
  out.rack.requests.queue_limit = settings.max_queued_requests;
  out.rack.requests.urgent_slot_floor = settings.urgent_floor;
  out.rack.requests.deferrable_slot_floor = settings.deferrable_floor;
  out.rack.requests.urgent_queue_floor = settings.urgent_floor;
  out.rack.requests.deferrable_queue_floor = settings.deferrable_floor;
  out.customer.open_task_limit = settings.max_queued_tasks;
  out.customer.place_timeout = settings.peer_timeout;
  out.customer.urgent_queue_floor = settings.urgent_floor;
  out.customer.deferrable_queue_floor = settings.deferrable_floor;
  out.routing.most_in_progress = settings.max_requests_in_flight;
  out.routing.urgent_floor = settings.urgent_floor;
  out.routing.deferrable_floor = settings.deferrable_floor;
  out.routing.budget.retries_per_request = settings.retry_budget;
  return out;
}

int run_daemon(const node_settings& settings) {
  start_logging({.node = settings.node.value, .level = settings.log_level});
  auto charts = chart_set::load(settings.charts_directory);
  if (!charts) {
    log_line(severity::error,
             "event=start_failed part=charts detail=" + log_value(charts.error().message));
    return 1;
  }
  const auto limits = limits_of(settings);
  if (!limits) {
    log_line(severity::error,
             "event=start_failed part=client_limits detail=" + log_value(limits.error()));
    return 1;
  }
  const auto clients = std::make_shared<client_budget>(*limits);
  const sigset_t signals = block_stop_signals();
  const log_sink sink = [](severity level, const std::string& text) { log_line(level, text); };

  mailbox events;
  shared_text metrics;
  node_core core{core_options(settings, std::move(*charts), new_incarnation(), wall_clock_offset()),
                 monotonic_now()};

  http_client platform_client;
  http_client backend_client;
  http_log log{platform_client, {.url = settings.log_url, .timeout = settings.log_timeout}, sink};
  http_host_list hosts{platform_client, {.url = settings.hosts_url}, sink};
  http_worker workers{platform_client, sink};
  http_backend backends{backend_client, sink};
  peer_client peers{{}, sink};
  const auto peer_listen = split_address(settings.peer_address);
  const auto max_peer_body_bytes = settings.max_body_bytes * 2;
  const auto peer_bounds = resolve_peer_limits(limit_settings_of(settings), read_machine(), *limits,
                                               max_peer_body_bytes);
  peer_server peer_requests{
      {.address = peer_listen.ip,
       .port = peer_listen.port,
       .max_body_bytes = max_peer_body_bytes,
       .max_connections = peer_bounds.connections,
       .max_buffered_bytes = peer_bounds.bytes},
      [&events](call_id call, peer_request request) {
        events.push(peer_request_received{.call = call, .request = std::move(request)});
      },
      sink};
  http_server http{
      {.callers = to_listen_address(settings.caller_address),
       .operators = to_listen_address(settings.operator_address),
       .max_body_bytes = settings.max_body_bytes,
       .default_deadline = settings.request_timeout,
       .clients = clients},
      {.on_caller =
           [&events](call_id call, service_request request) {
             events.push(caller_request_received{.call = call, .request = std::move(request)});
           },
       .on_operator =
           [&events](call_id call, operator_request request) {
             events.push(operator_request_received{.call = call, .request = std::move(request)});
           },
       .metrics = [&metrics] { return metrics.get(); }},
      sink};
  if (!started(peer_requests.start(), "peer_server") || !started(http.start(), "http_server")) {
    return 1;
  }

  command_executor executor{executor_services{.log = log,
                                              .hosts = hosts,
                                              .workers = workers,
                                              .backends = backends,
                                              .peers = peers,
                                              .peer_requests = peer_requests,
                                              .http = http},
                            events};
  std::atomic<bool> control_ended = false;
  std::thread control{[&] {
    const auto transport = [&] {
      return transport_stats{
          .http = http.stats(), .peer_server = peer_requests.stats(), .peer_client = peers.stats()};
    };
    run_control_thread(core, events, executor, transport, *clients, metrics);
    control_ended = true;
    // Wakes the main thread if the core stopped without a signal.
    kill(getpid(), SIGTERM);
  }};

  int received = 0;
  sigwait(&signals, &received);
  if (!control_ended) {
    log_line(severity::info, fmt::format("event=signal number={}", received));
    events.push(shutdown_requested{});
  }
  control.join();
  // What the core has not answered is still in the mailbox, so it has certainly not run.
  http.refuse_open_calls();
  peer_requests.begin_drain();
  wait_until_idle(http);
  wait_until_idle(peer_requests);
  // The adapters' threads use the mailbox and the servers, so they are stopped first.
  peers.stop();
  backend_client.stop();
  platform_client.stop();
  http.stop();
  peer_requests.stop();
  return 0;
}

}  // namespace coltsfoot
