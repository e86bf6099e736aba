// Collects the commands and counters of the deciding core while it handles an event.
//
// The core is divided into modules. A module asks the outbox for a call id, which is recorded as
// belonging to the module, so that the core can pass the result on:
//
//   const call_id call = out.new_call();
//   out.push(read_log{.call = call, .stream = stream_, .from = next_, .max_entries = 64});
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coltsfoot/node/commands.h"

namespace coltsfoot {

// The part of the core that made a call.
enum class core_module { membership, config, unit_log, unit, routing, hosts, operators };

struct call_origin {
  core_module module = core_module::membership;
  unit_id unit;  // unit_log and unit only
};

class outbox {
 public:
  // Sets the module that following calls belong to.
  void set_origin(call_origin origin) { origin_ = std::move(origin); }

  // Returns a fresh call id that belongs to the present origin.
  call_id new_call() {
    const call_id call = ++last_call_;
    origins_.emplace(call, origin_);
    return call;
  }

  // Returns the origin of a call whose result has arrived and forgets it. Nothing for an id that
  // is unknown or was taken before.
  std::optional<call_origin> take_origin(call_id call) {
    const auto found = origins_.find(call);
    if (found == origins_.end()) return std::nullopt;
    auto origin = std::move(found->second);
    origins_.erase(found);
    return origin;
  }

  void push(command c) { commands_.push_back(std::move(c)); }

  void log(severity level, std::string text) {
    push(write_log_line{.level = level, .text = std::move(text)});
  }

  // Adds to a counter. Names follow the text exposition format: "rack_placements_total".
  void count(std::string_view name, std::uint64_t amount = 1) {
    const auto found = counters_.find(name);
    if (found != counters_.end()) {
      found->second += amount;
    } else {
      counters_.emplace(std::string{name}, amount);
    }
  }

  const std::map<std::string, std::uint64_t, std::less<>>& counters() const { return counters_; }

  // Returns the commands collected since the last call, in order.
  std::vector<command> take_commands() { return std::exchange(commands_, {}); }

 private:
  call_origin origin_;
  call_id last_call_ = 0;
  std::unordered_map<call_id, call_origin> origins_;
  std::vector<command> commands_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
};

}  // namespace coltsfoot
