#include "coltsfoot/jobs/interference_model.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::jobs {
namespace {

constexpr double least_ratio = 0.01;    // a tail is never nothing
constexpr double most_error = 1.5;      // bounds the effect of one odd sample
constexpr double least_energy = 0.005;  // keeps tiny shares from moving a weight far
constexpr double base_rate = 0.02;

}  // namespace

void interference_model::observe(const interference_sample& sample) {
  const double observed = std::log(std::max(sample.tail_ratio, least_ratio));
  double predicted = base_;
  double energy = least_energy;
  for (const auto& [image, share] : sample.shares) {
    predicted += pressure_of(image, share);
    energy += share * share;
  }
  const double error = std::clamp(observed - predicted, -most_error, most_error);
  base_ += base_rate * error;
  for (const auto& [image, share] : sample.shares) {
    auto& weight = weights_.try_emplace(image, options_.first_weight).first->second;
    weight += options_.learning_rate * error * share / energy;
    weight = std::clamp(weight, 0.0, options_.most_weight);
  }
}

double interference_model::weight_of(const std::string& image) const {
  const auto found = weights_.find(image);
  return found == weights_.end() ? options_.first_weight : found->second;
}

double interference_model::pressure_of(const std::string& image, double share) const {
  return weight_of(image) * share;
}

}  // namespace coltsfoot::jobs
