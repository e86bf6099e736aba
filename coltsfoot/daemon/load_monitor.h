// Measures how busy a node is: the traffic of its HTTP clients by kind of call, and how late its
// threads run. Once a second the measurements become metrics and one log line.
//
//   load_monitor monitor;
//   monitor.note_tick(due, handled_at);
//   if (auto line = monitor.sample({&store_http, &worker_http}, now)) log_line(severity::info,
//   *line); monitor.add_metrics(page);
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coltsfoot/base/time.h"
#include "coltsfoot/observe/exposition.h"
#include "coltsfoot/transport/http_client.h"

namespace coltsfoot {

class load_monitor {
 public:
  // A tick of the control thread that was due at `due` begins at `now`.
  void note_tick(time_point due, time_point now);

  // Once a second, takes the measurements of `clients` and returns a line with what has changed.
  std::optional<std::string> sample(const std::vector<http_client*>& clients, time_point now);

  // How late a thread of this node was at most in the last second or two.
  duration own_delay() const;

  // Totals since the start, and the lateness in the newest second.
  void add_metrics(exposition& page) const;

 private:
  http_traffic_by_kind traffic_;      // at the newest sample
  duration control_late_{0};          // most in the second that runs
  duration sampled_control_late_{0};  // most in the newest sampled second
  duration sampled_client_late_{0};
  time_point next_sample_{};
};

}  // namespace coltsfoot
