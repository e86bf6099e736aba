#include "review/standin/runner_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

// Bounds of the small sites.
constexpr std::int64_t hold_max_ms = 10'000;
constexpr std::int64_t stop_ms = 100;  // stopTimeoutMs is 200
constexpr std::int64_t gang_timeout_ms = 3'000;
constexpr std::int64_t checkpoint_interval_ms = 1'000;
constexpr std::int64_t restore_ms = 250;
constexpr std::int64_t beat_ms = 1'100;
constexpr std::size_t listed_at_a_time = 500;

constexpr std::int64_t tick_ms = 5;

std::uint64_t unix_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

// Of a task's name ID.K.STEP.INDEX.
std::string step_name(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

std::size_t step_of(const std::string& task) {
  const auto name = step_name(task);
  return std::stoul(name.substr(name.rfind('.') + 1));
}

std::string saved_state(const std::string& task, double worked_ms) {
  const auto whole = static_cast<std::int64_t>(worked_ms) / checkpoint_interval_ms;
  if (whole == 0) return {};
  return fmt::format("{:08x}{}", whole * checkpoint_interval_ms, task.substr(0, 8));
}

rest_response json_response(int status, const json& body) {
  return {.status = status,
          .headers = {{.name = "Content-Type", .value = "application/json"}},
          .body = body.dump()};
}

}  // namespace

runner_fleet::~runner_fleet() {
  {
    const std::lock_guard lock{mutex_};
    stopping_ = true;
  }
  if (world_.joinable()) world_.join();
}

bool runner_fleet::add(const runner_options& options) {
  auto& r = runners_[options.id];
  r.options = options;
  begin_life(r);
  return listen(r);
}

void runner_fleet::start() {
  world_ = std::thread{[this] { run_world(); }};
}

bool runner_fleet::listen(runner& r) {
  r.listener = std::make_unique<rest_listener>(
      coltsfoot::internal::rest_listener_options{.port = r.port},
      [this, &r](const rest_request& request, const rest_responder& respond) {
        handle(r, request, respond);
      });
  if (!r.listener->start()) return false;
  r.port = r.listener->port();
  return true;
}

void runner_fleet::begin_life(runner& r) {
  r.born = unix_ms();
  r.clock_start = record_.now_ms();
  r.fence = 0;
  r.lease_end = 0;
  r.active.clear();
  r.ended.clear();
  r.last_end = 0;
  r.barred.clear();
  r.sequence = 0;
  r.up = true;
}

void runner_fleet::cut(const std::string& id) {
  const std::lock_guard lock{mutex_};
  auto& r = runners_.at(id);
  r.cut_off = true;
  for (auto& open : std::exchange(r.holds, {})) r.silent.push_back(std::move(open.respond));
  record_.note("cut " + id);
}

void runner_fleet::heal(const std::string& id) {
  const std::lock_guard lock{mutex_};
  runners_.at(id).cut_off = false;
  record_.note("heal " + id);
}

void runner_fleet::crash(const std::string& id) {
  const std::lock_guard lock{mutex_};
  auto& r = runners_.at(id);
  r.up = false;
  for (const auto& open : std::exchange(r.holds, {})) open.respond({.drop = true});
  std::set<std::string> gangs;
  for (const auto& [task, run] : r.active) {
    if (run.gang > 0) gangs.insert(run.gang_key);
  }
  r.active.clear();
  record_.note("crash " + id);
  for (const auto& key : gangs) break_gang(key);
}

void runner_fleet::revive(const std::string& id, const std::string& kind) {
  const std::lock_guard lock{mutex_};
  auto& r = runners_.at(id);
  r.options.kind = kind;
  begin_life(r);
  // The first check-in comes within one interval of the start.
  r.next_beat = record_.now_ms() + beat_ms;
  record_.note("revive " + id + " kind=" + kind);
}

std::vector<start_event> runner_fleet::starts() const {
  const std::lock_guard lock{mutex_};
  return starts_;
}

std::vector<end_event> runner_fleet::ends() const {
  const std::lock_guard lock{mutex_};
  return ends_;
}

std::string runner_fleet::runner_of(const std::string& task) const {
  const std::lock_guard lock{mutex_};
  for (const auto& [id, r] : runners_) {
    if (r.active.contains(task)) return id;
  }
  return {};
}

std::size_t runner_fleet::running() const {
  const std::lock_guard lock{mutex_};
  std::size_t sum = 0;
  for (const auto& [id, r] : runners_) sum += r.active.size();
  return sum;
}

// --- Calls ---

void runner_fleet::handle(runner& r, const rest_request& request, const rest_responder& respond) {
  const std::lock_guard lock{mutex_};
  if (r.cut_off) return r.silent.push_back(respond);  // the call never arrives
  if (!r.up) return respond({.drop = true});
  if (request.target == "/health") return respond({.status = 200});
  const auto* expected = request.header("expected-instance");
  if (expected != nullptr && *expected != r.options.id) return respond({.status = 421});
  if (request.target == "/api/run-start") return run_start(r, request.body, respond);
  if (request.target == "/api/run-stop") return run_stop(r, request.body, respond);
  if (request.target == "/api/hold") return hold(r, request.body, respond);
  if (request.target == "/api/pace") {
    return respond(json_response(200, {{"clockMs", clock_of(r)}}));
  }
  respond({.status = 404});
}

bool runner_fleet::obeys(runner& r, std::uint64_t fence) const {
  if (fence < r.fence) return false;
  r.fence = fence;
  return true;
}

void runner_fleet::extend(runner& r, std::int64_t deadline) const {
  r.lease_end = std::max(r.lease_end, std::min(deadline, clock_of(r) + hold_max_ms));
}

void runner_fleet::run_start(runner& r, const std::string& body, const rest_responder& respond) {
  const auto order = json::parse(body);
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<std::uint32_t>();
  const auto refuse = [&](const char* reason) {
    record_.note(fmt::format("start_refused runner={} task={} run={} reason={}", r.options.id, task,
                             run, reason));
    respond(json_response(409, {{"clockMs", clock_of(r)}, {"reason", reason}}));
  };
  if (!obeys(r, order.value("fencingToken", std::uint64_t{0}))) return refuse("fence");
  const auto deadline = order.at("deadlineMs").get<std::int64_t>();
  if (deadline <= clock_of(r)) return refuse("late");
  extend(r, deadline);
  const auto known = r.active.find(task);
  if (known != r.active.end() && known->second.run == run) {
    return respond(json_response(200, {{"clockMs", clock_of(r)}}));
  }
  const auto barred = r.barred.find(task);
  const bool old = barred != r.barred.end() && run <= barred->second;
  if (old || known != r.active.end()) return refuse("old");
  const auto work = json::parse(order.at("specification").get<std::string>());
  const auto step = step_of(task);
  const auto cpu = work.at("cpu").at(step).get<std::int64_t>();
  std::int64_t used = cpu;
  for (const auto& [name, other] : r.active) used += other.cpu;
  if (used > r.options.cpu) return refuse("room");
  const auto checkpoint = order.value("checkpoint", std::string{});
  const auto gang = work.contains("gang") ? work["gang"].at(step).get<std::uint32_t>() : 0U;
  const auto now = record_.now_ms();
  r.active[task] = {
      .run = run,
      .work_ms = work.at("workMs").at(step).get<std::int64_t>(),
      .cpu = cpu,
      .gang = gang,
      .gang_key = gang > 0 ? fmt::format("{}/{}", step_name(task), run) : std::string{},
      .checkpoint = checkpoint,
      .worked_ms = checkpoint.empty()
                       ? 0.0
                       : static_cast<double>(std::stoll(checkpoint.substr(0, 8), nullptr, 16)),
      .began = now,
      .works_from = checkpoint.empty() ? now : now + restore_ms};
  starts_.push_back({.at_ms = now,
                     .runner = r.options.id,
                     .kind = r.options.kind,
                     .task = task,
                     .run = run,
                     .checkpoint = checkpoint});
  record_.note(fmt::format("start runner={} kind={} task={} run={} checkpoint={}", r.options.id,
                           r.options.kind, task, run, checkpoint.empty() ? "-" : checkpoint));
  respond(json_response(200, {{"clockMs", clock_of(r)}}));
}

void runner_fleet::run_stop(runner& r, const std::string& body, const rest_responder& respond) {
  const auto order = json::parse(body);
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<std::uint32_t>();
  if (!obeys(r, order.value("fencingToken", std::uint64_t{0}))) {
    return respond(json_response(409, {{"clockMs", clock_of(r)}, {"reason", "fence"}}));
  }
  r.barred[task] = std::max(r.barred[task], run);
  const auto known = r.active.find(task);
  if (known != r.active.end() && known->second.run <= run && !known->second.stop_at) {
    known->second.stop_at = record_.now_ms() + stop_ms;
  }
  record_.note(fmt::format("stop runner={} task={} run={}", r.options.id, task, run));
  respond(json_response(200, {{"clockMs", clock_of(r)}}));
}

void runner_fleet::hold(runner& r, const std::string& body, const rest_responder& respond) {
  const auto order = json::parse(body);
  if (!obeys(r, order.value("fencingToken", std::uint64_t{0}))) {
    return respond(json_response(409, {{"clockMs", clock_of(r)}, {"reason", "fence"}}));
  }
  if (order.contains("deadlineMs")) extend(r, order["deadlineMs"].get<std::int64_t>());
  const auto cursor = order.value("ackCursor", std::uint64_t{0});
  std::erase_if(r.ended, [&](const listed_end& entry) {
    if (entry.number > cursor) return false;
    ends_[entry.event].noted_at_ms = record_.now_ms();
    return true;
  });
  r.holds.push_back(
      {.answer_by = record_.now_ms() + order.value("waitMs", std::int64_t{0}), .respond = respond});
  answer_holds(r);
}

std::string runner_fleet::report(const runner& r) const {
  json active = json::array();
  for (const auto& [task, run] : r.active) {
    const auto percent =
        run.work_ms == 0 ? 100 : static_cast<int>(100 * run.worked_ms / double(run.work_ms));
    active.push_back({task, run.run, run.checkpoint, percent, run.cpu});
  }
  json ended = json::array();
  for (const auto& entry : r.ended) {
    if (ended.size() == listed_at_a_time) break;
    const auto& event = ends_[entry.event];
    ended.push_back({entry.number, event.task, event.run, event.how, entry.saved});
  }
  return json{
      {"clockMs", clock_of(r)}, {"born", r.born}, {"activeRuns", active}, {"finishedRuns", ended}}
      .dump();
}

// Answers holds for which an end is there or whose time is over.
void runner_fleet::answer_holds(runner& r) {
  const auto now = record_.now_ms();
  std::erase_if(r.holds, [&](const open_hold& open) {
    if (r.ended.empty() && now < open.answer_by) return false;
    open.respond({.status = 200,
                  .headers = {{.name = "Content-Type", .value = "application/json"}},
                  .body = report(r)});
    return true;
  });
}

// --- The world ---

void runner_fleet::end(runner& r, const std::string& task, const std::string& how) {
  const auto run = r.active.at(task);
  r.active.erase(task);
  r.barred[task] = std::max(r.barred[task], run.run);
  const auto saved = run.checkpoint.empty() || how == "done" ? std::string{} : run.checkpoint;
  ends_.push_back({.at_ms = record_.now_ms(),
                   .runner = r.options.id,
                   .task = task,
                   .run = run.run,
                   .how = how});
  r.ended.push_back({.number = ++r.last_end, .event = ends_.size() - 1, .saved = saved});
  record_.note(fmt::format("end runner={} task={} run={} how={} saved={} number={}", r.options.id,
                           task, run.run, how, saved.empty() ? "-" : saved, r.last_end));
}

void runner_fleet::break_gang(const std::string& gang_key) {
  for (auto& [id, r] : runners_) {
    std::vector<std::string> members;
    for (const auto& [task, run] : r.active) {
      if (run.gang_key == gang_key) members.push_back(task);
    }
    for (const auto& task : members) end(r, task, "broken");
  }
}

void runner_fleet::advance_runner(runner& r, std::int64_t passed) {
  const auto now = record_.now_ms();
  std::map<std::string, std::string> over;  // how, by task
  const bool lapsed = clock_of(r) >= r.lease_end;
  if (lapsed) {
    for (auto& entry : r.ended) ends_[entry.event].lease_lapsed_before_note = true;
  }
  for (auto& [task, run] : r.active) {
    if (lapsed) {
      over[task] = "lapsed";
    } else if (run.stop_at && now >= *run.stop_at) {
      over[task] = "stopped";
    } else if (run.gang > 0 && !run.together && now - run.began >= gang_timeout_ms) {
      over[task] = "alone";
    } else if (run.work_ms > 0 && (run.gang == 0 || run.together) && now >= run.works_from) {
      run.worked_ms += static_cast<double>(passed);
      auto saved = saved_state(task, run.worked_ms);
      if (!saved.empty()) run.checkpoint = std::move(saved);
      if (run.gang == 0 && run.worked_ms >= static_cast<double>(run.work_ms)) over[task] = "done";
    }
  }
  for (const auto& [task, how] : over) {
    const auto found = r.active.find(task);
    if (found == r.active.end()) continue;  // broken with its gang
    const auto gang_key = found->second.gang_key;
    const bool together = found->second.together;
    end(r, task, how);
    if (!gang_key.empty() && together) break_gang(gang_key);
  }
}

// Members that are all present with one checkpoint begin to work; those that are through are done.
void runner_fleet::advance_gangs() {
  struct member {
    runner* at = nullptr;
    std::string task;
  };
  std::map<std::string, std::vector<member>> gangs;
  for (auto& [id, r] : runners_) {
    for (const auto& [task, run] : r.active) {
      if (run.gang > 0) gangs[run.gang_key].push_back({.at = &r, .task = task});
    }
  }
  for (const auto& [key, members] : gangs) {
    const auto& first = members.front().at->active.at(members.front().task);
    if (members.size() != first.gang) continue;
    const bool through = std::all_of(members.begin(), members.end(), [](const member& m) {
      const auto& run = m.at->active.at(m.task);
      return run.together && run.worked_ms >= static_cast<double>(run.work_ms);
    });
    const bool alike = std::all_of(members.begin(), members.end(), [&](const member& m) {
      return m.at->active.at(m.task).checkpoint == first.checkpoint;
    });
    for (const auto& m : members) {
      if (through) {
        end(*m.at, m.task, "done");
      } else if (alike) {
        m.at->active.at(m.task).together = true;
      }
    }
  }
}

void runner_fleet::beat(runner& r) {
  if (record_.now_ms() < r.next_beat) return;
  r.next_beat = record_.now_ms() + beat_ms;
  const json entry{{"service", r.options.service},
                   {"address", "127.0.0.1:" + std::to_string(r.port)},
                   {"zone", "munnar"},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"coldRemainingMs", 0},
                   {"capacity", {{"cpu", r.options.cpu}, {"memMb", r.options.mem_mb}, {"gpu", 0}}},
                   {"labels", {r.options.kind, r.options.rack}},
                   {"clockMs", clock_of(r)},
                   {"born", r.born},
                   {"sequence", ++r.sequence}};
  store_.put("keyed.servers", r.options.id, entry.dump());
}

void runner_fleet::advance(std::int64_t passed) {
  for (auto& [id, r] : runners_) {
    if (!r.up) continue;
    advance_runner(r, passed);
    beat(r);
  }
  advance_gangs();
  for (auto& [id, r] : runners_) {
    if (r.up && !r.cut_off) answer_holds(r);
  }
}

void runner_fleet::run_world() {
  auto last = record_.now_ms();
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds{tick_ms});
    const std::lock_guard lock{mutex_};
    if (stopping_) return;
    const auto now = record_.now_ms();
    advance(now - last);
    last = now;
  }
}

}  // namespace review
