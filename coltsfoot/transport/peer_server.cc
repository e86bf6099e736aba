#include "coltsfoot/transport/peer_server.h"

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <mutex>
#include <thread>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/transport/internal/http2_connection.h"
#include "coltsfoot/transport/internal/nesting_bound.h"

namespace coltsfoot {
namespace {

using internal::http2_connection;

// How often idle connections are looked for.
constexpr duration idle_check_interval{1'000};

// Memory of a stream beside its body: the library's and the entries here.
constexpr std::size_t stream_bytes = 2'048;

// Requests that wait for their replies take at most the bytes that may be held, divided by this.
constexpr std::size_t waiting_divisor = 2;

// Memory of a value of a decoded message, approximately, with its place in a list.
constexpr std::size_t value_bytes = 64;

// Set for each connection: what is received and not yet read counts as memory of the process.
constexpr int receive_buffer_bytes = 65'536;

struct incoming_stream {
  bool is_post = false;
  bool is_peer_path = false;
  std::string body;
  call_id call = 0;        // 0 until the request was passed to the handler
  bool waits = false;      // for the handler's reply
  bool discarded = false;  // answered or reset before its end
  std::size_t skipped_bytes = 0;
  std::size_t held_bytes = 0;
};

struct server_connection {
  std::shared_ptr<http2_connection> http2;
  std::string remote;
  std::unordered_map<std::int32_t, incoming_stream> streams;
  std::size_t calls_in_progress = 0;
  std::size_t revocable_bytes = 0;  // of streams that don't wait for the handler
  bool going_away = false;
};

struct open_call {
  std::uint64_t connection = 0;
  std::int32_t stream = 0;
};

}  // namespace

class peer_server::impl : public std::enable_shared_from_this<peer_server::impl> {
 public:
  impl(peer_server_options options, request_handler handler, log_sink log)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        log_(std::move(log)),
        acceptor_(context_),
        idle_timer_(context_) {}

  tl::expected<void, transport_error> start() {
    asio::error_code error;
    const auto address = asio::ip::make_address(options_.address, error);
    const asio::ip::tcp::endpoint endpoint{address, options_.port};
    if (!error) std::ignore = acceptor_.open(endpoint.protocol(), error);
    if (!error) std::ignore = acceptor_.set_option(asio::socket_base::reuse_address{true}, error);
    const asio::socket_base::receive_buffer_size receive_buffer{receive_buffer_bytes};
    asio::error_code ignored;
    if (!error) std::ignore = acceptor_.set_option(receive_buffer, ignored);
    if (!error) std::ignore = acceptor_.bind(endpoint, error);
    if (!error) std::ignore = acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return tl::unexpected(transport_error{"listen on " + options_.address + ":" +
                                            std::to_string(options_.port) + ": " +
                                            error.message()});
    }
    port_ = acceptor_.local_endpoint().port();
    accept();
    check_idle();
    thread_ = std::thread{[this] { context_.run(); }};
    return {};
  }

  void stop() {
    asio::post(context_, [this] {
      stopping_ = true;
      asio::error_code ignored;
      std::ignore = acceptor_.close(ignored);
      idle_timer_.cancel();
      for (auto& [id, http2] : list_connections()) http2->close("server stopped");
      context_.stop();
    });
    if (thread_.joinable()) thread_.join();
  }

  std::uint16_t port() const { return port_; }
  std::size_t in_progress() const {
    return in_progress_ + (draining_ ? open_connections_.load() : 0);
  }

  void reply(call_id call, const peer_reply& reply) {
    auto body = encode_msgpack(reply);
    asio::post(context_, [this, call, body = std::move(body)]() mutable {
      const auto bytes = stream_bytes + body.size();
      end_call(call, bytes, [&](http2_connection& http2, std::int32_t stream) {
        http2.submit_response(stream, 200, std::move(body));
      });
      make_room();
    });
  }

  void refuse(call_id call) {
    asio::post(context_, [this, call] {
      end_call(call, stream_bytes, [this](http2_connection& http2, std::int32_t stream) {
        http2.reset_stream(stream, NGHTTP2_REFUSED_STREAM);
        count(&peer_server_stats::refused);
      });
    });
  }

  void begin_drain() {
    draining_ = true;
    asio::post(context_, [this] {
      asio::error_code ignored;
      std::ignore = acceptor_.close(ignored);
      for (auto& [id, connection] : connections_) {
        connection.going_away = true;
        connection.http2->go_away();
      }
    });
  }

  peer_server_stats stats() const {
    const std::scoped_lock lock{stats_mutex_};
    return stats_;
  }

 private:
  void count(std::uint64_t peer_server_stats::* counter) {
    const std::scoped_lock lock{stats_mutex_};
    ++(stats_.*counter);
  }
  void count_bytes(std::size_t received, std::size_t sent) {
    const std::scoped_lock lock{stats_mutex_};
    stats_.received_bytes += received;
    stats_.sent_bytes += sent;
  }

  void write_log(severity level, std::string text) const {
    if (log_) log_(level, std::move(text));
  }

  std::vector<std::pair<std::uint64_t, std::shared_ptr<http2_connection>>> list_connections() {
    std::vector<std::pair<std::uint64_t, std::shared_ptr<http2_connection>>> list;
    list.reserve(connections_.size());
    for (auto& [id, connection] : connections_) list.emplace_back(id, connection.http2);
    return list;
  }

  void accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (!acceptor_.is_open()) return;
      if (error) {
        write_log(severity::warning,
                  "event=peer_accept_failed error=" + log_value(error.message()));
        // Out of descriptors: accepting again at once would use up the processor.
        idle_timer_retry();
        return;
      }
      add_connection(std::move(socket));
      accept();
    });
  }

  void idle_timer_retry() {
    auto timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds{100});
    timer->async_wait([this, timer](const asio::error_code& error) {
      if (!error && acceptor_.is_open()) accept();
    });
  }

  void add_connection(asio::ip::tcp::socket socket) {
    // Without room for it, the socket closes as it goes out of scope.
    if (connections_.size() >= options_.max_connections && !close_least_active()) return;
    count(&peer_server_stats::connections);
    asio::error_code error;
    const auto remote = socket.remote_endpoint(error);
    const auto id = ++last_connection_;
    auto http2 = std::make_shared<http2_connection>(
        std::move(socket), internal::http2_role::server,
        internal::http2_limits{.max_body_bytes = options_.max_body_bytes,
                               .max_concurrent_streams = options_.max_concurrent_streams},
        handlers_for(id));
    connections_.emplace(id,
                         server_connection{.http2 = http2, .remote = remote.address().to_string()});
    ++open_connections_;
    http2->start();
  }

  // False if all connections have calls in progress.
  bool close_least_active() {
    count(&peer_server_stats::rejected_connections);
    std::shared_ptr<http2_connection> least;
    for (const auto& [id, connection] : connections_) {
      if (connection.calls_in_progress > 0) continue;
      if (!least || connection.http2->last_received() < least->last_received()) {
        least = connection.http2;
      }
    }
    if (!least) return false;
    least->close("closed");
    return true;
  }

  internal::http2_handlers handlers_for(std::uint64_t id) {
    return {
        .on_header =
            [this, id](std::int32_t stream, std::string_view name, std::string_view value) {
              auto& incoming = stream_of(connections_.at(id), stream);
              if (name == ":method") incoming.is_post = value == "POST";
              if (name == ":path") incoming.is_peer_path = value == "/peer";
            },
        .on_data = [this, id](std::int32_t stream,
                              std::string_view bytes) { add_data(id, stream, bytes); },
        .on_end = [this, id](std::int32_t stream) { end_of_request(id, stream); },
        .on_stream_close = [this, id](std::int32_t stream,
                                      std::uint32_t) { drop_stream(id, stream); },
        .on_request_written = {},
        .on_goaway = {},
        .on_bytes = [this](std::size_t received, std::size_t sent) { count_bytes(received, sent); },
        .on_closed = [this, id](const std::string& reason) { drop_connection(id, reason); }};
  }

  void add_data(std::uint64_t id, std::int32_t stream, std::string_view bytes) {
    auto& connection = connections_.at(id);
    auto& incoming = stream_of(connection, stream);
    if (incoming.discarded) return skip_data(connection, stream, bytes.size());
    if (incoming.body.size() + bytes.size() > options_.max_body_bytes) {
      discard(connection, incoming);
      count(&peer_server_stats::oversized);
      write_log(severity::error,
                "event=peer_request_oversized remote=" + log_value(connection.remote));
      return connection.http2->submit_response(stream, 413, {});
    }
    incoming.body.append(bytes);
    hold(connection, incoming, stream_bytes + incoming.body.capacity());
    make_room();
  }

  incoming_stream& stream_of(server_connection& connection, std::int32_t stream) {
    const auto [place, is_new] = connection.streams.try_emplace(stream);
    if (is_new) hold(connection, place->second, stream_bytes);
    return place->second;
  }

  void hold(server_connection& connection, incoming_stream& incoming, std::size_t bytes) {
    held_bytes_ += bytes - incoming.held_bytes;
    auto& kind = incoming.waits ? waiting_bytes_ : connection.revocable_bytes;
    kind += bytes - incoming.held_bytes;
    incoming.held_bytes = bytes;
  }

  // Moves a stream to those that wait for the handler, or back.
  void set_waiting(server_connection& connection, incoming_stream& incoming, bool waits) {
    const auto bytes = incoming.held_bytes;
    hold(connection, incoming, 0);
    incoming.waits = waits;
    hold(connection, incoming, bytes);
  }

  // While too much is held, resets what the connection that holds most of it has not completed or
  // not read.
  void make_room() {
    while (held_bytes_ > options_.max_buffered_bytes) {
      const auto largest = std::max_element(
          connections_.begin(), connections_.end(), [](const auto& a, const auto& b) {
            return a.second.revocable_bytes < b.second.revocable_bytes;
          });
      if (largest == connections_.end() || largest->second.revocable_bytes == 0) return;
      reset_revocable(largest->second);
    }
  }

  void reset_revocable(server_connection& connection) {
    for (auto& [stream, incoming] : connection.streams) {
      if (incoming.waits || incoming.held_bytes == 0) continue;
      discard(connection, incoming);
      count(&peer_server_stats::refused);
      connection.http2->reset_stream(stream, NGHTTP2_REFUSED_STREAM);
    }
  }

  // A reset would drop the answer that is under way, so the rest of an answered request's body is
  // read and dropped, up to a bound.
  void skip_data(server_connection& connection, std::int32_t stream, std::size_t size) {
    auto& incoming = connection.streams[stream];
    incoming.skipped_bytes += size;
    if (incoming.skipped_bytes <= options_.max_body_bytes) return;
    incoming.skipped_bytes = 0;
    connection.http2->reset_stream(stream, NGHTTP2_ENHANCE_YOUR_CALM);
  }

  void discard(server_connection& connection, incoming_stream& incoming) {
    incoming.discarded = true;
    incoming.body = {};
    hold(connection, incoming, 0);
  }

  void end_of_request(std::uint64_t id, std::int32_t stream) {
    auto& connection = connections_.at(id);
    auto& incoming = stream_of(connection, stream);
    if (incoming.discarded || incoming.call != 0) return;
    if (!incoming.is_post || !incoming.is_peer_path) {
      return reject(connection, stream, 404, "unknown method or path");
    }
    const auto bytes = stream_bytes + incoming.body.size();
    const auto most_waiting = options_.max_buffered_bytes / waiting_divisor;
    if (waiting_bytes_ > 0 && waiting_bytes_ + bytes > most_waiting) {
      discard(connection, incoming);
      count(&peer_server_stats::refused);
      return connection.http2->reset_stream(stream, NGHTTP2_REFUSED_STREAM);
    }
    auto request = internal::decode_bounded_msgpack<peer_request>(
        std::exchange(incoming.body, {}), options_.max_buffered_bytes / value_bytes);
    if (!request) return reject(connection, stream, 400, request.error().message);
    hold(connection, incoming, bytes);
    set_waiting(connection, incoming, true);
    const auto call = ++last_call_;
    incoming.call = call;
    calls_.emplace(call, open_call{.connection = id, .stream = stream});
    ++connection.calls_in_progress;
    ++in_progress_;
    count(&peer_server_stats::requests);
    handler_(call, std::move(*request));
  }

  void reject(server_connection& connection, std::int32_t stream, int status,
              const std::string& why) {
    discard(connection, stream_of(connection, stream));
    count(&peer_server_stats::malformed);
    write_log(severity::error,
              "event=peer_request_malformed remote=" + log_value(connection.remote) +
                  " status=" + std::to_string(status) + " error=" + log_value(why));
    connection.http2->submit_response(stream, status, {});
  }

  // `bytes`: what the stream holds from now on.
  template <typename Function>
  void end_call(call_id call, std::size_t bytes, Function&& answer) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) return;
    const auto where = found->second;
    forget_call(call);
    const auto connection = connections_.find(where.connection);
    if (connection == connections_.end()) return;
    auto& incoming = stream_of(connection->second, where.stream);
    set_waiting(connection->second, incoming, false);
    hold(connection->second, incoming, bytes);
    answer(*connection->second.http2, where.stream);
  }

  void forget_call(call_id call) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) return;
    const auto connection = connections_.find(found->second.connection);
    if (connection != connections_.end()) --connection->second.calls_in_progress;
    calls_.erase(found);
    --in_progress_;
  }

  void drop_stream(std::uint64_t id, std::int32_t stream) {
    auto& connection = connections_.at(id);
    const auto found = connection.streams.find(stream);
    if (found == connection.streams.end()) return;
    hold(connection, found->second, 0);
    forget_call(found->second.call);
    connection.streams.erase(found);
  }

  void drop_connection(std::uint64_t id, const std::string& reason) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    if (reason != "closed" && !stopping_) {
      write_log(severity::warning,
                "event=peer_connection_lost remote=" + log_value(found->second.remote) +
                    " error=" + log_value(reason));
    }
    for (auto& [stream, incoming] : found->second.streams) {
      hold(found->second, incoming, 0);
      forget_call(incoming.call);
    }
    // The connection may be on the stack; it is kept until its pending operations have ended.
    connections_.erase(found);
    --open_connections_;
  }

  // A connection on which nothing arrives and nothing is in progress is closed, also one that is in
  // the middle of a request.
  void check_idle() {
    idle_timer_.expires_after(std::min(idle_check_interval, options_.idle_timeout));
    idle_timer_.async_wait([this](const asio::error_code& error) {
      if (error) return;
      const auto now = std::chrono::steady_clock::now();
      for (auto& [id, http2] : list_connections()) {
        auto& connection = connections_.at(id);
        if (connection.calls_in_progress > 0) continue;
        const auto idle = now - http2->last_received();
        if (idle < options_.idle_timeout) continue;
        if (connection.going_away && idle >= 2 * options_.idle_timeout) {
          http2->close("idle");
        } else if (!std::exchange(connection.going_away, true)) {
          http2->go_away();
        }
      }
      check_idle();
    });
  }

  peer_server_options options_;
  request_handler handler_;
  log_sink log_;
  asio::io_context context_{1};
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer idle_timer_;
  std::unordered_map<std::uint64_t, server_connection> connections_;
  std::unordered_map<call_id, open_call> calls_;
  std::uint64_t last_connection_ = 0;
  call_id last_call_ = 0;
  std::size_t held_bytes_ = 0;     // of all streams
  std::size_t waiting_bytes_ = 0;  // part of `held_bytes_`, of streams that wait for the handler
  bool stopping_ = false;
  std::atomic<std::uint16_t> port_{0};
  std::atomic<std::size_t> in_progress_{0};
  std::atomic<std::size_t> open_connections_{0};
  std::atomic<bool> draining_{false};
  mutable std::mutex stats_mutex_;
  peer_server_stats stats_;
  std::thread thread_;
};

peer_server::peer_server(peer_server_options options, request_handler handler, log_sink log)
    : impl_(std::make_shared<impl>(std::move(options), std::move(handler), std::move(log))) {}
peer_server::~peer_server() {
  stop();
}
tl::expected<void, transport_error> peer_server::start() {
  return impl_->start();
}
void peer_server::stop() {
  impl_->stop();
}
std::uint16_t peer_server::port() const {
  return impl_->port();
}
void peer_server::reply(call_id call, const peer_reply& reply) {
  impl_->reply(call, reply);
}
void peer_server::refuse(call_id call) {
  impl_->refuse(call);
}
void peer_server::begin_drain() {
  impl_->begin_drain();
}
std::size_t peer_server::in_progress() const {
  return impl_->in_progress();
}
peer_server_stats peer_server::stats() const {
  return impl_->stats();
}

}  // namespace coltsfoot
