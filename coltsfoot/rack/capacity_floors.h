// Keeps a floor share of a rack's capacity for each kind of work. Unused capacity is lent; when
// work below its floor was refused, the other kind may not grow beyond its own share for a while
// and has to give capacity back. The room between the floors goes to urgent work first.
//
//   if (!floors.admits(kind, used, limit, capacity, now)) refuse();
//   floors.on_refused(kind, limit, used, capacity, now);
#pragma once

#include <array>
#include <map>
#include <utility>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/task.h"
#include "coltsfoot/rack/eviction_planner.h"

namespace coltsfoot {

struct floor_options {
  double urgent = 0.3;  // shares of the rack's capacity
  double deferrable = 0.1;
  duration reclaim_period{10'000};  // how long a refusal keeps the other kind from growing
  // How long a refused urgent task keeps freed room from deferrable work. Longer than the time
  // after which it asks the same rack again.
  duration urgent_hold{2'000};
  // An urgent task that was refused for this long displaces deferrable work: a third of the 3 s
  // within which it is to start, so that a checkpoint and a retry fit in the rest.
  duration displace_after{1'000};
};

// What each kind of work uses in the rack.
struct kind_usage {
  resources urgent;
  resources deferrable;

  resources& of(urgency kind) { return kind == urgency::urgent ? urgent : deferrable; }
  const resources& of(urgency kind) const { return kind == urgency::urgent ? urgent : deferrable; }
};

class capacity_floors {
 public:
  using task_key = std::pair<customer_id, task_id>;

  explicit capacity_floors(floor_options options) : options_(options) {}

  double floor(urgency kind) const {
    return kind == urgency::urgent ? options_.urgent : options_.deferrable;
  }
  // Whether `kind` stays within its floor with `limit` more.
  bool within_floor(urgency kind, const kind_usage& used, const resources& limit,
                    const resources& capacity) const;
  // Whether `kind` may take `limit` more: it is within its floor, or the other kind does not want
  // its share back.
  bool admits(urgency kind, const kind_usage& used, const resources& limit,
              const resources& capacity, time_point now) const;
  // A task was refused for lack of room. Below the floor, the other kind has to give room back at
  // once. Urgent work beyond its floor gets the room that is freed next, and room down to the floor
  // of deferrable work when that was not enough.
  void on_refused(const task_key& task, urgency kind, const resources& limit,
                  const kind_usage& used, const resources& capacity, time_point now);
  void on_placed(const task_key& task) { waiting_.erase(task); }
  // Returns the room to be taken back since the last call.
  std::vector<reclaim_demand> take_demands(const kind_usage& used, const resources& capacity);

 private:
  struct wish {
    urgency kind = urgency::urgent;
    resources limit;
  };
  // An urgent task that was refused, and may have found room in another rack since.
  struct waiting_task {
    resources limit;
    time_point since;
    time_point until;
  };
  // Whether room is kept free for urgent tasks that are expected to ask again.
  bool holds_room(const kind_usage& used, const resources& limit, const resources& capacity,
                  time_point now) const;
  // Notes the refusal of an urgent task, and returns whether it has waited long enough to displace.
  bool may_displace(const task_key& task, const resources& limit, time_point now);

  floor_options options_;
  std::array<time_point, 2> reclaim_until_{};  // by kind that wants its share back
  std::map<task_key, waiting_task> waiting_;
  std::vector<wish> wishes_;
};

}  // namespace coltsfoot
