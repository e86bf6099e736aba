// The part of `owned_stream` that doesn't depend on the unit's type: claims, confirmation of the
// ownership, reading, group commit, snapshots and release. Use `owned_stream`.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/name_table.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/chart/state_chart.h"
#include "coltsfoot/logstream/stream_replica.h"
#include "coltsfoot/logstream/stream_writer.h"
#include "coltsfoot/node/outbox.h"
#include "coltsfoot/ownership/unit_context.h"

namespace coltsfoot {

// What this node does with a unit. The transitions are in charts/ownership.yaml.
enum class ownership_phase { idle, following, claiming, owning, releasing };
template <>
struct enum_names<ownership_phase> {
  static constexpr std::array table{
      std::pair{ownership_phase::idle, std::string_view{"idle"}},
      std::pair{ownership_phase::following, std::string_view{"following"}},
      std::pair{ownership_phase::claiming, std::string_view{"claiming"}},
      std::pair{ownership_phase::owning, std::string_view{"owning"}},
      std::pair{ownership_phase::releasing, std::string_view{"releasing"}}};
};

struct owned_stream_options {
  unit_id unit;
  writer_id self;
  const state_chart* chart = nullptr;      // charts/ownership.yaml; outlives the stream
  duration retention{86'400'000};          // how long the log service keeps entries
  duration confirmation_period{3'000};     // ownership counts this long after a read was sent
  duration read_interval{10'000};          // between reads while following
  duration stall_after{2'000};             // a call unanswered for longer means the log fails
  duration retry_interval{200};            // between attempts after a failure
  std::size_t max_batch_bytes = 262'144;   // bound of the encoded records of one append
  std::uint32_t max_read_entries = 1'000;  // bound of the entries asked for in one read
};

// The surroundings of a stream during one call. The references are valid for that call only.
struct owned_stream_env {
  outbox& out;
  const cluster_config& config;
  const host_list& hosts;
  const unit_directory& directory;
  wall_time wall{};
  bool peers_say_log_is_down = false;  // see `membership::may_act_without_log`
};

class owned_stream_base {
 public:
  using env = owned_stream_env;

  explicit owned_stream_base(owned_stream_options options);
  virtual ~owned_stream_base() = default;
  owned_stream_base(const owned_stream_base&) = delete;
  owned_stream_base& operator=(const owned_stream_base&) = delete;

  void on_tick(time_point now, const env& e);

  // Results of the calls that this stream made with the origin {core_module::unit_log, unit}.
  void on_log_read(const log_read& result, time_point now, const env& e);
  void on_log_appended(const log_appended& result, time_point now, const env& e);

  // Begins to read the stream. No effect in any phase but idle.
  void follow(time_point now, const env& e);

  // Stops reading and forgets the unit's state. No effect in any phase but following.
  void stop_following(time_point now, const env& e);

  // Claims the unit once the stream is read up to its end. No effect in any phase but idle and
  // following.
  void request_claim(time_point now, const env& e);

  // Drains the unit and releases it to `successor`, or to anyone if that is empty. No effect in any
  // phase but owning.
  void request_release(node_id successor, time_point now, const env& e);

  // Sends what is due: the next batch, a read. Each other call does so at its end.
  void flush(time_point now, const env& e);

  ownership_phase phase() const { return phase_; }

  // Whether this node holds the unit (owning or releasing). Does not say that it may act.
  bool is_owner() const {
    return phase_ == ownership_phase::owning || phase_ == ownership_phase::releasing;
  }

  // Whether the unit may renew leases and start work at `now`.
  bool may_act(time_point now, const env& e) const;

  bool log_available(time_point now) const;

  // The newest known epoch; 0 while none is known. Never falls.
  epoch unit_epoch() const { return view_.unit_epoch; }

  // The writer of the newest known epoch (an empty node if there is none), and whether and to whom
  // it released the unit.
  const writer_id& current_owner() const { return view_.owner; }
  bool released() const { return view_.released; }
  const node_id& release_successor() const { return view_.successor; }

  // Whether the last read reached the end of the stream.
  bool caught_up() const { return caught_up_; }

  const unit_id& unit_name() const { return options_.unit; }

 protected:
  // The unit, as the template sees it.
  virtual void remake_unit() = 0;
  virtual void unit_apply(const record& r, time_point now, unit_context& ctx) = 0;
  virtual std::vector<record> unit_snapshot() const = 0;
  virtual void unit_start_owning(epoch e, time_point now, unit_context& ctx) = 0;
  virtual void unit_dropped(const record& r, time_point now, unit_context& ctx) = 0;
  virtual void unit_lost(time_point now, unit_context& ctx) = 0;
  virtual void unit_tick(time_point now, unit_context& ctx) = 0;
  virtual bool unit_drain(time_point now, unit_context& ctx) = 0;

  // Calls `f(context)` with the origin set to the unit, then queues the records it appended.
  template <typename F>
  void call_unit(time_point now, const env& e, F&& f) {
    std::vector<record> appended;
    unit_context ctx = begin_unit_call(appended, now, e);
    std::forward<F>(f)(ctx);
    end_unit_call(std::move(appended));
  }

 private:
  unit_context begin_unit_call(std::vector<record>& appended, time_point now, const env& e);
  void end_unit_call(std::vector<record> appended);

  void note_time(time_point now);
  bool transition(std::string_view event, const env& e);
  bool handle_events(const std::vector<stream_event>& events, time_point now, const env& e);
  void handle_owner(const owner_changed& event, time_point now, const env& e);
  void advance_writer(bool at_end);
  bool accept_page(const log_page& page, time_point now, const env& e);
  void confirm(time_point sent_at);
  void become_owner(time_point now, const env& e);
  void lose_ownership(std::string_view event, bool sent_is_void, time_point now, const env& e);
  void forget_state();
  void drop(const std::vector<record>& records, time_point now, const env& e);
  void drop_rejected(time_point now, const env& e);
  void queue_claim_if_due(const env& e);

  void send_read_if_due(time_point now, const env& e);
  void send_append_if_due(time_point now, const env& e);
  void begin_snapshot_if_due(time_point now, const env& e);
  void continue_release(time_point now, const env& e);
  duration current_read_interval() const;

  owned_stream_options options_;
  stream_replica replica_;
  stream_writer writer_;
  ownership_phase phase_;
  owner_changed view_;  // newest owner seen; survives `forget_state`
  bool predecessor_drained_ = false;
  bool caught_up_ = false;
  bool read_requested_ = false;  // a read is wanted before the interval ends
  bool log_failed_ = false;      // the last finished call failed as unavailable
  // The process was paused until then; nothing acts before a read that was sent later.
  std::optional<time_point> fresh_after_;
  std::optional<epoch> claim_basis_;  // the epoch that the decision to claim was based on
  bool claim_queued_ = false;
  bool snapshot_wanted_ = false;  // history was lost; state it anew for other readers
  bool release_queued_ = false;
  node_id successor_;
  std::vector<record> rejected_;  // records the unit appended while they could not be queued

  struct outstanding_call {
    call_id call = 0;
    time_point sent_at{};
  };
  std::optional<outstanding_call> read_;
  std::optional<outstanding_call> append_;
  std::uint64_t read_generation_ = 0;  // tells a read before `forget_state` from one after it
  std::uint64_t read_sent_generation_ = 0;
  std::optional<time_point> last_read_sent_;
  std::optional<time_point> last_confirmed_;
  std::optional<time_point> last_call_;  // of any entry point
  std::optional<time_point> retry_not_before_;
  std::uint64_t snapshots_ = 0;
};

}  // namespace coltsfoot
