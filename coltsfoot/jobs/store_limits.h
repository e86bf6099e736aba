// How much the store takes at once. A record or an append beyond that is refused each time it is
// tried, and would hold up all that is to be recorded after it.
//
//   const auto end = end_of_append(records, 0, {});
//   append(records.begin(), records.begin() + end);
#pragma once

#include <cstddef>
#include <vector>

#include "coltsfoot/jobs/job_record.h"

namespace coltsfoot::jobs {

struct store_limits {
  std::size_t record_bytes = std::size_t{256} * 1024;       // key and value
  std::size_t append_bytes = std::size_t{2} * 1024 * 1024;  // of all records, lengths included
};

// Bytes of a record as the store counts them.
std::size_t size_of(const keyed_record& record);

// Returns where the append ends that begins with the record at `begin`. Records of one job that
// follow each other are not separated: a successor must not see some of them without the others.
std::size_t end_of_append(const std::vector<keyed_record>& records, std::size_t begin,
                          const store_limits& limits);

}  // namespace coltsfoot::jobs
