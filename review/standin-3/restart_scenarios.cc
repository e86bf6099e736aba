// Scenarios in which a worker restarts under its id while an order for its former life is late.
#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

#include "late_start_proxy.h"
#include "review_fleet.h"
#include "scenario_result.h"
#include "scenarios.h"

namespace coltsfoot::review {
namespace {

// A proxy before each worker of a fleet with one worker a rack. The first worker is the one whose
// orders are late.
class proxied_fleet {
 public:
  proxied_fleet(const scenario_options& options, std::size_t workers)
      : fleet_{{.folder = options.folder,
                .record = options.record,
                .workers = workers,
                .workers_per_rack = 1,
                .worker_millicores = 4'000,
                .route = [this](const std::string& id, const std::string&) {
                  constexpr int hexadecimal = 16;
                  return proxies_.at(std::stoul(id.substr(2), nullptr, hexadecimal))->address();
                }}} {
    for (std::size_t i = 0; i < workers; ++i) {
      proxies_.push_back(std::make_unique<late_start_proxy>());
    }
  }

  bool start() {
    if (!fleet_.start_workers()) return false;
    for (std::size_t i = 0; i < proxies_.size(); ++i) {
      if (!proxies_[i]->start(fleet_.workers().listener(i, 0).address())) return false;
    }
    return fleet_.start();
  }

  review_fleet& fleet() { return fleet_; }
  late_start_proxy& late() { return *proxies_.front(); }
  std::size_t workers() const { return proxies_.size(); }

  // From now on start orders of the first worker are held up, if `hold`.
  void hold_starts(bool hold) {
    orders_before_ = orders();
    late().hold_starts(hold);
  }
  // Notes the orders that are held up, and how many were sent meanwhile to all workers.
  void note_held() {
    const auto held = late().held_bodies();
    for (const auto& order : held) fleet_.record().note("held up: " + order);
    fleet_.record().note(fmt::format("orders held up: {} of {} since the first", held.size(),
                                     orders() - orders_before_));
  }

 private:
  std::size_t orders() const {
    std::size_t sum = 0;
    for (const auto& proxy : proxies_) sum += proxy->orders();
    return sum;
  }

  std::vector<std::unique_ptr<late_start_proxy>> proxies_;
  review_fleet fleet_;
  std::size_t orders_before_ = 0;
};

}  // namespace

int play_reborn(const scenario_options& options) {
  proxied_fleet deployment{options, 10};
  if (!deployment.start()) return exit_not_run;
  auto& fleet = deployment.fleet();
  auto& proxy = deployment.late();
  sleep_for(2'000);
  // The other workers are full for a while, so that the job's task begins on the first one. Later
  // it goes to the second one, which is near its data.
  for (std::size_t i = 1; i < deployment.workers(); ++i) {
    fleet.submit(0, job_name(i),
                 body_of({.tasks = 2, .work_ms = 1'200, .label = fmt::format("r1-{}", i)}));
  }
  sleep_for(300);
  deployment.hold_starts(options.trouble);
  fleet.submit(0, job_name(0), body_of({.work_ms = 12'000, .data_rack = "r1-1"}));
  sleep_for(3'000);
  proxy.hold_starts(false);
  sleep_for(1'000);
  if (options.trouble) {
    fleet.record().note("the worker crashes");
    proxy.refuse(true);
    fleet.workers().cut_store(0, true);
    fleet.workers().restart(0);
    sleep_for(1'000);
    fleet.workers().restart(0);
    fleet.workers().cut_store(0, false);
    proxy.refuse(false);
    deployment.note_held();
    fleet.record().note("the worker is up again; the orders that were held up arrive");
    proxy.release();
  }
  sleep_for(3'000);
  finish_jobs(fleet, 30'000);
  return verdict(fleet);
}

int play_unheard_restart(const scenario_options& options) {
  constexpr std::size_t cut_workers = 4;  // of 20; one of these is cut off from the nodes too
  constexpr std::int64_t cut_ms = 5'000;
  constexpr std::int64_t crash_after_ms = 500;
  constexpr std::int64_t late_after_ms = 1'500;
  proxied_fleet deployment{options, 20};
  if (!deployment.start()) return exit_not_run;
  auto& fleet = deployment.fleet();
  auto& proxy = deployment.late();
  sleep_for(12'000);
  deployment.hold_starts(options.trouble);
  fleet.submit(0, job_name(0), body_of({.work_ms = 15'000, .data_rack = "r1-0"}));
  sleep_for(100);
  proxy.hold_starts(false);
  sleep_for(2'000);
  if (options.trouble) {
    fleet.record().note("four workers are cut off from the store, the first from the nodes too");
    proxy.cut(true);
    for (std::size_t i = 0; i < cut_workers; ++i) fleet.workers().cut_store(i, true);
    sleep_for(crash_after_ms);
    fleet.record().note("they crash behind the cut and start again");
    for (std::size_t i = 0; i < cut_workers; ++i) fleet.workers().restart(i);
    sleep_for(late_after_ms - crash_after_ms);
    deployment.note_held();
    fleet.record().note("the order that was held up is carried out");
    proxy.release();
    sleep_for(cut_ms - late_after_ms);
    fleet.record().note("the cut ends");
    for (std::size_t i = 0; i < cut_workers; ++i) fleet.workers().cut_store(i, false);
    proxy.cut(false);
  }
  finish_jobs(fleet, 40'000);
  return verdict(fleet);
}

}  // namespace coltsfoot::review
