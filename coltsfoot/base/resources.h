// Amounts of processors, memory and accelerators.
//
//   if (limit.fits_in(capacity - used)) used += limit;
#pragma once

#include <cstdint>

#include "coltsfoot/base/codec.h"

namespace coltsfoot {

struct resources {
  std::int64_t millicores = 0;    // thousandths of a processor core
  std::int64_t memory_mb = 0;     // mebibytes
  std::int64_t accelerators = 0;  // whole devices

  bool fits_in(const resources& room) const {
    return millicores <= room.millicores && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }
  bool is_negative() const { return millicores < 0 || memory_mb < 0 || accelerators < 0; }

  resources& operator+=(const resources& other) {
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  resources& operator-=(const resources& other) {
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }
  friend bool operator==(const resources&, const resources&) = default;
};
COLTSFOOT_CODEC(resources, millicores, memory_mb, accelerators)

// Returns the largest share that `used` takes of `total` in any one kind of resource, from 0 up. A
// kind of which `total` has nothing counts as 0 if unused and as 1 otherwise.
double dominant_share(const resources& used, const resources& total);

}  // namespace coltsfoot
