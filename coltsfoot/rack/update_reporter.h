// Decides when which attempts are reported to the owners of their customers. One report per
// customer is under way at a time; attempts that ended are repeated with back-off until they are
// forgotten.
//
//   reporter.mark(attempt, ended);
//   for (const due_report& due : reporter.due(now)) { reporter.sent(due, call, now); ... }
#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/worker.h"

namespace coltsfoot {

struct reporter_options {
  duration first_back_off{200};
  duration longest_back_off{10'000};
  std::size_t batch_limit = 256;  // attempts in one report
};

struct due_report {
  customer_id customer;
  std::vector<attempt_id> attempts;
};

class update_reporter {
 public:
  explicit update_reporter(reporter_options options) : options_(options) {}

  // The attempt changed and is to be reported at once.
  void mark(const attempt_id& attempt, bool ended);
  // The attempt needs no more reports.
  void forget(const attempt_id& attempt);

  std::vector<due_report> due(time_point now) const;
  void sent(const due_report& report, call_id call, time_point now);
  // No owner of the customer is known; tries again after the back-off.
  void postpone(const customer_id& customer, time_point now);

  // The result of a call. Returns the attempts that the report listed as ended, or nothing for an
  // unknown call.
  std::optional<due_report> on_result(call_id call, bool answered);
  bool empty() const { return customers_.empty(); }

 private:
  struct entry {
    bool ended = false;
    bool fresh = true;  // marked since it was last put into a report
  };
  struct customer_state {
    std::map<attempt_id, entry> pending;
    std::optional<call_id> call;
    duration back_off{0};
    time_point not_before;
    bool urgent = true;  // something is fresh and no failure holds it back
  };
  struct sent_report {
    customer_id customer;
    std::map<attempt_id, bool> attempts;  // whether listed as ended
  };

  void raise_back_off(customer_state& state, time_point now) const;

  reporter_options options_;
  std::map<customer_id, customer_state> customers_;
  std::unordered_map<call_id, sent_report> calls_;
};

}  // namespace coltsfoot
