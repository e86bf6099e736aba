// Runs non-idempotent requests of a customer at most once: an intent with the request's id is
// logged before the request is sent to a rack, and an id that has an intent is never sent again
// unless a record says that it was certainly not run.
//
//   requests.on_request(call, message.request, now, context);
//   requests.apply(entry, now, context);
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coltsfoot/base/random.h"
#include "coltsfoot/customer/customer_options.h"
#include "coltsfoot/ownership/unit_context.h"

namespace coltsfoot {

class request_once {
 public:
  explicit request_once(const customer_owner_options& options)
      : options_(options), random_(options.seed) {}

  // Answers the call now or during a later call.
  void on_request(call_id caller, const service_request& request, time_point now,
                  unit_context& context);

  // Applies request_intent and request_closed records. Returns whether it was one of these.
  bool apply(const record& entry, time_point now, unit_context& context);
  void on_dropped(const record& entry, time_point now, unit_context& context);

  // Takes the result of a forward_request. Returns false if the call is not one of this object.
  bool on_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply, time_point now,
                  unit_context& context);

  void on_tick(time_point now, unit_context& context);
  void on_ownership_lost(unit_context& context);

  std::vector<record> snapshot_records() const;
  bool idle() const { return active_.empty(); }
  // What is known of a request whose id was used before; nothing if the id is new.
  std::optional<service_answer> answer_of_repeat(const request_id& id) const;

 private:
  struct intent {
    wall_time issued_at{};
    bool ran = false;
  };
  enum class stage { intent_pending, forwarded, closing };
  struct active_request {
    call_id caller = 0;
    service_request request;
    time_point deadline;
    stage at = stage::intent_pending;
    call_id forward = 0;
    std::vector<rack_id> tried;
    service_answer refusal;  // what the caller is told when the request is closed as not run
    bool answered = false;   // the deadline passed and the caller was told "unknown"
  };
  using active_map = std::map<request_id, active_request>;

  std::optional<service_answer> refusal_of(const service_request& request,
                                           const unit_context& context) const;
  void forward(active_map::iterator at, time_point now, unit_context& context);
  void close_not_run(active_request& active, service_answer refusal, unit_context& context);
  void finish(active_map::iterator at, service_answer answer, unit_context& context);
  void keep_answer(const request_id& id, const service_answer& answer);
  static void answer(call_id caller, service_answer answer, unit_context& context);

  customer_owner_options options_;
  random_engine random_;
  std::map<request_id, intent> intents_;
  std::set<std::pair<wall_time, request_id>> by_age_;
  active_map active_;
  std::unordered_map<call_id, request_id> forwards_;
  std::unordered_map<request_id, service_answer> answers_;
  std::deque<request_id> answer_order_;
};

}  // namespace coltsfoot
