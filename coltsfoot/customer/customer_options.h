// Options of a customer owner. All times are in milliseconds unless a literal says otherwise.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/chart/state_chart.h"

namespace coltsfoot {

struct customer_owner_options {
  customer_id customer;
  state_chart task_chart;  // charts/task.yaml
  std::uint64_t seed = 0;
  zone_id zone;  // of this node; requests prefer backend servers in it

  std::size_t candidate_count = 4;  // racks named when a task is accepted
  std::size_t max_candidates = 32;  // bounds what a new owner has to query for one task
  duration candidate_wait = std::chrono::seconds{1};  // without room before racks are added

  duration id_window = std::chrono::hours{24};
  // Ids are kept for this much longer than the window, because wall clocks of nodes differ.
  duration clock_margin = std::chrono::minutes{10};

  std::size_t open_task_limit = 20'000;
  double urgent_queue_floor = 0.2;  // share of the open tasks that only urgent ones may take
  double deferrable_queue_floor = 0.2;
  double deferrable_dispatch_floor = 0.1;  // share of dispatches while urgent tasks wait
  std::size_t max_id_bytes = 128;
  std::size_t max_payload_bytes = std::size_t{64} * 1024;

  duration submit_timeout = std::chrono::seconds{5};
  duration place_timeout = std::chrono::seconds{2};
  duration retry_interval = std::chrono::milliseconds{200};  // first back-off; doubles
  duration max_retry_interval = std::chrono::seconds{5};
  duration query_interval = std::chrono::seconds{10};  // between checks of what a rack holds
  std::size_t max_places_in_flight = 256;
  std::size_t max_stops_in_flight = 64;
  std::uint32_t max_attempts = 5;
  std::uint32_t min_failed_workers = 3;  // distinct workers that failed before a task is given up

  std::size_t request_limit = 1'024;      // non-idempotent requests in progress
  std::size_t answer_cache_limit = 256;   // answers kept for repeats of a request id
  std::size_t answer_cache_body = 65536;  // larger answers, in bytes, are not kept
  std::uint32_t request_tries = 3;        // racks that one request is forwarded to
};

}  // namespace coltsfoot
