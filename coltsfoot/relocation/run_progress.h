// How fast a fill run works, from the percentages that its worker reports and the pace that it was
// told, and how fast runs of its image work usually.
//
// Data: each report of the worker (every 0.35 to 0.8 s). Speeds are in percent of the task per
// second. They are kept in memory only; a new owner has them after two reports.
//
//   run.progress.observe(row.percent, run.pace, now);
//   const auto speed = run.progress.full_speed(speeds.percent_per_s(run.image, run.estimate));
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coltsfoot/base/time.h"

namespace coltsfoot::relocation {

class run_progress {
 public:
  // The run works from `from` on, which may lie ahead while a checkpoint is restored, and was told
  // to work at `pace` percent.
  void begin(std::uint32_t percent, std::uint32_t pace, time_point from);
  // A report shows `percent`; until then the run was told to work at `pace` percent.
  void observe(std::uint32_t percent, std::uint32_t pace, time_point now);

  bool is_known() const { return known_; }
  // Percent of the task done by this run.
  std::uint32_t done() const { return percent_ - first_percent_; }
  // Time at full pace that equals the time worked at the paces told.
  duration full_pace_time() const { return duration{static_cast<std::int64_t>(full_pace_ms_)}; }
  // Share of the full pace, smoothed over the last seconds.
  double recent_pace() const { return recent_pace_; }

  // Speed at full pace. `typical`: speed that is assumed as long as the run has done little.
  double full_speed(double typical) const;
  // Speed up to the newest report, at the pace told and by what the percentages show.
  double speed_here(double typical) const;

 private:
  bool known_ = false;
  std::uint32_t first_percent_ = 0;
  std::uint32_t percent_ = 0;
  double full_pace_ms_ = 0;
  double recent_pace_ = 1;
  time_point observed_at_{};
  time_point changed_at_{};  // when the percentage rose last
};

// Learns by image how fast runs work at full pace, relative to their estimates.
class typical_speeds {
 public:
  // The newest report of a run of the image was noted in `progress`.
  void observe(const std::string& image, const run_progress& progress, duration estimate);
  double percent_per_s(const std::string& image, duration estimate) const;

 private:
  std::map<std::string, double> factors_;
};

}  // namespace coltsfoot::relocation
