// The configuration that operators publish: plans, customers and marks of leaving hosts.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/model/task.h"

namespace coltsfoot {

// What a customer on this plan may use at any one time, summed over all racks.
struct plan {
  plan_id id;
  resources limit;
  urgency highest_urgency = urgency::deferrable;  // `urgent` permits both kinds
};
COLTSFOOT_CODEC(plan, id, limit, highest_urgency)

struct customer {
  customer_id id;
  plan_id plan;
};
COLTSFOOT_CODEC(customer, id, plan)

// One accepted version. Version 0 is the state before anything was published.
struct cluster_config {
  std::uint64_t version = 0;
  std::map<std::string, plan> plans;          // by plan id
  std::map<std::string, customer> customers;  // by customer id
  std::set<std::string> leaving;              // ids of workers that operators marked as leaving

  // Returns the plan of `id`, or null if the customer or its plan is not configured.
  const plan* plan_of(const customer_id& id) const {
    const auto found = customers.find(id.value);
    if (found == customers.end()) return nullptr;
    const auto its_plan = plans.find(found->second.plan.value);
    return its_plan == plans.end() ? nullptr : &its_plan->second;
  }
};
COLTSFOOT_CODEC(cluster_config, version, plans, customers, leaving)

// Entry of the `config` stream: two lists as YAML text, replacing those of version `base`.
struct publish_entry {
  static constexpr std::string_view message_name = "publish";
  std::string id;  // chosen by the publisher; repeating an append with it has no further effect
  std::uint64_t base = 0;
  std::string plans_yaml;
  std::string customers_yaml;
  std::string author;
  wall_time written_at{};
};
COLTSFOOT_CODEC(publish_entry, id, base, plans_yaml, customers_yaml, author, written_at)

// Entry of the `config` stream: marks a worker as leaving, or takes the mark back. Needs no base
// version, since marks of different hosts don't conflict and the last mark of a host counts.
struct host_mark_entry {
  static constexpr std::string_view message_name = "host_mark";
  std::string id;
  worker_id worker;
  bool leaving = true;
  std::string author;
  wall_time written_at{};
};
COLTSFOOT_CODEC(host_mark_entry, id, worker, leaving, author, written_at)

// Entry of the `config` stream: repeats the accepted state so that readers of a trimmed stream have
// it. It may be appended late, so it names the offset up to which it is true: a reader takes it
// only if it can replay the entries from there. Ignored by a reader that has read all entries.
struct restate_entry {
  static constexpr std::string_view message_name = "restate";
  cluster_config config;
  std::vector<std::string> recent_ids;  // of the last entries, the oldest first, to find repeats
  std::uint64_t next = 0;               // offset of the first entry that isn't in `config`
  wall_time written_at{};
};
COLTSFOOT_CODEC(restate_entry, config, recent_ids, next, written_at)

using config_entry = std::variant<publish_entry, host_mark_entry, restate_entry>;

}  // namespace coltsfoot
