#include "coltsfoot/lease/grant_authority.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace coltsfoot::jobs {
namespace {

constexpr duration lease{5'000};
const time_point start{duration{100'000}};
const grant_options options;

worker_life life(int number, std::uint64_t incarnation = 1) {
  return {.worker = worker_id{"w" + std::to_string(number)}, .incarnation = incarnation};
}

witness_set lives(int count) {
  witness_set out;
  for (int i = 0; i < count; ++i) out.insert(life(i));
  return out;
}

bool nothing_listed(const worker_id& /*worker*/) {
  return false;
}

TEST(grant_authority_test, a_recorded_append_allows_leases_for_a_while_from_its_sending) {
  grant_authority authority{options, {}, start, start};
  EXPECT_TRUE(authority.may_grant(start + options.validity - duration{1}));
  EXPECT_FALSE(authority.may_grant(start + options.validity));
  authority.on_confirmed(start + duration{1'000});
  authority.on_confirmed(start);  // an earlier one takes nothing back
  EXPECT_TRUE(authority.may_grant(start + options.validity + duration{999}));
  EXPECT_FALSE(authority.may_grant(start + options.validity + duration{1'000}));
}

TEST(grant_authority_test, a_majority_of_the_witnesses_allows_leases_while_it_obeys) {
  grant_authority authority{options, lives(4), start, start};
  const auto later = start + duration{60'000};
  authority.on_obeyed(life(0), later, later);
  authority.on_obeyed(life(1), later, later);
  EXPECT_FALSE(authority.may_grant(later)) << "two of four";
  authority.on_obeyed(life(2), later - duration{100}, later);
  EXPECT_TRUE(authority.may_grant(later));
  EXPECT_FALSE(authority.may_grant(later + options.validity - duration{100}));
}

// Guards against an owner that records no witnesses renewing leases for ever.
TEST(grant_authority_test, without_witnesses_only_the_store_allows_leases) {
  grant_authority authority{options, {}, start, start};
  const auto later = start + duration{60'000};
  authority.on_obeyed(life(0), later, later);
  EXPECT_FALSE(authority.may_grant(later));
}

// Guards against a worker that has forgotten the successor speaking for the former owner.
TEST(grant_authority_test, the_next_life_of_a_witness_is_none_until_it_is_recorded) {
  grant_authority authority{options, lives(1), start, start};
  const auto later = start + duration{60'000};
  authority.on_obeyed(life(0, 2), later, later);
  EXPECT_FALSE(authority.may_grant(later));
  authority.propose({life(0, 2)});
  EXPECT_FALSE(authority.may_grant(later)) << "the former set may be the one that counts";
  authority.on_proposal_recorded();
  authority.on_obeyed(life(0, 2), later, later);
  EXPECT_TRUE(authority.may_grant(later));
}

TEST(grant_authority_test, leases_of_a_former_owner_are_over_after_a_majority_is_reached) {
  grant_authority authority{options, lives(3), start, start};
  EXPECT_FALSE(authority.inherited_until(lease));
  EXPECT_FALSE(authority.may_propose());
  authority.on_obeyed(life(0), start, start + duration{10});
  EXPECT_FALSE(authority.inherited_until(lease));
  authority.on_obeyed(life(1, 2), start, start + duration{300});  // in another life
  ASSERT_TRUE(authority.inherited_until(lease));
  EXPECT_EQ(*authority.inherited_until(lease),
            start + duration{300} + options.validity + options.margin + lease);
  EXPECT_TRUE(authority.may_propose());
}

TEST(grant_authority_test, an_owner_without_a_former_one_waits_for_no_witness) {
  grant_authority authority{options, {}, start, start};
  EXPECT_TRUE(authority.inherited_until(lease));
}

// Guards against tasks that wait for ever because most workers have been lost for good.
TEST(grant_authority_test, witnesses_that_stay_unlisted_do_not_count_after_a_while) {
  grant_authority authority{options, lives(5), start, start};
  authority.on_obeyed(life(0), start, start);
  const auto only_second = [](const worker_id& worker) { return worker == life(1).worker; };
  authority.note_listed(only_second, start);
  authority.note_listed(only_second, start + options.absence_limit - duration{1});
  EXPECT_FALSE(authority.inherited_until(lease));
  authority.note_listed(nothing_listed, start + options.absence_limit);
  EXPECT_FALSE(authority.inherited_until(lease)) << "one of two that count";
  authority.note_listed(nothing_listed, start + 2 * options.absence_limit);
  EXPECT_TRUE(authority.inherited_until(lease));
}

// A former owner and its successor share witnesses, each of which obeys the successor from some
// time on. Whatever each of them reaches: no lease of the former owner outlasts the time that the
// successor waits for.
RC_GTEST_PROP(grant_authority_test, no_lease_outlasts_the_wait_of_the_successor, ()) {
  const auto count = *rc::gen::inRange(1, 7);
  grant_authority former{options, lives(count), start, start};
  grant_authority successor{options, lives(count), start, start};
  std::set<int> turned;
  auto last_grant = start;
  for (auto now = start; now < start + duration{20'000}; now += duration{100}) {
    for (int i = 0; i < count; ++i) {
      const bool reaches_successor = *rc::gen::inRange(0, 40) == 0;
      if (reaches_successor) {
        turned.insert(i);
        successor.on_obeyed(life(i), now, now);
      }
      const bool reaches_former = *rc::gen::inRange(0, 4) == 0;
      if (reaches_former && !turned.contains(i)) former.on_obeyed(life(i), now, now);
    }
    if (former.may_grant(now)) last_grant = now;
  }
  const auto inherited = successor.inherited_until(lease);
  if (inherited) RC_ASSERT(last_grant + lease <= *inherited);
}

}  // namespace
}  // namespace coltsfoot::jobs
