#include "tests/jobs/virtual_fleet.h"

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

#include "coltsfoot/base/hash.h"

namespace coltsfoot::testing {
namespace {

constexpr duration tick_interval{25};
constexpr duration worker_beat{1'000};
constexpr duration entry_delay{280};  // from a worker's start until the registry lists it
constexpr duration failing_run_length{100};
constexpr std::string_view service = "svc";
constexpr std::string_view evacuation_prefix = "evacuate/";

// The fakes write entries in their own format; the platform's format is tested in its own
// directory.
std::string encode_worker(const fake_runner& runner, int number, bool draining) {
  return fmt::format("{} {} {}", number, runner.incarnation(), draining ? 1 : 0);
}

tl::expected<void, std::string> check_evacuation(std::string_view value) {
  if (value.starts_with('{')) return {};
  return tl::unexpected(std::string{"not an object"});
}

std::string zone_of(const fleet_options& options, long worker) {
  return "z" + std::to_string(worker / 2 % options.zones);
}

// The kind, then the rack.
std::vector<std::string> labels_of(const fleet_options& options, long worker) {
  const auto rack = worker / 2;
  const bool rare = options.rare_racks.contains(static_cast<int>(rack));
  return {rare ? "b" : "a", "r" + std::to_string(rack)};
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
                                        .zone = zone_of(options, number),
                                        .draining = draining,
                                        .capacity = options.capacity,
                                        .labels = labels_of(options, number)};
          },
          .config_key = "config",
          .evacuation = {.key_prefix = std::string{evacuation_prefix}, .check = check_evacuation}};
}

std::uint32_t strength_of(const fleet_options& options, int node) {
  const auto& strengths = options.strengths;
  if (strengths.empty()) return 0;
  return strengths[std::min(static_cast<std::size_t>(node), strengths.size() - 1)];
}

}  // namespace

virtual_fleet::virtual_fleet(const fleet_options& options)
    : options_(options), random_(options.seed), store_(options.store) {
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
                                 .store = options_.store,
                                 .layout = {.workers_per_shard = options_.workers_per_shard}};
  options.owner.relocation.restore = options_.restore;
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

void virtual_fleet::write_config(const std::string& key, const std::string& value) {
  absences_.on_trouble(now_);
  store_.put(jobs::store_topic::configuration, key, value);
}

void virtual_fleet::beat() {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (workers_[i].reachable && !is_silent(static_cast<int>(i)))
      list_worker(static_cast<int>(i), workers_[i].draining);
  }
  after(worker_beat, [this] { beat(); });
}

void virtual_fleet::set_worker_reachable(int worker, bool reachable) {
  absences_.on_trouble(now_);
  auto& state = workers_.at(static_cast<std::size_t>(worker));
  state.reachable = reachable;
  if (!reachable) store_.put(jobs::store_topic::workers, state.runner.id().value, "");
}

void virtual_fleet::cut_worker(int node, int worker, bool cut) {
  absences_.on_trouble(now_);
  if (cut) {
    worker_cuts_.emplace(node, worker);
  } else {
    worker_cuts_.erase({node, worker});
  }
}

bool virtual_fleet::reaches_worker(int node, int worker) const {
  return workers_.at(static_cast<std::size_t>(worker)).reachable &&
         !worker_cuts_.contains({node, worker});
}

void virtual_fleet::restart_worker(int worker) {
  absences_.on_trouble(now_);
  workers_.at(static_cast<std::size_t>(worker)).runner.restart(now_);
}

void virtual_fleet::crash_worker(int worker, duration silence) {
  restart_worker(worker);
  workers_.at(static_cast<std::size_t>(worker)).silent_until = now_ + silence;
  after(silence, [this, worker] {
    restart_worker(worker);
    after(entry_delay, [this, worker] {
      if (workers_.at(static_cast<std::size_t>(worker)).reachable) list_worker(worker, false);
    });
  });
}

bool virtual_fleet::is_silent(int worker) const {
  return now_ < workers_.at(static_cast<std::size_t>(worker)).silent_until;
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
          .fails = fails,
          .checkpoints = step.checkpoints,
          .response_target = step.response_target};
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

std::uint64_t virtual_fleet::takeovers() const {
  std::uint64_t sum = 0;
  for (const auto& node : nodes_) {
    if (node.core) sum += node.core->stats().takeovers;
  }
  return sum;
}

// --- Other nodes ---

call_id virtual_fleet::ask_as_peer(int node, peer_request request) {
  const auto call = ++last_call_;
  deliver(node, jobs::peer_asked{.call = call, .request = std::move(request)});
  return call;
}

const peer_reply* virtual_fleet::reply_to(call_id call) const {
  const auto found = foreign_replies_.find(call);
  return found == foreign_replies_.end() ? nullptr : &found->second;
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

}  // namespace coltsfoot::testing
