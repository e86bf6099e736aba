// What a rack owner knows of one worker, and the synchronisation with it. A session holds the
// attempts on its worker, builds the sync requests and reconciles its state from the replies.
//
//   if (session.sync_due(now)) send(session.begin_sync(call, stamp, true, now));
//   session_changes changes = session.on_reply(reply, now);
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/peer_messages.h"
#include "coltsfoot/model/worker.h"
#include "coltsfoot/node/commands.h"

namespace coltsfoot {

// Where an attempt is, as far as the rack owner knows.
enum class attempt_stage {
  reserved,  // capacity is reserved; the start has certainly not reached the worker
  sent,      // the start was sent and may have taken effect
  held,      // the worker listed it in its last accepted reply
  gone       // certainly not on the worker
};

struct rack_attempt {
  attempt_id id;
  task_spec spec;
  resources limit;
  std::string start_checkpoint;  // to resume from
  attempt_stage stage = attempt_stage::reserved;
  attempt_state state = attempt_state::running;
  bool lost = false;
  bool started = true;  // false: certainly none of its work was done
  std::string reason;
  std::string result;
  std::string checkpoint;
  resources peak_used;
  double slowdown = 1.0;
  wall_time measured_at{};
  time_point throttled_since;
  std::optional<worker_command_kind> wanted;  // repeated until the worker's state shows it
  bool recorded = false;                      // the customer's owner needs nothing more of it

  bool ended() const {
    return lost || (state != attempt_state::running && state != attempt_state::throttled);
  }
  // Whether its limit counts against the worker's capacity.
  bool occupies() const {
    if (stage == attempt_stage::gone) return false;
    return state == attempt_state::running || state == attempt_state::throttled;
  }
  bool stopping() const {
    return wanted == worker_command_kind::stop ||
           wanted == worker_command_kind::checkpoint_and_stop;
  }
  attempt_update update(const worker_id& worker) const;
};

enum class session_state {
  unknown,      // not inventoried under this epoch: counts as fully used
  inventoried,  // fenced, and its attempts are known
  given_up,     // silent for so long that its leases have expired: counts as fully used
  superseded    // it obeys a newer epoch; nothing is sent to it any more
};
template <>
struct enum_names<session_state> {
  static constexpr std::array table{
      std::pair{session_state::unknown, std::string_view{"unknown"}},
      std::pair{session_state::inventoried, std::string_view{"inventoried"}},
      std::pair{session_state::given_up, std::string_view{"given_up"}},
      std::pair{session_state::superseded, std::string_view{"superseded"}}};
};

struct session_options {
  duration lease{5'000};
  duration lease_margin{2'000};
  duration sync_interval{1'000};
  // Syncs renew leases even if their answers are lost, so that a silent worker is sent none after
  // this time; otherwise its leases would never certainly expire.
  duration silence_limit{3'000};
};

// What a reply or the loss of the worker changed.
struct session_changes {
  std::vector<attempt_id> changed;  // to be reported to the customers' owners
  std::vector<attempt_id> adopted;  // not known before
  std::vector<attempt_id> erased;   // released, nothing is left of them
  bool inventoried = false;         // the worker became usable by this reply
  bool superseded = false;
};

// Position of a sync in the order that its worker enforces. The sequence grows over all workers of
// the rack, so that a worker that leaves the roster and comes back still sees it grow.
struct sync_stamp {
  epoch rack_epoch = 0;
  std::uint64_t sequence = 0;
};

class worker_session {
 public:
  worker_session(worker_info info, session_options options)
      : info_(std::move(info)), options_(options) {}

  const worker_info& info() const { return info_; }
  void set_info(worker_info info) { info_ = std::move(info); }
  session_state state() const { return state_; }
  bool usable() const { return state_ == session_state::inventoried; }
  const std::map<attempt_id, rack_attempt>& attempts() const { return attempts_; }
  rack_attempt* find(const attempt_id& id);
  // Sum of the limits that count against the capacity.
  resources used() const;
  resources free() const { return info_.capacity - used(); }
  bool sync_in_flight() const { return call_.has_value(); }
  bool has_unconfirmed_start() const;

  // Reserves capacity for a start, which the next sync carries.
  void reserve(rack_attempt attempt);
  // Asks for a command; it is sent until the worker's state shows that it took effect. A start
  // that was not sent is withdrawn by a stop. Returns whether the attempt ended by this.
  bool request(const attempt_id& id, worker_command_kind kind, time_point now);
  // Withdraws the starts that were not sent; returns them. They count as ended, not started.
  std::vector<attempt_id> withdraw_unsent(std::string_view reason);
  // The customer's owner needs nothing more of an ended attempt. Returns whether it was erased.
  bool set_recorded(const attempt_id& id);

  // `send_starts` is false for a worker that must get no new work.
  bool sync_due(time_point now) const;
  worker_sync_request begin_sync(call_id call, const sync_stamp& stamp, bool send_starts,
                                 time_point now);
  bool owns_call(call_id call) const { return call_ == call; }
  session_changes on_reply(const worker_sync_reply& reply, time_point now);
  void on_failure(platform_failure failure, time_point now);

  // Whether the worker is silent and all its leases have certainly expired, given that former
  // owners can't renew any after `former_owners_until`.
  bool give_up_due(time_point former_owners_until, time_point now) const;
  // Marks what may have run as lost.
  session_changes give_up();

 private:
  void reconcile(const worker_sync_reply& reply, session_changes& changes, time_point now);
  void take_held(const held_attempt& held, session_changes& changes, time_point now);
  bool take_missing(rack_attempt& attempt, session_changes& changes);
  void take_usage(const std::vector<usage_report>& usage);
  static void clear_satisfied(rack_attempt& attempt);
  static void withdraw(rack_attempt& attempt, std::string_view reason);

  worker_info info_;
  session_options options_;
  session_state state_ = session_state::unknown;
  std::map<attempt_id, rack_attempt> attempts_;
  std::optional<call_id> call_;
  std::vector<attempt_id> sent_starts_;    // starts that the sync in flight carries first
  bool command_waits_ = false;             // sent without waiting for the interval
  std::optional<time_point> sent_at_;      // last sync that may have renewed leases
  std::optional<time_point> sent_before_;  // value of `sent_at_` before the sync in flight
  std::optional<time_point> tried_at_;     // last sync, also if it was not received
  std::optional<time_point> unanswered_since_;
};

}  // namespace coltsfoot
