#include "coltsfoot/transport/internal/http2_connection.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace coltsfoot::internal {
namespace {

// Several whole bodies may be under way on one connection.
constexpr std::int32_t connection_window_bytes = 64 * 1024 * 1024;
// Bytes that are collected for one write to the socket.
constexpr std::size_t write_batch_bytes = std::size_t{128} * 1024;
// Time for the remote side to read what was sent last before the socket is closed.
constexpr duration linger_time{2'000};

nghttp2_nv header(std::string_view name, std::string_view value) {
  return {.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          .value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          .namelen = name.size(),
          .valuelen = value.size(),
          .flags = NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

http2_connection::http2_connection(asio::ip::tcp::socket socket, http2_role role,
                                   http2_limits limits, http2_handlers handlers)
    : socket_(std::move(socket)),
      linger_(socket_.get_executor()),
      role_(role),
      limits_(limits),
      handlers_(std::move(handlers)) {
  auto* callbacks = make_callbacks();
  if (role_ == http2_role::server) {
    nghttp2_session_server_new(&session_, callbacks, this);
  } else {
    nghttp2_session_client_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
}

http2_connection::~http2_connection() {
  nghttp2_session_del(session_);
}

nghttp2_session_callbacks* http2_connection::make_callbacks() const {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, frame_received);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, header_received);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, data_received);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, stream_closed);
  nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, before_send);
  return callbacks;
}

void http2_connection::start() {
  asio::error_code ignored;
  std::ignore = socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
  last_received_ = std::chrono::steady_clock::now();
  // A body fits into the window of its stream, with room for one frame that exceeds the bound.
  const auto stream_window = static_cast<std::uint32_t>(limits_.max_body_bytes + 65'536);
  std::vector<nghttp2_settings_entry> settings{
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window}};
  if (role_ == http2_role::server) {
    settings.push_back({NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_concurrent_streams});
  } else {
    settings.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
  }
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
  schedule_flush();
  read();
}

nghttp2_data_provider http2_connection::provider_for(std::int32_t stream, std::string body) {
  bodies_.insert_or_assign(stream, outgoing_body{.bytes = std::move(body)});
  nghttp2_data_provider provider{};
  provider.read_callback = read_body;
  return provider;
}

std::int32_t http2_connection::submit_request(const std::string& authority, const std::string& path,
                                              std::string body) {
  if (closed_ || finishing_) return -1;
  const auto length = std::to_string(body.size());
  const std::array headers{header(":method", "POST"),
                           header(":scheme", "http"),
                           header(":authority", authority),
                           header(":path", path),
                           header("content-type", "application/msgpack"),
                           header("content-length", length)};
  const auto next = static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(session_));
  const auto provider = provider_for(next, std::move(body));
  const auto stream =
      nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (stream < 0) bodies_.erase(next);
  schedule_flush();
  return stream;
}

void http2_connection::submit_response(std::int32_t stream, int status, std::string body) {
  if (closed_) return;
  const auto code = std::to_string(status);
  const auto length = std::to_string(body.size());
  const std::array headers{header(":status", code), header("content-type", "application/msgpack"),
                           header("content-length", length)};
  if (body.empty()) {
    nghttp2_submit_response(session_, stream, headers.data(), headers.size(), nullptr);
  } else {
    const auto provider = provider_for(stream, std::move(body));
    nghttp2_submit_response(session_, stream, headers.data(), headers.size(), &provider);
  }
  schedule_flush();
}

void http2_connection::reset_stream(std::int32_t stream, std::uint32_t error) {
  if (closed_) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error);
  schedule_flush();
}

void http2_connection::go_away() {
  if (closed_) return;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_), NGHTTP2_NO_ERROR,
                        nullptr, 0);
  schedule_flush();
}

void http2_connection::close(const std::string& reason) {
  if (std::exchange(closed_, true)) return;
  asio::error_code ignored;
  linger_.cancel();
  std::ignore = socket_.close(ignored);
  if (handlers_.on_closed) handlers_.on_closed(reason);
}

// Submissions may come from within nghttp2, which does not allow to serialise frames there.
void http2_connection::schedule_flush() {
  if (std::exchange(flush_scheduled_, true)) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->flush();
  });
}

void http2_connection::flush() {
  if (closed_ || writing_ || finishing_) return;
  write_buffer_.clear();
  while (write_buffer_.size() < write_batch_bytes) {
    const std::uint8_t* data = nullptr;
    const auto size = nghttp2_session_mem_send(session_, &data);
    if (size < 0) return close(nghttp2_strerror(static_cast<int>(size)));
    if (size == 0) break;
    write_buffer_.insert(write_buffer_.end(), data, data + size);
  }
  if (write_buffer_.empty()) {
    const bool done =
        nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
    if (done) finish();
    return;
  }
  writing_ = true;
  asio::async_write(socket_, asio::buffer(write_buffer_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t sent) {
                      self->writing_ = false;
                      if (self->handlers_.on_bytes) self->handlers_.on_bytes(0, sent);
                      if (error) return self->close(error.message());
                      self->flush();
                    });
}

// Closing a socket with unread input makes the kernel discard output that is under way, the GOAWAY
// frame among it. So the output is ended first and the input is read to its end, for a bounded
// time.
void http2_connection::finish() {
  if (std::exchange(finishing_, true)) return;
  asio::error_code ignored;
  std::ignore = socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  linger_.expires_after(linger_time);
  linger_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (!error && self) self->close("closed");
  });
}

void http2_connection::read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (self->closed_) return;
        if (error) return self->close(error == asio::error::eof ? "closed" : error.message());
        self->on_read(size);
      });
}

void http2_connection::on_read(std::size_t size) {
  last_received_ = std::chrono::steady_clock::now();
  if (handlers_.on_bytes) handlers_.on_bytes(size, 0);
  if (!finishing_) {
    const auto used = nghttp2_session_mem_recv(session_, read_buffer_.data(), size);
    if (used < 0) return close(nghttp2_strerror(static_cast<int>(used)));
    flush();
  }
  if (!closed_) read();
}

int http2_connection::frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user) {
  const auto& handlers = self(user).handlers_;
  const bool carries_message = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  if (carries_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    if (handlers.on_end) handlers.on_end(frame->hd.stream_id);
  } else if (frame->hd.type == NGHTTP2_GOAWAY) {
    if (handlers.on_goaway) handlers.on_goaway();
  }
  return 0;
}

int http2_connection::header_received(nghttp2_session*, const nghttp2_frame* frame,
                                      const std::uint8_t* name, std::size_t name_size,
                                      const std::uint8_t* value, std::size_t value_size,
                                      std::uint8_t, void* user) {
  const auto& handlers = self(user).handlers_;
  if (handlers.on_header) {
    handlers.on_header(frame->hd.stream_id, {reinterpret_cast<const char*>(name), name_size},
                       {reinterpret_cast<const char*>(value), value_size});
  }
  return 0;
}

int http2_connection::data_received(nghttp2_session*, std::uint8_t, std::int32_t stream,
                                    const std::uint8_t* data, std::size_t size, void* user) {
  const auto& handlers = self(user).handlers_;
  if (handlers.on_data) handlers.on_data(stream, {reinterpret_cast<const char*>(data), size});
  return 0;
}

int http2_connection::stream_closed(nghttp2_session*, std::int32_t stream, std::uint32_t error,
                                    void* user) {
  auto& connection = self(user);
  connection.bodies_.erase(stream);
  if (connection.handlers_.on_stream_close) connection.handlers_.on_stream_close(stream, error);
  return 0;
}

int http2_connection::before_send(nghttp2_session*, const nghttp2_frame* frame, void* user) {
  const auto& handlers = self(user).handlers_;
  if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST &&
      handlers.on_request_written) {
    handlers.on_request_written(frame->hd.stream_id);
  }
  return 0;
}

ssize_t http2_connection::read_body(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer,
                                    std::size_t size, std::uint32_t* flags, nghttp2_data_source*,
                                    void* user) {
  auto& bodies = self(user).bodies_;
  const auto found = bodies.find(stream);
  if (found == bodies.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  auto& body = found->second;
  const auto count = std::min(size, body.bytes.size() - body.sent);
  std::copy_n(body.bytes.data() + body.sent, count, buffer);
  body.sent += count;
  if (body.sent == body.bytes.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

}  // namespace coltsfoot::internal
