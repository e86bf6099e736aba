// Requests of callers to backend servers, and their answers.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/task.h"

namespace coltsfoot {

struct http_header {
  std::string name;
  std::string value;
};
COLTSFOOT_CODEC(http_header, name, value)

// A caller's request, as it passes between entry nodes.
struct service_request {
  request_id id;
  customer_id customer;
  service_id service;
  bool idempotent = true;
  bool repeated = false;  // the caller sent this id before, perhaps through another node
  urgency priority = urgency::urgent;
  duration time_left{0};  // until the caller's deadline, counted from when this was sent
  wall_time issued_at{};  // non-idempotent requests only: when the caller made the id
  std::string method;
  std::string target;
  std::vector<http_header> headers;
  std::string body;
};
COLTSFOOT_CODEC(service_request, id, customer, service, idempotent, repeated, priority, time_left,
                issued_at, method, target, headers, body)

// Whether a request that got no answer can have been run by a backend server.
enum class execution { not_run, unknown, ran };
template <>
struct enum_names<execution> {
  static constexpr std::array table{std::pair{execution::not_run, std::string_view{"not_run"}},
                                    std::pair{execution::unknown, std::string_view{"unknown"}},
                                    std::pair{execution::ran, std::string_view{"ran"}}};
};

// Why a request was refused or got no answer.
enum class refusal_reason {
  overloaded,
  no_backend,
  deadline,
  not_permitted,
  unknown_customer,
  bad_request,
  duplicate,
  outcome_unknown,
  id_too_old,
  log_unavailable,
  not_owner,
  recovering,
  backend_failed,
  shutting_down
};
template <>
struct enum_names<refusal_reason> {
  static constexpr std::array table{
      std::pair{refusal_reason::overloaded, std::string_view{"overloaded"}},
      std::pair{refusal_reason::no_backend, std::string_view{"no_backend"}},
      std::pair{refusal_reason::deadline, std::string_view{"deadline"}},
      std::pair{refusal_reason::not_permitted, std::string_view{"not_permitted"}},
      std::pair{refusal_reason::unknown_customer, std::string_view{"unknown_customer"}},
      std::pair{refusal_reason::bad_request, std::string_view{"bad_request"}},
      std::pair{refusal_reason::duplicate, std::string_view{"duplicate"}},
      std::pair{refusal_reason::outcome_unknown, std::string_view{"outcome_unknown"}},
      std::pair{refusal_reason::id_too_old, std::string_view{"id_too_old"}},
      std::pair{refusal_reason::log_unavailable, std::string_view{"log_unavailable"}},
      std::pair{refusal_reason::not_owner, std::string_view{"not_owner"}},
      std::pair{refusal_reason::recovering, std::string_view{"recovering"}},
      std::pair{refusal_reason::backend_failed, std::string_view{"backend_failed"}},
      std::pair{refusal_reason::shutting_down, std::string_view{"shutting_down"}}};
};

// The answer of a backend server, whole, or a refusal.
struct service_answer {
  bool answered = false;  // true: `status`, `headers` and `body` are the backend server's own
  std::int32_t status = 0;
  std::vector<http_header> headers;
  std::string body;
  // Without an answer:
  refusal_reason reason = refusal_reason::overloaded;
  execution executed = execution::not_run;
  duration retry_after{0};
  std::string detail;
};
COLTSFOOT_CODEC(service_answer, answered, status, headers, body, reason, executed, retry_after,
                detail)

}  // namespace coltsfoot
