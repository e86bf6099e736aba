// One HTTP/2 connection over a TCP socket: an nghttp2 session with its reads and writes. Used by
// the peer server and the peer client.
//
//   auto connection = std::make_shared<http2_connection>(std::move(socket), role, limits,
//   handlers); connection->start(); connection->submit_response(stream, 200, body);
#pragma once

#include <nghttp2/nghttp2.h>

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coltsfoot/base/time.h"

namespace coltsfoot::internal {

enum class http2_role { client, server };

struct http2_limits {
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  std::uint32_t max_concurrent_streams = 256;  // of the remote side
};

// Called on the connection's executor, also from within nghttp2; they may submit but not close.
struct http2_handlers {
  std::function<void(std::int32_t stream, std::string_view name, std::string_view value)> on_header;
  std::function<void(std::int32_t stream, std::string_view bytes)> on_data;
  std::function<void(std::int32_t stream)> on_end;  // the remote side's message is whole
  std::function<void(std::int32_t stream, std::uint32_t error)> on_stream_close;
  std::function<void(std::int32_t stream)> on_request_written;  // before any byte of it is sent
  std::function<void()> on_goaway;
  std::function<void(std::size_t received, std::size_t sent)> on_bytes;  // of the socket
  std::function<void(std::string reason)> on_closed;  // once, also without an error
};

// Not thread-safe: all calls are made on the executor of the socket.
class http2_connection : public std::enable_shared_from_this<http2_connection> {
 public:
  http2_connection(asio::ip::tcp::socket socket, http2_role role, http2_limits limits,
                   http2_handlers handlers);
  ~http2_connection();
  http2_connection(const http2_connection&) = delete;
  http2_connection& operator=(const http2_connection&) = delete;

  // Sends the settings and begins to read.
  void start();

  // Returns the stream id, or a negative number if no stream can be opened any more.
  std::int32_t submit_request(const std::string& authority, const std::string& path,
                              std::string body);
  void submit_response(std::int32_t stream, int status, std::string body);
  void reset_stream(std::int32_t stream, std::uint32_t error);

  // Announces the last processed stream. The connection closes when all streams have ended.
  void go_away();

  // Closes the socket at once.
  void close(const std::string& reason);

  bool is_open() const { return !closed_; }
  // When bytes were last received.
  std::chrono::steady_clock::time_point last_received() const { return last_received_; }

 private:
  struct outgoing_body {
    std::string bytes;
    std::size_t sent = 0;
  };

  nghttp2_session_callbacks* make_callbacks() const;
  nghttp2_data_provider provider_for(std::int32_t stream, std::string body);
  void schedule_flush();
  void flush();
  void read();
  void on_read(std::size_t size);
  void finish();

  static http2_connection& self(void* user) { return *static_cast<http2_connection*>(user); }
  static int frame_received(nghttp2_session* session, const nghttp2_frame* frame, void* user);
  static int header_received(nghttp2_session* session, const nghttp2_frame* frame,
                             const std::uint8_t* name, std::size_t name_size,
                             const std::uint8_t* value, std::size_t value_size, std::uint8_t flags,
                             void* user);
  static int data_received(nghttp2_session* session, std::uint8_t flags, std::int32_t stream,
                           const std::uint8_t* data, std::size_t size, void* user);
  static int stream_closed(nghttp2_session* session, std::int32_t stream, std::uint32_t error,
                           void* user);
  static int before_send(nghttp2_session* session, const nghttp2_frame* frame, void* user);
  static ssize_t read_body(nghttp2_session* session, std::int32_t stream, std::uint8_t* buffer,
                           std::size_t size, std::uint32_t* flags, nghttp2_data_source* source,
                           void* user);

  asio::ip::tcp::socket socket_;
  asio::steady_timer linger_;
  http2_role role_;
  http2_limits limits_;
  http2_handlers handlers_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, outgoing_body> bodies_;
  std::array<std::uint8_t, 32'768> read_buffer_{};
  std::vector<std::uint8_t> write_buffer_;
  std::chrono::steady_clock::time_point last_received_{};
  bool flush_scheduled_ = false;
  bool writing_ = false;
  bool finishing_ = false;
  bool closed_ = false;
};

}  // namespace coltsfoot::internal
