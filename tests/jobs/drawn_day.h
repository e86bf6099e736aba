// Whole days on virtual time, drawn from a seed: three kinds of jobs, a burst, serving tasks whose
// load swings by worker and time, and several troubles that overlap. What each kind of job has
// earned is told apart, as a good sum can hide a kind that is hardly served.
//
//   virtual_fleet fleet{fleet_of_day(seed)};
//   const auto result = play_day(fleet, seed);
//   EXPECT_GE(result.worth.at(job_kind::filling), least_worth);
#pragma once

#include <map>
#include <string>
#include <utility>

#include "coltsfoot/base/name_table.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {

enum class job_kind {
  quick,    // short tasks with processors of their own
  filling,  // tasks on processors that others leave
  lasting   // serving tasks
};

enum class day_trouble {
  evacuate_zone,
  freeze_owner,
  kill_owner,
  slow_store,
  cut_worker,
  restart_worker,
  compact_store
};

struct day_result {
  // By kind, the share of what is owed that was earned. Of lasting tasks: the share of them that
  // are at work at the end of the load.
  std::map<job_kind, double> worth;
  std::string troubles;  // for messages
};

fleet_options fleet_of_day(std::uint64_t seed);

// Plays the day in a fleet that has just been made.
day_result play_day(virtual_fleet& fleet, std::uint64_t seed);

}  // namespace coltsfoot::testing

namespace coltsfoot {
template <>
struct enum_names<testing::day_trouble> {
  static constexpr std::array table{
      std::pair{testing::day_trouble::evacuate_zone, std::string_view{"evacuate_zone"}},
      std::pair{testing::day_trouble::freeze_owner, std::string_view{"freeze_owner"}},
      std::pair{testing::day_trouble::kill_owner, std::string_view{"kill_owner"}},
      std::pair{testing::day_trouble::slow_store, std::string_view{"slow_store"}},
      std::pair{testing::day_trouble::cut_worker, std::string_view{"cut_worker"}},
      std::pair{testing::day_trouble::restart_worker, std::string_view{"restart_worker"}},
      std::pair{testing::day_trouble::compact_store, std::string_view{"compact_store"}}};
};
}  // namespace coltsfoot
