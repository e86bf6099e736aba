// The socket type of the listeners' connections. Tells the budget of the process what a connection
// holds, and ends connections that the budget has closed.
//
//   struct listener_traits : restinio::default_traits_t {
//     using stream_socket_t = client_socket;
//     using http_methods_mapper_t = counted_methods;  // see counted_parser.h
//   };
#pragma once

#include <chrono>
#include <memory>
#include <restinio/asio_include.hpp>
#include <restinio/tls_fwd.hpp>
#include <string>
#include <utility>

#include "coltsfoot/transport/client_budget.h"

namespace coltsfoot::internal {

// The request that is being parsed on a connection. Used only by the connection's strand.
struct parsed_request {
  const std::string* body = nullptr;  // the parser's; null: no byte of a request has come
  std::size_t header_bytes = 0;
  std::string complete_body;       // taken from the parser
  std::size_t complete_bytes = 0;  // of the request that is complete

  std::size_t bytes() const { return header_bytes + body->capacity(); }
};

struct client_connection {
  std::shared_ptr<client_account> account;
  parsed_request request;
};

// The connection whose handler runs on this thread; null outside of handlers.
inline client_connection*& current_connection() {
  thread_local client_connection* current = nullptr;
  return current;
}

// Attaches the budget of a listener to its I/O context.
class client_budget_service : public asio::execution_context::service {
 public:
  inline static asio::execution_context::id id;
  explicit client_budget_service(asio::execution_context& context) : service(context) {}

  std::shared_ptr<client_budget> budget;

 private:
  void shutdown() override {}
};

template <typename Executor>
client_budget_service& budget_service_of(const Executor& executor) {
  return asio::use_service<client_budget_service>(asio::query(executor, asio::execution::context));
}

// RESTinio uses a connection's socket only on the connection's strand.
class client_socket {
 public:
  using executor_type = asio::ip::tcp::socket::executor_type;
  using lowest_layer_type = asio::ip::tcp::socket::lowest_layer_type;

  // `source`: the client's address, as accounts name it.
  client_socket(asio::ip::tcp::socket socket, std::string source)
      : socket_(std::move(socket)), source_(std::move(source)) {}
  client_socket(client_socket&&) = default;
  client_socket& operator=(client_socket&&) = delete;
  ~client_socket() { detach(); }

  // False if the budget refuses the connection.
  bool open_account() {
    auto account = client_account::open(budget_service_of(get_executor()).budget,
                                        socket_.native_handle(), std::move(source_));
    if (!account) return false;
    connection_ = std::make_shared<client_connection>();
    connection_->account = std::move(account);
    return true;
  }

  executor_type get_executor() { return socket_.get_executor(); }
  lowest_layer_type& lowest_layer() { return socket_.lowest_layer(); }
  bool is_open() const { return socket_.is_open(); }
  void cancel(asio::error_code& error) { error = socket_.cancel(error); }
  void shutdown(asio::ip::tcp::socket::shutdown_type what, asio::error_code& error) {
    error = socket_.shutdown(what, error);
  }
  void close() {
    detach();
    socket_.close();
  }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    socket_.async_read_some(buffers, counted(std::forward<Handler>(handler)));
  }
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    socket_.async_write_some(buffers, counted(std::forward<Handler>(handler)));
  }

 private:
  class handler_scope {
   public:
    explicit handler_scope(client_connection& connection)
        : outer_(std::exchange(current_connection(), &connection)) {}
    ~handler_scope() { current_connection() = outer_; }
    handler_scope(const handler_scope&) = delete;
    handler_scope& operator=(const handler_scope&) = delete;

   private:
    client_connection* outer_;
  };

  // Runs `handler` with the connection as the current one, and counts what the connection holds
  // after it. What was read before the budget closed the connection is not parsed.
  template <typename Handler>
  auto counted(Handler&& handler) {
    auto executor = asio::get_associated_executor(handler, get_executor());
    return asio::bind_executor(
        std::move(executor),
        [handler = std::decay_t<Handler>(std::forward<Handler>(handler)), connection = connection_](
            const asio::error_code& error, std::size_t bytes) mutable {
          const handler_scope scope{*connection};
          if (connection->account->closed()) {
            handler(asio::error_code{asio::error::eof}, 0);
          } else {
            handler(error, bytes);
          }
          // The parser's data lives as long as `handler`, which holds RESTinio's connection.
          if (connection->request.body != nullptr) {
            connection->account->receive(connection->request.bytes(),
                                         std::chrono::steady_clock::now());
          }
        });
  }

  void detach() {
    if (connection_) connection_->account->detach();
  }

  asio::ip::tcp::socket socket_;
  std::string source_;
  std::shared_ptr<client_connection> connection_;
};

// RESTinio calls these two by argument-dependent lookup.
template <typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(client_socket& socket, Connection& /*connection*/,
                                       Start start, Failed failed) {
  if (socket.open_account()) {
    start();
  } else {
    failed(asio::error_code{asio::error::no_descriptors});
  }
}
inline restinio::tls_socket_t* make_tls_socket_pointer_for_state_listener(
    client_socket& /*socket*/) noexcept {
  return nullptr;
}

}  // namespace coltsfoot::internal
