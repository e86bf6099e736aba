// Chooses the worker for a task.
//
// Load it answers: many short tasks with processors of their own, tasks that fill what those leave,
// and tasks that serve users and suffer from filling tasks beside them. Serving tasks are packed,
// so that large tasks find room; all others are spread. A filling task goes beside serving tasks
// only as far as its image is known to leave their tails below the target.
//
//   const placement_request request{.step = &step, .service = service};
//   worker_link* chosen = choose_worker(request, links, model, now);
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coltsfoot/jobs/interference_model.h"
#include "coltsfoot/jobs/worker_link.h"

namespace coltsfoot::jobs {

using worker_links = std::map<worker_id, worker_link>;

struct placement_request {
  const step_spec* step = nullptr;
  service_id service;
  // Tasks of the step on each worker, for the limit per worker.
  std::map<worker_id, std::uint32_t> siblings;
  std::string preferred_rack;  // where tightly coupled siblings run; empty: none do
  // A filling task of a job that has nothing running while much room is free: it goes where it
  // disturbs least, however slow it must work there.
  bool starved = false;
  bool restart = false;  // the task has run before: it may use room that is kept for others
};

// Returns the worker with room that suits best, or null.
worker_link* choose_worker(const placement_request& request, worker_links& links,
                           const interference_model& model, time_point now);

// Share of its speed, in percent, at which the serving tasks of a worker bear one more filling
// task.
std::uint32_t bearable_percent(const step_spec& step, const worker_link& link,
                               const interference_model& model, time_point now);

}  // namespace coltsfoot::jobs
