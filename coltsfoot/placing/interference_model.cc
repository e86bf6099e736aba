#include "coltsfoot/placing/interference_model.h"

#include <algorithm>

namespace coltsfoot::jobs {
namespace {

constexpr double most_error = 2;       // bounds the effect of one odd report
constexpr double least_energy = 0.01;  // keeps tiny shares from moving a weight far

}  // namespace

void interference_model::observe(const std::string& serving, double headroom,
                                 const fill_shares& fill) {
  auto& base = bases_.try_emplace(serving, options_.first_base).first->second;
  double predicted = base;
  double energy = least_energy;
  for (const auto& [image, share] : fill) {
    predicted -= loss(serving, image, share);
    energy += share * share;
  }
  const double error = std::clamp(headroom - predicted, -most_error, most_error);
  base += options_.base_rate * error;
  for (const auto& [image, share] : fill) {
    auto& weight =
        weights_
            .try_emplace(image_pair{serving, image}, pair_weight{.value = expected_weight(image)})
            .first->second;
    weight.reports += 1;
    const double rate =
        options_.learning_rate * std::max(1.0, options_.settled_reports / weight.reports / 3);
    weight.value -= std::min(rate, 1.0) * error * share / energy;
    weight.value = std::clamp(weight.value, 0.0, options_.most_weight);
    if (weight.reports >= options_.seen_reports) known_[image][serving] = weight.value;
  }
}

double interference_model::loss(const std::string& serving, const std::string& fill,
                                double share) const {
  const auto found = weights_.find({serving, fill});
  return (found == weights_.end() ? expected_weight(fill) : found->second.value) * share;
}

double interference_model::expected_weight(const std::string& fill) const {
  const auto known = known_.find(fill);
  if (known == known_.end()) return options_.first_weight;
  double sum = 0;
  for (const auto& [serving, weight] : known->second) sum += weight;
  return sum / static_cast<double>(known->second.size());
}

}  // namespace coltsfoot::jobs
