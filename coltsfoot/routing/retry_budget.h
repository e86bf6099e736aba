// Bounds retries to a share of first attempts, so that retries can't multiply an overload.
//
//   budget.on_first_attempt();
//   if (budget.try_retry()) send_again();
#pragma once

#include <algorithm>

namespace coltsfoot {

struct retry_budget_options {
  double retries_per_request = 0.2;  // tokens earned by each first attempt
  double most_tokens = 20;           // burst of retries that may be saved up
};

class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options)
      : options_(options), tokens_(options.most_tokens) {}

  void on_first_attempt() {
    tokens_ = std::min(options_.most_tokens, tokens_ + options_.retries_per_request);
  }

  // Takes a token for one retry. False if there is none.
  bool try_retry() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  retry_budget_options options_;
  double tokens_;
};

}  // namespace coltsfoot
