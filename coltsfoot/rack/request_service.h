// The part of a rack owner that runs requests on the backend servers of its workers. It counts the
// slots and connections of each backend server exactly and admits requests by kind and deadline.
//
//   request_service service{{.queue_limit = 256}};
//   service.set_workers(usable);
//   service.on_forward(call, message, now, context);
//
// Deferrable requests never take the urgent floor of a service's slots, because one of them can
// hold a slot for long. Urgent requests may borrow the deferrable floor; it is given back as they
// end.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/peer_messages.h"
#include "coltsfoot/model/request.h"
#include "coltsfoot/model/worker.h"
#include "coltsfoot/ownership/unit_context.h"

namespace coltsfoot {

struct request_service_options {
  std::size_t queue_limit = 256;        // waiting requests of both kinds together
  double urgent_queue_floor = 0.3;      // share of the queue kept for urgent requests
  double deferrable_queue_floor = 0.1;  // share of the queue kept for deferrable requests
  double urgent_slot_floor = 0.3;       // share of a service's slots kept for urgent requests
  double deferrable_slot_floor = 0.1;   // share of a service's slots kept for deferrable requests
  // Bound on the time that a backend server works on a request. A call without an answer keeps its
  // slot for that long, because the server may go on after its connection is closed.
  duration longest_call{10'000};
};

class request_service {
 public:
  explicit request_service(request_service_options options) : options_(options) {}

  // Sets the workers whose backend servers may get new requests. Requests in progress on others go
  // on to their end.
  void set_workers(const std::vector<worker_info>& usable);

  // Sends nothing before `until`. A new owner doesn't know which slots its predecessor's requests
  // still use, so it waits until they have certainly ended.
  void hold_until(time_point until) { held_until_ = until; }

  // Sends the request to a backend server, queues it, or refuses it as not run.
  void on_forward(call_id call, const forward_request& message, time_point now,
                  unit_context& context);
  void on_backend_answered(call_id call, const service_answer& answer, time_point now,
                           unit_context& context);

  // Refuses queued requests whose deadline can't be met any more, and sends those that can start.
  void on_tick(time_point now, unit_context& context);

  // Refuses all queued requests as not run. Those in progress are answered when they end.
  void refuse_queued(refusal_reason reason, unit_context& context);

  // Requests that backend servers work on or may still work on.
  std::size_t in_progress() const;

  // Free and total slots of each service, for hints.
  std::vector<service_room> room() const;

 private:
  struct backend_state {
    backend_info info;
    worker_id worker;
    bool usable = true;
    std::int32_t used_urgent = 0;
    std::int32_t used_deferrable = 0;
    std::vector<std::pair<time_point, urgency>> abandoned;  // slots held until that time
    double latency_ms = 0;  // moving average over answers; 0 before the first

    std::int32_t used() const { return used_urgent + used_deferrable; }
    // A request takes a slot and a connection.
    std::int32_t capacity() const { return std::min(info.slots, info.connections); }
  };
  struct waiting_request {
    call_id caller = 0;
    service_request request;
    time_point deadline;
  };
  // The waiting requests of one kind for one service.
  struct service_queue {
    std::map<std::uint64_t, waiting_request> by_arrival;
    std::set<std::pair<time_point, std::uint64_t>> by_deadline;  // deadline and number of arrival
  };
  // The waiting requests of one kind. They are kept by service and deadline, so that an answer
  // costs nothing for requests that can neither start nor have to be refused.
  struct request_queue {
    std::map<service_id, service_queue> services;  // without empty ones
    std::size_t size = 0;
    std::uint64_t arrived = 0;
  };
  struct running_request {
    call_id caller = 0;
    backend_id backend;
    urgency priority = urgency::urgent;
    time_point started;
  };
  // Slots of one service over all usable backend servers.
  struct service_use {
    std::int32_t total = 0;
    std::int32_t urgent = 0;
    std::int32_t deferrable = 0;
  };

  service_use use_of(const service_id& service) const;
  bool may_take_slot(const service_id& service, urgency priority) const;
  bool deferrable_waits(const service_id& service) const;
  backend_state* choose_backend(const service_id& service, const backend_state** runner_up);
  bool queue_has_room(urgency priority) const;
  bool deadline_can_be_met(const service_id& service, time_point deadline, time_point now) const;
  bool try_start(const waiting_request& waiting, time_point now, unit_context& context);
  request_queue& queue_of(urgency priority);
  static void enqueue(request_queue& queue, waiting_request waiting);
  void refuse_late(request_queue& queue, time_point now, unit_context& context);
  void start_waiting(request_queue& queue, time_point now, unit_context& context);
  void release_slot(backend_state& backend, urgency priority);
  void expire_abandoned(time_point now);
  void drop_unused_backends();
  static void refuse(call_id caller, const service_request& request, refusal_reason reason,
                     unit_context& context);

  request_service_options options_;
  time_point held_until_{};
  std::map<backend_id, backend_state> backends_;
  request_queue urgent_queue_;
  request_queue deferrable_queue_;
  std::unordered_map<call_id, running_request> running_;
};

}  // namespace coltsfoot
