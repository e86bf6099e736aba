// Error type and log callback of the transport layer.
#pragma once

#include <functional>
#include <string>

#include "coltsfoot/node/commands.h"

namespace coltsfoot {

// Why a server or client could not be set up.
struct transport_error {
  std::string message;
};

// Receives the log lines of a component, on that component's own thread.
using log_sink = std::function<void(severity, std::string)>;

}  // namespace coltsfoot
