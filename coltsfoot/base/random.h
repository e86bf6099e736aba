// The random number generator of the core. It is seeded by an option, so that a run can be
// repeated.
//
//   random_engine random{options.seed};
#pragma once

#include <random>

namespace coltsfoot {

using random_engine = std::mt19937_64;

}  // namespace coltsfoot
