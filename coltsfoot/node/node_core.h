// The deciding core of an entry node: joins membership, configuration, unit ownership, rack owners,
// customer owners and request routing. It does no I/O, keeps no clock and starts no thread.
//
//   node_core core{options, now};
//   for (command& c : core.handle(tick{}, now)) execute(std::move(c));
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coltsfoot/chart/state_chart.h"
#include "coltsfoot/config/config_node.h"
#include "coltsfoot/customer/customer_owner.h"
#include "coltsfoot/membership/membership.h"
#include "coltsfoot/node/commands.h"
#include "coltsfoot/node/outbox.h"
#include "coltsfoot/node/unit_set.h"
#include "coltsfoot/rack/rack_owner.h"
#include "coltsfoot/routing/request_router.h"

namespace coltsfoot {

enum class node_phase { starting, serving, draining, releasing, stopped };
template <>
struct enum_names<node_phase> {
  static constexpr std::array table{std::pair{node_phase::starting, std::string_view{"starting"}},
                                    std::pair{node_phase::serving, std::string_view{"serving"}},
                                    std::pair{node_phase::draining, std::string_view{"draining"}},
                                    std::pair{node_phase::releasing, std::string_view{"releasing"}},
                                    std::pair{node_phase::stopped, std::string_view{"stopped"}}};
};

// The state charts that the core interprets.
struct chart_set {
  state_chart node;
  state_chart ownership;
  state_chart request;
  state_chart task;

  // Reads node.yaml, ownership.yaml, request.yaml and task.yaml from a directory.
  static tl::expected<chart_set, chart_error> load(const std::string& directory);
};

struct node_core_options {
  writer_id self;
  std::string address;  // of the peer transport, as others reach it
  zone_id zone;
  std::uint64_t seed = 1;
  duration wall_offset{0};  // wall clock minus monotonic clock, sampled at the start
  chart_set charts;
  membership_options membership;
  config_node_options config;
  owned_stream_options stream;
  claim_options claims;
  rack_owner_options rack;          // `rack` and `seed` are set for each rack
  customer_owner_options customer;  // `customer`, charts, zone and seed are set for each customer
  request_router_options routing;
  duration host_list_interval{1'000};
  duration host_list_stall{5'000};    // a read unanswered for longer is given up
  duration manage_interval{100};      // between two looks at which units to own
  duration operator_timeout{10'000};  // of requests passed on to a customer's owner
  // After the start nothing is claimed for this long, so that gossip can tell who is alive.
  duration claim_delay{3'000};
  // A node that hears fewer than half of the known nodes claims nothing for this long, so that a
  // small group cut off from the rest, but not from the log, doesn't take everything over.
  duration minority_delay{30'000};
  duration shutdown_limit{30'000};
};

class node_core {
 public:
  node_core(node_core_options options, time_point now);
  // Its units hold references to it.
  node_core(const node_core&) = delete;
  node_core& operator=(const node_core&) = delete;

  // Handles one event and returns the commands that follow from it, in order.
  std::vector<command> handle(const event& e, time_point now);

  node_phase phase() const { return phase_; }
  const latency_histogram& request_latency(urgency kind) const { return router_.latency(kind); }
  const std::map<std::string, std::uint64_t, std::less<>>& counters() const {
    return out_.counters();
  }

 private:
  void dispatch(const event& e, time_point now);
  void on(const tick& e, time_point now);
  void on(const peer_request_received& e, time_point now);
  void on(const peer_replied& e, time_point now);
  void on(const log_appended& e, time_point now);
  void on(const log_read& e, time_point now);
  void on(const host_list_read& e, time_point now);
  void on(const worker_synced& e, time_point now);
  void on(const backend_answered& e, time_point now);
  void on(const caller_request_received& e, time_point now);
  void on(const operator_request_received& e, time_point now);
  void on(const shutdown_requested& e, time_point now);

  // Peer requests by their receiver (node_core_peers.cc).
  void receive(call_id call, const gossip& message, time_point now);
  void receive(call_id call, const fetch_config& message, time_point now);
  // Jobs of a fleet belong to `jobs::job_node`, which runs in another program.
  void receive(call_id call, const job_notice& message, time_point now);
  void receive(call_id call, const job_query& message, time_point now);
  void receive(call_id call, const journal_records& message, time_point now);
  template <typename Message>
  void receive(call_id call, const Message& message, time_point now);

  // Operator requests (node_core_operators.cc).
  void serve(call_id call, const publish_config& request, time_point now);
  void serve(call_id call, const mark_host& request, time_point now);
  void serve(call_id call, const show_config& request, time_point now);
  void serve(call_id call, const list_hosts& request, time_point now);
  void serve(call_id call, const show_node& request, time_point now);
  template <typename Request>
  void serve(call_id call, const Request& request, time_point now);
  void pass_to_customer(call_id call, const customer_id& customer, peer_request request);
  void on_customer_reply(call_id call, const tl::expected<peer_reply, peer_failure>& reply);

  void manage_units(time_point now);
  void read_hosts(time_point now);
  void tell_peers(time_point now);
  bool may_claim(time_point now);
  void update_wanted();
  std::set<unit_id> find_racks() const;
  std::set<unit_id> find_customers() const;
  void continue_lifecycle(time_point now);
  bool advance(std::string_view chart_event);

  // Handles commands addressed to this node itself and returns the others.
  void collect_commands(std::vector<command>& commands, time_point now);
  bool take_local(command& c, time_point now);
  void expire_local_calls(time_point now);

  owned_stream_env env(time_point now);
  router_view view();
  wall_time wall_of(time_point now) const {
    return wall_time{now.time_since_epoch() + options_.wall_offset};
  }

  // What the wanted units follow from. Units stay in the directory, so that their number tells
  // whether there are new ones.
  struct wanted_basis {
    std::uint64_t hosts_version = 0;
    std::uint64_t config_version = 0;
    std::size_t directory_units = 0;
    friend bool operator==(const wanted_basis&, const wanted_basis&) = default;
  };

  // Calls `f(unit, context)` if this node owns the unit. Returns whether it does.
  template <typename Units, typename F>
  bool with_owned(Units& units, const unit_id& unit, time_point now, F&& f);
  // Passes a result to the rack owner or customer owner that made the call.
  template <typename F>
  void with_rack(const unit_id& unit, time_point now, F&& f);

  node_core_options options_;
  outbox out_;
  node_phase phase_ = node_phase::starting;
  time_point started_;
  membership members_;
  config_node config_;
  unit_set<rack_owner> racks_;
  unit_set<customer_owner> customers_;
  request_router router_;
  host_list hosts_;
  bool hosts_known_ = false;
  std::uint64_t hosts_version_ = 0;  // grows with each list that was read
  std::optional<wanted_basis> wanted_basis_;
  wanted_units wanted_racks_;
  wanted_units wanted_customers_;
  std::optional<time_point> hosts_asked_;  // while a read is under way
  std::optional<time_point> hosts_due_;
  std::optional<time_point> managed_at_;
  std::optional<time_point> minority_since_;
  std::optional<time_point> shutdown_since_;
  std::unordered_map<call_id, call_id> operator_calls_;  // peer call to the operator's call
  std::deque<event> local_events_;
  std::multimap<time_point, call_id> local_deadlines_;  // of calls to this node itself
};

}  // namespace coltsfoot
