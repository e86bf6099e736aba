#include "benchmarks/policy_project.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "coltsfoot/customer/candidate_choice.h"
#include "coltsfoot/customer/start_choice.h"
#include "coltsfoot/routing/rack_choice.h"

namespace coltsfoot::benchmark {
namespace {

constexpr int hint_interval_ms = 500;  // default of heartbeat_interval
constexpr int request_tick_ms = 10;
const node_id rack_node{"n1"};

wall_time wall_of(int now_ms) {
  return wall_time{duration{now_ms}};
}

// Index in the name of a task or request: "t17" is 17.
int index_in(const std::string& name) {
  int index = 0;
  std::from_chars(name.data() + 1, name.data() + name.size(), index);
  return index;
}

}  // namespace

project_policy::project_policy(cluster& fleet, std::uint64_t seed)
    : fleet_(fleet),
      random_(seed),
      queue_(customer_options_.deferrable_dispatch_floor),
      ping_slowdowns_(fleet.workers().size()) {
  std::map<rack_id, std::vector<worker_info>> usable;
  for (const auto& worker : fleet.workers()) {
    options_.rack = worker.info.rack;
    auto& rack = racks_.try_emplace(worker.info.rack, options_).first->second;
    rack.workers.push_back(static_cast<int>(worker_racks_.size()));
    worker_racks_.push_back(&rack);
    usable[worker.info.rack].push_back(worker.info);
  }
  for (auto& [id, rack] : racks_) rack.requests.set_workers(usable[id]);
  directory_.set_address(rack_node, "127.0.0.1:1");
  publish_hints(0);
}

project_policy::rack_state& project_policy::rack_of_worker(int worker) {
  return *worker_racks_[static_cast<std::size_t>(worker)];
}

void project_policy::publish_hints(int /*now_ms*/) {
  ++hint_version_;
  for (const auto& [id, rack] : racks_) {
    unit_entry entry{.unit = rack_unit(id),
                     .unit_epoch = 1,
                     .owner = rack_node,
                     .version = hint_version_,
                     .ready = true};
    double lowest_share = 2.0;
    for (const int index : rack.workers) {
      const auto& worker = fleet_.workers()[static_cast<std::size_t>(index)];
      entry.total_capacity += worker.info.capacity;
      entry.total_free += worker.free();
      const double share = dominant_share(worker.used, worker.info.capacity);
      if (share >= lowest_share) continue;
      lowest_share = share;
      entry.largest_free = worker.free();
    }
    entry.services = rack.requests.room();
    directory_.update(entry);
  }
}

// --- Tasks: the customer's owner ---

void project_policy::on_task_arrived(int task) {
  const auto& spec = fleet_.task(task).spec;
  auto& waiting = waiting_[task];
  waiting = {};
  waiting.candidates = choose_candidates(
      directory_, {.limit = sizes_.limit_for(spec), .count = customer_options_.candidate_count},
      random_);
  queue_.add(spec.id, spec.priority);
}

void project_policy::dispatch(int now_ms) {
  const auto now = at(now_ms);
  queue_.wake(now);
  while (const task_id* front = queue_.front()) {
    const task_id id = *front;
    const int task = index_in(id.value);
    if (try_start(task, now)) {
      queue_.started(id);
      waiting_.erase(task);
    } else {
      queue_.delay(id, now + customer_options_.retry_interval);
    }
  }
}

bool project_policy::try_start(int task, time_point now) {
  const auto& spec = fleet_.task(task).spec;
  const auto limit = sizes_.limit_for(spec);
  auto& waiting = waiting_[task];
  const auto has_waited = [&] {
    return waiting.no_room_since &&
           now - *waiting.no_room_since >= customer_options_.candidate_wait;
  };
  const auto choice =
      choose_start(waiting.candidates,
                   {.limit = limit, .ignore_hints = ignores_hints(spec.priority, has_waited())},
                   waiting.not_before, directory_, random_, now);
  if (choice && decide(task, racks_.at(choice->rack), limit, now)) return true;
  if (choice) {
    const auto back_off =
        std::min(customer_options_.max_retry_interval,
                 customer_options_.retry_interval * (1 << std::min(waiting.refusals++, 5)));
    waiting.not_before[choice->rack] =
        now + wait_after_refusal(spec.priority, options_.refusal_retry, back_off);
  }
  if (!waiting.no_room_since) waiting.no_room_since = now;
  if (has_waited() && waiting.candidates.size() < customer_options_.max_candidates) {
    for (auto& rack : choose_candidates(directory_,
                                        {.limit = limit,
                                         .count = customer_options_.candidate_count,
                                         .excluded = waiting.candidates},
                                        random_)) {
      waiting.candidates.push_back(std::move(rack));
    }
  }
  return false;
}

void project_policy::on_task_ended(int task, int worker, task_end how, int now_ms) {
  const auto& ended = fleet_.task(task);
  const auto& id = fleet_.workers()[static_cast<std::size_t>(worker)].info.id;
  const worker_quarantine::task_key key{ended.spec.customer, ended.spec.id};
  auto& quarantine = rack_of_worker(worker).quarantine;
  slowdowns_.erase(task);
  if (how == task_end::finished) {
    quarantine.on_success(id, key);
  } else if (how == task_end::out_of_memory || how == task_end::worker_fault) {
    quarantine.on_failure(id, key, at(now_ms));
  } else {
    quarantine.on_inconclusive(id, key);
  }
  if (how == task_end::out_of_memory) sizes_.report_out_of_memory(ended.spec, ended.limit);
  if (ended.stage != task_stage::queued) queue_.forget(ended.spec.id);
}

// --- Tasks: the rack's owner ---

bool project_policy::decide(int task, rack_state& rack, const resources& limit, time_point now) {
  const auto& wanted = fleet_.task(task);
  placement_request request{.interference_class = wanted.spec.interference_class,
                            .service = wanted.spec.service,
                            .priority = wanted.spec.priority,
                            .limit = limit,
                            .avoid = {}};
  for (const int failed : wanted.failed_on) {
    request.avoid.push_back(fleet_.workers()[static_cast<std::size_t>(failed)].info.id);
  }
  const auto used = usage_of(rack);
  const auto capacity = capacity_of(rack);
  auto decision =
      choose_worker(request, placement_view(rack, now), rack.interference, options_.placement, now);
  if (decision.worker && !rack.floors.admits(request.priority, used, limit, capacity, now)) {
    decision.worker.reset();
  }
  if (!decision.worker) {
    if (decision.capacity) {
      rack.floors.on_refused({wanted.spec.customer, wanted.spec.id}, request.priority, limit, used,
                             capacity, now);
    }
    return false;
  }
  fleet_.start_task(task, index_in(decision.worker->value), limit,
                    static_cast<int>(now.time_since_epoch().count()));
  rack.floors.on_placed({wanted.spec.customer, wanted.spec.id});
  rack.quarantine.on_started(*decision.worker, {wanted.spec.customer, wanted.spec.id}, now);
  return true;
}

std::vector<placement_worker> project_policy::placement_view(const rack_state& rack,
                                                             time_point now) const {
  std::vector<placement_worker> view;
  for (const int index : rack.workers) {
    const auto& worker = fleet_.workers()[static_cast<std::size_t>(index)];
    placement_worker seen{.id = worker.info.id,
                          .capacity = worker.info.capacity,
                          .used = worker.used,
                          .admits = rack.quarantine.admits(worker.info.id, now),
                          .running = {{.interference_class = class_name(task_class::ping),
                                       .service = service_id{"ping"},
                                       .priority = urgency::urgent}}};
    for (const int task : worker.tasks) {
      const auto& spec = fleet_.task(task).spec;
      seen.running.push_back({.interference_class = spec.interference_class,
                              .service = spec.service,
                              .priority = spec.priority});
    }
    view.push_back(std::move(seen));
  }
  return view;
}

kind_usage project_policy::usage_of(const rack_state& rack) const {
  kind_usage used;
  for (const int index : rack.workers) {
    used.urgent += backend_reservation;
    for (const int task : fleet_.workers()[static_cast<std::size_t>(index)].tasks) {
      used.of(fleet_.task(task).spec.priority) += fleet_.task(task).limit;
    }
  }
  return used;
}

resources project_policy::capacity_of(const rack_state& rack) const {
  resources sum;
  for (const int index : rack.workers) {
    sum += fleet_.workers()[static_cast<std::size_t>(index)].info.capacity;
  }
  return sum;
}

void project_policy::on_report(const worker_report& report, int now_ms) {
  auto& rack = rack_of_worker(report.worker);
  for (const auto& measured : report.measurements) {
    const measured_slowdown taken{measured.slowdown, wall_of(report.measured_ms)};
    if (measured.task < 0) {
      ping_slowdowns_[static_cast<std::size_t>(report.worker)] = taken;
      rack.interference.observe(class_name(task_class::ping), measured.neighbours,
                                measured.slowdown, at(now_ms));
      continue;
    }
    const auto& task = fleet_.task(measured.task);
    // The peaks of an ended attempt still tell about its class.
    sizes_.report(task.spec, measured.used);
    if (task.attempt != measured.attempt || task.worker != report.worker) continue;
    slowdowns_[measured.task] = taken;
    if (task.throttled) continue;
    rack.interference.observe(task.spec.interference_class, measured.neighbours, measured.slowdown,
                              at(now_ms));
  }
}

eviction_worker project_policy::eviction_view(const rack_state& rack, int index,
                                              time_point now) const {
  const auto& worker = fleet_.workers()[static_cast<std::size_t>(index)];
  const auto& ping = ping_slowdowns_[static_cast<std::size_t>(index)];
  eviction_worker view{.id = worker.info.id,
                       .has_urgent = true,
                       .urgent_slowdown = ping.slowdown,
                       .measured_at = ping.at,
                       .free = worker.free(),
                       .running = {}};
  std::vector<std::string> urgent_classes{class_name(task_class::ping)};
  for (const int other : worker.tasks) {
    const auto& spec = fleet_.task(other).spec;
    if (spec.priority != urgency::urgent) continue;
    urgent_classes.push_back(spec.interference_class);
    const auto found = slowdowns_.find(other);
    if (found == slowdowns_.end()) continue;
    if (std::pair{found->second.slowdown, found->second.at} <
        std::pair{view.urgent_slowdown, view.measured_at}) {
      continue;
    }
    view.urgent_slowdown = found->second.slowdown;
    view.measured_at = found->second.at;
  }
  for (const int other : worker.tasks) {
    const auto& task = fleet_.task(other);
    eviction_candidate candidate{.attempt = {task.spec.customer, task.spec.id, {}},
                                 .kind = task.spec.kind,
                                 .priority = task.spec.priority,
                                 .idempotent = task.spec.idempotent,
                                 .stopping = task.stage == task_stage::stopping,
                                 .throttled = task.throttled,
                                 .throttled_since = at(task.throttled_since_ms),
                                 .limit = task.limit};
    for (const auto& victim : urgent_classes) {
      candidate.interference +=
          rack.interference.expected(victim, task.spec.interference_class, now) - 1.0;
    }
    view.running.push_back(std::move(candidate));
  }
  return view;
}

void project_policy::evict(rack_state& rack, int now_ms) {
  const auto now = at(now_ms);
  const auto demands = rack.floors.take_demands(usage_of(rack), capacity_of(rack));
  std::vector<eviction_worker> view;
  view.reserve(rack.workers.size());
  for (const int worker : rack.workers) view.push_back(eviction_view(rack, worker, now));
  for (const auto& action : rack.eviction.plan(view, demands, now, wall_of(now_ms))) {
    const int task = index_in(action.attempt.task.value);
    if (action.kind == worker_command_kind::checkpoint_and_stop) {
      fleet_.evict(task, now_ms);
    } else {
      fleet_.throttle(task, action.kind == worker_command_kind::throttle, now_ms);
    }
  }
}

// --- Requests ---

void project_policy::on_request(int request, int now_ms) {
  forward(request, {}, now_ms);
  take_commands(now_ms);
}

void project_policy::forward(int request, const std::vector<rack_id>& refused_by, int now_ms) {
  const auto& source = fleet_.request(request);
  const auto choice = choose_rack(directory_,
                                  {.service = service_id{"ping"},
                                   .zone = zone_id{"z" + std::to_string(source.zone)},
                                   .excluded = refused_by},
                                  random_);
  const int deadline =
      source.priority == urgency::urgent ? urgent_deadline_ms : deferrable_deadline_ms;
  const duration left{source.arrives_ms + deadline - now_ms};
  if (!choice || left <= duration{0} || refused_by.size() >= customer_options_.request_tries) {
    fleet_.refuse_request(request);
    refused_by_.erase(request);
    forwarded_to_.erase(request);
    return;
  }
  forwarded_to_[request] = choice->rack;
  auto surroundings = context();
  racks_.at(choice->rack)
      .requests.on_forward(static_cast<call_id>(request),
                           {.rack = choice->rack,
                            .request = {.id = request_id{"r" + std::to_string(request)},
                                        .service = service_id{"ping"},
                                        .priority = source.priority,
                                        .time_left = left}},
                           at(now_ms), surroundings);
}

// Handles what the request services ask for, including what follows from it.
void project_policy::take_commands(int now_ms) {
  for (auto commands = out_.take_commands(); !commands.empty(); commands = out_.take_commands()) {
    for (const auto& command : commands) {
      if (const auto* call = std::get_if<call_backend>(&command)) {
        const int request = index_in(call->request.id.value);
        out_.take_origin(call->call);
        calls_[request] = call->call;
        refused_by_.erase(request);
        forwarded_to_.erase(request);
        fleet_.start_request(request, std::stoi(call->address), now_ms);
      } else if (const auto* reply = std::get_if<send_peer_reply>(&command)) {
        if (std::get<request_reply>(reply->reply).answer.answered) continue;
        on_refused(static_cast<int>(reply->call), now_ms);
      }
    }
  }
}

void project_policy::on_refused(int request, int now_ms) {
  auto& refused_by = refused_by_[request];
  refused_by.push_back(forwarded_to_[request]);
  forward(request, std::vector<rack_id>{refused_by}, now_ms);
}

void project_policy::on_request_ended(int request, int worker, int now_ms) {
  const auto call = calls_.extract(request).mapped();
  auto surroundings = context();
  rack_of_worker(worker).requests.on_backend_answered(call, {.answered = true}, at(now_ms),
                                                      surroundings);
  take_commands(now_ms);
}

void project_policy::on_tick(int now_ms) {
  if (now_ms % hint_interval_ms == 0) publish_hints(now_ms);
  if (now_ms % request_tick_ms == 0) {
    auto surroundings = context();
    for (auto& [id, rack] : racks_) rack.requests.on_tick(at(now_ms), surroundings);
    take_commands(now_ms);
  }
  if (now_ms % static_cast<int>(options_.batching_window.count()) == 0) dispatch(now_ms);
  if (now_ms % static_cast<int>(options_.eviction_interval.count()) == 0) {
    for (auto& [id, rack] : racks_) evict(rack, now_ms);
  }
}

}  // namespace coltsfoot::benchmark
