// Chooses the worker for a task.
//
// Load it answers: many short tasks with processors of their own, tasks that fill what those leave,
// and tasks that serve users and suffer from filling tasks beside them. Serving tasks are packed on
// few workers that no filling task uses; all others are spread.
//
//   const placement_request request{.step = &step, .service = service};
//   worker_link* chosen = choose_worker(request, links, zones, now);
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coltsfoot/jobs/worker_link.h"

namespace coltsfoot::jobs {

using worker_links = std::map<worker_id, worker_link>;

struct placement_request {
  const step_spec* step = nullptr;
  service_id service;
  // Tasks of the step on each worker, for the limit per worker.
  std::map<worker_id, std::uint32_t> siblings;
  std::string preferred_rack;  // where tightly coupled siblings run; empty: none do
};

// Returns the worker with room that suits best, or null.
worker_link* choose_worker(const placement_request& request, worker_links& links, time_point now);

// Whether an empty worker of the service could run the task.
bool could_ever_run(const placement_request& request, const worker_links& links);

// Marks which workers are kept free of filling tasks for the serving tasks of `serving_millicores`
// that run or wait. Workers that serve already come first.
void reserve_for_serving(worker_links& links, std::int64_t serving_millicores, time_point now);

}  // namespace coltsfoot::jobs
