// Learns how much filling tasks slow the serving tasks beside them, by pair of images.
//
// The model: the headroom of a serving task, which is its target over its tail latency, is a base
// for its image, less a weight for each filling image times the share of the worker's processors
// that the filling image uses. A task's tail grows as the inverse of the speed that is left to it,
// so that effects add up in the headroom. Weights are learned from the workers' reports by
// normalised least mean squares: an image that changes its behaviour is known again in seconds.
//
//   interference_model model{{}};
//   model.observe("search", 1.8, {{"sort", 0.1}});
//   model.loss("search", "sort", 0.1);
#pragma once

#include <map>
#include <string>
#include <utility>

namespace coltsfoot::jobs {

struct interference_options {
  double first_weight = 3;  // of a pair that was never seen: neither harmless nor forbidden
  double most_weight = 30;
  double learning_rate = 0.1;   // once a pair is known
  double seen_reports = 3;      // from which on a pair tells something of its filling image
  double settled_reports = 30;  // a pair is learned faster until it was seen this often
  double first_base = 2.5;      // headroom without filling tasks
  double base_rate = 0.02;
};

// Used share of a worker's processors (0 to 1), by filling image.
using fill_shares = std::map<std::string, double>;

class interference_model {
 public:
  explicit interference_model(interference_options options) : options_(options) {}

  // Notes the headroom of a serving task of image `serving` beside `fill`.
  void observe(const std::string& serving, double headroom, const fill_shares& fill);

  // Headroom that a task of image `serving` loses to `fill` at `share` of the processors.
  double loss(const std::string& serving, const std::string& fill, double share) const;

 private:
  using image_pair = std::pair<std::string, std::string>;
  struct pair_weight {
    double value = 0;
    double reports = 0;
  };

  // Weight of a pair that was not seen: what the filling image does to other images.
  double expected_weight(const std::string& fill) const;

  interference_options options_;
  std::map<image_pair, pair_weight> weights_;                   // serving image, filling image
  std::map<std::string, std::map<std::string, double>> known_;  // of seen pairs, by filling image
  std::map<std::string, double> bases_;
};

}  // namespace coltsfoot::jobs
