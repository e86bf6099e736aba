// Accepts the connections of a listener in place of RESTinio's acceptor, which accepts no further
// connection once an accept has failed, and ends the process if a client is gone before its address
// is asked for a second time.
//
// RESTinio takes it for all listeners whose socket type is `client_socket`.
#pragma once

#include <chrono>
#include <exception>
#include <memory>
#include <restinio/all.hpp>
#include <string>
#include <tuple>
#include <utility>

#include "coltsfoot/transport/internal/client_socket.h"

namespace coltsfoot::internal {

// Time until connections are accepted again after a failure, as for want of descriptors.
inline constexpr std::chrono::milliseconds accept_retry_interval{100};

// Connections that the kernel holds for a listener until they are accepted. What they have sent
// counts as memory of the process.
inline constexpr int accept_queue_length = 512;

// Names the address of a client for the budget. Of IPv6, one client usually has all addresses with
// the same first 64 bits.
inline std::string source_of(const asio::ip::address& address) {
  if (address.is_v4()) return address.to_string();
  const auto bytes = address.to_v6().to_bytes();
  return {bytes.begin(), bytes.begin() + bytes.size() / 2};
}

// RESTinio's connections ask for a limiter, which the listeners don't use.
class unused_limiter final : restinio::connection_count_limits::impl::acceptor_callback_iface_t {
 public:
  using limiter = restinio::connection_count_limits::noop_connection_count_limiter_t;

  limiter* get() { return &limiter_; }

 private:
  void call_accept_now(std::size_t /*index*/) noexcept override {}
  void schedule_next_accept_attempt(std::size_t /*index*/) noexcept override {}

  limiter limiter_{this, restinio::connection_count_limits::max_parallel_connections_t{0},
                   restinio::connection_count_limits::max_active_accepts_t{0}};
};

// All but the constructor is called on the strand, or while no thread of the listener runs.
template <typename Traits>
class listener_acceptor : public std::enable_shared_from_this<listener_acceptor<Traits>> {
 public:
  using factory_type = restinio::impl::connection_factory_t<Traits>;
  using strand_type = typename Traits::strand_t;

  template <typename Settings>
  listener_acceptor(Settings& settings, asio::io_context& context,
                    std::shared_ptr<factory_type> factory, typename Traits::logger_t& /*logger*/)
      : endpoint_(restinio::get<asio::ip::address>(settings.address()), settings.port()),
        after_bind_(settings.giveaway_acceptor_post_bind_hook()),
        ip_blocker_(settings.ip_blocker()),
        factory_(std::move(factory)),
        strand_(context.get_executor()),
        acceptor_(context),
        retry_(context) {}

  // Throws if the address can't be listened on.
  void open() {
    if (acceptor_.is_open()) return;
    try {
      acceptor_.open(endpoint_.protocol());
      acceptor_.set_option(asio::socket_base::reuse_address{true});
      acceptor_.bind(endpoint_);
      after_bind_(acceptor_);
      acceptor_.listen(accept_queue_length);
    } catch (const std::exception&) {
      close();
      throw;
    }
    accept();
  }

  void close() {
    asio::error_code ignored;
    std::ignore = acceptor_.close(ignored);
    retry_.cancel();
  }

  strand_type& get_open_close_operations_executor() { return strand_; }

 private:
  void accept() {
    acceptor_.async_accept(asio::bind_executor(
        strand_, [self = this->shared_from_this()](const asio::error_code& error,
                                                   asio::ip::tcp::socket socket) {
          if (!self->acceptor_.is_open()) return;
          if (error) return self->retry_later();
          self->begin_connection(std::move(socket));
          self->accept();
        }));
  }

  void retry_later() {
    budget_service_of(strand_).budget->count_failed_accept();
    retry_.expires_after(accept_retry_interval);
    retry_.async_wait(asio::bind_executor(
        strand_, [self = this->shared_from_this()](const asio::error_code& error) {
          if (!error && self->acceptor_.is_open()) self->accept();
        }));
  }

  // Without effect if the client is gone, or the connection can't be made for want of memory.
  void begin_connection(asio::ip::tcp::socket socket) {
    asio::error_code gone;
    const auto remote = socket.remote_endpoint(gone);
    if (gone) return;
    const auto verdict = ip_blocker_->inspect(restinio::ip_blocker::incoming_info_t{remote});
    if (verdict != restinio::ip_blocker::allow()) return;
    try {
      client_socket client{std::move(socket), source_of(remote.address())};
      factory_->create_new_connection(std::move(client), remote, {limiter_.get()})->init();
    } catch (const std::exception&) {
      return;
    }
  }

  asio::ip::tcp::endpoint endpoint_;
  restinio::acceptor_post_bind_hook_t after_bind_;
  std::shared_ptr<typename Traits::ip_blocker_t> ip_blocker_;
  std::shared_ptr<factory_type> factory_;
  unused_limiter limiter_;
  strand_type strand_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_;
};

}  // namespace coltsfoot::internal

namespace restinio::impl {

template <typename Traits>
  requires std::same_as<typename Traits::stream_socket_t, coltsfoot::internal::client_socket>
class acceptor_t<Traits> final : public coltsfoot::internal::listener_acceptor<Traits> {
 public:
  using coltsfoot::internal::listener_acceptor<Traits>::listener_acceptor;
};

}  // namespace restinio::impl
