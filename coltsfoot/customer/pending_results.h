// Collects the results of submit_tasks and cancel_tasks calls whose records are being appended, and
// sends each reply when its last result is known.
//
//   pending.open(call, result_kind::submit, message.tasks.size(), deadline);
//   pending.settle({call, index}, result, out);
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/peer_messages.h"
#include "coltsfoot/node/outbox.h"

namespace coltsfoot {

enum class result_kind { submit, cancel };

// One result of a call.
struct result_slot {
  call_id call = 0;
  std::size_t index = 0;
};

class pending_results {
 public:
  // Registers a call with results for `tasks`. A call without tasks is answered at once.
  void open(call_id call, result_kind kind, const std::vector<task_id>& tasks, time_point deadline,
            outbox& out);

  // Sets a result. Does nothing if the call was answered before.
  void settle(const result_slot& slot, submit_status status, const std::string& reason,
              duration retry_after, outbox& out);

  // Answers calls whose deadline has passed; results that are not known are `unknown`.
  void expire(time_point now, outbox& out);
  void expire_all(const std::string& reason, outbox& out);

  bool empty() const { return calls_.empty(); }

 private:
  struct waiting_call {
    result_kind kind = result_kind::submit;
    std::vector<submit_result> results;
    std::vector<bool> known;
    std::size_t missing = 0;
    time_point deadline;
  };
  void answer(call_id call, outbox& out);
  void answer_unknown(call_id call, const std::string& reason, outbox& out);

  std::unordered_map<call_id, waiting_call> calls_;
  std::set<std::pair<time_point, call_id>> deadlines_;
};

}  // namespace coltsfoot
