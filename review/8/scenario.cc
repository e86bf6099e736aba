// A runner goes dark just before its jobs come. They have not begun, so that they have to be
// counted as waiting.
#include <chrono>
#include <cstdio>
#include <map>
#include <set>
#include <thread>

#include "review/standin-2/review_fleet.h"

namespace coltsfoot::review {
namespace {

constexpr std::size_t runner_count = 8;
constexpr std::size_t job_count = 6;
constexpr const char* rare_kind = "b";

// `visible_ms`, and the 2 s that the rule adds.
constexpr std::int64_t count_bound_ms = 3'000 + 2'000;
constexpr std::int64_t watched_ms = 15'000;

void sleep_ms(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

int run(const fleet_options& given) {
  auto options = given;
  options.config = one_queue(4, true);
  review_fleet fleet{options};
  for (std::size_t i = 0; i < runner_count; ++i) {
    const bool added = fleet.runners().add({.id = fmt::format("w-{}", i),
                                            .kind = i == 0 ? rare_kind : "a",
                                            .rack = fmt::format("r-{}", i % 2)});
    if (!added) return 2;
  }
  if (!fleet.start()) return 2;
  sleep_ms(2'000);
  if (with_trouble()) fleet.runners().cut("w-0");
  std::map<std::string, std::int64_t> accepted;
  for (std::size_t i = 0; i < job_count; ++i) {
    const auto id = fmt::format("{:016x}", 0xb0000 + i);
    fleet.runners().know(id, {{.tasks = 1, .work_ms = 500, .millicores = 1'000}});
    const auto body = fmt::format(
        R"({{"specification":"work","steps":[{{"count":1,"cpu":1000,"memMb":256,"estimatedMs":500,"requirements":"{}"}}]}})",
        rare_kind);
    if (fleet.call(i % options.nodes, "POST", id, body).status != 200) return 2;
    accepted[id] = fleet.record().now_ms();
  }
  std::size_t broken = 0;
  const auto end = fleet.record().now_ms() + watched_ms;
  while (fleet.record().now_ms() < end) {
    for (std::size_t node = 0; node < options.nodes; ++node) {
      const auto asked_at = fleet.record().now_ms();
      const auto shown = fleet.pending(node);
      std::set<std::string> begun;
      for (const auto& start : fleet.runners().starts()) begun.insert(start.job);
      std::int64_t waiting = 0;
      for (const auto& [id, at] : accepted) {
        if (asked_at - at > count_bound_ms && !begun.contains(id)) ++waiting;
      }
      if (shown < 0 || 2 * shown >= waiting) continue;
      ++broken;
      fleet.record().note(fmt::format("BROKEN MIXED node={} pending_count={} waiting_jobs={}", node,
                                      shown, waiting));
    }
    sleep_ms(500);
  }
  fleet.record().note(fmt::format("result broken={}", broken));
  std::printf("counts under half of the waiting jobs: %zu\n", broken);
  return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace coltsfoot::review

int main(int argc, char** argv) {
  try {
    return coltsfoot::review::run(coltsfoot::review::options_of(argc, argv));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
