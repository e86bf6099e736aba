// Sends requests of the administration API to nodes.
//
//   const auto reply = ask_nodes({"10.0.0.1:8080", "10.0.0.2:8080"}, show_config{}, timeout);
//   if (!reply) report(reply.error().message);
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/base/time.h"
#include "coltsfoot/model/operator_messages.h"

namespace coltsfoot {

enum class client_failure {
  not_reached,  // no node was reached: certainly not done
  unknown       // the request was sent, but there is no usable answer
};

struct client_error {
  client_failure kind = client_failure::not_reached;
  std::string message;
};

// Asks the nodes ("ip:port") in order. The next one is asked only if the one before was not
// reached.
tl::expected<operator_reply, client_error> ask_nodes(const std::vector<std::string>& nodes,
                                                     const operator_request& request,
                                                     duration timeout);

}  // namespace coltsfoot
