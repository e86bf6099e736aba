#include "benchmarks/policy_baselines.h"

#include <algorithm>

namespace coltsfoot::benchmark {
namespace {

constexpr int placement_interval_ms = 20;  // as the batching window of a rack owner
constexpr int refresh_interval_ms = 1'000;
constexpr std::size_t schedulers = 8;      // as many as entry hosts
constexpr double evicting_slowdown = 1.5;  // as eviction_options::high_slowdown
constexpr double out_of_memory_growth = 2.0;
// Between two evictions on one worker, as eviction_options::cool_down. Without it, tasks are
// stopped faster than they make progress.
constexpr int cool_down_ms = 5'000;

std::size_t scheduler_of(int index) {
  return static_cast<std::size_t>(index) % schedulers;
}

}  // namespace

baseline_policy::baseline_policy(cluster& fleet, baseline_options options)
    : fleet_(fleet),
      options_(options),
      random_(options.seed),
      waiting_(fleet.workers().size()),
      evicted_at_(fleet.workers().size(), -cool_down_ms) {
  if (optimistic()) copies_.resize(schedulers);
  for (auto& copy : copies_) refresh(copy);
}

void baseline_policy::refresh(state_copy& copy) const {
  copy.free.clear();
  copy.free_slots.clear();
  for (const auto& worker : fleet_.workers()) {
    copy.free.push_back(worker.free());
    copy.free_slots.push_back(worker.free_slots());
  }
}

// Where a search over the workers begins, so that ties don't always go to the first worker.
int baseline_policy::offset() {
  const auto count = static_cast<int>(fleet_.workers().size());
  return std::uniform_int_distribution<int>{0, count - 1}(random_);
}

// --- Tasks ---

resources baseline_policy::limit_for(int task) const {
  auto limit = fleet_.task(task).spec.size;
  const auto found = limit_factors_.find(task);
  if (found == limit_factors_.end()) return limit;
  const auto grow = [&](std::int64_t value, std::int64_t most) {
    return std::min(most, static_cast<std::int64_t>(static_cast<double>(value) * found->second));
  };
  const auto largest = fleet_.workers().front().info.capacity - backend_reservation;
  return {grow(limit.millicores, largest.millicores), grow(limit.memory_mb, largest.memory_mb), 0};
}

int baseline_policy::choose_for_task(int task, const resources& limit) {
  const auto& workers = fleet_.workers();
  const auto count = static_cast<int>(workers.size());
  const bool spread = options_.kind != baseline_kind::first_fit;
  const int begin = spread ? offset() : 0;
  int best = -1;
  double best_share = 2.0;
  for (int i = 0; i < count; ++i) {
    const int index = (begin + i) % count;
    const auto w = static_cast<std::size_t>(index);
    const auto free = optimistic() ? copies_[scheduler_of(task)].free[w] : workers[w].free();
    if (!limit.fits_in(free)) continue;
    // A random place to begin makes the first that fits a random one.
    if (options_.kind == baseline_kind::random || !spread) return index;
    const double share = dominant_share(workers[w].info.capacity - free, workers[w].info.capacity);
    if (share < best_share) {
      best = index;
      best_share = share;
    }
  }
  return best;
}

bool baseline_policy::place(int task, int now_ms) {
  const auto limit = limit_for(task);
  const int worker = choose_for_task(task, limit);
  if (worker < 0) return false;
  const auto w = static_cast<std::size_t>(worker);
  if (optimistic()) {
    auto& known = copies_[scheduler_of(task)].free[w];
    const auto free = fleet_.workers()[w].free();
    if (!limit.fits_in(free)) {
      ++fleet_.figures().collisions;
      known = free;
      return false;
    }
    known -= limit;
  }
  fleet_.start_task(task, worker, limit, now_ms);
  return true;
}

void baseline_policy::place_queued(int now_ms) {
  std::deque<int> rest;
  // By scheduler: nothing at least as large fits in this pass.
  std::array<std::vector<resources>, schedulers> refused;
  for (const int task : queue_) {
    const auto limit = limit_for(task);
    auto& too_large = refused[optimistic() ? scheduler_of(task) : 0];
    const bool hopeless = std::ranges::any_of(
        too_large, [&](const resources& smaller) { return smaller.fits_in(limit); });
    const auto collisions = fleet_.figures().collisions;
    if (!hopeless && place(task, now_ms)) continue;
    // After a collision, another worker may still have room.
    const bool collided = fleet_.figures().collisions > collisions;
    if (!hopeless && !collided) too_large.push_back(limit);
    rest.push_back(task);
  }
  queue_ = std::move(rest);
}

void baseline_policy::on_task_ended(int task, int /*worker*/, task_end how, int /*now_ms*/) {
  if (how != task_end::out_of_memory) return;
  auto& factor = limit_factors_.try_emplace(task, 1.0).first->second;
  factor *= out_of_memory_growth;
}

void baseline_policy::on_report(const worker_report& report, int now_ms) {
  auto& evicted_at = evicted_at_[static_cast<std::size_t>(report.worker)];
  if (!options_.evicts || now_ms < evicted_at + cool_down_ms) return;
  const bool slow = std::ranges::any_of(report.measurements, [](const auto& measured) {
    return measured.task < 0 && measured.slowdown >= evicting_slowdown;
  });
  if (!slow) return;
  int victim = -1;
  for (const int index : fleet_.workers()[static_cast<std::size_t>(report.worker)].tasks) {
    const auto& task = fleet_.task(index);
    if (task.stage == task_stage::stopping) return;
    if (task.source.priority == urgency::urgent) continue;
    if (victim < 0 || task.limit.millicores > fleet_.task(victim).limit.millicores) victim = index;
  }
  if (victim < 0) return;
  fleet_.evict(victim, now_ms);
  evicted_at = now_ms;
}

// --- Requests ---

bool baseline_policy::expired(int request, int now_ms) const {
  const auto& source = fleet_.request(request);
  const int deadline =
      source.priority == urgency::urgent ? urgent_deadline_ms : deferrable_deadline_ms;
  return now_ms >= source.arrives_ms + deadline;
}

int baseline_policy::choose_for_request(int request) {
  const auto& workers = fleet_.workers();
  const auto count = static_cast<int>(workers.size());
  if (options_.kind == baseline_kind::random) return offset();
  const bool spread = options_.kind != baseline_kind::first_fit;
  const int begin = spread ? offset() : 0;
  int best = -1;
  int best_free = optimistic() ? 0 : std::numeric_limits<int>::min();
  for (int i = 0; i < count; ++i) {
    const int index = (begin + i) % count;
    const auto w = static_cast<std::size_t>(index);
    const int free = optimistic() ? copies_[scheduler_of(request)].free_slots[w]
                                  : workers[w].free_slots() - static_cast<int>(waiting_[w].size());
    if (!spread) {
      if (free > 0) return index;
    } else if (free > best_free) {
      best = index;
      best_free = free;
    }
  }
  return best;
}

void baseline_policy::send_or_queue(int request, int now_ms) {
  const int worker = choose_for_request(request);
  if (worker < 0) {
    (optimistic() ? copies_[scheduler_of(request)].rejected : unassigned_).push_back(request);
    return;
  }
  const auto w = static_cast<std::size_t>(worker);
  if (optimistic()) {
    auto& known = copies_[scheduler_of(request)].free_slots[w];
    if (!fleet_.has_slot(worker)) {
      ++fleet_.figures().collisions;
      known = 0;
      copies_[scheduler_of(request)].rejected.push_back(request);
      return;
    }
    --known;
  } else if (!fleet_.has_slot(worker)) {
    waiting_[w].push_back(request);
    return;
  }
  fleet_.start_request(request, worker, now_ms);
}

void baseline_policy::on_request(int request, int now_ms) {
  if (unassigned_.empty()) {
    send_or_queue(request, now_ms);
  } else {
    unassigned_.push_back(request);
  }
}

void baseline_policy::start_from(std::deque<int>& queue, int worker, int now_ms) {
  while (!queue.empty() && fleet_.has_slot(worker)) {
    const int request = queue.front();
    queue.pop_front();
    if (expired(request, now_ms)) {
      fleet_.refuse_request(request);
    } else {
      fleet_.start_request(request, worker, now_ms);
    }
  }
}

void baseline_policy::on_request_ended(int request, int worker, int now_ms) {
  const auto w = static_cast<std::size_t>(worker);
  if (optimistic()) {
    // A scheduler sees the end of its own requests at once.
    auto& known = copies_[scheduler_of(request)].free_slots[w];
    known = std::min(known + 1, fleet_.workers()[w].info.backends.front().slots);
    return;
  }
  start_from(options_.kind == baseline_kind::first_fit ? unassigned_ : waiting_[w], worker, now_ms);
}

// Tries each rejected request once more, until the scheduler believes that nothing is free.
void baseline_policy::retry_rejected(state_copy& copy, int now_ms) {
  const auto has_free = [&copy] {
    return std::ranges::any_of(copy.free_slots, [](int count) { return count > 0; });
  };
  for (auto left = copy.rejected.size(); left > 0 && has_free(); --left) {
    const int request = copy.rejected.front();
    copy.rejected.pop_front();
    if (expired(request, now_ms)) {
      fleet_.refuse_request(request);
    } else {
      send_or_queue(request, now_ms);
    }
  }
}

void baseline_policy::on_tick(int now_ms) {
  for (std::size_t i = 0; i < copies_.size(); ++i) {
    const int phase = static_cast<int>(i) * refresh_interval_ms / static_cast<int>(schedulers);
    if (now_ms % refresh_interval_ms == phase) refresh(copies_[i]);
  }
  for (auto& copy : copies_) retry_rejected(copy, now_ms);
  if (now_ms % placement_interval_ms == 0) place_queued(now_ms);
}

}  // namespace coltsfoot::benchmark
