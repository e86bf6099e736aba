#include "coltsfoot/jobs/fleet_layout.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace coltsfoot::jobs {
namespace {

constexpr layout_options options{.workers_per_shard = 128, .most_shards = 8};

rack_sizes racks_of(int count, std::size_t workers) {
  rack_sizes racks;
  for (int i = 0; i < count; ++i) racks["r" + std::to_string(i)] = workers;
  return racks;
}

std::vector<std::size_t> loads(const fleet_layout& layout, const rack_sizes& racks) {
  std::vector<std::size_t> out(layout.shards, 0);
  for (const auto& [rack, workers] : racks) out.at(*layout.shard_of_rack(rack)) += workers;
  return out;
}

TEST(fleet_layout_test, a_small_fleet_is_one_shard) {
  const auto layout = extended({}, racks_of(9, 8), options);
  EXPECT_EQ(layout.shards, 1U);
  EXPECT_EQ(layout.shard_of_job(job_id{"any"}, {}), first_shard);
}

TEST(fleet_layout_test, a_fleet_without_workers_is_one_shard) {
  EXPECT_EQ(extended({}, {}, options).shards, 1U);
}

TEST(fleet_layout_test, a_large_fleet_has_shards_of_about_the_same_size) {
  const auto racks = racks_of(41, 12);
  const auto layout = extended({}, racks, options);
  EXPECT_EQ(layout.shards, 4U);
  const auto sizes = loads(layout, racks);
  const auto [least, most] = std::minmax_element(sizes.begin(), sizes.end());
  EXPECT_LE(*most - *least, 12U);
}

TEST(fleet_layout_test, there_are_no_more_shards_than_partitions) {
  EXPECT_EQ(extended({}, racks_of(1'250, 12), options).shards, 8U);
}

// The starts of 128 busy workers alone would be twice what a link of 2 Mbit/s carries.
TEST(fleet_layout_test, nodes_with_narrow_links_own_smaller_shards) {
  auto narrow = options;
  narrow.link_bytes_per_s = 250'000;
  EXPECT_LE(most_workers_per_shard(narrow), 30U);
  EXPECT_EQ(extended({}, racks_of(12, 12), narrow).shards, 6U);
  auto wide = options;
  wide.link_bytes_per_s = 25'000'000;
  EXPECT_EQ(most_workers_per_shard(wide), options.workers_per_shard);
  EXPECT_EQ(extended({}, racks_of(12, 12), wide).shards,
            extended({}, racks_of(12, 12), options).shards);
}

// Guards against a job that is accepted in two shards, before and after its rack has one.
TEST(fleet_layout_test, a_new_rack_goes_where_its_jobs_went_before_and_no_other_moves) {
  auto racks = racks_of(41, 12);
  const auto before = extended({}, racks, options);
  for (int i = 0; i < 50; ++i) racks["new-" + std::to_string(i)] = 12;
  const auto after = extended(before, racks, options);
  EXPECT_EQ(after.shards, before.shards);
  for (const auto& entry : before.racks) EXPECT_EQ(after.shard_of_rack(entry.rack), entry.shard);
  for (int i = 0; i < 50; ++i) {
    const auto rack = "new-" + std::to_string(i);
    const job_spec near{.steps = {{.data_label = rack}, {.data_label = "r7"}}};
    const job_id id{"job-" + std::to_string(i)};
    EXPECT_EQ(before.shard_of_job(id, near), after.shard_of_job(id, near));
    EXPECT_EQ(after.shard_of_rack(rack), after.shard_of_job(id, near));
  }
}

TEST(fleet_layout_test, new_racks_are_spread_over_all_shards) {
  auto racks = racks_of(41, 12);
  const auto before = extended({}, racks, options);
  for (int i = 0; i < 400; ++i) racks["new-" + std::to_string(i)] = 12;
  const auto sizes = loads(extended(before, racks, options), racks);
  const auto [least, most] = std::minmax_element(sizes.begin(), sizes.end());
  EXPECT_LE(*most - *least, 12 * 100U / 2);
}

TEST(fleet_layout_test, jobs_are_spread_and_follow_their_data) {
  const auto layout = extended({}, racks_of(41, 12), options);
  std::vector<int> counts(layout.shards, 0);
  for (int i = 0; i < 4'000; ++i) {
    ++counts.at(layout.shard_of_job(job_id{"job-" + std::to_string(i)}, {}));
  }
  for (const int count : counts) EXPECT_NEAR(count, 1'000, 150);
  const job_spec near{.steps = {{.data_label = "r7"}}};
  EXPECT_EQ(layout.shard_of_job(job_id{"j"}, near), layout.shard_of_rack("r7"));
}

}  // namespace
}  // namespace coltsfoot::jobs
