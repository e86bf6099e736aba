// Chooses the worker for a task.
//
// Load it answers: many short tasks with processors of their own, tasks that fill what those leave,
// and tasks that serve users and suffer from filling tasks beside them. Serving tasks are packed,
// so that large tasks find room; all others are spread. A filling task goes beside serving tasks
// only as far as its image is known to leave their tails below the target.
//
//   const placement_request request{.step = &step, .service = service};
//   worker_ranking ranking{request, links, model, now};
//   while (worker_link* chosen = ranking.best()) {
//     place_one_task_on(*chosen);
//     ranking.reconsider_best();
//   }
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "coltsfoot/jobs/worker_link.h"
#include "coltsfoot/placing/interference_model.h"
#include "coltsfoot/placing/short_task_room.h"

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
  const short_task_room* short_room = nullptr;  // null: each worker keeps its part

  // Whether the task has to leave room for short ones.
  bool leaves_room() const { return step->long_running && !restart; }
};

// Why a task of the request can't be placed on the worker; nothing if it can.
std::optional<placing_obstacle> obstacle_to(const placement_request& request,
                                            const worker_link& link,
                                            const interference_model& model, time_point now);

// The workers with room for tasks of one request, by how well they suit. The request, the workers
// and the model must outlive it. Between two calls only the best worker may change.
class worker_ranking {
 public:
  worker_ranking(const placement_request& request, worker_links& links,
                 const interference_model& model, time_point now);

  // Returns the worker that suits best, or null if none has room.
  worker_link* best() const;
  // Judges the best worker again, after a task was placed there.
  void reconsider_best();

 private:
  // Whether the data and the siblings of the task are near, whether tasks of its image serve there,
  // whether the worker is at full speed, not cold, and how much room it leaves. Compared as a
  // whole; the greatest is the best.
  using suitability = std::tuple<bool, bool, bool, bool, double>;
  struct candidate {
    suitability value;
    worker_link* link = nullptr;
  };

  static bool suits_less(const candidate& a, const candidate& b);
  std::optional<suitability> judge(const worker_link& link) const;

  const placement_request& request_;
  const interference_model& model_;
  time_point now_;
  std::vector<candidate> candidates_;  // a heap, the best first
};

// Share of its speed, in percent, at which the serving tasks of a worker bear one more filling
// task.
std::uint32_t bearable_percent(const step_spec& step, const worker_link& link,
                               const interference_model& model, time_point now);

}  // namespace coltsfoot::jobs
