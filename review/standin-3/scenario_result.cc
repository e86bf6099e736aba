#include "scenario_result.h"

#include <fmt/format.h>

#include <chrono>
#include <thread>

#include "scenarios.h"

namespace coltsfoot::review {

void sleep_for(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

std::size_t finish_jobs(review_fleet& fleet, std::int64_t limit_ms) {
  constexpr std::int64_t gap_ms = 500;
  const auto end = fleet.record().now_ms() + limit_ms;
  auto open = fleet.open_jobs();
  while (open > 0 && fleet.record().now_ms() < end) {
    sleep_for(gap_ms);
    open = fleet.open_jobs();
  }
  fleet.record().note(fmt::format("jobs that are not completed: {}", open));
  return open;
}

int verdict(review_fleet& fleet) {
  const auto broken = fleet.workers().broken();
  fleet.record().note(fmt::format("result starts={} accepted_jobs={} takeovers={} broken={}",
                                  fleet.workers().starts(), fleet.accepted_jobs(),
                                  fleet.takeovers(), broken.size()));
  for (const auto& text : broken) fmt::print("{}\n", text);
  return broken.empty() ? exit_held : exit_broken;
}

}  // namespace coltsfoot::review
