#include "coltsfoot/jobs/owner_election.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const time_point start{duration{10'000}};
const election_options options{
    .silence = duration{1'000}, .stagger = duration{100}, .short_stagger = duration{50}};

election_inputs follower_inputs() {
  return {.node = "n1",
          .caught_up = true,
          .claim = {.fence = 3, .node = "n2", .life = 9},
          .owner_seen = start,
          .healthy_since = start - duration{5'000},
          .last_read = start};
}

TEST(owner_election_test, an_owner_that_was_just_heard_keeps_the_jobs) {
  auto in = follower_inputs();
  in.last_read = start + duration{900};
  EXPECT_FALSE(should_claim(in, options, start + duration{900}));
}

TEST(owner_election_test, a_silent_owner_is_replaced) {
  auto in = follower_inputs();
  in.last_read = start + duration{1'100};
  EXPECT_TRUE(should_claim(in, options, start + duration{1'100}));
}

// While the store can't be read, nothing is known of the owner.
TEST(owner_election_test, silence_counts_only_while_the_journal_could_be_read) {
  auto in = follower_inputs();
  EXPECT_FALSE(should_claim(in, options, start + duration{60'000})) << "no read since";
  in.healthy_since = start + duration{9'500};
  in.last_read = start + duration{10'000};
  EXPECT_FALSE(should_claim(in, options, start + duration{10'000}));
  in.last_read = start + duration{10'700};
  EXPECT_TRUE(should_claim(in, options, start + duration{10'700}));
}

TEST(owner_election_test, nobody_waits_for_an_owner_that_resigned) {
  auto in = follower_inputs();
  in.claim.resigned = true;
  EXPECT_TRUE(should_claim(in, options, start + duration{50}));
}

TEST(owner_election_test, a_restarted_owner_claims_at_once) {
  auto in = follower_inputs();
  in.claim.node = "n1";
  EXPECT_TRUE(should_claim(in, options, start));
}

TEST(owner_election_test, no_claim_from_a_node_that_leaves_or_is_behind) {
  auto in = follower_inputs();
  in.claim.resigned = true;
  in.leaving = true;
  EXPECT_FALSE(should_claim(in, options, start + duration{500}));
  in.leaving = false;
  in.caught_up = false;
  EXPECT_FALSE(should_claim(in, options, start + duration{500}));
}

TEST(owner_election_test, a_weaker_node_and_one_that_owns_a_shard_wait_longer) {
  const time_point late = start + duration{1'100};
  auto in = follower_inputs();
  in.last_read = late;
  in.strength = 500;
  in.claim.strength = 500;
  EXPECT_TRUE(should_claim(in, options, late));
  in.strength = 120;
  EXPECT_FALSE(should_claim(in, options, late));
  in.strength = 500;
  in.owned_shards = 1;
  EXPECT_FALSE(should_claim(in, options, late));
  in.last_read = late + options.weaker_waits;
  EXPECT_TRUE(should_claim(in, options, late + options.weaker_waits)) << "in the end it claims";
}

TEST(owner_election_test, an_owner_is_relieved_by_a_much_stronger_node_that_owns_nothing) {
  const time_point later = start + 2 * options.settled;
  auto in = follower_inputs();
  in.claim_read = start;
  in.owner_seen = later;
  in.last_read = later;
  in.strength = 500;
  in.claim.strength = 400;
  EXPECT_FALSE(should_claim(in, options, later)) << "hardly stronger";
  in.claim.strength = 120;
  EXPECT_TRUE(should_claim(in, options, later));
  EXPECT_FALSE(should_claim(in, options, start + duration{500})) << "the owner has just begun";
  in.owned_shards = 1;
  EXPECT_FALSE(should_claim(in, options, later));
}

TEST(owner_election_test, one_of_several_shards_is_taken_from_an_owner) {
  const time_point later = start + 2 * options.settled;
  auto in = follower_inputs();
  in.claim_read = start;
  in.owner_seen = later;
  in.last_read = later;
  in.strength = 250;
  in.claim.strength = 250;
  EXPECT_FALSE(should_claim(in, options, later));
  in.owner_shards = 2;
  EXPECT_TRUE(should_claim(in, options, later));
}

}  // namespace
}  // namespace coltsfoot::jobs
