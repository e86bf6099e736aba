// The entry side of a caller's request: admission, choice of rack, retries and deadlines.
//
// An idempotent request is forwarded to the owner of a rack that serves its service. A
// non-idempotent one goes to the owner of its customer, which sees to it that its id runs at most
// once.
//
//   router.on_caller_request(call, request, now, surroundings);
//   router.on_peer_replied(call, reply, now, surroundings);
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/random.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/chart/state_chart.h"
#include "coltsfoot/membership/unit_directory.h"
#include "coltsfoot/model/cluster_config.h"
#include "coltsfoot/model/peer_messages.h"
#include "coltsfoot/model/request.h"
#include "coltsfoot/node/outbox.h"
#include "coltsfoot/observe/latency_histogram.h"
#include "coltsfoot/routing/rack_choice.h"
#include "coltsfoot/routing/retry_budget.h"

namespace coltsfoot {

struct request_router_options {
  zone_id zone;
  std::uint64_t seed = 1;
  std::size_t most_in_progress = 4096;  // requests of both kinds together
  double urgent_floor = 0.3;            // share of them kept for urgent requests
  double deferrable_floor = 0.1;        // share of them kept for deferrable requests
  duration longest_deadline{60'000};    // later deadlines are cut to this
  duration first_backoff{20};           // doubled with each retry, with jitter
  duration longest_backoff{500};
  // A rack owner answers within the deadline; a reply is waited for a little longer, so that the
  // owner's own verdict arrives rather than a time-out that says nothing.
  duration reply_grace{200};
  int most_attempts = 4;
  retry_budget_options budget;
};

enum class request_phase { admitted, forwarding, backing_off, ended };
template <>
struct enum_names<request_phase> {
  static constexpr std::array table{
      std::pair{request_phase::admitted, std::string_view{"admitted"}},
      std::pair{request_phase::forwarding, std::string_view{"forwarding"}},
      std::pair{request_phase::backing_off, std::string_view{"backing_off"}},
      std::pair{request_phase::ended, std::string_view{"ended"}}};
};

// What the router sees of the node during one call.
struct router_view {
  outbox& out;
  const cluster_config& config;
  const unit_directory& directory;
};

class request_router {
 public:
  request_router(request_router_options options, state_chart chart);

  void on_caller_request(call_id call, const service_request& request, time_point now,
                         router_view& view);
  void on_peer_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply,
                       time_point now, router_view& view);
  void on_tick(time_point now, router_view& view);

  // Refuses new requests as not run. Those in progress go on to their end.
  void begin_drain() { draining_ = true; }
  // Answers all requests in progress, for a node that ends before their replies arrive: as not run
  // if no attempt may have run, otherwise as unknown.
  void refuse_in_progress(router_view& view);
  std::size_t in_progress() const { return requests_.size(); }

  // Time from a caller's request to its whole answer.
  const latency_histogram& latency(urgency kind) const {
    return kind == urgency::urgent ? urgent_latency_ : deferrable_latency_;
  }

 private:
  struct routed_request {
    service_request request;
    time_point received;
    time_point deadline;
    request_phase phase = request_phase::admitted;
    int attempts = 0;
    std::vector<rack_id> refused_by;
    rack_id rack;                   // of the attempt in progress
    bool maybe_ran = false;         // an attempt ended without a verdict
    bool refused_by_owner = false;  // the last refusal came from the owner that was asked
    service_answer last_refusal;
    time_point next_attempt;
  };

  // Returns the refusal that admission gives, or nothing if the request is admitted.
  std::optional<service_answer> check(const service_request& request,
                                      const cluster_config& config) const;
  bool has_room(urgency priority) const;
  void attempt(call_id caller, time_point now, router_view& view);
  void forward_to_rack(call_id caller, routed_request& routed, time_point now, router_view& view);
  void forward_to_customer(call_id caller, routed_request& routed, time_point now,
                           router_view& view);
  void send(call_id caller, routed_request& routed, std::string address, peer_request message,
            time_point now, router_view& view);
  void on_refusal(call_id caller, const service_answer& refusal, time_point now, router_view& view);
  bool may_try_again(const routed_request& routed, const service_answer& refusal, time_point now);
  void back_off(routed_request& routed, time_point now, router_view& view);
  void finish(call_id caller, const service_answer& answer, std::string_view chart_event,
              router_view& view);
  bool advance(routed_request& routed, std::string_view chart_event, router_view& view);

  request_router_options options_;
  state_chart chart_;
  random_engine random_;
  retry_budget budget_;
  bool draining_ = false;
  std::size_t urgent_in_progress_ = 0;
  latency_histogram urgent_latency_;
  latency_histogram deferrable_latency_;
  std::map<call_id, routed_request> requests_;  // by the caller's call id
  std::unordered_map<call_id, call_id> calls_;  // peer call to the caller's call id
};

}  // namespace coltsfoot
