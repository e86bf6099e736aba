// Typed identifiers. Two ids of different kinds don't compare or convert into each other.
//
//   worker_id worker{"w-17"};
//   std::unordered_map<worker_id, worker_state> workers;
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace coltsfoot {

// An identifier that is text chosen outside the process. `Tag` tells the kinds apart.
template <typename Tag>
struct string_id {
  std::string value;

  string_id() = default;
  explicit string_id(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  friend auto operator<=>(const string_id&, const string_id&) = default;
};

template <typename Tag>
void to_json(nlohmann::json& out, const string_id<Tag>& id) {
  out = id.value;
}

template <typename Tag>
void from_json(const nlohmann::json& in, string_id<Tag>& id) {
  id.value = in.get<std::string>();
}

using node_id = string_id<struct node_tag>;          // an entry node
using worker_id = string_id<struct worker_tag>;      // a worker (host)
using backend_id = string_id<struct backend_tag>;    // a backend server
using zone_id = string_id<struct zone_tag>;          // an availability zone
using rack_id = string_id<struct rack_tag>;          // "<zone>/<rack>"
using customer_id = string_id<struct customer_tag>;  // a customer
using plan_id = string_id<struct plan_tag>;          // a plan
using service_id = string_id<struct service_tag>;    // a service that backend servers offer
using task_id = string_id<struct task_tag>;          // unique within its customer
using request_id = string_id<struct request_tag>;    // unique within its customer
using unit_id = string_id<struct unit_tag>;          // "rack/<zone>/<rack>" or "customer/<name>"

// A number that names one owner of a unit: the log offset of the winning claim plus one, so that 0
// means "no owner yet". Epochs of a unit only grow.
using epoch = std::uint64_t;

// Offset of an entry in a log stream. The first entry has offset 0.
using log_offset = std::uint64_t;

// Correlates a command of the core with its result. Unique within a process.
using call_id = std::uint64_t;

inline unit_id rack_unit(const rack_id& rack) {
  return unit_id{"rack/" + rack.value};
}
inline unit_id customer_unit(const customer_id& customer) {
  return unit_id{"customer/" + customer.value};
}

// Identifies one run of an entry node; a restarted node has another incarnation.
struct writer_id {
  node_id node;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const writer_id&, const writer_id&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(writer_id, node, incarnation)

}  // namespace coltsfoot

template <typename Tag>
struct std::hash<coltsfoot::string_id<Tag>> {
  std::size_t operator()(const coltsfoot::string_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};
