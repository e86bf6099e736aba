#include "tests/soak/standin/worker_servers.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace coltsfoot::testing {
namespace {

using nlohmann::json;

constexpr std::int64_t longest_lease_ms = 10'000;
constexpr std::int64_t stop_ms = 100;
constexpr std::int64_t beat_ms = 1'100;
constexpr std::int64_t silent_beats = 3;  // after which the entry is removed
constexpr std::int64_t tick_ms = 5;
constexpr std::size_t listed_ends = 500;
constexpr int clock_percent = 98;

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

}  // namespace

worker_servers::~worker_servers() {
  {
    const std::lock_guard lock{mutex_};
    stopping_ = true;
  }
  if (world_.joinable()) world_.join();
}

bool worker_servers::add(const soak_worker_options& options) {
  auto& w = *workers_.emplace_back(std::make_unique<worker>());
  w.options = options;
  begin_life(w);
  for (std::size_t node = 0; node < nodes_; ++node) {
    w.listeners.push_back(std::make_unique<cut_listener>(
        [this, &w, node](const rest_request& request, const rest_responder& respond) {
          handle(w, node, request, respond);
        }));
    if (!w.listeners.back()->start()) return false;
  }
  return true;
}

void worker_servers::start() {
  world_ = std::thread{[this] { run_world(); }};
}

cut_listener& worker_servers::listener(std::size_t worker, std::size_t node) {
  return *workers_.at(worker)->listeners.at(node);
}

void worker_servers::cut_store(std::size_t worker, bool cut) {
  const std::lock_guard lock{mutex_};
  auto& w = *workers_.at(worker);
  w.store_cut = cut;
  w.silent_since = record_.now_ms();
  w.next_beat = 0;
}

void worker_servers::begin_life(worker& w) {
  w.born = unix_ms();
  w.clock_start = record_.now_ms();
  w.fence = 0;
  w.lease_end = 0;
  w.active.clear();
  w.ended.clear();
  w.last_end = 0;
  w.barred.clear();
  w.sequence = 0;
  w.next_beat = 0;
}

void worker_servers::restart(std::size_t worker) {
  const std::lock_guard lock{mutex_};
  auto& w = *workers_.at(worker);
  for (const auto& open : std::exchange(w.looks, {})) open.respond({.drop = true});
  begin_life(w);
}

std::string worker_servers::address_at(const std::string& id, std::size_t node) {
  const auto found = std::find_if(workers_.begin(), workers_.end(),
                                  [&](const auto& w) { return w->options.id == id; });
  return found == workers_.end() ? std::string{} : (*found)->listeners.at(node)->address();
}

std::size_t worker_servers::starts() const {
  const std::lock_guard lock{mutex_};
  return starts_;
}

std::set<std::string> worker_servers::broken() const {
  const std::lock_guard lock{mutex_};
  return broken_;
}

std::int64_t worker_servers::clock_of(const worker& w) const {
  return (record_.now_ms() - w.clock_start) * clock_percent / 100;
}

// --- Calls ---

void worker_servers::handle(worker& w, std::size_t node, const rest_request& request,
                            const rest_responder& respond) {
  const std::lock_guard lock{mutex_};
  advance(w);
  const auto* expected = request.header("expected-instance");
  if (expected != nullptr && *expected != w.options.id) return respond({.status = 421});
  if (request.target == "/api/run-start") return start_run(w, node, request.body, respond);
  if (request.target == "/api/run-stop") return stop_run(w, request.body, respond);
  if (request.target == "/api/hold") return look(w, request.body, respond);
  respond(json_response(200, {{"clockMs", clock_of(w)}}));
}

bool worker_servers::obeys(worker& w, std::uint64_t fence) {
  if (fence < w.fence) return false;
  w.fence = fence;
  return true;
}

void worker_servers::extend(worker& w, std::int64_t deadline) const {
  w.lease_end = std::max(w.lease_end, std::min(deadline, clock_of(w) + longest_lease_ms));
}

void worker_servers::start_run(worker& w, std::size_t node, const std::string& body,
                               const rest_responder& respond) {
  const auto order = json::parse(body);
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<std::uint32_t>();
  const auto deadline = order.at("deadlineMs").get<std::int64_t>();
  const auto reject = [&](const char* reason) {
    respond(json_response(409, {{"clockMs", clock_of(w)}, {"reason", reason}}));
  };
  if (!obeys(w, order.at("fencingToken").get<std::uint64_t>())) return reject("fence");
  if (deadline <= clock_of(w)) return reject("late");
  extend(w, deadline);
  const auto there = w.active.find(task);
  if (there != w.active.end() && there->second.run == run) {
    return respond(json_response(200, {{"clockMs", clock_of(w)}}));
  }
  const auto barred = w.barred.find(task);
  const bool old = barred != w.barred.end() && run <= barred->second;
  if (old || there != w.active.end()) return reject("old");
  const auto work = json::parse(order.at("specification").get<std::string>());
  const auto millicores = work.at("cpu").get<std::int64_t>();
  std::int64_t used = 0;
  for (const auto& [name, active] : w.active) used += active.millicores;
  if (used + millicores > w.options.millicores) return reject("room");
  const auto now = record_.now_ms();
  const auto work_ms = work.at("workMs").get<std::int64_t>();
  const active_run started{.run = run,
                           .node = node,
                           .began = now,
                           .ends_at = work_ms == 0 ? 0 : now + work_ms,
                           .millicores = millicores};
  record_.note(
      fmt::format("start worker={} task={} run={} node={}", w.options.id, task, run, node));
  check_start(w, task, started);
  w.active.emplace(task, started);
  ++starts_;
  respond(json_response(200, {{"clockMs", clock_of(w)}}));
}

void worker_servers::report_broken(const std::string& text) {
  record_.note("BROKEN " + text);
  broken_.insert(text);
}

void worker_servers::check_start(const worker& w, const std::string& task, const active_run& run) {
  auto& newest = newest_runs_[task];
  newest = std::max(newest, run.run);
  for (const auto& other : workers_) {
    if (other.get() == &w) continue;
    advance(*other);
    const auto found = other->active.find(task);
    if (found == other->active.end()) continue;
    report_broken(fmt::format(
        "TWICE at once: {} run {} on {} from node {} while run {} on {} from node {}", task,
        run.run, w.options.id, run.node, found->second.run, other->options.id, found->second.node));
  }
  const auto noted = noted_.find(task);
  if (noted == noted_.end()) return;
  report_broken(fmt::format("TWICE after done: {} run {} on {} from node {} after {}", task,
                            run.run, w.options.id, run.node, noted->second));
}

void worker_servers::stop_run(worker& w, const std::string& body, const rest_responder& respond) {
  const auto order = json::parse(body);
  if (!obeys(w, order.at("fencingToken").get<std::uint64_t>())) {
    return respond(json_response(409, {{"clockMs", clock_of(w)}, {"reason", "fence"}}));
  }
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<std::uint32_t>();
  auto& barred = w.barred[task];
  barred = std::max(barred, run);
  const auto active = w.active.find(task);
  if (active != w.active.end() && active->second.run == run && !active->second.stop_at) {
    active->second.stop_at = record_.now_ms() + stop_ms;
  }
  respond(json_response(200, {{"clockMs", clock_of(w)}}));
}

void worker_servers::look(worker& w, const std::string& body, const rest_responder& respond) {
  const auto order = json::parse(body);
  if (!obeys(w, order.at("fencingToken").get<std::uint64_t>())) {
    return respond(json_response(409, {{"clockMs", clock_of(w)}, {"reason", "fence"}}));
  }
  if (order.contains("deadlineMs")) extend(w, order.at("deadlineMs").get<std::int64_t>());
  const auto forget = order.at("ackCursor").get<std::uint64_t>();
  std::erase_if(w.ended, [&](const listed_end& e) {
    if (e.number > forget) return false;
    if (e.how == "done" && !e.lapsed_since) {
      noted_[e.task] = fmt::format("run {} on {}", e.run, w.options.id);
      if (newest_runs_[e.task] > e.run) {
        report_broken(fmt::format("TWICE noted later: {} run {} on {}, but run {} was started",
                                  e.task, e.run, w.options.id, newest_runs_[e.task]));
      }
    }
    return true;
  });
  const auto wait = order.value("waitMs", std::int64_t{0});
  if (wait == 0 || !w.ended.empty()) return respond({.status = 200, .body = report(w)});
  w.looks.push_back({.answer_by = record_.now_ms() + wait, .respond = respond});
}

std::string worker_servers::report(const worker& w) const {
  json running = json::array();
  for (const auto& [task, run] : w.active) {
    const auto age = record_.now_ms() - run.began;
    const auto percent =
        run.ends_at == 0 ? (age > 200 ? 100 : 0)
                         : std::min<std::int64_t>(
                               99, age * 100 / std::max<std::int64_t>(1, run.ends_at - run.began));
    running.push_back({task, run.run, "", percent, run.millicores});
  }
  json ended = json::array();
  for (const auto& e : w.ended) {
    if (ended.size() < listed_ends) ended.push_back({e.number, e.task, e.run, e.how, ""});
  }
  return json{
      {"clockMs", clock_of(w)}, {"born", w.born}, {"activeRuns", running}, {"finishedRuns", ended}}
      .dump();
}

// --- Time ---

void worker_servers::end(worker& w, const std::string& task, const std::string& how) {
  const auto found = w.active.find(task);
  const auto run = found->second.run;
  w.active.erase(found);
  auto& barred = w.barred[task];
  barred = std::max(barred, run);
  w.ended.push_back({.number = ++w.last_end, .task = task, .run = run, .how = how});
  record_.note(fmt::format("end worker={} task={} run={} how={}", w.options.id, task, run, how));
}

void worker_servers::advance(worker& w) {
  const auto now = record_.now_ms();
  const bool lapsed = clock_of(w) >= w.lease_end;
  if (lapsed) {
    for (auto& e : w.ended) e.lapsed_since = true;
  }
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : w.active) {
    if (lapsed) {
      over.emplace_back(task, "lapsed");
    } else if (run.stop_at && now >= *run.stop_at) {
      over.emplace_back(task, "stopped");
    } else if (run.ends_at != 0 && now >= run.ends_at) {
      over.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : over) end(w, task, how);
}

void worker_servers::beat(worker& w) {
  const auto now = record_.now_ms();
  if (w.store_cut) {
    if (!w.entry_removed && now - w.silent_since >= silent_beats * beat_ms) {
      w.entry_removed = true;
      store_.put("keyed.servers", w.options.id, "");
    }
    return;
  }
  if (now < w.next_beat) return;
  w.next_beat = now + beat_ms;
  w.entry_removed = false;
  const json entry{{"service", "svc"},
                   {"address", "{node}"},
                   {"zone", w.options.zone},
                   {"state", "ready"},
                   {"capacity", {{"cpu", w.options.millicores}, {"memMb", w.options.memory_mb}}},
                   {"labels", {"a", w.options.rack}},
                   {"born", w.born},
                   {"sequence", ++w.sequence}};
  store_.put("keyed.servers", w.options.id, entry.dump());
}

void worker_servers::run_world() {
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds{tick_ms});
    const std::lock_guard lock{mutex_};
    if (stopping_) return;
    for (const auto& w : workers_) {
      advance(*w);
      beat(*w);
      const auto now = record_.now_ms();
      std::erase_if(w->looks, [&](const worker::open_look& open) {
        if (w->ended.empty() && now < open.answer_by) return false;
        open.respond({.status = 200, .body = report(*w)});
        return true;
      });
    }
  }
}

}  // namespace coltsfoot::testing
