#include "coltsfoot/daemon/fleet_daemon.h"

#include <fmt/format.h>
#include <time.h>

#include <atomic>
#include <csignal>
#include <random>
#include <thread>

#include "coltsfoot/daemon/caller_gateway.h"
#include "coltsfoot/daemon/client_limits.h"
#include "coltsfoot/daemon/fleet_metrics.h"
#include "coltsfoot/daemon/load_monitor.h"
#include "coltsfoot/daemon/mailbox.h"
#include "coltsfoot/daemon/shared_text.h"
#include "coltsfoot/jobs/job_node.h"
#include "coltsfoot/observe/exposition.h"
#include "coltsfoot/observe/logger.h"
#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/http_server.h"
#include "coltsfoot/transport/internal/rest_listener.h"
#include "coltsfoot/transport/peer_client.h"
#include "coltsfoot/transport/peer_server.h"
#include "platform/caller_api.h"
#include "platform/formats.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"

namespace coltsfoot {
namespace {

constexpr duration tick_interval{25};
constexpr duration metrics_interval{1'000};

// Long-polling reads of three topics, and two appends.
constexpr long max_store_connections = 8;

// Per worker: one long poll, and orders.
constexpr long max_worker_connections = 3;

// Closing the connections to all workers of a large fleet at the same time would delay orders.
constexpr duration max_worker_connection_idle_time{60'000};

constexpr std::size_t max_caller_body_bytes = std::size_t{512} * 1024;

// Other nodes pass on records of the store.
constexpr std::size_t max_peer_body_bytes = std::size_t{1} * 1024 * 1024;

// Part of the shutdown grace period that is reserved for closing the sockets.
constexpr duration socket_close_margin{1'500};

// Maximum time to wait until the last responses to callers are written. The rest of the margin
// above is for a node that notices the end of its time late.
constexpr duration response_write_timeout{500};

using node_mailbox = basic_mailbox<jobs::node_event>;

// Includes the time in which the machine was suspended, so that a pause is detected.
time_point boot_time_now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point{std::chrono::duration_cast<duration>(std::chrono::seconds{now.tv_sec} +
                                                         std::chrono::nanoseconds{now.tv_nsec})};
}

wall_time wall_time_now() {
  return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

listen_address to_listen_address(const std::string& address) {
  const auto colon = address.rfind(':');
  return {.ip = address.substr(0, colon),
          .port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

// Executes the commands of the node.
class fleet_executor {
 public:
  fleet_executor(platform::store_client& store, platform::worker_client& workers,
                 peer_client& peers, peer_server& peer_requests, caller_gateway& callers,
                 node_mailbox& events)
      : store_(store),
        workers_(workers),
        peers_(peers),
        peer_requests_(peer_requests),
        callers_(callers),
        events_(events) {}

  void execute(jobs::node_command command) {
    std::visit([this](auto&& c) { run(std::forward<decltype(c)>(c)); }, std::move(command));
  }
  bool ready() const { return ready_; }
  bool ended() const { return ended_; }

 private:
  void run(const jobs::answer_caller_call& c) {
    auto response = platform::encode_caller_answer(c.answer);
    // Closing the connection makes callers of a node that is not ready connect to another node.
    response.close = !ready_;
    callers_.answer(c.call, std::move(response));
  }
  void run(const jobs::append_to_jobs& c) {
    store_.append(c, [this, call = c.call](jobs::append_verdict verdict) {
      events_.push(jobs::append_ended{.call = call, .verdict = verdict});
    });
  }
  void run(const jobs::read_topic& c) {
    store_.read(c, [this, call = c.call, topic = c.topic, shard = c.shard](auto page) {
      events_.push(
          jobs::topic_read{.call = call, .topic = topic, .shard = shard, .page = std::move(page)});
    });
  }
  void run(const jobs::give_order& c) {
    workers_.send(c, [this](jobs::node_event answer) { events_.push(std::move(answer)); });
  }
  void run(const jobs::ask_peer& c) {
    peers_.send(c.address, c.request, c.timeout, [this, call = c.call](peer_result result) {
      events_.push(jobs::peer_answered{.call = call, .result = std::move(result)});
    });
  }
  void run(const jobs::answer_peer& c) { peer_requests_.reply(c.call, c.reply); }
  void run(const jobs::refuse_peer& c) { peer_requests_.refuse(c.call); }
  void run(const jobs::show_ready& c) { ready_ = c.ready; }
  void run(const jobs::end_process& /*c*/) { ended_ = true; }

  platform::store_client& store_;
  platform::worker_client& workers_;
  peer_client& peers_;
  peer_server& peer_requests_;
  caller_gateway& callers_;
  node_mailbox& events_;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> ended_ = false;
};

void run_control_thread(jobs::job_node& node, node_mailbox& events, fleet_executor& executor,
                        const std::vector<http_client*>& clients, const client_budget& budget,
                        shared_text& metrics) {
  load_monitor load;
  client_close_log closes;
  auto next_tick = boot_time_now();
  auto next_metrics = next_tick;
  while (!executor.ended()) {
    const auto now = boot_time_now();
    const auto wait = std::max(next_tick - now, duration{0});
    auto arrived = events.pop_all_until(std::chrono::steady_clock::now() + wait);
    const auto handled_at = boot_time_now();
    if (handled_at >= next_tick) {
      load.note_tick(next_tick, handled_at);
      next_tick = handled_at + tick_interval;
      arrived.emplace_back(jobs::time_passed{.own_delay = load.own_delay()});
    }
    if (arrived.empty()) continue;
    for (auto& c : node.handle_all(std::move(arrived), handled_at, wall_time_now())) {
      executor.execute(std::move(c));
    }
    if (const auto line = load.sample(clients, handled_at)) log_line(severity::info, *line);
    if (now >= next_metrics) {
      next_metrics = now + metrics_interval;
      const auto client_use = budget.stats();
      metrics.set(fleet_metrics_page(node, load, client_use));
      if (const auto line = closes.sample(client_use, now)) log_line(severity::warning, *line);
    }
  }
}

client_limit_settings limit_settings_of(const fleet_settings& settings) {
  return {.memory_mb = settings.memory_mb,
          .file_descriptors = settings.file_descriptors,
          .client_memory_mb = settings.client_memory_mb,
          .client_connections = settings.client_connections};
}

jobs::job_node_options node_options(const fleet_settings& settings) {
  jobs::job_node_options options{
      .node = settings.node,
      .life = (std::uint64_t{std::random_device{}()} << 20U) ^ std::random_device{}(),
      .strength = settings.processor_millicores,
      .peer_address = settings.peer_address,
      .codec = {.config = platform::decode_config,
                .worker = platform::decode_worker,
                .config_key = std::string{platform::config_key},
                .evacuation = {.key_prefix = std::string{platform::evacuation_prefix},
                               .check = platform::check_evacuation}}};
  options.owner.longest_lease = settings.longest_lease;
  options.owner.lease = std::min(options.owner.lease, settings.longest_lease);
  options.owner.relocation.restore = settings.restore;
  options.layout.most_shards = settings.journal_partitions;
  options.layout.link_bytes_per_s = settings.link_bytes_per_s;
  options.drain_time =
      std::max(settings.shutdown_grace - socket_close_margin, settings.shutdown_grace / 2);
  options.memory.most_bytes = resolve_job_memory(limit_settings_of(settings), read_machine());
  options.refusal_time = std::min(options.refusal_time, options.drain_time / 3);
  return options;
}

sigset_t block_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

tl::expected<client_limits, std::string> limits_of(const fleet_settings& settings) {
  return resolve_client_limits(limit_settings_of(settings), read_machine(),
                               largest_request_bytes(max_caller_body_bytes));
}

// A refusal for want of memory.
internal::rest_response overloaded_response(duration retry_after) {
  return platform::encode_caller_answer({.verdict = jobs::caller_verdict::unavailable,
                                         .retry_after = retry_after,
                                         .detail = "too many requests wait for their responses"});
}

// Memory of a request that waits for the node, beside its body.
std::size_t memory_of(const jobs::caller_request& request) {
  return request.spec ? jobs::memory_of(*request.spec) : 0;
}

void log_rejected_settings(const std::string& detail) {
  log_line(severity::error, "event=settings_rejected detail=" + log_value(detail));
}

// The limits on clients take effect at once, and only if the whole file is valid.
void reload_settings(const std::string& path, client_budget& clients) {
  const auto settings = load_fleet_settings(path, unfilled_setting::is_an_error);
  if (!settings) return log_rejected_settings(to_string(settings.error()));
  const auto limits = limits_of(*settings);
  if (!limits) return log_rejected_settings(limits.error());
  clients.set_limits(*limits);
  log_line(severity::info,
           fmt::format("event=settings_read client_bytes={} client_connections={} note={}",
                       limits->bytes, limits->connections,
                       log_value("all but the limits on clients holds until restart")));
}

// Handles signals until the control thread sends SIGUSR1, which it does when it has ended.
void handle_signals(const sigset_t& signals, node_mailbox& events, const std::string& path,
                    client_budget& clients) {
  int received = 0;
  while (sigwait(&signals, &received) == 0) {
    log_line(severity::info, fmt::format("event=signal number={}", received));
    if (received == SIGUSR1) return;
    if (received == SIGHUP) {
      reload_settings(path, clients);
    } else {
      events.push(jobs::shutdown_asked{});
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

}  // namespace

int run_fleet_daemon(const fleet_settings& settings, const std::string& settings_path) {
  start_logging({.node = settings.node});
  const sigset_t signals = block_signals();
  const log_sink sink = [](severity level, const std::string& text) { log_line(level, text); };
  log_line(severity::info,
           fmt::format("event=starting version={} zone={} callers={} store={}", COLTSFOOT_VERSION,
                       log_value(settings.zone), settings.caller_address, settings.store_address));
  for (const auto& key : settings.unfilled) {
    log_line(severity::warning, "event=setting_not_filled_in key=" + log_value(key));
  }
  const auto limits = limits_of(settings);
  if (!limits) {
    log_line(severity::error,
             "event=start_failed part=client_limits detail=" + log_value(limits.error()));
    return 1;
  }
  const auto clients = std::make_shared<client_budget>(*limits);
  node_mailbox events;
  shared_text metrics;
  // Two clients, so that requests to many workers do not delay those to the store.
  http_client store_http{
      {.max_connections_per_host = max_store_connections, .connect_timeout = duration{400}}};
  http_client worker_http{{.max_connections_per_host = max_worker_connections,
                           .connect_timeout = duration{400},
                           .max_idle_connection = max_worker_connection_idle_time}};
  platform::store_client store{store_http, {.address = settings.store_address}, sink};
  platform::worker_client workers{worker_http};
  peer_client peers{{.connect_timeout = duration{300}, .longest_backoff = duration{200}}, sink};
  const auto peer_listen = to_listen_address(settings.peer_address);
  const auto peer_bounds = resolve_peer_limits(limit_settings_of(settings), read_machine(), *limits,
                                               max_peer_body_bytes);
  peer_server peer_requests{
      {.address = peer_listen.ip,
       .port = peer_listen.port,
       .max_body_bytes = max_peer_body_bytes,
       .max_connections = peer_bounds.connections,
       .max_buffered_bytes = peer_bounds.bytes},
      [&events](call_id call, peer_request request) {
        events.push(jobs::peer_asked{.call = call, .request = std::move(request)});
      },
      sink};
  const auto options = node_options(settings);
  const auto caller_listen = to_listen_address(settings.caller_address);
  caller_gateway callers{
      {.ip = caller_listen.ip,
       .port = caller_listen.port,
       .max_body_bytes = max_caller_body_bytes,
       .clients = clients,
       .refusal = overloaded_response(options.retry_after)},
      platform::encode_caller_answer({.verdict = jobs::caller_verdict::unavailable,
                                      .retry_after = options.retry_after,
                                      .detail = "the node is shutting down"}),
      [&](call_id call, const internal::rest_request& request) {
        auto decoded = platform::decode_caller_request(request, call);
        if (!decoded) return callers.answer(call, {.status = 405});
        if (!request.waiting->hold_more(memory_of(*decoded))) {
          return callers.answer(call, overloaded_response(options.retry_after));
        }
        events.push(std::move(*decoded));
      }};
  fleet_executor executor{store, workers, peers, peer_requests, callers, events};

  const auto readiness_listen = to_listen_address(settings.readiness_address);
  internal::rest_listener readiness{
      {.ip = readiness_listen.ip,
       .port = readiness_listen.port,
       .max_body_bytes = max_caller_body_bytes,
       .clients = clients},
      [&](const internal::rest_request& request, const internal::rest_responder& respond) {
        const bool known = request.target == platform::readiness_path;
        respond({.status = !known ? 404 : executor.ready() ? 200 : 503});
      }};
  const auto metrics_listen = to_listen_address(settings.metrics_address);
  internal::rest_listener metrics_server{
      {.ip = metrics_listen.ip,
       .port = metrics_listen.port,
       .max_body_bytes = max_caller_body_bytes,
       .clients = clients},
      [&](const internal::rest_request&, const internal::rest_responder& respond) {
        respond(
            {.headers = {{.name = "Content-Type", .value = std::string{exposition::content_type}}},
             .body = metrics.get()});
      }};
  if (!started(peer_requests.start(), "peer_server") || !started(callers.start(), "callers") ||
      !started(readiness.start(), "readiness") || !started(metrics_server.start(), "metrics")) {
    return 1;
  }
  jobs::job_node node{options, boot_time_now(), sink};
  std::thread control{[&] {
    run_control_thread(node, events, executor, {&store_http, &worker_http}, *clients, metrics);
    kill(getpid(), SIGUSR1);
  }};
  handle_signals(signals, events, settings_path, *clients);
  control.join();
  const auto unwritten = callers.close(response_write_timeout);
  log_line(unwritten == 0 ? severity::info : severity::warning,
           fmt::format("event=callers_closed unwritten_responses={}", unwritten));
  readiness.stop();
  metrics_server.stop();
  peers.stop();
  worker_http.stop();
  store_http.stop();
  peer_requests.stop();
  log_line(severity::info, "event=stopped");
  return 0;
}

}  // namespace coltsfoot
