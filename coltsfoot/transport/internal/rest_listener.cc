#include "coltsfoot/transport/internal/rest_listener.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <limits>
#include <mutex>
#include <restinio/all.hpp>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "coltsfoot/transport/internal/client_socket.h"
#include "coltsfoot/transport/internal/counted_parser.h"
#include "coltsfoot/transport/internal/listener_acceptor.h"
#include "coltsfoot/transport/internal/open_requests.h"

namespace coltsfoot::internal {
namespace {

// Set for each connection. While a response is due, a connection is not read: what the client sends
// meanwhile waits in the kernel, up to about twice this size.
constexpr int receive_buffer_bytes = 8'192;

// Bounds and counts the open connections. RESTinio's own limiter is not used: it belongs to the
// acceptor, which RESTinio destroys before the connections that refer to it.
class connection_bound {
 public:
  explicit connection_bound(std::size_t max) : max_(max) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    const std::lock_guard lock{mutex_};
    if (restinio::holds_alternative<accepted_t>(notice.cause())) {
      open_.insert(notice.connection_id());
      ++accepted_;
    }
    // A connection can be reported as closed twice, so that a plain count would fall below zero.
    if (restinio::holds_alternative<closed_t>(notice.cause())) open_.erase(notice.connection_id());
  }

  restinio::ip_blocker::inspection_result_t inspect(
      const restinio::ip_blocker::incoming_info_t&) noexcept {
    const std::lock_guard lock{mutex_};
    if (open_.size() < max_) return restinio::ip_blocker::allow();
    ++rejected_;
    return restinio::ip_blocker::deny();
  }

  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t rejected() const { return rejected_; }

 private:
  std::size_t max_;
  std::mutex mutex_;
  std::unordered_set<restinio::connection_id_t> open_;
  std::atomic<std::uint64_t> accepted_{0};
  std::atomic<std::uint64_t> rejected_{0};
};

struct listener_traits : restinio::default_traits_t {
  using connection_state_listener_t = connection_bound;
  using ip_blocker_t = connection_bound;
  using stream_socket_t = client_socket;
  using http_methods_mapper_t = counted_methods;
};

using request_handle = restinio::request_handle_t;

rest_request to_request(const request_handle& handle, std::string body) {
  rest_request request{.method = handle->header().method().c_str(),
                       .target = handle->header().request_target(),
                       .body = std::move(body)};
  handle->header().for_each_field([&request](const auto& field) {
    request.headers.push_back({.name = field.name(), .value = field.value()});
  });
  return request;
}

std::string reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "";
  }
}

restinio::http_status_line_t status_line(int status) {
  return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, reason_phrase(status)};
}

// Ends the response with no byte of it written, which closes the connection.
void drop_connection(const request_handle& handle) {
  const auto id = handle->request_id();
  auto connection = std::move(restinio::impl::access_req_connection(*handle));
  if (!connection) return;
  connection->write_response_parts(id,
                                   {restinio::response_parts_attr_t::final_parts,
                                    restinio::response_connection_attr_t::connection_close},
                                   restinio::write_group_t{restinio::writable_items_container_t{}});
}

template <typename Builder>
void add_headers(Builder& builder, const std::vector<http_header>& headers) {
  for (const auto& header : headers) builder.append_header(header.name, header.value);
}

// Memory of a response until it is written.
std::size_t bytes_of(const rest_response& response) {
  std::size_t bytes = response.body.capacity();
  for (const auto& header : response.headers) bytes += header.name.size() + header.value.size();
  return bytes;
}

void respond_to(const open_request& request, rest_response response) {
  const auto& handle = request.handle;
  const auto bytes = bytes_of(response);
  request.waiting->begin_sending(bytes);
  if (response.drop) return drop_connection(handle);
  if (response.announced_length > 0) {
    auto builder =
        handle->create_response<restinio::user_controlled_output_t>(status_line(response.status));
    add_headers(builder, response.headers);
    builder.set_content_length(response.announced_length).connection_close();
    builder.set_body(std::move(response.body));
    builder.done();
    return;
  }
  auto builder = handle->create_response(status_line(response.status));
  add_headers(builder, response.headers);
  if (response.close) builder.connection_close();
  builder.set_body(std::move(response.body));
  builder.done([kept = std::move(response.until_written), waiting = request.waiting,
                bytes](const auto&) mutable {
    kept.reset();
    waiting->end_sending(bytes);
  });
}

// The budget replaces connections at its limit, where the listener could only refuse new ones.
std::size_t most_connections(const rest_listener_options& options) {
  return options.clients ? std::numeric_limits<std::size_t>::max() : options.max_connections;
}

asio::ip::address listen_address_of(const std::string& ip) {
  return ip == "localhost" ? asio::ip::address_v4::loopback() : asio::ip::make_address(ip);
}

}  // namespace

class rest_listener::impl {
 public:
  impl(rest_listener_options options, rest_handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {
    if (!options_.clients) options_.clients = std::make_shared<client_budget>();
    options_.refusal.close = true;
  }
  ~impl() {
    stop();
    open_requests_->close();
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  tl::expected<void, transport_error> start() {
    try {
      server_ = restinio::run_async(restinio::own_io_context(), settings(), options_.threads);
    } catch (const std::exception& error) {
      return tl::unexpected(transport_error{"listen on " + options_.ip + ":" +
                                            std::to_string(options_.port) + ": " + error.what()});
    }
    return {};
  }

  void stop() {
    if (!server_) return;
    server_->stop();
    server_->wait();
  }

  std::uint16_t port() const { return port_; }

  rest_listener_stats stats() const {
    return {.connections = bound_->accepted(),
            .rejected_connections = bound_->rejected(),
            .received_body_bytes = received_body_bytes_,
            .sent_body_bytes = *sent_body_bytes_};
  }

 private:
  restinio::server_settings_t<listener_traits> settings() {
    restinio::server_settings_t<listener_traits> settings;
    settings.address(listen_address_of(options_.ip))
        .port(options_.port)
        .connection_state_listener(bound_)
        .ip_blocker(bound_)
        .read_next_http_message_timelimit(options_.idle_timeout)
        .write_http_response_timelimit(options_.idle_timeout)
        .handle_request_timeout(options_.answer_timeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(options_.max_target_bytes)
                                      .max_field_name_size(1024)
                                      .max_field_value_size(options_.max_header_value_bytes)
                                      .max_field_count(options_.max_header_count)
                                      .max_body_size(options_.max_body_bytes))
        .acceptor_post_bind_hook([this](auto& acceptor) {
          port_ = acceptor.local_endpoint().port();
          asio::error_code ignored;
          std::ignore = acceptor.set_option(
              asio::socket_base::receive_buffer_size{receive_buffer_bytes}, ignored);
          budget_service_of(acceptor.get_executor()).budget = options_.clients;
        })
        .request_handler([this](const request_handle& handle) { return handle_request(handle); });
    return settings;
  }

  restinio::request_handling_status_t handle_request(const request_handle& handle) {
    // Requests become complete in a handler of their connection.
    auto* connection = current_connection();
    if (connection == nullptr) return restinio::request_rejected();
    const auto bytes = connection->request.complete_bytes;
    const auto verdict = connection->account->begin_handling(bytes);
    if (verdict == begin_verdict::closed) return restinio::request_rejected();
    auto body = std::move(connection->request.complete_body);
    if (verdict == begin_verdict::refused) {
      const auto refused = std::make_shared<waiting_request>(connection->account, 0);
      respond_to({.handle = handle, .waiting = refused}, options_.refusal);
      return restinio::request_accepted();
    }
    const auto waiting = std::make_shared<waiting_request>(connection->account, bytes);
    auto request = to_request(handle, std::move(body));
    request.waiting = waiting;
    received_body_bytes_ += request.body.size();
    auto open = std::make_shared<open_answer>(open_requests_,
                                              open_request{.handle = handle, .waiting = waiting});
    handler_(std::move(request), [open, sent = sent_body_bytes_](rest_response response) {
      const auto answered = open->take();
      if (!answered.handle) return;
      *sent += response.body.size();
      respond_to(answered, std::move(response));
    });
    return restinio::request_accepted();
  }

  rest_listener_options options_;
  rest_handler handler_;
  std::shared_ptr<connection_bound> bound_ =
      std::make_shared<connection_bound>(most_connections(options_));
  std::atomic<std::uint16_t> port_{0};
  std::atomic<std::uint64_t> received_body_bytes_{0};
  std::shared_ptr<std::atomic<std::uint64_t>> sent_body_bytes_ =
      std::make_shared<std::atomic<std::uint64_t>>(0);
  std::shared_ptr<open_requests> open_requests_ = std::make_shared<open_requests>();
  restinio::running_server_handle_t<listener_traits> server_;
};

rest_listener::rest_listener(rest_listener_options options, rest_handler handler)
    : impl_(std::make_unique<impl>(std::move(options), std::move(handler))) {}
rest_listener::~rest_listener() = default;
tl::expected<void, transport_error> rest_listener::start() {
  return impl_->start();
}
void rest_listener::stop() {
  impl_->stop();
}
std::uint16_t rest_listener::port() const {
  return impl_->port();
}
rest_listener_stats rest_listener::stats() const {
  return impl_->stats();
}

rest_response not_run_response() {
  return {.status = 503,
          .headers = {{.name = "Retry-After", .value = "1"},
                      {.name = "Content-Type", .value = "text/plain"}},
          .body = "not run: too many requests wait for their responses",
          .close = true};
}

const std::string* rest_request::header(std::string_view name) const {
  const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
    return equals_ignoring_case(header.name, name);
  });
  return found == headers.end() ? nullptr : &found->value;
}

}  // namespace coltsfoot::internal
