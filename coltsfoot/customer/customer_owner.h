// Owner of one customer: its tasks, its plan accounting and its non-idempotent request ids.
//
//   customer_owner owner{{.customer = customer, .task_chart = chart, .seed = 7}};
//   owner.apply(entry, now, context);              // replay of the stream
//   owner.start_owning(epoch, now, context);
//   owner.on_peer_request(call, submit_tasks{...}, now, context);
#pragma once

#include <set>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "coltsfoot/customer/attempt_manager.h"
#include "coltsfoot/customer/customer_options.h"
#include "coltsfoot/customer/pending_results.h"
#include "coltsfoot/customer/request_once.h"
#include "coltsfoot/ownership/unit_context.h"

namespace coltsfoot {

class customer_owner {
 public:
  explicit customer_owner(customer_owner_options options);

  // The concept `owned_unit`.
  void apply(const record& entry, time_point now, unit_context& context);
  std::vector<record> snapshot_records() const;
  void start_owning(epoch unit_epoch, time_point now, unit_context& context);
  void on_dropped(const record& entry, time_point now, unit_context& context);
  void on_ownership_lost(time_point now, unit_context& context);
  void on_tick(time_point now, unit_context& context);
  bool drain(time_point now, unit_context& context);
  unit_entry describe(time_point now) const;

  // Handles submit_tasks, query_status, cancel_tasks, task_updates and run_request_once; other
  // requests are refused, and all are before `start_owning`. Each is answered exactly once,
  // possibly during a later call.
  void on_peer_request(call_id call, const peer_request& request, time_point now,
                       unit_context& context);

  // Takes the result of a send_peer_request of this unit.
  void on_peer_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply,
                       time_point now, unit_context& context);

 private:
  // A record that is on its way, and the results that wait for it.
  struct pending_submit {
    task_spec spec;
    std::vector<result_slot> waiting;
  };
  void on_submit(call_id call, const submit_tasks& message, time_point now, unit_context& context);
  void submit_one(const result_slot& slot, const task_spec& spec, unit_context& context);
  std::string reason_full(urgency priority) const;
  void on_cancel(call_id call, const cancel_tasks& message, time_point now, unit_context& context);
  void cancel_one(const result_slot& slot, const task_id& id, unit_context& context);
  void on_query(call_id call, const query_status& message, unit_context& context);
  void on_run_once(call_id call, const run_request_once& message, time_point now,
                   unit_context& context);
  void settle(const std::vector<result_slot>& slots, submit_status status,
              const std::string& reason, duration retry_after, unit_context& context);

  customer_owner_options options_;
  attempt_manager attempts_;
  request_once requests_;
  pending_results results_;
  std::unordered_map<task_id, pending_submit> submits_;
  std::unordered_map<task_id, std::vector<result_slot>> cancels_;
  std::size_t pending_by_kind_[2] = {0, 0};  // submits_ of each urgency
  bool owning_ = false;
  bool draining_ = false;
};

static_assert(owned_unit<customer_owner>);

}  // namespace coltsfoot
