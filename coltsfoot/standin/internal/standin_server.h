// The base of the stand-ins: an HTTP listener whose requests are handled on one thread, with timers
// on the same thread, so that a stand-in needs no locks.
//
//   standin_server server{0, [&](const rest_request& request, const rest_responder& respond)
//   {...}}; server.after(duration{50}, [respond] { respond({.status = 200}); });
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "coltsfoot/base/time.h"
#include "coltsfoot/transport/internal/rest_listener.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot::internal {

class standin_server {
 public:
  using handler = std::function<void(const rest_request&, const rest_responder&)>;

  standin_server(std::uint16_t port, handler handle);
  ~standin_server();
  standin_server(const standin_server&) = delete;
  standin_server& operator=(const standin_server&) = delete;

  tl::expected<void, transport_error> start();
  void stop();
  std::uint16_t port() const;

  // Calls `action` on the server's thread after `delay`. To be called on that thread only, or
  // before `start`.
  void after(duration delay, std::function<void()> action);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// Milliseconds of the monotonic clock and of the wall clock.
time_point monotonic_now();
wall_time wall_now();

rest_response json_answer(const nlohmann::json& body, int status = 200);
rest_response status_answer(int status, std::string detail = {});

// Overwrites the fields of `switches` that the JSON object `text` has. False if the text is no
// object or a field has a wrong type; `switches` is unchanged then.
template <typename Switches>
bool update_switches(Switches& switches, std::string_view text) {
  const auto changes = nlohmann::json::parse(text, nullptr, false);
  if (!changes.is_object()) return false;
  nlohmann::json merged = switches;
  merged.update(changes);
  try {
    switches = merged.get<Switches>();
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  return true;
}

}  // namespace coltsfoot::internal
