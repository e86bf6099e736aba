#include "coltsfoot/customer/size_corrector.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace coltsfoot {
namespace {

void smooth(double& estimate, std::int64_t peak, std::int64_t declared, double weight) {
  if (peak <= 0 || declared <= 0) return;
  const double factor = static_cast<double>(peak) / static_cast<double>(declared);
  estimate = factor >= estimate ? factor : estimate + weight * (factor - estimate);
}

std::int64_t scaled(std::int64_t value, double factor) {
  return static_cast<std::int64_t>(std::ceil(static_cast<double>(value) * factor));
}

}  // namespace

size_corrector::estimate& size_corrector::entry(const task_spec& spec) {
  if (classes_.size() >= options_.max_classes && !classes_.contains(spec.interference_class)) {
    classes_.clear();
  }
  return classes_[spec.interference_class];
}

void size_corrector::report(const task_spec& spec, const resources& peak) {
  if (spec.interference_class.empty()) return;
  if (peak.millicores <= 0 && peak.memory_mb <= 0) return;
  estimate& known = entry(spec);
  smooth(known.millicores, peak.millicores, spec.size.millicores, options_.smoothing);
  smooth(known.memory, peak.memory_mb, spec.size.memory_mb, options_.smoothing);
}

void size_corrector::report_out_of_memory(const task_spec& spec, const resources& limit) {
  if (spec.interference_class.empty() || spec.size.memory_mb <= 0) return;
  estimate& known = entry(spec);
  const double at_limit =
      static_cast<double>(limit.memory_mb) / static_cast<double>(spec.size.memory_mb);
  known.memory = std::min(std::max(known.memory, at_limit) * options_.out_of_memory_growth,
                          options_.max_factor);
}

std::int64_t size_corrector::corrected(std::int64_t declared, double peak_factor) const {
  if (peak_factor <= 0) return declared;
  const double factor =
      std::clamp(peak_factor * options_.margin, options_.min_factor, options_.max_factor);
  return std::max<std::int64_t>(declared > 0 ? 1 : 0, scaled(declared, factor));
}

resources size_corrector::limit_for(const task_spec& spec) const {
  resources out = spec.size;
  const auto found = classes_.find(spec.interference_class);
  if (found == classes_.end()) return out;
  out.millicores = corrected(out.millicores, found->second.millicores);
  out.memory_mb = corrected(out.memory_mb, found->second.memory);
  return out;
}

resources size_corrector::largest_limit(const task_spec& spec) const {
  resources out = spec.size;
  out.millicores = scaled(out.millicores, options_.max_factor);
  out.memory_mb = scaled(out.memory_mb, options_.max_factor);
  return out;
}

bool is_out_of_memory(std::string_view reason) {
  std::string lower{reason};
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower.find("out of memory") != std::string::npos ||
         lower.find("out_of_memory") != std::string::npos;
}

}  // namespace coltsfoot
