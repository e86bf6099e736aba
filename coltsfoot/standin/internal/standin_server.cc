#include "coltsfoot/standin/internal/standin_server.h"

#include <asio.hpp>
#include <thread>
#include <utility>

namespace coltsfoot::internal {

class standin_server::impl {
 public:
  impl(std::uint16_t port, handler handle)
      : handle_(std::move(handle)),
        listener_({.port = port}, [this](rest_request request, const rest_responder& respond) {
          asio::post(*context_,
                     [this, request = std::move(request), respond] { handle_(request, respond); });
        }) {}
  ~impl() { stop(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  tl::expected<void, transport_error> start() {
    if (auto started = listener_.start(); !started) return started;
    thread_ = std::thread{[this] {
      const auto work = asio::make_work_guard(*context_);
      context_->run();
    }};
    return {};
  }

  void stop() {
    if (!context_) return;
    listener_.stop();
    context_->stop();
    if (thread_.joinable()) thread_.join();
    // Pending actions hold responders, which must go before the listener.
    context_.reset();
  }

  std::uint16_t port() const { return listener_.port(); }

  void after(duration delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(*context_, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
      if (!error) action();
    });
  }

 private:
  handler handle_;
  rest_listener listener_;
  std::unique_ptr<asio::io_context> context_ = std::make_unique<asio::io_context>(1);
  std::thread thread_;
};

standin_server::standin_server(std::uint16_t port, handler handle)
    : impl_(std::make_unique<impl>(port, std::move(handle))) {}
standin_server::~standin_server() = default;
tl::expected<void, transport_error> standin_server::start() {
  return impl_->start();
}
void standin_server::stop() {
  impl_->stop();
}
std::uint16_t standin_server::port() const {
  return impl_->port();
}
void standin_server::after(duration delay, std::function<void()> action) {
  impl_->after(delay, std::move(action));
}

time_point monotonic_now() {
  return time_point{
      std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

wall_time wall_now() {
  return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

rest_response json_answer(const nlohmann::json& body, int status) {
  return {.status = status,
          .headers = {{.name = "Content-Type", .value = "application/json"}},
          .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

rest_response status_answer(int status, std::string detail) {
  return {.status = status,
          .headers = {{.name = "Content-Type", .value = "text/plain"}},
          .body = std::move(detail)};
}

}  // namespace coltsfoot::internal
