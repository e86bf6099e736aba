#include "coltsfoot/following/read_interval.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const read_interval_inputs weak_follower{.shards = 4,
                                         .has_other_owner = true,
                                         .owner_heard = true,
                                         .strength = 120,
                                         .owner_strength = 500};

// Guards against many small nodes using up the store's rate of calls.
TEST(read_interval_test, a_node_weaker_than_the_owner_reads_rarely) {
  EXPECT_EQ(read_interval(weak_follower, {}), duration{1'200});
}

// Guards against a late takeover: silence of the owner is noticed by reads only.
TEST(read_interval_test, a_node_reads_often_once_the_owner_is_not_heard) {
  auto in = weak_follower;
  in.owner_heard = false;
  EXPECT_EQ(read_interval(in, {}), duration{250 + 3 * 85});
}

TEST(read_interval_test, owners_and_their_successors_read_often) {
  auto owner = weak_follower;
  owner.has_other_owner = false;
  EXPECT_EQ(read_interval(owner, {}), duration{505});
  auto successor = weak_follower;
  successor.strength = 500;
  EXPECT_EQ(read_interval(successor, {}), duration{505});
  auto unknown = weak_follower;
  unknown.strength = 0;
  EXPECT_EQ(read_interval(unknown, {}), duration{505});
}

// Guards against answers that a job is unknown, from a copy that is too old to tell, and against
// refusing to tell between two reads.
TEST(read_interval_test, a_copy_proves_absence_for_an_interval_and_a_read) {
  EXPECT_EQ(freshness_limit(weak_follower, {}, duration{1'000}), duration{2'000});
  auto successor = weak_follower;
  successor.strength = 500;
  EXPECT_EQ(freshness_limit(successor, {}, duration{1'000}), duration{1'000});
}

// Guards against reading more often with many shards than without the rule.
TEST(read_interval_test, a_follower_of_many_shards_does_not_read_more_often_than_others) {
  auto in = weak_follower;
  in.shards = 40;
  EXPECT_EQ(read_interval(in, {}), duration{250 + 39 * 85});
}

}  // namespace
}  // namespace coltsfoot::jobs
