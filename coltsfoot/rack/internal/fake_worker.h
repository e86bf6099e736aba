// A worker for tests of rack owners. It checks the rules that each start must keep.
//
//   ledger book;
//   const auto reply = worker.sync(request, now, book, all_workers);
//   RC_ASSERT(book.violations.empty());
#pragma once

#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "coltsfoot/model/worker.h"

namespace coltsfoot::internal {

inline bool runs(const held_attempt& held) {
  return held.state == attempt_state::running || held.state == attempt_state::throttled;
}

// What all workers saw, and the rules they found broken.
struct ledger {
  std::set<attempt_id> started;
  std::set<attempt_id> refused;
  std::vector<std::string> violations;

  void check(bool holds, const std::string& rule, const attempt_id& id) {
    if (holds) return;
    std::ostringstream text;
    text << rule << ": " << id.task.value << " attempt " << id.attempt.customer_epoch << "."
         << id.attempt.counter;
    violations.push_back(text.str());
  }
};

// Fences by epoch and sequence, enforces leases and keeps ended attempts until they are released.
struct fake_worker {
  worker_info info;
  epoch obeyed = 0;
  std::uint64_t sequence = 0;
  time_point lease_until;
  std::map<attempt_id, held_attempt> held;

  void expire(time_point now) {
    if (now < lease_until) return;
    for (auto& [id, attempt] : held) end(attempt, attempt_state::stopped, "lease expired");
  }
  static void end(held_attempt& attempt, attempt_state state, const std::string& reason) {
    if (!runs(attempt)) return;
    attempt.state = state;
    attempt.reason = reason;
  }
  resources used() const {
    resources sum;
    for (const auto& [id, attempt] : held) {
      if (runs(attempt)) sum += attempt.limit;
    }
    return sum;
  }
  worker_sync_reply reply(sync_status status) const {
    worker_sync_reply out{.status = status, .rack_epoch = obeyed, .held = {}, .usage = {}};
    for (const auto& [id, attempt] : held) out.held.push_back(attempt);
    return out;
  }
  worker_sync_reply sync(const worker_sync_request& request, time_point now, ledger& book,
                         const std::map<worker_id, fake_worker>& all) {
    expire(now);
    if (request.rack_epoch < obeyed) return reply(sync_status::stale_epoch);
    if (request.rack_epoch == obeyed && request.sequence <= sequence) {
      return reply(sync_status::stale_sequence);
    }
    obeyed = request.rack_epoch;
    sequence = request.sequence;
    lease_until = now + request.lease;
    for (const auto& command : request.commands) take(command, now, book, all);
    for (const auto& id : request.release) {
      if (held.contains(id) && !runs(held.at(id))) held.erase(id);
    }
    return reply(sync_status::accepted);
  }
  void take(const worker_command& command, time_point now, ledger& book,
            const std::map<worker_id, fake_worker>& all) {
    const auto found = held.find(command.attempt);
    if (command.kind == worker_command_kind::start) {
      if (found != held.end()) return;
      book.check(!book.started.contains(command.attempt), "started twice", command.attempt);
      book.check(!book.refused.contains(command.attempt), "refused, but run", command.attempt);
      book.check((used() + command.limit).fits_in(info.capacity), "over capacity", command.attempt);
      for (const auto& [id, other] : all) {
        if (now >= other.lease_until) continue;
        for (const auto& [other_attempt, state] : other.held) {
          const bool same = other_attempt.task == command.attempt.task && runs(state);
          book.check(!same, "task runs twice", command.attempt);
        }
      }
      book.started.insert(command.attempt);
      held[command.attempt] =
          held_attempt{.attempt = command.attempt, .limit = command.limit, .spec = command.spec};
    } else if (found == held.end()) {
      return;
    } else if (command.kind == worker_command_kind::throttle) {
      if (runs(found->second)) found->second.state = attempt_state::throttled;
    } else if (command.kind == worker_command_kind::unthrottle) {
      if (runs(found->second)) found->second.state = attempt_state::running;
    } else {
      end(found->second, attempt_state::stopped, "stopped by command");
    }
  }
};

}  // namespace coltsfoot::internal
