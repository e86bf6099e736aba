#include "coltsfoot/placing/short_task_room.h"

#include <algorithm>
#include <tuple>

namespace coltsfoot::jobs {
namespace {

// Share of the processors that is kept for short tasks, in percent: at least, and at most if they
// need more.
constexpr std::int64_t least_percent = 10;
constexpr std::int64_t most_percent = 25;

// What is kept for each 100 millicores that short tasks have needed lately.
constexpr std::int64_t kept_per_100_needed = 150;

// A piece is the capacity of a worker divided by this.
constexpr std::int64_t pieces_per_worker = 2;

std::int64_t free_of(const long_running_load& worker) {
  return worker.capacity_millicores - worker.held_millicores;
}

// Workers with the most room beside long-running tasks come first.
bool has_more_room(const long_running_load& a, const long_running_load& b) {
  return std::tuple{-free_of(a), a.worker} < std::tuple{-free_of(b), b.worker};
}

std::int64_t wanted_millicores(const std::vector<long_running_load>& workers,
                               const short_task_figures& figures) {
  std::int64_t capacity = 0;
  for (const auto& worker : workers) capacity += worker.capacity_millicores;
  return std::clamp(figures.total * kept_per_100_needed / 100, capacity * least_percent / 100,
                    capacity * most_percent / 100);
}

}  // namespace

// A task need not leave its worker's part if that would let another task of its size wait.
bool short_task_room::admits(const worker_id& worker, const resources& capacity,
                             const resources& free, const resources& demand) const {
  const auto left = free.millicores - demand.millicores;
  const auto kept = kept_millicores_.find(worker);
  if (kept != kept_millicores_.end()) return left >= kept->second;
  return left >= std::min(capacity.millicores * least_percent / 100, demand.millicores);
}

void short_task_room::keep(std::vector<long_running_load> workers,
                           const short_task_figures& figures) {
  std::sort(workers.begin(), workers.end(), has_more_room);
  std::map<worker_id, std::int64_t> kept;
  const auto wanted = wanted_millicores(workers, figures);
  auto missing = wanted;
  for (const auto& worker : workers) {
    const auto piece = worker.capacity_millicores / pieces_per_worker;
    const auto room = std::min(std::max(free_of(worker), piece), missing);
    const auto pieces = piece > 0 ? room / piece : 0;
    kept[worker.worker] = pieces * piece;
    missing -= pieces * piece;
  }
  if (missing < wanted) {
    kept_millicores_.merge(kept);
  } else if (!workers.empty() && figures.largest_waiting > 0) {
    const auto& roomiest = workers.front();
    kept_millicores_[roomiest.worker] =
        std::min(figures.largest_waiting, roomiest.capacity_millicores / pieces_per_worker);
  }
}

std::int64_t short_task_room::kept_millicores() const {
  std::int64_t sum = 0;
  for (const auto& [worker, millicores] : kept_millicores_) sum += millicores;
  return sum;
}

}  // namespace coltsfoot::jobs
