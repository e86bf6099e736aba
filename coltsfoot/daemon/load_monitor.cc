#include "coltsfoot/daemon/load_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace coltsfoot {
namespace {

constexpr duration sample_interval{1'000};

std::string text_of(std::string_view kind, const http_traffic& traffic) {
  return fmt::format(" {}={}/{}/{}/{}/{}", kind, traffic.calls, traffic.failures,
                     traffic.connections, traffic.sent_bytes, traffic.received_bytes);
}

}  // namespace

void load_monitor::note_tick(time_point due, time_point now) {
  control_late_ = std::max(control_late_, now - due);
}

std::optional<std::string> load_monitor::sample(const std::vector<http_client*>& clients,
                                                time_point now) {
  if (now < next_sample_) return std::nullopt;
  next_sample_ = now + sample_interval;
  sampled_control_late_ = std::exchange(control_late_, duration{0});
  sampled_client_late_ = duration{0};
  http_traffic_by_kind traffic;
  for (auto* client : clients) {
    sampled_client_late_ = std::max(sampled_client_late_, client->take_longest_delay());
    for (const auto& [kind, counts] : client->traffic()) traffic[kind] += counts;
  }
  // Per kind: calls, failures, connections, bytes sent, bytes received.
  auto line = fmt::format("event=node_load control_late_ms={} client_late_ms={}",
                          sampled_control_late_.count(), sampled_client_late_.count());
  for (const auto& [kind, counts] : traffic) {
    const auto change = counts - traffic_[kind];
    if (change != http_traffic{}) line += text_of(kind, change);
  }
  traffic_ = std::move(traffic);
  return line;
}

duration load_monitor::own_delay() const {
  return std::max({control_late_, sampled_control_late_, sampled_client_late_});
}

void load_monitor::add_metrics(exposition& page) const {
  const auto add = [&](std::string_view name, std::uint64_t http_traffic::* value) {
    for (const auto& [kind, counts] : traffic_) {
      page.add_counter(name, counts.*value, exposition_label("kind", kind));
    }
  };
  add("calls_total", &http_traffic::calls);
  add("calls_failed_total", &http_traffic::failures);
  add("connections_total", &http_traffic::connections);
  add("sent_bytes_total", &http_traffic::sent_bytes);
  add("received_bytes_total", &http_traffic::received_bytes);
  page.add_gauge("control_thread_late_seconds",
                 std::chrono::duration<double>(sampled_control_late_).count());
  page.add_gauge("client_thread_late_seconds",
                 std::chrono::duration<double>(sampled_client_late_).count());
}

}  // namespace coltsfoot
