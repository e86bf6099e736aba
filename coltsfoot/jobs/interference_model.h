// Learns how much filling tasks slow the serving tasks beside them, by image.
//
// The model: the logarithm of a serving task's tail latency over its target is a base, plus for
// each filling image a weight times the share of the worker's processors that the image uses.
// Weights are learned from the workers' reports by normalised least mean squares, so that an image
// that changes its behaviour is known again within seconds.
//
//   interference_model model{{}};
//   model.observe({.shares = {{"img", 0.1}}, .tail_ratio = 0.8});
//   model.pressure_of("img", 0.1);
#pragma once

#include <map>
#include <string>

namespace coltsfoot::jobs {

struct interference_options {
  double first_weight = 1.5;  // of an image that was never seen: neither harmless nor forbidden
  double learning_rate = 0.15;
  double most_weight = 12;
  double first_base = -1;  // logarithm of tail over target without filling tasks
};

struct interference_sample {
  std::map<std::string, double> shares;  // used share of the worker's processors, by image
  double tail_ratio = 0;                 // mean tail over target of the serving tasks
};

class interference_model {
 public:
  explicit interference_model(interference_options options) : options_(options) {}

  void observe(const interference_sample& sample);

  // What an image that uses `share` of a worker adds to the logarithm of the tail.
  double pressure_of(const std::string& image, double share) const;
  double weight_of(const std::string& image) const;

 private:
  interference_options options_;
  std::map<std::string, double> weights_;
  double base_ = options_.first_base;
};

}  // namespace coltsfoot::jobs
