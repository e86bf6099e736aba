#include "coltsfoot/base/resources.h"

#include <algorithm>

namespace coltsfoot {
namespace {

double share(std::int64_t used, std::int64_t total) {
  if (total <= 0) return used > 0 ? 1.0 : 0.0;
  return static_cast<double>(used) / static_cast<double>(total);
}

}  // namespace

double dominant_share(const resources& used, const resources& total) {
  return std::max({share(used.millicores, total.millicores), share(used.memory_mb, total.memory_mb),
                   share(used.accelerators, total.accelerators)});
}

}  // namespace coltsfoot
