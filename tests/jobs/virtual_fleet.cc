#include "tests/jobs/virtual_fleet.h"

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

#include "coltsfoot/base/hash.h"

namespace coltsfoot::testing {
namespace {

using jobs::append_verdict;
using jobs::order_verdict;

constexpr duration tick_interval{25};
constexpr duration network_delay{1};
constexpr duration slow_network_delay{600};
constexpr duration late_append_delay{5'000};
constexpr duration worker_beat{1'000};
constexpr duration absence_interval{250};
constexpr duration failing_run_length{100};
constexpr std::string_view service = "svc";

// The fakes write entries in their own format; the platform's format is tested in its own
// directory.
std::string encode_worker(const fake_runner& runner, int number, bool draining) {
  return fmt::format("{} {} {}", number, runner.incarnation(), draining ? 1 : 0);
}

jobs::store_codec codec_for(const fleet_options& options) {
  return {.config = [options](std::string_view) -> tl::expected<jobs::fleet_config, std::string> {
            jobs::fleet_config config{.version = 1};
            config.queues.push_back({.id = jobs::queue_id{"q"},
                                     .host = "h",
                                     .path_prefix = "/q/",
                                     .service = service_id{std::string{service}},
                                     .max_attempts = options.max_attempts,
                                     .slack_factor = options.slack_factor,
                                     .latency_target = options.latency_target});
            return config;
          },
          .worker = [options](std::string_view id, std::string_view value)
              -> tl::expected<jobs::worker_listing, std::string> {
            const std::string text{value};
            char* rest = nullptr;
            const auto number = std::strtol(text.c_str(), &rest, 10);
            const auto incarnation = std::strtoull(rest, &rest, 10);
            const bool draining = std::strtol(rest, &rest, 10) != 0;
            return jobs::worker_listing{.id = worker_id{std::string{id}},
                                        .incarnation = incarnation,
                                        .service = service_id{std::string{service}},
                                        .address = std::to_string(number),
                                        .draining = draining,
                                        .capacity = options.capacity,
                                        .labels = {"a", "r" + std::to_string(number / 2)}};
          },
          .config_key = "config"};
}

std::uint32_t strength_of(const fleet_options& options, int node) {
  const auto& strengths = options.strengths;
  if (strengths.empty()) return 0;
  return strengths[std::min(static_cast<std::size_t>(node), strengths.size() - 1)];
}

// Sizes of orders with their headers, specification included.
std::size_t bytes_of(const jobs::worker_order& order) {
  constexpr std::size_t start_bytes = 1'100;
  constexpr std::size_t other_bytes = 280;
  return std::holds_alternative<jobs::start_order>(order.order) ? start_bytes : other_bytes;
}

std::size_t bytes_of(const std::vector<jobs::keyed_record>& records) {
  std::size_t sum = 250;  // the head of the request
  for (const auto& record : records) sum += record.key.size() + record.value.size();
  return sum;
}

// The result of an order without a report.
jobs::node_event result_of(const jobs::give_order& c, order_verdict verdict) {
  const auto& life = c.order.life;
  if (const auto* start = std::get_if<jobs::start_order>(&c.order.order)) {
    return jobs::start_answered{.origin = c.origin,
                                .life = life,
                                .run = start->run,
                                .answer = {.verdict = verdict},
                                .sent_at = c.sent_at};
  }
  if (const auto* stop = std::get_if<jobs::stop_order>(&c.order.order)) {
    return jobs::stop_answered{
        .origin = c.origin, .life = life, .run = stop->run, .answer = {.verdict = verdict}};
  }
  if (const auto* pace = std::get_if<jobs::pace_order>(&c.order.order)) {
    return jobs::pace_answered{
        .origin = c.origin, .life = life, .run = pace->run, .answer = {.verdict = verdict}};
  }
  return jobs::look_answered{
      .origin = c.origin, .life = life, .answer = {.verdict = verdict}, .sent_at = c.sent_at};
}

}  // namespace

virtual_fleet::virtual_fleet(const fleet_options& options)
    : options_(options), random_(options.seed) {
  store_.put(jobs::store_topic::configuration, "config", "1");
  for (int i = 0; i < options.workers; ++i) {
    workers_.push_back({.runner = fake_runner{worker_id{"w" + std::to_string(i)}, options.capacity,
                                              [this, i](const auto& run) {
                                                return work_of(static_cast<std::size_t>(i), run);
                                              },
                                              now_}});
  }
  beat();
  check_absences();
  nodes_.resize(static_cast<std::size_t>(options.nodes));
  for (int i = 0; i < options.nodes; ++i) start_node(i);
}

bool virtual_fleet::chance(double share) {
  return share > 0 && std::uniform_real_distribution<double>{}(random_) < share;
}

void virtual_fleet::after(duration delay, std::function<void()> action) {
  event_queue_.push({.at = now_ + delay, .order = ++order_, .action = std::move(action)});
}

void virtual_fleet::run_for(duration time) {
  const auto end = now_ + time;
  while (!event_queue_.empty() && event_queue_.top().at <= end) {
    auto next = event_queue_.top();
    event_queue_.pop();
    now_ = next.at;
    next.action();
  }
  now_ = end;
}

bool virtual_fleet::run_until(const std::function<bool()>& done, duration limit) {
  const auto end = now_ + limit;
  while (!done() && now_ < end) run_for(duration{20});
  return done();
}

// --- Nodes ---

void virtual_fleet::start_node(int node) {
  auto& state = nodes_.at(static_cast<std::size_t>(node));
  state = {.life = ++last_life_};
  const auto log = [this, node](severity, const std::string& text) {
    if (std::getenv("FLEET_LOG") != nullptr) {
      std::cerr << (now_.time_since_epoch().count() - 1'000'000) << " n" << node << " " << text
                << "\n";
    }
  };
  jobs::job_node_options options{.node = "n" + std::to_string(node),
                                 .life = state.life,
                                 .strength = strength_of(options_, node),
                                 .peer_address = std::to_string(node),
                                 .codec = codec_for(options_),
                                 .layout = {.workers_per_shard = options_.workers_per_shard}};
  state.core = std::make_unique<jobs::job_node>(std::move(options), now_, log);
  tick(node, state.life);
}

void virtual_fleet::kill_node(int node) {
  absences_.on_trouble(now_);
  nodes_.at(static_cast<std::size_t>(node)) = {.life = ++last_life_};
}

void virtual_fleet::freeze_node(int node, bool frozen) {
  absences_.on_trouble(now_);
  auto& state = nodes_.at(static_cast<std::size_t>(node));
  state.frozen = frozen;
  if (frozen) return;
  deliver_all(node, std::exchange(state.waiting, {}));
}

void virtual_fleet::cut_store(int node, bool cut) {
  absences_.on_trouble(now_);
  nodes_.at(static_cast<std::size_t>(node)).store_cut = cut;
}

void virtual_fleet::ask_shutdown(int node) {
  absences_.on_trouble(now_);
  deliver(node, jobs::shutdown_asked{});
}

void virtual_fleet::tick(int node, std::uint64_t life) {
  if (nodes_.at(static_cast<std::size_t>(node)).life != life) return;
  if (!nodes_.at(static_cast<std::size_t>(node)).frozen) deliver(node, jobs::time_passed{});
  after(tick_interval, [this, node, life] { tick(node, life); });
}

void virtual_fleet::deliver(int node, jobs::node_event event) {
  auto& state = nodes_.at(static_cast<std::size_t>(node));
  if (!state.core) return;
  if (state.frozen) {
    state.waiting.push_back(std::move(event));
    return;
  }
  std::deque<jobs::node_event> events;
  events.push_back(std::move(event));
  deliver_all(node, std::move(events));
}

void virtual_fleet::deliver_all(int node, std::deque<jobs::node_event> events) {
  auto& state = nodes_.at(static_cast<std::size_t>(node));
  if (!state.core || events.empty()) return;
  const wall_time wall{now_.time_since_epoch()};
  auto commands = state.core->handle_all(std::move(events), now_, wall);
  const auto life = state.life;
  for (auto& command : commands) {
    if (nodes_.at(static_cast<std::size_t>(node)).life == life) execute(node, std::move(command));
  }
}

void virtual_fleet::deliver_after(int node, duration delay, jobs::node_event event) {
  const auto life = nodes_.at(static_cast<std::size_t>(node)).life;
  after(delay, [this, node, life, event = std::move(event)]() mutable {
    if (nodes_.at(static_cast<std::size_t>(node)).life == life) deliver(node, std::move(event));
  });
}

int virtual_fleet::owner() const {
  int found = -1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].core || nodes_[i].core->owned_shards() == 0) continue;
    if (found >= 0) return -1;
    found = static_cast<int>(i);
  }
  return found;
}

bool virtual_fleet::is_settled() const {
  std::map<jobs::shard_number, int> owners;
  std::size_t shards = 0;
  for (const auto& node : nodes_) {
    if (!node.core || node.frozen) continue;
    if (!node.core->shards().front()->layout().decided()) return false;
    shards = node.core->shards().front()->layout().shards;
    for (const auto& shard : node.core->shards()) {
      if (shard->is_owner()) ++owners[shard->number()];
    }
  }
  return owners.size() == shards &&
         std::all_of(owners.begin(), owners.end(),
                     [](const auto& entry) { return entry.second == 1; });
}

// --- Workers ---

void virtual_fleet::list_worker(int worker, bool draining) {
  auto& state = workers_.at(static_cast<std::size_t>(worker));
  if (state.draining != draining) absences_.on_trouble(now_);
  state.draining = draining;
  store_.put(jobs::store_topic::workers, state.runner.id().value,
             encode_worker(state.runner, worker, draining));
}

void virtual_fleet::beat() {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (workers_[i].reachable) list_worker(static_cast<int>(i), workers_[i].draining);
  }
  after(worker_beat, [this] { beat(); });
}

void virtual_fleet::set_worker_reachable(int worker, bool reachable) {
  absences_.on_trouble(now_);
  auto& state = workers_.at(static_cast<std::size_t>(worker));
  state.reachable = reachable;
  if (!reachable) store_.put(jobs::store_topic::workers, state.runner.id().value, "");
}

void virtual_fleet::restart_worker(int worker) {
  absences_.on_trouble(now_);
  workers_.at(static_cast<std::size_t>(worker)).runner.restart(now_);
}

void virtual_fleet::set_worker_failing(int worker, bool failing) {
  absences_.on_trouble(now_);
  workers_.at(static_cast<std::size_t>(worker)).failing = failing;
}

task_work virtual_fleet::work_of(std::size_t worker, const jobs::run_ref& run) {
  const auto spec = specs_.find(run.task.job.value);
  if (spec == specs_.end()) {
    violations_.insert("UNASKED " + run.task.job.value);
    return {};
  }
  const auto& step = spec->second.steps.at(run.task.step);
  const auto seed = stable_hash(
      run.task.job.value,
      fmt::format("{}.{}.{}.{}", run.task.occurrence, run.task.step, run.task.index, run.run));
  constexpr std::uint64_t grain = 10'000;
  const bool worker_fails = workers_[worker].failing;
  const bool fails =
      worker_fails || static_cast<double>(seed % grain) < options_.failing_tasks * grain;
  // A long-running task may fail at any time.
  const duration until_failure{2'000 + static_cast<std::int64_t>(seed % 5'000)};
  return {.length = worker_fails        ? failing_run_length
                    : step.long_running ? until_failure
                                        : step.estimate,
          .demand = step.demand,
          .fills = step.fill,
          .lasts = step.long_running,
          .fails = fails};
}

std::size_t virtual_fleet::running(const std::string& id) const {
  std::size_t count = 0;
  for (const auto& worker : workers_) {
    for (const auto& [task, run] : worker.runner.runs()) count += task.job.value == id ? 1 : 0;
  }
  return count;
}

std::size_t virtual_fleet::lapsed() const {
  std::size_t sum = 0;
  for (const auto& worker : workers_) sum += worker.runner.lapsed();
  return sum;
}

// --- Checks ---

void virtual_fleet::check_start(const jobs::run_ref& run, bool late) {
  ++starts_;
  const auto cancelled = cancelled_.find(run.task.job.value);
  constexpr duration cancel_bound{3'000};
  if (!late && cancelled != cancelled_.end() && now_ > cancelled->second + cancel_bound) {
    violations_.insert("UNASKED start after cancellation of " + run.task.job.value);
  }
  if (done_.contains(run.task)) {
    violations_.insert("TWICE start after done of " + run.task.job.value);
  }
}

void virtual_fleet::check_runs() {
  std::map<jobs::task_ref, int> places;
  for (auto& worker : workers_) {
    worker.runner.advance(now_);
    for (const auto& [task, run] : worker.runner.runs()) {
      if (++places[task] == 2) violations_.insert("TWICE at once " + task.job.value);
    }
  }
}

bool virtual_fleet::is_expected(const std::string& job) const {
  return accepted_.contains(job) &&
         std::none_of(cancel_calls_.begin(), cancel_calls_.end(),
                      [&](const auto& call) { return call.second == job; });
}

void virtual_fleet::check_absences() {
  std::set<jobs::task_ref> running;
  std::vector<resources> free;
  for (auto& worker : workers_) {
    worker.runner.advance(now_);
    for (const auto& [task, run] : worker.runner.runs()) running.insert(task);
    if (worker.reachable && !worker.draining) free.push_back(worker.runner.free());
  }
  std::vector<watched_task> tasks;
  for (const auto& [id, spec] : specs_) {
    if (!is_expected(id)) continue;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
      if (!spec.steps[step].long_running) continue;
      for (std::uint32_t i = 0; i < spec.steps[step].count; ++i) {
        const jobs::task_ref task{.job = jobs::job_id{id}, .step = step, .index = i};
        tasks.push_back(
            {.task = task, .demand = spec.steps[step].demand, .running = running.contains(task)});
      }
    }
  }
  absences_.observe(free, tasks, now_);
  check_cancellations();
  after(absence_interval, [this] { check_absences(); });
}

void virtual_fleet::check_cancellations() {
  constexpr duration stop_bound{3'200};
  constexpr duration calm_before{3'000};
  for (const auto& worker : workers_) {
    for (const auto& [task, run] : worker.runner.runs()) {
      const auto cancelled = cancelled_.find(task.job.value);
      if (cancelled == cancelled_.end()) continue;
      const auto calm_since = absences_.last_trouble() + calm_before;
      // A start may be executed seconds after it was sent.
      const auto since = std::max({cancelled->second, calm_since, run.began});
      if (now_ > since + stop_bound) violations_.insert("UNASKED runs on " + task.job.value);
    }
  }
}

// --- Callers ---

call_id virtual_fleet::ask(int node, const std::string& id, jobs::caller_action action,
                           jobs::job_spec spec) {
  const auto call = ++last_call_;
  deliver(node, jobs::caller_request{.call = call,
                                     .action = action,
                                     .host = "h",
                                     .path = "/q/" + id,
                                     .time_left = duration{3'000},
                                     .spec = std::move(spec)});
  return call;
}

call_id virtual_fleet::submit_to(int node, const std::string& path, jobs::job_spec spec) {
  const auto call = ++last_call_;
  deliver(node, jobs::caller_request{.call = call,
                                     .action = jobs::caller_action::submit,
                                     .host = "h",
                                     .path = path,
                                     .time_left = duration{3'000},
                                     .spec = std::move(spec)});
  return call;
}

call_id virtual_fleet::submit(int node, const std::string& id, jobs::job_spec spec) {
  specs_[id] = spec;
  const auto call = ask(node, id, jobs::caller_action::submit, std::move(spec));
  submit_calls_[call] = id;
  const auto* answer = answer_of(call);
  if (answer != nullptr && answer->verdict == jobs::caller_verdict::accepted) accepted_.insert(id);
  return call;
}

call_id virtual_fleet::cancel(int node, const std::string& id) {
  const auto call = ask(node, id, jobs::caller_action::cancel, {});
  cancel_calls_[call] = id;
  return call;
}

call_id virtual_fleet::query(int node, const std::string& id) {
  return ask(node, id, jobs::caller_action::query, {});
}

call_id virtual_fleet::count(int node) {
  return ask(node, "", jobs::caller_action::count, {});
}

const jobs::caller_answer* virtual_fleet::answer_of(call_id call) const {
  const auto found = answers_.find(call);
  return found == answers_.end() ? nullptr : &found->second;
}

bool virtual_fleet::reaches(int node, const std::string& id, jobs::job_state state,
                            duration limit) {
  const auto end = now_ + limit;
  while (now_ < end) {
    const auto call = query(node, id);
    run_until([&] { return answer_of(call) != nullptr; }, duration{1'000});
    const auto* answer = answer_of(call);
    if (answer != nullptr && answer->verdict == jobs::caller_verdict::state &&
        answer->state == state) {
      return true;
    }
    run_for(duration{50});
  }
  return false;
}

// --- Commands ---

void virtual_fleet::execute(int node, jobs::node_command command) {
  std::visit([&](const auto& c) { run(node, c); }, command);
}

void virtual_fleet::run(int /*node*/, const jobs::answer_caller_call& c) {
  answers_[c.call] = c.answer;
  const auto submit = submit_calls_.find(c.call);
  if (submit != submit_calls_.end() && c.answer.verdict == jobs::caller_verdict::accepted) {
    accepted_.insert(submit->second);
  }
  const auto cancel = cancel_calls_.find(c.call);
  if (cancel == cancel_calls_.end()) return;
  // That an accepted job doesn't exist is an acknowledgement too.
  const bool denied =
      c.answer.verdict == jobs::caller_verdict::no_such_job && accepted_.contains(cancel->second);
  if (denied || c.answer.verdict == jobs::caller_verdict::cancelled) {
    cancelled_.try_emplace(cancel->second, now_);
  }
}

void virtual_fleet::run(int node, const jobs::append_to_jobs& c) {
  const bool cut = store_down_ || nodes_.at(static_cast<std::size_t>(node)).store_cut;
  if (cut) {
    return deliver_after(
        node, duration{50},
        jobs::append_ended{.call = c.call, .verdict = append_verdict::not_recorded});
  }
  if (late_caller_appends_ && !c.sequence) {
    after(late_append_delay, [this, c] { store_.append(c); });
    return deliver_after(node, c.timeout,
                         jobs::append_ended{.call = c.call, .verdict = append_verdict::unknown});
  }
  after(send_delay(node, bytes_of(c.records)), [this, node, c] {
    const auto verdict = store_.append(c);
    if (chance(options_.compacted_appends)) store_.compact();
    if (chance(options_.lost_append_answers)) {
      return deliver_after(node, c.timeout,
                           jobs::append_ended{.call = c.call, .verdict = append_verdict::unknown});
    }
    deliver_after(node, std::min(append_time_, c.timeout),
                  jobs::append_ended{
                      .call = c.call,
                      .verdict = append_time_ < c.timeout ? verdict : append_verdict::unknown});
  });
}

void virtual_fleet::run(int node, const jobs::read_topic& c) {
  const auto* tail = std::get_if<jobs::tail_request>(&c.request);
  const auto wait = tail == nullptr ? duration{0} : tail->wait;
  after(network_delay, [this, node, c, until = now_ + wait] { read_when_due(node, c, until); });
}

void virtual_fleet::read_when_due(int node, const jobs::read_topic& c, time_point until) {
  jobs::topic_read event{.call = c.call, .topic = c.topic, .shard = c.shard};
  if (store_down_ || nodes_.at(static_cast<std::size_t>(node)).store_cut) {
    event.page = jobs::read_failed{};
    return deliver_after(node, duration{50}, std::move(event));
  }
  if (!store_.has_news(c) && now_ < until) {
    return after(duration{5}, [this, node, c, until] { read_when_due(node, c, until); });
  }
  event.page = store_.read(c);
  deliver_after(node, network_delay, std::move(event));
}

void virtual_fleet::run(int node, const jobs::give_order& c) {
  const auto order = ++last_order_;
  open_orders_.insert(order);
  after(c.order.timeout, [this, node, order, c] {
    end_order(node, order, result_of(c, order_verdict::unanswered));
  });
  const auto transit = send_delay(node, bytes_of(c.order));
  if (const auto* look = std::get_if<jobs::look_order>(&c.order.order)) {
    const auto delay = chance(options_.slow_looks) ? slow_network_delay : transit;
    const auto until = now_ + delay + look->wait;
    return after(delay, [this, node, order, c, until] { look_when_due(node, order, c, until); });
  }
  const bool late = chance(options_.late_orders);
  const bool answered = !late && !chance(options_.lost_answers);
  const duration delay =
      late ? duration{std::uniform_int_distribution<int>{2'000, 6'000}(random_)} : transit;
  after(delay, [this, node, order, c, answered] { execute_order(node, order, c, answered); });
}

void virtual_fleet::end_order(int node, std::uint64_t order, jobs::node_event result) {
  if (open_orders_.erase(order) > 0) deliver(node, std::move(result));
}

duration virtual_fleet::send_delay(int node, std::size_t bytes) {
  if (options_.link_bytes_per_s <= 0) return network_delay;
  auto& free_at = nodes_.at(static_cast<std::size_t>(node)).link_free_at;
  const auto ms = 1'000 * static_cast<double>(bytes) / options_.link_bytes_per_s;
  free_at = std::max(free_at, now_) + duration{static_cast<std::int64_t>(ms)};
  return network_delay + (free_at - now_);
}

void virtual_fleet::execute_order(int node, std::uint64_t order, const jobs::give_order& c,
                                  bool answered) {
  auto& state = workers_.at(static_cast<std::size_t>(std::stoi(c.order.address)));
  if (!state.reachable) return;
  auto result = result_of(c, order_verdict::unanswered);
  if (const auto* start = std::get_if<jobs::start_order>(&c.order.order)) {
    const bool there = state.runner.runs().contains(start->run.task);
    std::get<jobs::start_answered>(result).answer = state.runner.start(*start, c.fence, now_);
    if (!there && state.runner.runs().contains(start->run.task)) check_start(start->run, !answered);
    check_runs();
  } else if (const auto* stop = std::get_if<jobs::stop_order>(&c.order.order)) {
    std::get<jobs::stop_answered>(result).answer = state.runner.stop(*stop, c.fence, now_);
  }
  if (!answered) return;
  after(network_delay, [this, node, order, result] { end_order(node, order, result); });
}

void virtual_fleet::look_when_due(int node, std::uint64_t order, const jobs::give_order& c,
                                  time_point until) {
  auto& state = workers_.at(static_cast<std::size_t>(std::stoi(c.order.address)));
  const auto& look = std::get<jobs::look_order>(c.order.order);
  if (!state.reachable) return;
  state.runner.advance(now_);
  if (!state.runner.has_unforgotten_ends() && now_ < until) {
    return after(duration{5},
                 [this, node, order, c, until] { look_when_due(node, order, c, until); });
  }
  const auto before = state.runner.look({}, 0, now_).report.ended;
  auto result = result_of(c, order_verdict::unanswered);
  auto& answer = std::get<jobs::look_answered>(result).answer;
  answer = state.runner.look(look, c.fence, now_);
  if (answer.verdict == order_verdict::accepted) {
    for (const auto& row : before) {
      const bool noted = row.number <= look.forget_up_to || options_.listed_ends_are_noted;
      if (noted && row.end == jobs::run_end::done) done_.insert(row.run.task);
    }
  }
  after(network_delay, [this, node, order, result] { end_order(node, order, result); });
}

void virtual_fleet::run(int node, const jobs::ask_peer& c) {
  const int receiver = std::stoi(c.address);
  after(network_delay, [this, node, receiver, c] {
    const auto& state = nodes_.at(static_cast<std::size_t>(receiver));
    if (!state.core || state.frozen) {
      return deliver_after(
          node, c.timeout,
          jobs::peer_answered{.call = c.call, .result = tl::unexpected(peer_failure::unknown)});
    }
    const auto call = ++last_call_;
    peer_calls_[{receiver, call}] = {node, c.call};
    deliver(receiver, jobs::peer_asked{.call = call, .request = c.request});
  });
}

void virtual_fleet::run(int node, const jobs::answer_peer& c) {
  const auto found = peer_calls_.find({node, c.call});
  if (found == peer_calls_.end()) return;
  const auto [sender, call] = found->second;
  peer_calls_.erase(found);
  deliver_after(sender, network_delay, jobs::peer_answered{.call = call, .result = c.reply});
}

void virtual_fleet::run(int node, const jobs::refuse_peer& c) {
  peer_calls_.erase({node, c.call});
}

void virtual_fleet::run(int /*node*/, const jobs::show_ready& /*c*/) {}

void virtual_fleet::run(int node, const jobs::end_process& /*c*/) {
  kill_node(node);
}

}  // namespace coltsfoot::testing
