#include "coltsfoot/transport/peer_client.h"

#include <algorithm>
#include <asio.hpp>
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
using steady_time = std::chrono::steady_clock::time_point;

struct client_call {
  std::string address;
  std::string body;
  peer_client::callback done;
  std::unique_ptr<asio::steady_timer> timer;
  std::uint64_t connection = 0;  // 0 while it waits for a connection
  std::int32_t stream = 0;
  bool written = false;  // some byte of it may have been sent
  steady_time begun{};
  int status = 0;
  std::string reply;
};

struct client_connection {
  std::string address;
  std::shared_ptr<http2_connection> http2;
  std::unordered_map<std::int32_t, std::uint64_t> calls;  // by stream
  steady_time idle_since{};
};

// The state of one peer address.
struct peer_link {
  std::uint64_t connection = 0;  // takes new calls; 0 if there is none
  std::shared_ptr<asio::ip::tcp::socket> connecting;
  std::shared_ptr<asio::steady_timer> connect_timer;
  std::vector<std::uint64_t> waiting;
  duration backoff{0};
  steady_time retry_at{};
};

}  // namespace

class peer_client::impl {
 public:
  impl(peer_client_options options, log_sink log)
      : options_(options), log_(std::move(log)), idle_timer_(context_) {
    check_idle();
    thread_ = std::thread{[this] { context_.run(); }};
  }
  ~impl() { stop(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void send(std::string address, const peer_request& request, duration timeout, callback done) {
    count(&peer_client_stats::requests);
    auto body = encode_msgpack(request);
    std::unique_lock lock{post_mutex_};
    if (ended_) {
      lock.unlock();
      count(&peer_client_stats::not_processed);
      return done(tl::unexpected(peer_failure::not_processed));
    }
    asio::post(context_, [this, address = std::move(address), body = std::move(body), timeout,
                          done = std::move(done)]() mutable {
      begin(std::move(address), std::move(body), timeout, std::move(done));
    });
  }

  void stop() {
    {
      const std::unique_lock lock{post_mutex_};
      if (std::exchange(ended_, true)) return;
    }
    // No call is posted any more; those posted before are handled first.
    asio::post(context_, [this] {
      stopped_ = true;
      idle_timer_.cancel();
      end_all();
      context_.stop();
    });
    thread_.join();
  }

  peer_client_stats stats() const {
    const std::scoped_lock lock{stats_mutex_};
    return stats_;
  }

 private:
  void count(std::uint64_t peer_client_stats::* counter) {
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

  void begin(std::string address, std::string body, duration timeout, callback done) {
    if (body.size() > options_.max_body_bytes) {
      write_log(severity::error, "event=peer_request_oversized peer=" + log_value(address));
      count(&peer_client_stats::not_processed);
      return done(tl::unexpected(peer_failure::not_processed));
    }
    const auto number = ++last_call_;
    auto& call = calls_[number];
    call.address = std::move(address);
    call.body = std::move(body);
    call.done = std::move(done);
    call.begun = std::chrono::steady_clock::now();
    call.timer = std::make_unique<asio::steady_timer>(context_, timeout);
    call.timer->async_wait([this, number](const asio::error_code& error) {
      if (!error) time_out(number);
    });
    assign(number);
  }

  // Sends the call on the address's connection, or begins to connect.
  void assign(std::uint64_t number) {
    auto& call = calls_.at(number);
    auto& link = links_[call.address];
    if (link.connection != 0 && submit(number, link.connection)) return;
    link.connection = 0;
    if (!link.connecting) {
      if (std::chrono::steady_clock::now() < link.retry_at) return finish(number, not_processed());
      connect(call.address);
    }
    if (link.connecting) {
      link.waiting.push_back(number);
    } else {
      finish(number, not_processed());
    }
  }

  bool submit(std::uint64_t number, std::uint64_t connection_id) {
    auto& call = calls_.at(number);
    auto& connection = connections_.at(connection_id);
    // The body is copied, since a failed submission is repeated on another connection.
    const auto stream = connection.http2->submit_request(call.address, "/peer", call.body);
    if (stream < 0) return false;
    call.body = {};
    call.connection = connection_id;
    call.stream = stream;
    connection.calls.emplace(stream, number);
    return true;
  }

  void connect(const std::string& address) {
    auto& link = links_[address];
    const auto colon = address.rfind(':');
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    const auto port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    if (error || port <= 0 || port > 65535) {
      write_log(severity::error, "event=peer_address_invalid peer=" + log_value(address));
      count(&peer_client_stats::connect_failures);
      return;
    }
    const asio::ip::tcp::endpoint endpoint{ip, static_cast<std::uint16_t>(port)};
    link.connecting = std::make_shared<asio::ip::tcp::socket>(context_);
    link.connect_timer = std::make_shared<asio::steady_timer>(context_, options_.connect_timeout);
    link.connect_timer->async_wait([socket = link.connecting](const asio::error_code& result) {
      asio::error_code ignored;
      if (!result) std::ignore = socket->close(ignored);  // makes the connect fail
    });
    link.connecting->async_connect(
        endpoint, [this, address](const asio::error_code& result) { connected(address, result); });
  }

  void connected(const std::string& address, const asio::error_code& error) {
    auto& link = links_.at(address);
    const auto socket = std::exchange(link.connecting, nullptr);
    link.connect_timer->cancel();
    const auto waiting = std::exchange(link.waiting, {});
    if (stopped_) return;
    if (error || !socket->is_open()) {
      link.backoff = std::clamp(link.backoff * 2, options_.first_backoff, options_.longest_backoff);
      link.retry_at = std::chrono::steady_clock::now() + link.backoff;
      count(&peer_client_stats::connect_failures);
      write_log(severity::warning, "event=peer_connect_failed peer=" + log_value(address) +
                                       " error=" + log_value(error.message()));
      for (const auto number : waiting) finish(number, not_processed());
      return;
    }
    link.backoff = duration{0};
    count(&peer_client_stats::connections);
    add_connection(address, std::move(*socket));
    for (const auto number : waiting) {
      if (calls_.contains(number)) assign(number);
    }
  }

  void add_connection(const std::string& address, asio::ip::tcp::socket socket) {
    const auto id = ++last_connection_;
    links_.at(address).connection = id;
    auto http2 = std::make_shared<http2_connection>(
        std::move(socket), internal::http2_role::client,
        internal::http2_limits{.max_body_bytes = options_.max_body_bytes}, handlers_for(id));
    connections_.emplace(id, client_connection{.address = address,
                                               .http2 = http2,
                                               .idle_since = std::chrono::steady_clock::now()});
    http2->start();
  }

  internal::http2_handlers handlers_for(std::uint64_t id) {
    return {
        .on_header =
            [this, id](std::int32_t stream, std::string_view name, std::string_view value) {
              auto* call = call_of(id, stream);
              if (call != nullptr && name == ":status")
                call->status = std::atoi(std::string{value}.c_str());
            },
        .on_data = [this, id](std::int32_t stream,
                              std::string_view bytes) { add_data(id, stream, bytes); },
        .on_end = [this, id](std::int32_t stream) { end_of_reply(id, stream); },
        .on_stream_close = [this, id](std::int32_t stream,
                                      std::uint32_t error) { end_of_stream(id, stream, error); },
        .on_request_written =
            [this, id](std::int32_t stream) {
              if (auto* call = call_of(id, stream)) call->written = true;
            },
        .on_goaway = [this, id] { retire(id); },
        .on_bytes = [this](std::size_t received, std::size_t sent) { count_bytes(received, sent); },
        .on_closed = [this, id](const std::string& reason) { drop_connection(id, reason); }};
  }

  client_call* call_of(std::uint64_t connection, std::int32_t stream) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return nullptr;
    const auto number = found->second.calls.find(stream);
    if (number == found->second.calls.end()) return nullptr;
    return &calls_.at(number->second);
  }

  void add_data(std::uint64_t id, std::int32_t stream, std::string_view bytes) {
    auto* call = call_of(id, stream);
    if (call == nullptr) return;
    if (call->reply.size() + bytes.size() > options_.max_body_bytes) {
      write_log(severity::error, "event=peer_reply_oversized peer=" + log_value(call->address));
      count(&peer_client_stats::malformed);
      connections_.at(id).http2->reset_stream(stream, NGHTTP2_CANCEL);
      return finish(connections_.at(id).calls.at(stream), unknown());
    }
    call->reply.append(bytes);
  }

  void end_of_reply(std::uint64_t id, std::int32_t stream) {
    auto* call = call_of(id, stream);
    if (call == nullptr) return;
    const auto number = connections_.at(id).calls.at(stream);
    if (call->status != 200) {
      write_log(severity::error, "event=peer_request_rejected peer=" + log_value(call->address) +
                                     " status=" + std::to_string(call->status));
      // A server answers these before it acts on the request.
      const bool rejected = call->status == 400 || call->status == 404 || call->status == 413;
      return finish(number, rejected ? not_processed() : unknown());
    }
    auto reply = internal::decode_bounded_msgpack<peer_reply>(call->reply);
    if (!reply) {
      count(&peer_client_stats::malformed);
      write_log(severity::error, "event=peer_reply_malformed peer=" + log_value(call->address) +
                                     " error=" + log_value(reply.error().message));
      return finish(number, unknown());
    }
    finish(number, std::move(*reply));
  }

  // nghttp2 closes streams above the last id of a GOAWAY frame with REFUSED_STREAM.
  void end_of_stream(std::uint64_t id, std::int32_t stream, std::uint32_t error) {
    const auto* call = call_of(id, stream);
    if (call == nullptr) return;
    const bool certain = error == NGHTTP2_REFUSED_STREAM || !call->written;
    finish(connections_.at(id).calls.at(stream), certain ? not_processed() : unknown());
  }

  // Takes the connection out of use for new calls; those in progress end on it.
  void retire(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    auto& link = links_.at(found->second.address);
    if (link.connection == id) link.connection = 0;
  }

  void drop_connection(std::uint64_t id, const std::string& reason) {
    retire(id);
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    const auto lost = std::move(found->second);
    connections_.erase(found);
    if (!lost.calls.empty() && !stopped_) {
      write_log(severity::warning, "event=peer_connection_lost peer=" + log_value(lost.address) +
                                       " calls=" + std::to_string(lost.calls.size()) +
                                       " error=" + log_value(reason));
    }
    for (const auto& [stream, number] : lost.calls) {
      finish(number, calls_.at(number).written ? unknown() : not_processed());
    }
  }

  void time_out(std::uint64_t number) {
    const auto found = calls_.find(number);
    if (found == calls_.end()) return;
    const auto& call = found->second;
    const auto connection = connections_.find(call.connection);
    if (connection == connections_.end()) return finish(number, not_processed());
    const auto result = call.written ? unknown() : not_processed();
    // Nothing at all was received since: the path may be dead, so new calls use a new connection.
    if (connection->second.http2->last_received() < call.begun) {
      retire(call.connection);
      connection->second.http2->go_away();
    }
    connection->second.http2->reset_stream(call.stream, NGHTTP2_CANCEL);
    finish(number, result);
  }

  void finish(std::uint64_t number, peer_result result) {
    const auto found = calls_.find(number);
    if (found == calls_.end()) return;
    const auto call = std::move(found->second);
    calls_.erase(found);
    const auto connection = connections_.find(call.connection);
    if (connection != connections_.end()) {
      connection->second.calls.erase(call.stream);
      connection->second.idle_since = std::chrono::steady_clock::now();
    }
    if (!result) {
      count(result.error() == peer_failure::unknown ? &peer_client_stats::unknown
                                                    : &peer_client_stats::not_processed);
    }
    call.done(std::move(result));
  }

  void end_all() {
    std::vector<std::shared_ptr<http2_connection>> open;
    open.reserve(connections_.size());
    for (auto& [id, connection] : connections_) open.push_back(connection.http2);
    for (const auto& http2 : open) http2->close("client stopped");
    for (auto& [address, link] : links_) {
      asio::error_code ignored;
      if (link.connecting) std::ignore = link.connecting->close(ignored);
      if (link.connect_timer) link.connect_timer->cancel();
    }
    while (!calls_.empty()) finish(calls_.begin()->first, not_processed());
  }

  void check_idle() {
    idle_timer_.expires_after(std::min(options_.idle_timeout, duration{1'000}));
    idle_timer_.async_wait([this](const asio::error_code& error) {
      if (error) return;
      const auto now = std::chrono::steady_clock::now();
      std::vector<std::uint64_t> idle;
      for (const auto& [id, connection] : connections_) {
        const bool unused = connection.calls.empty();
        if (unused && now - connection.idle_since >= options_.idle_timeout) idle.push_back(id);
      }
      for (const auto id : idle) close_idle(id, now);
      check_idle();
    });
  }

  void close_idle(std::uint64_t id, steady_time now) {
    auto& connection = connections_.at(id);
    retire(id);
    if (now - connection.idle_since >= 2 * options_.idle_timeout) {
      connection.http2->close("closed");  // GOAWAY could not be sent
    } else {
      connection.http2->go_away();
    }
  }

  static peer_result not_processed() { return tl::unexpected(peer_failure::not_processed); }
  static peer_result unknown() { return tl::unexpected(peer_failure::unknown); }

  peer_client_options options_;
  log_sink log_;
  asio::io_context context_{1};
  asio::steady_timer idle_timer_;
  std::unordered_map<std::uint64_t, client_call> calls_;
  std::unordered_map<std::uint64_t, client_connection> connections_;
  std::unordered_map<std::string, peer_link> links_;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_connection_ = 0;
  bool stopped_ = false;
  std::mutex post_mutex_;
  bool ended_ = false;  // guarded by post_mutex_
  mutable std::mutex stats_mutex_;
  peer_client_stats stats_;
  std::thread thread_;
};

peer_client::peer_client(peer_client_options options, log_sink log)
    : impl_(std::make_shared<impl>(options, std::move(log))) {}
peer_client::~peer_client() = default;
void peer_client::send(std::string address, const peer_request& request, duration timeout,
                       callback done) {
  impl_->send(std::move(address), request, timeout, std::move(done));
}
void peer_client::stop() {
  impl_->stop();
}
peer_client_stats peer_client::stats() const {
  return impl_->stats();
}

}  // namespace coltsfoot
