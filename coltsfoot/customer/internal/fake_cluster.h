// A customer owner between a log and rack owners that fail on demand, for tests.
//
//   fake_cluster cluster{options};
//   cluster.submit(spec);
//   cluster.confirm();
//   EXPECT_TRUE(cluster.settle());
//   EXPECT_EQ(cluster.faults, std::vector<std::string>{});
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoot/customer/customer_owner.h"

namespace coltsfoot::internal {

using attempt_key = std::pair<task_id, attempt_number>;

inline const customer_id acme{"acme"};
inline const resources plan_limit{.millicores = 2000, .memory_mb = 2000};
inline const resources worker_capacity{.millicores = 1000, .memory_mb = 1000};

// A rack owner as the customer's owner sees it. It remembers refused and ended attempts, until it
// is replaced, and starts only attempts that are bound to its epoch.
struct fake_rack {
  rack_id id;
  epoch rack_epoch = 1;
  epoch customer_epoch = 0;
  bool refusing = false;
  bool recovering = false;
  std::map<attempt_key, attempt_update> held;
  std::map<task_id, attempt_number> closed;  // this attempt and older ones are never started
};

struct message {
  call_id call = 0;  // 0: the caller no longer waits
  rack_id rack;
  peer_request request;
};

inline bool is_running(const attempt_update& update) {
  return !update.lost && update.state == attempt_state::running;
}

// A customer owner between a log and racks that fail on demand. Faults that the racks see are
// collected in `faults`.
class fake_cluster {
 public:
  explicit fake_cluster(customer_owner_options options) : options_(std::move(options)) {
    config_.plans["p"] = {
        .id = plan_id{"p"}, .limit = plan_limit, .highest_urgency = urgency::urgent};
    config_.customers["acme"] = {.id = acme, .plan = plan_id{"p"}};
    directory_.set_address(node_id{"n"}, "10.0.0.1:1");
    for (const char* name : {"z1/r1", "z2/r2", "z3/r3"}) {
      const rack_id rack{name};
      racks[rack].id = rack;
      announce(racks[rack]);
      hosts_.workers.push_back(
          {.id = worker_id{"w-" + rack.value}, .rack = rack, .capacity = worker_capacity});
    }
    replace_owner(0);
  }

  // --- Log ---
  void confirm() {
    for (const record& entry : std::exchange(pending, {})) {
      write(entry);
      owner->apply(entry, now, context);
    }
    collect();
  }
  void drop() {
    for (const record& entry : std::exchange(pending, {})) owner->on_dropped(entry, now, context);
    collect();
  }
  // A new owner takes over; the first `written` records on their way were written.
  void replace_owner(std::size_t written) {
    if (owner) owner->on_ownership_lost(now, context);
    written = std::min(written, pending.size());
    for (std::size_t i = 0; i < written; ++i) write(pending[i]);
    collect();
    pending.clear();
    for (message& sent : network) sent.call = 0;
    owner = std::make_unique<customer_owner>(options_);
    // Every other owner starts from a snapshot.
    const auto records = ++epoch_ % 2 == 0 ? ledger.snapshot_records() : log;
    for (const record& entry : records) owner->apply(entry, now, context);
    owner->start_owning(epoch_ * 100, now, context);
    collect();
  }

  // --- Callers ---
  call_id submit(const task_spec& spec) {
    specs[spec.id] = spec;
    open_calls.insert(++last_caller_);
    owner->on_peer_request(last_caller_, submit_tasks{acme, {spec}}, now, context);
    collect();
    return last_caller_;
  }
  void cancel(const std::vector<task_id>& ids) {
    open_calls.insert(++last_caller_);
    owner->on_peer_request(last_caller_, cancel_tasks{acme, ids}, now, context);
    collect();
  }
  void tick(duration passed) {
    now += passed;
    context.wall += passed;
    owner->on_tick(now, context);
    collect();
  }

  // --- Network ---
  enum class fate { answered, answer_lost, not_processed, delayed };
  void deliver(std::size_t index, fate what) {
    if (index >= network.size()) return;
    const message sent = network[index];
    if (what == fate::delayed) {
      network[index].call = 0;
    } else {
      network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
    }
    tl::expected<peer_reply, peer_failure> reply = tl::unexpected(peer_failure::unknown);
    if (what == fate::answered) reply = handle(sent);
    if (what == fate::answer_lost) handle(sent);
    if (what == fate::not_processed) reply = tl::unexpected(peer_failure::not_processed);
    if (!reply && reply.error() == peer_failure::unknown) note_unanswered(sent.request);
    if (sent.call != 0) owner->on_peer_replied(sent.call, reply, now, context);
    collect();
  }
  void report(fake_rack& rack) {
    task_updates updates{.rack = rack.id, .rack_epoch = rack.rack_epoch, .customer = acme};
    for (const auto& [key, update] : rack.held) updates.updates.push_back(update);
    owner->on_peer_request(++last_caller_, updates, now, context);
    last_updates_reply = {};
    collect();
    for (const attempt_id& id : last_updates_reply.recorded) {
      const ledger_task* known = ledger.find(id.task);
      check(known == nullptr || !known->is_open() || id.attempt <= known->last_ended,
            "an end was answered as recorded before it was");
      close(rack, {id.task, id.attempt});
    }
    for (const attempt_id& id : last_updates_reply.obsolete) close(rack, {id.task, id.attempt});
  }
  // A new rack owner takes over. It has no memory of refused and ended attempts, and the n-th
  // attempt was lost with its worker in between.
  void replace_rack_owner(fake_rack& rack, std::size_t n) {
    ++rack.rack_epoch;
    rack.closed.clear();
    if (rack.held.empty()) return;
    const auto at = std::next(rack.held.begin(), static_cast<int>(n % rack.held.size()));
    if (is_running(at->second)) rack.held.erase(at);
  }
  // Tells the customer's node who owns the rack.
  void announce(const fake_rack& rack) {
    directory_.update({.unit = rack_unit(rack.id),
                       .unit_epoch = rack.rack_epoch,
                       .owner = node_id{"n"},
                       .version = 1,
                       .ready = true,
                       .largest_free = worker_capacity,
                       .total_free = worker_capacity,
                       .total_capacity = worker_capacity});
  }
  // The former owner of a rack reports what its successor holds as lost.
  void report_as_former_owner(const fake_rack& rack) {
    if (rack.rack_epoch == 1) return;
    announce(rack);
    task_updates updates{.rack = rack.id, .rack_epoch = rack.rack_epoch - 1, .customer = acme};
    for (const auto& [key, update] : rack.held) {
      updates.updates.push_back(update);
      updates.updates.back().lost = true;
    }
    owner->on_peer_request(++last_caller_, updates, now, context);
    collect();
  }
  // Ends the n-th running attempt of a rack.
  void end_attempt(fake_rack& rack, std::size_t n, attempt_state state, bool lost, bool started) {
    if (rack.held.empty()) return;
    auto& [key, update] = *std::next(rack.held.begin(), static_cast<int>(n % rack.held.size()));
    if (!is_running(update)) return;
    update.state = state;
    update.lost = lost;
    update.started = started;
    update.reason = "ended by test";
    update.checkpoint = "after " + std::to_string(key.second.counter);
    update.peak_used = {.millicores = static_cast<std::int64_t>(n * 37 % 1500)};
    if (!started) --starts[key.first];
    if (state == attempt_state::finished) finished.insert(key.first);
  }

  // The n-th attempt of a rack is gone with its worker, and the rack owner has forgotten it. The
  // rack's bounded memory of closed attempts is only relied upon for idempotent tasks.
  void lose_silently(fake_rack& rack, std::size_t n) {
    if (rack.held.empty()) return;
    const auto at = std::next(rack.held.begin(), static_cast<int>(n % rack.held.size()));
    if (!is_running(at->second)) return;
    if (specs.at(at->first.first).idempotent) {
      close(rack, at->first);
    } else {
      rack.held.erase(at);
    }
  }

  // Ends all faults and lets time pass until nothing is open.
  bool settle() {
    context.log_available = true;
    for (auto& [id, rack] : racks) {
      rack.refusing = rack.recovering = false;
      announce(rack);
    }
    for (int round = 0; round < 400; ++round) {
      tick(duration{500});
      confirm();
      while (!network.empty()) deliver(0, fate::answered);
      for (auto& [id, rack] : racks) {
        report(rack);
        for (std::size_t n = 0; n < rack.held.size(); ++n) {
          end_attempt(rack, n, attempt_state::finished, false, true);
        }
      }
      if (round > 20 && ledger.open_count(urgency::urgent) == 0 &&
          ledger.open_count(urgency::deferrable) == 0) {
        return true;
      }
    }
    return false;
  }

  std::map<rack_id, fake_rack> racks;
  std::vector<message> network;
  std::vector<record> pending, log;
  task_ledger ledger;  // the fold of `log`
  std::unique_ptr<customer_owner> owner;
  std::map<task_id, task_spec> specs;
  std::map<task_id, int> starts;
  std::set<task_id> finished;
  std::set<call_id> open_calls;
  std::map<call_id, submit_result> answers;
  std::vector<std::string> faults;
  task_updates_reply last_updates_reply;
  outbox out;
  time_point now{duration{1000}};

 private:
  void write(const record& entry) {
    log.push_back(entry);
    ledger.apply(entry);
  }
  void check(bool holds, const std::string& fault) {
    if (!holds) faults.push_back(fault);
  }
  void collect() {
    for (record& entry : std::exchange(append_, {})) pending.push_back(std::move(entry));
    for (const command& c : out.take_commands()) {
      if (const auto* sent = std::get_if<send_peer_request>(&c)) {
        const rack_id rack = std::visit(
            [](const auto& body) {
              if constexpr (requires {
                              { body.rack } -> std::convertible_to<rack_id>;
                            }) {
                return body.rack;
              } else {
                return rack_id{};
              }
            },
            sent->request);
        if (const auto* place = std::get_if<place_task>(&sent->request)) check_place(*place);
        network.push_back({sent->call, rack, sent->request});
      } else if (const auto* reply = std::get_if<send_peer_reply>(&c)) {
        if (const auto* updates = std::get_if<task_updates_reply>(&reply->reply)) {
          last_updates_reply = *updates;
          continue;
        }
        check(open_calls.erase(reply->call) == 1, "a call was answered twice");
        if (const auto* results = std::get_if<submit_tasks_reply>(&reply->reply)) {
          answers[reply->call] = results->results.at(0);
        }
      }
    }
  }
  void note_unanswered(const peer_request& request) {
    const auto* place = std::get_if<place_task>(&request);
    if (place != nullptr) unanswered_.insert({place->spec.id, place->attempt});
  }
  void check_place(const place_task& place) {
    const attempt_key key{place.spec.id, place.attempt};
    const auto bound = bound_to_.try_emplace(key, place.rack_epoch).first;
    check(bound->second == place.rack_epoch, "an attempt was sent to two owners of a rack");
    check(place.rack_epoch > 0, "a place_task names no owner of the rack");
    check(place.spec.idempotent || !unanswered_.contains(key),
          "a start that may have been acted upon was sent again");
  }
  void close(fake_rack& rack, const attempt_key& key) {
    rack.closed[key.first] = std::max(rack.closed[key.first], key.second);
    rack.held.erase(key);
  }
  peer_reply handle(const message& sent) {
    fake_rack& rack = racks.at(sent.rack);
    const auto status_for = [&rack](epoch customer_epoch) {
      if (customer_epoch < rack.customer_epoch) return place_status::stale_customer;
      rack.customer_epoch = customer_epoch;
      return rack.recovering ? place_status::recovering : place_status::placed;
    };
    if (const auto* place = std::get_if<place_task>(&sent.request)) {
      place_task_reply reply{.status = status_for(place->customer_epoch)};
      if (reply.status == place_status::stale_customer) return reply;
      if (place->rack_epoch != rack.rack_epoch) reply.status = place_status::not_owner;
      if (reply.status == place_status::placed) reply.status = start(rack, *place);
      return reply;
    }
    if (const auto* query = std::get_if<query_tasks>(&sent.request)) {
      query_tasks_reply reply{.status = status_for(query->customer_epoch),
                              .rack_epoch = rack.rack_epoch};
      if (reply.status == place_status::placed) {
        for (const auto& [key, update] : rack.held) reply.held.push_back(update);
      }
      return reply;
    }
    const auto& stop = std::get<stop_task>(sent.request);
    stop_task_reply reply{status_for(stop.customer_epoch)};
    if (reply.status != place_status::placed) return reply;
    const auto found = rack.held.find({stop.attempt.task, stop.attempt.attempt});
    if (found == rack.held.end()) return stop_task_reply{place_status::refused};
    if (is_running(found->second)) found->second.state = attempt_state::stopped;
    return reply;
  }
  place_status start(fake_rack& rack, const place_task& place) {
    const attempt_key key{place.spec.id, place.attempt};
    if (rack.held.contains(key)) return place_status::placed;
    const auto closed = rack.closed.find(key.first);
    if (closed != rack.closed.end() && key.second <= closed->second) return place_status::refused;
    resources used = place.limit;
    bool runs_elsewhere = false;
    for (const auto& [id, other] : racks) {
      for (const auto& [held_key, update] : other.held) {
        if (!is_running(update)) continue;
        used += update.limit;
        runs_elsewhere = runs_elsewhere || held_key.first == key.first;
      }
    }
    if (rack.refusing) {
      close(rack, key);
      return place_status::refused;
    }
    const ledger_task* task = ledger.find(key.first);
    check(task != nullptr, "a start of a task that is not in the log");
    if (task == nullptr) return place_status::refused;
    check(started_.insert(key).second, "an attempt was started twice");
    check(!runs_elsewhere, "two attempts of " + key.first.value + " run");
    check(used.fits_in(plan_limit), "the plan is exceeded");
    check(std::ranges::find(task->candidates, rack.id) != task->candidates.end(),
          "a start on a rack that is no candidate");
    check(place.checkpoint == task->checkpoint, "a start from an older checkpoint");
    check(place.spec.idempotent || ++starts[key.first] <= 1, "a second start of a task");
    check(place.spec.idempotent || task->intent, "a start without an intent");
    rack.held[key] = {.attempt = {acme, key.first, key.second},
                      .worker = worker_id{"w-" + rack.id.value},
                      .limit = place.limit};
    return place_status::placed;
  }

  customer_owner_options options_;
  cluster_config config_;
  host_list hosts_;
  unit_directory directory_;
  std::vector<record> append_;
  std::map<attempt_key, epoch> bound_to_;  // the rack epoch that place_task named
  std::set<attempt_key> unanswered_;       // place_task that may have been acted upon
  std::set<attempt_key> started_;
  epoch epoch_ = 0;
  call_id last_caller_ = 1'000'000;

 public:
  unit_context context{.out = out,
                       .append = append_,
                       .config = config_,
                       .hosts = hosts_,
                       .directory = directory_,
                       .wall = wall_time{std::chrono::hours{1000}}};
  cluster_config& config() { return config_; }
};

}  // namespace coltsfoot::internal
