// Calls of the owner to workers and what workers answer, in the project's own terms.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coltsfoot/base/name_table.h"
#include "coltsfoot/jobs/job_table.h"

namespace coltsfoot::jobs {

// A reading of a worker's own clock in milliseconds. Leases end at such a time.
using worker_clock = std::int64_t;

struct start_order {
  run_ref run;
  std::string payload;
  worker_clock lease_end = 0;
  std::string checkpoint;  // empty: from the beginning
  std::string ticket;      // the advisor's; empty: none
};
struct stop_order {
  run_ref run;
};
// Renews the lease of all that runs on the worker and asks what runs and what has ended.
struct look_order {
  std::uint64_t forget_up_to = 0;  // ends up to this number need not be told again
  std::optional<worker_clock> lease_end;
  duration wait{0};  // the worker may hold back its answer until a task ends
};
// Lets a task work at a share of its speed.
struct pace_order {
  run_ref run;
  std::uint32_t percent = 100;
};
struct worker_order {
  worker_life life;
  std::string address;
  std::variant<start_order, stop_order, look_order, pace_order> order;
  std::uint32_t former_lives = 0;  // of the worker, that the owner has seen
  std::uint32_t transfers = 0;     // of the worker, between shards
  duration timeout{0};
};

// Fence that a worker is told. It grows with each transfer of the worker to another shard, whose
// owners count fences of their own; within a shard with the owner's fence; and under one owner with
// the lives of the worker. A worker that has restarted has forgotten the stops and the fence of its
// former life, and an order for that life could otherwise be carried out in the new one.
constexpr std::uint64_t order_fence(std::uint32_t transfers, std::uint64_t owner_fence,
                                    std::uint32_t former_lives) {
  constexpr std::uint64_t fences_per_transfer = 1'000'000;
  constexpr std::uint64_t lives_per_fence = 100;
  return (transfers * fences_per_transfer + owner_fence) * lives_per_fence +
         std::min<std::uint64_t>(former_lives, lives_per_fence - 1);
}

// Whose order it was. A later owner takes no answers to the orders of a former one, though both may
// have lived in the same process.
struct order_origin {
  std::uint32_t shard = 0;
  std::uint64_t fence = 0;  // of the owner
  friend bool operator==(const order_origin&, const order_origin&) = default;
};

enum class order_verdict {
  accepted,
  fenced,      // the worker has seen a higher fence
  obsolete,    // not above a run of the task that has ended there
  lease_over,  // the lease had ended when the order arrived
  no_room,     //
  bad_ticket,  //
  malformed,   //
  unhealthy,   // the worker refuses work
  other_life,  // another life of the worker answered
  not_sent,    // certainly not carried out
  unanswered   // may be carried out, also later
};

struct order_answer {
  order_verdict verdict = order_verdict::unanswered;
  std::optional<worker_clock> clock;
  duration taken{0};  // from sending the order to its result
};

// Whether the worker itself has answered.
constexpr bool is_answered(order_verdict verdict) {
  return verdict != order_verdict::not_sent && verdict != order_verdict::unanswered;
}

struct running_row {
  run_ref run;
  std::string checkpoint;
  std::uint32_t percent = 0;
  std::int64_t figure = 0;  // of the last half second: tail in ms if it serves, else millicores
};

enum class run_end { done, failed, stopped, lapsed, partner_ended, partner_missing };

struct ended_row {
  std::uint64_t number = 0;  // grows within a life of the worker
  run_ref run;
  run_end end = run_end::failed;
  std::string checkpoint;
};

struct look_report {
  worker_clock clock = 0;
  std::uint64_t incarnation = 0;  // 0: not told
  std::vector<running_row> running;
  std::vector<ended_row> ended;
  // The list of ends is cut off: later ones are told once those in it have been forgotten.
  bool more_ends = false;
};

struct look_answer {
  order_verdict verdict = order_verdict::unanswered;
  look_report report;  // if accepted
};

}  // namespace coltsfoot::jobs

namespace coltsfoot {
template <>
struct enum_names<jobs::order_verdict> {
  static constexpr std::array table{
      std::pair{jobs::order_verdict::accepted, std::string_view{"accepted"}},
      std::pair{jobs::order_verdict::fenced, std::string_view{"fenced"}},
      std::pair{jobs::order_verdict::obsolete, std::string_view{"obsolete"}},
      std::pair{jobs::order_verdict::lease_over, std::string_view{"lease_over"}},
      std::pair{jobs::order_verdict::no_room, std::string_view{"no_room"}},
      std::pair{jobs::order_verdict::bad_ticket, std::string_view{"bad_ticket"}},
      std::pair{jobs::order_verdict::malformed, std::string_view{"malformed"}},
      std::pair{jobs::order_verdict::unhealthy, std::string_view{"unhealthy"}},
      std::pair{jobs::order_verdict::other_life, std::string_view{"other_life"}},
      std::pair{jobs::order_verdict::not_sent, std::string_view{"not_sent"}},
      std::pair{jobs::order_verdict::unanswered, std::string_view{"unanswered"}}};
};
template <>
struct enum_names<jobs::run_end> {
  static constexpr std::array table{
      std::pair{jobs::run_end::done, std::string_view{"done"}},
      std::pair{jobs::run_end::failed, std::string_view{"failed"}},
      std::pair{jobs::run_end::stopped, std::string_view{"stopped"}},
      std::pair{jobs::run_end::lapsed, std::string_view{"lapsed"}},
      std::pair{jobs::run_end::partner_ended, std::string_view{"partner_ended"}},
      std::pair{jobs::run_end::partner_missing, std::string_view{"partner_missing"}}};
};
}  // namespace coltsfoot
