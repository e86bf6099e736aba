#include "review/standin-2/runner_world.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace coltsfoot::review {
namespace {

using nlohmann::json;

// The bounds of a small deployment.
constexpr std::int64_t longest_lease_ms = 10'000;
constexpr std::int64_t stop_ms = 100;
constexpr std::int64_t gang_timeout_ms = 3'000;
constexpr std::int64_t checkpoint_interval_ms = 1'000;
constexpr std::int64_t beat_ms = 1'100;
constexpr std::int64_t first_beat_ms = 300;  // after the start of a runner
constexpr std::int64_t silent_beats = 3;     // after which the entry is removed
constexpr std::int64_t startup_ms = 200;     // of a task that lasts
constexpr std::int64_t tick_ms = 5;
constexpr std::size_t listed_ends = 500;
constexpr int clock_percent = 99;

std::uint64_t unix_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

rest_response json_response(int status, const json& body) {
  return {.status = status,
          .headers = {{.name = "Content-Type", .value = "application/json"}},
          .body = body.dump()};
}

struct task_name {
  std::string job;
  std::size_t step = 0;
  std::string gang;  // job, occurrence and step
};

task_name parse_task(const std::string& task) {
  const auto first = task.find('.');
  const auto second = task.find('.', first + 1);
  const auto third = task.find('.', second + 1);
  return {.job = task.substr(0, first),
          .step = std::stoul(task.substr(second + 1, third - second - 1)),
          .gang = task.substr(0, third)};
}

}  // namespace

runner_world::~runner_world() {
  {
    const std::lock_guard lock{mutex_};
    stopping_ = true;
  }
  if (world_.joinable()) world_.join();
}

bool runner_world::add(const runner_options& options) {
  auto& r = *runners_.emplace_back(std::make_unique<runner>());
  r.options = options;
  begin_life(r);
  for (std::size_t node = 0; node < nodes_; ++node) {
    r.listeners.push_back(std::make_unique<cut_listener>(
        [this, &r, node](const rest_request& request, const rest_responder& respond) {
          handle(r, node, request, respond);
        }));
    if (!r.listeners.back()->start()) return false;
  }
  return true;
}

void runner_world::know(const std::string& job, std::vector<step_work> steps) {
  const std::lock_guard lock{mutex_};
  jobs_[job] = std::move(steps);
}

void runner_world::start() {
  world_ = std::thread{[this] { run_world(); }};
}

runner_world::runner& runner_world::runner_of(const std::string& id) const {
  const auto found = std::find_if(runners_.begin(), runners_.end(),
                                  [&](const auto& r) { return r->options.id == id; });
  if (found == runners_.end()) throw std::invalid_argument{"no such runner: " + id};
  return **found;
}

std::string runner_world::address_at(const std::string& id, std::size_t node) {
  return runner_of(id).listeners.at(node)->address();
}

// --- Disruptions ---

void runner_world::cut(const std::string& id) {
  auto& r = runner_of(id);
  for (auto& listener : r.listeners) listener->cut(cut_kind::both_ways);
  const std::lock_guard lock{mutex_};
  r.cut = true;
  r.silent_since = record_.now_ms();
  record_.note("cut runner=" + id);
}

void runner_world::heal(const std::string& id) {
  auto& r = runner_of(id);
  for (auto& listener : r.listeners) listener->heal(false);
  const std::lock_guard lock{mutex_};
  r.cut = false;
  r.next_beat = 0;
  record_.note("healed runner=" + id);
}

void runner_world::crash(const std::string& id) {
  const std::lock_guard lock{mutex_};
  auto& r = runner_of(id);
  advance();
  r.up = false;
  r.silent_since = record_.now_ms();
  for (const auto& open : std::exchange(r.looks, {})) open.respond({.drop = true});
  r.active.clear();
  record_.note("crashed runner=" + id);
  break_gangs();
}

void runner_world::restart(const runner_options& options) {
  const std::lock_guard lock{mutex_};
  auto& r = runner_of(options.id);
  r.options = options;
  begin_life(r);
  r.up = true;
  r.next_beat = record_.now_ms() + first_beat_ms;
  record_.note(
      fmt::format("restarted runner={} kind={} born={}", options.id, options.kind, r.born));
}

void runner_world::begin_life(runner& r) {
  r.born = unix_ms();
  r.clock_start = record_.now_ms();
  r.fence = 0;
  r.lease_end = 0;
  r.active.clear();
  r.ended.clear();
  r.last_end = 0;
  r.barred.clear();
  r.sequence = 0;
  r.next_beat = 0;
}

// --- What was seen ---

std::vector<seen_start> runner_world::starts() const {
  const std::lock_guard lock{mutex_};
  return starts_;
}

std::vector<seen_end> runner_world::ends() const {
  const std::lock_guard lock{mutex_};
  return ends_;
}

std::size_t runner_world::running(const std::string& job) const {
  const std::lock_guard lock{mutex_};
  std::size_t count = 0;
  for (const auto& r : runners_) {
    for (const auto& [task, run] : r->active) count += run.job == job ? 1 : 0;
  }
  return count;
}

std::int64_t runner_world::used_percent() const {
  const std::lock_guard lock{mutex_};
  std::int64_t used = 0;
  std::int64_t capacity = 0;
  for (const auto& r : runners_) {
    if (!r->up) continue;
    used += used_millicores(*r);
    capacity += r->options.millicores;
  }
  return capacity == 0 ? 0 : used * 100 / capacity;
}

std::int64_t runner_world::clock_of(const runner& r) const {
  return (record_.now_ms() - r.clock_start) * clock_percent / 100;
}

const step_work& runner_world::work_of(const active_run& run) const {
  return jobs_.at(run.job).at(run.step);
}

std::int64_t runner_world::worked_ms(const active_run& run) const {
  const auto since = work_of(run).gang ? run.at_work_since : std::optional{run.began};
  return since ? run.resumed_ms + now_ - *since : run.resumed_ms;
}

// The work that was done at the newest interval, and the job.
std::string runner_world::checkpoint_of(const active_run& run) const {
  if (!work_of(run).checkpoints) return {};
  const auto saved = worked_ms(run) / checkpoint_interval_ms * checkpoint_interval_ms;
  return saved == 0 ? std::string{} : fmt::format("{:08x}{}", saved, run.job.substr(0, 8));
}

std::int64_t runner_world::used_millicores(const runner& r) const {
  std::int64_t used = 0;
  for (const auto& [task, run] : r.active) used += work_of(run).millicores;
  return used;
}

// --- Calls ---

void runner_world::handle(runner& r, std::size_t node, const rest_request& request,
                          const rest_responder& respond) {
  const std::lock_guard lock{mutex_};
  if (!r.up) return respond({.drop = true});
  advance();
  const auto* expected = request.header("expected-instance");
  if (expected != nullptr && *expected != r.options.id) return respond({.status = 421});
  if (request.target == "/api/run-start") return start_run(r, node, request.body, respond);
  if (request.target == "/api/run-stop") return stop_run(r, request.body, respond);
  if (request.target == "/api/hold") return look(r, request.body, respond);
  respond(json_response(200, {{"clockMs", clock_of(r)}}));
}

bool runner_world::obeys(runner& r, std::uint64_t fence) {
  if (fence < r.fence) return false;
  r.fence = fence;
  return true;
}

void runner_world::extend(runner& r, std::int64_t deadline) const {
  r.lease_end = std::max(r.lease_end, std::min(deadline, clock_of(r) + longest_lease_ms));
}

void runner_world::start_run(runner& r, std::size_t node, const std::string& body,
                             const rest_responder& respond) {
  const auto order = json::parse(body);
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<std::uint32_t>();
  const auto deadline = order.at("deadlineMs").get<std::int64_t>();
  const auto reject = [&](const char* reason) {
    record_.note(fmt::format("rejected runner={} task={} run={} reason={}", r.options.id, task, run,
                             reason));
    respond(json_response(409, {{"clockMs", clock_of(r)}, {"reason", reason}}));
  };
  if (!obeys(r, order.value("fencingToken", std::uint64_t{0}))) return reject("fence");
  if (deadline <= clock_of(r)) return reject("late");
  extend(r, deadline);
  const auto there = r.active.find(task);
  if (there != r.active.end() && there->second.run == run) {
    return respond(json_response(200, {{"clockMs", clock_of(r)}}));
  }
  const auto barred = r.barred.find(task);
  const bool old = barred != r.barred.end() && run <= barred->second;
  if (old || there != r.active.end()) return reject("old");
  const auto name = parse_task(task);
  const auto checkpoint = order.value("checkpoint", std::string{});
  active_run started{.job = name.job, .step = name.step, .run = run, .began = now_};
  if (!checkpoint.empty()) started.resumed_ms = std::stoll(checkpoint.substr(0, 8), nullptr, 16);
  const auto used = used_millicores(r) + work_of(started).millicores;
  if (r.options.guards && used > r.options.millicores) return reject("room");
  record_.note(fmt::format("start runner={} kind={} task={} run={} node={} checkpoint={}",
                           r.options.id, r.options.kind, task, run, node,
                           checkpoint.empty() ? "none" : checkpoint));
  starts_.push_back({.at_ms = record_.now_ms(),
                     .runner = r.options.id,
                     .kind = r.options.kind,
                     .job = name.job,
                     .task = task,
                     .run = run,
                     .node = node,
                     .checkpoint = checkpoint,
                     .used_millicores = used,
                     .capacity_millicores = r.options.millicores});
  r.active.emplace(task, std::move(started));
  assemble_gangs();
  respond(json_response(200, {{"clockMs", clock_of(r)}}));
}

void runner_world::stop_run(runner& r, const std::string& body, const rest_responder& respond) {
  const auto order = json::parse(body);
  if (!obeys(r, order.value("fencingToken", std::uint64_t{0}))) {
    return respond(json_response(409, {{"clockMs", clock_of(r)}, {"reason", "fence"}}));
  }
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<std::uint32_t>();
  auto& barred = r.barred[task];
  barred = std::max(barred, run);
  const auto active = r.active.find(task);
  if (active != r.active.end() && active->second.run == run && !active->second.stop_at) {
    active->second.stop_at = record_.now_ms() + stop_ms;
  }
  record_.note(fmt::format("stop runner={} task={} run={}", r.options.id, task, run));
  respond(json_response(200, {{"clockMs", clock_of(r)}}));
}

void runner_world::look(runner& r, const std::string& body, const rest_responder& respond) {
  const auto order = json::parse(body);
  if (!obeys(r, order.value("fencingToken", std::uint64_t{0}))) {
    return respond(json_response(409, {{"clockMs", clock_of(r)}, {"reason", "fence"}}));
  }
  if (order.contains("deadlineMs")) extend(r, order.at("deadlineMs").get<std::int64_t>());
  const auto forget = order.value("ackCursor", std::uint64_t{0});
  std::erase_if(r.ended, [&](const listed_end& e) {
    if (e.number > forget) return false;
    record_.note(
        fmt::format("noted runner={} task={} run={} how={}", r.options.id, e.task, e.run, e.how));
    return true;
  });
  const auto wait = order.value("waitMs", std::int64_t{0});
  if (wait == 0 || !r.ended.empty()) return respond({.status = 200, .body = report(r)});
  r.looks.push_back({.answer_by = record_.now_ms() + wait, .respond = respond});
}

std::string runner_world::report(const runner& r) const {
  json running = json::array();
  for (const auto& [task, run] : r.active) {
    const auto& work = work_of(run);
    const auto worked = worked_ms(run);
    const auto percent = work.work_ms == 0
                             ? (worked > startup_ms ? 100 : 0)
                             : std::min<std::int64_t>(99, worked * 100 / work.work_ms);
    running.push_back({task, run.run, checkpoint_of(run), percent, work.millicores});
  }
  json ended = json::array();
  for (const auto& e : r.ended) {
    if (ended.size() < listed_ends) ended.push_back({e.number, e.task, e.run, e.how, e.checkpoint});
  }
  return json{
      {"clockMs", clock_of(r)}, {"born", r.born}, {"activeRuns", running}, {"finishedRuns", ended}}
      .dump();
}

// --- Time ---

void runner_world::end(runner& r, const std::string& task, const std::string& how) {
  const auto found = r.active.find(task);
  const auto run = found->second.run;
  const auto checkpoint = how == "done" ? std::string{} : checkpoint_of(found->second);
  r.active.erase(found);
  auto& barred = r.barred[task];
  barred = std::max(barred, run);
  r.ended.push_back(
      {.number = ++r.last_end, .task = task, .run = run, .how = how, .checkpoint = checkpoint});
  ends_.push_back(
      {.at_ms = record_.now_ms(), .runner = r.options.id, .task = task, .run = run, .how = how});
  record_.note(fmt::format("end runner={} task={} run={} how={}", r.options.id, task, run, how));
}

// The members of a gang work from the moment when all of them are there.
void runner_world::assemble_gangs() {
  std::map<gang_key, std::vector<active_run*>> gangs;
  for (const auto& r : runners_) {
    for (auto& [task, run] : r->active) {
      if (work_of(run).gang) gangs[{parse_task(task).gang, run.run}].push_back(&run);
    }
  }
  for (const auto& [key, members] : gangs) {
    const bool complete = members.size() == work_of(*members.front()).tasks;
    if (!complete || members.front()->at_work_since) continue;
    // The value from any member is valid for the gang.
    std::int64_t resumed = members.front()->resumed_ms;
    for (const auto* member : members) resumed = std::min(resumed, member->resumed_ms);
    for (auto* member : members) {
      member->at_work_since = now_;
      member->resumed_ms = resumed;
    }
    record_.note(fmt::format("gang at work gang={} run={}", key.first, key.second));
  }
}

// Ends the other members of a gang that was at work and has lost one.
void runner_world::break_gangs() {
  std::map<gang_key, std::size_t> there;
  for (const auto& r : runners_) {
    for (auto& [task, run] : r->active) {
      if (run.at_work_since) ++there[{parse_task(task).gang, run.run}];
    }
  }
  for (const auto& r : runners_) {
    std::vector<std::string> over;
    for (auto& [task, run] : r->active) {
      if (!run.at_work_since) continue;
      if (there[{parse_task(task).gang, run.run}] < work_of(run).tasks) over.push_back(task);
    }
    for (const auto& task : over) end(*r, task, "broken");
  }
}

// All members of a gang end at the same moment.
void runner_world::advance() {
  now_ = record_.now_ms();
  for (const auto& r : runners_) {
    if (r->up) advance(*r);
  }
  break_gangs();
}

void runner_world::advance(runner& r) {
  const auto now = now_;
  const bool lapsed = clock_of(r) >= r.lease_end;
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : r.active) {
    const auto& work = work_of(run);
    const bool alone = work.gang && !run.at_work_since && now - run.began >= gang_timeout_ms;
    if (lapsed) {
      over.emplace_back(task, "lapsed");
    } else if (run.stop_at && now >= *run.stop_at) {
      over.emplace_back(task, "stopped");
    } else if (work.work_ms != 0 && worked_ms(run) >= work.work_ms) {
      over.emplace_back(task, "done");
    } else if (alone) {
      over.emplace_back(task, "alone");
    }
  }
  for (const auto& [task, how] : over) end(r, task, how);
}

void runner_world::beat(runner& r) {
  const auto now = record_.now_ms();
  if (r.cut || !r.up) {
    if (r.listed && now - r.silent_since >= silent_beats * beat_ms) {
      r.listed = false;
      store_.put("keyed.servers", r.options.id, "");
      record_.note("unlisted runner=" + r.options.id);
    }
    return;
  }
  if (now < r.next_beat) return;
  r.next_beat = now + beat_ms;
  r.listed = true;
  const json entry{
      {"service", "svc"},
      {"address", "{node}"},
      {"zone", r.options.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldRemainingMs", 0},
      {"capacity", {{"cpu", r.options.millicores}, {"memMb", r.options.memory_mb}, {"gpu", 0}}},
      {"labels", {r.options.kind, r.options.rack}},
      {"clockMs", clock_of(r)},
      {"born", r.born},
      {"sequence", ++r.sequence}};
  store_.put("keyed.servers", r.options.id, entry.dump());
}

void runner_world::answer_looks(runner& r) {
  const auto now = record_.now_ms();
  std::erase_if(r.looks, [&](const open_look& open) {
    if (r.ended.empty() && now < open.answer_by) return false;
    open.respond({.status = 200, .body = report(r)});
    return true;
  });
}

void runner_world::run_world() {
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds{tick_ms});
    const std::lock_guard lock{mutex_};
    if (stopping_) return;
    advance();
    for (const auto& r : runners_) {
      beat(*r);
      if (r->up) answer_looks(*r);
    }
  }
}

}  // namespace coltsfoot::review
