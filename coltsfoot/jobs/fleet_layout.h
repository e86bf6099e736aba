// How the fleet is divided into shards. A shard owns the workers of some racks and a part of the
// jobs, and has one owner. The number of shards is fixed when the first layout is recorded. Racks
// that come later go to the shard that their names give, and no rack ever moves: so the shard of a
// job is the same before and after the layout has the rack of its data.
//
// Load it answers: more starts a second than the processor or the link of one node can decide and
// order.
//
//   const auto next = extended(layout, racks, {.workers_per_shard = 128});
//   if (next != layout) record(next);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/jobs/job.h"

namespace coltsfoot::jobs {

using shard_number = std::uint32_t;

// The shard whose journal holds the layout, and the only one of a small fleet.
inline constexpr shard_number first_shard = 0;

struct rack_shard {
  std::string rack;
  shard_number shard = 0;
  friend bool operator==(const rack_shard&, const rack_shard&) = default;
};
COLTSFOOT_CODEC(rack_shard, rack, shard)

struct fleet_layout {
  std::uint32_t shards = 0;       // 0: not decided yet
  std::vector<rack_shard> racks;  // by name

  bool decided() const { return shards > 0; }
  std::optional<shard_number> shard_of_rack(std::string_view rack) const;
  // The shard of a rack that the first layout does not have.
  shard_number shard_of_name(std::string_view name) const;
  // A job with data near a rack belongs to that rack's shard; others are spread by their ids. No
  // later layout gives another shard: two calls that hand in one job may find different layouts.
  shard_number shard_of_job(const job_id& id, const job_spec& spec) const;
  friend bool operator==(const fleet_layout&, const fleet_layout&) = default;
};
COLTSFOOT_CODEC(fleet_layout, shards, racks)

struct layout_options {
  std::size_t workers_per_shard = 128;  // that the processor of one owner can serve
  std::uint32_t most_shards = 8;        // partitions of the journal
  double link_bytes_per_s = 0;          // that a node's link carries; 0: unknown, no bound
};

// Returns how many workers one owner can serve with its processor and its link.
std::size_t most_workers_per_shard(const layout_options& options);

// Number of listed workers in each rack.
using rack_sizes = std::map<std::string, std::size_t>;

// The rack that a worker counts for. One without a rack is a rack of its own.
std::string rack_of(const worker_listing& worker);

// Returns the layout with all racks in it. The first one has shards of even size.
fleet_layout extended(const fleet_layout& layout, const rack_sizes& racks,
                      const layout_options& options);

}  // namespace coltsfoot::jobs
