// Chooses the worker for a task: hard limits first, then the lowest score.
//
//   placement_decision decision = choose_worker(request, workers, table, options, now);
//   if (decision.worker) { ... } else { refuse(decision.reason); }
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/task.h"
#include "coltsfoot/rack/interference_table.h"

namespace coltsfoot {

// Weights of the parts of the score. Urgent victims count more, since they have the tail latency
// that the placement is to protect.
struct placement_options {
  double interference_weight = 1.0;
  double urgent_victim_weight = 4.0;
  double utilisation_weight = 0.5;
  double spread_weight = 0.5;       // per task of the same service on the worker
  double accelerator_weight = 1.0;  // packing, and keeping other tasks away
  std::size_t runners_up = 3;       // reported with a decision
};

struct placement_neighbour {
  std::string interference_class;
  service_id service;
  urgency priority = urgency::deferrable;
};

struct placement_worker {
  worker_id id;
  resources capacity;
  resources used;
  bool admits = true;  // inventoried, listed, not leaving and not quarantined
  std::vector<placement_neighbour> running;
};

struct placement_request {
  std::string interference_class;
  service_id service;
  urgency priority = urgency::deferrable;
  resources limit;
  std::vector<worker_id> avoid;
};

struct scored_worker {
  worker_id worker;
  double score = 0;
};

struct placement_decision {
  std::optional<worker_id> worker;
  double score = 0;
  std::string_view reason;  // why this one, or why none
  bool capacity = false;    // refused, and free capacity would have helped
  std::vector<scored_worker> runners_up;
};

placement_decision choose_worker(const placement_request& request,
                                 const std::vector<placement_worker>& workers,
                                 const interference_table& table, const placement_options& options,
                                 time_point now);

// Returns how much a newcomer and the tasks that run on a worker are expected to slow each other
// down, as a weighted sum of excess slowdowns.
double expected_interference(const placement_request& request, const placement_worker& worker,
                             const interference_table& table, const placement_options& options,
                             time_point now);

}  // namespace coltsfoot
