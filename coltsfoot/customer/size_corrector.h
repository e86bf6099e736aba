// Corrects declared task sizes by the usage of earlier tasks of the same interference class.
//
//   sizes.report(spec, peak_used);
//   resources limit = sizes.limit_for(spec);
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "coltsfoot/base/resources.h"
#include "coltsfoot/model/task.h"

namespace coltsfoot {

struct size_corrector_options {
  double margin = 1.2;     // of the limit over the peak that was seen
  double smoothing = 0.3;  // weight of a lower peak; a higher peak counts at once
  double min_factor = 0.25;
  double max_factor = 4.0;
  double out_of_memory_growth = 1.5;  // of the estimate after a task ran out of memory
  std::size_t max_classes = 10'000;   // the table is cleared beyond this
};

class size_corrector {
 public:
  explicit size_corrector(size_corrector_options options = {}) : options_(options) {}

  // Takes the measured peak of a task; kinds that are zero were not reported.
  void report(const task_spec& spec, const resources& peak);

  // Raises the memory estimate of the class of a task that ran out of memory with this limit.
  void report_out_of_memory(const task_spec& spec, const resources& limit);

  // Returns the limit to start the task with: its declared size until the class was reported.
  // Accelerators are never corrected.
  resources limit_for(const task_spec& spec) const;

  // Returns the largest limit that any owner can have given the task.
  resources largest_limit(const task_spec& spec) const;

 private:
  // Peaks relative to the declared size; 0 means not reported.
  struct estimate {
    double millicores = 0;
    double memory = 0;
  };
  std::int64_t corrected(std::int64_t declared, double peak_factor) const;
  estimate& entry(const task_spec& spec);

  size_corrector_options options_;
  std::unordered_map<std::string, estimate> classes_;
};

// Whether the reason of a failed attempt says that it ran out of memory.
bool is_out_of_memory(std::string_view reason);

}  // namespace coltsfoot
