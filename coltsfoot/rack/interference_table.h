// How much tasks of one interference class slow down tasks of another, learned from usage reports.
// Estimates are exponentially weighted and age towards 1.0 (no interference) without reports.
//
//   table.observe("ping", {"sorter"}, 1.4, now);
//   double expected = table.expected("ping", "sorter", now);
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoot/base/time.h"

namespace coltsfoot {

struct interference_options {
  double weight = 0.2;          // weight of a new measurement
  duration half_life{600'000};  // after this time without reports half of the excess is left
  double highest = 10.0;        // larger measurements are cut to this, since outliers are common
  std::size_t pair_limit = 10'000;  // pairs beyond it are not learned
};

class interference_table {
 public:
  explicit interference_table(interference_options options) : options_(options) {}

  // Takes a measured slowdown of `victim` beside `neighbours`, which names the class of each task
  // there. What the present estimates don't explain is divided among the classes by their number
  // of tasks.
  void observe(const std::string& victim, const std::vector<std::string>& neighbours,
               double slowdown, time_point now);

  // Returns the expected slowdown of `victim` by one `neighbour`, at least 1.0.
  double expected(const std::string& victim, const std::string& neighbour, time_point now) const;

 private:
  struct estimate {
    double excess = 0;  // slowdown minus 1.0
    time_point updated;
  };
  double aged_excess(const estimate& value, time_point now) const;

  interference_options options_;
  std::map<std::pair<std::string, std::string>, estimate> pairs_;
};

}  // namespace coltsfoot
