// The HTTP parser's callbacks of the listeners: those of RESTinio, and a count of what an
// incomplete request holds. A listener uses them through its traits:
//
//   using http_methods_mapper_t = counted_methods;
#pragma once

#include <restinio/all.hpp>

#include "coltsfoot/transport/internal/client_socket.h"

namespace coltsfoot::internal {

// Selects the callbacks below.
struct counted_methods : restinio::default_http_methods_t {};

// Memory of a header field beside its text: the name and the value as strings, the enumerator, and
// the header's own list.
inline constexpr std::size_t header_field_bytes = 128;

inline restinio::impl::http_parser_ctx_t& context_of(http_parser* parser) {
  return *static_cast<restinio::impl::http_parser_ctx_t*>(parser->data);
}

inline int begin_request(http_parser* parser) {
  if (auto* connection = current_connection()) {
    connection->request.body = &context_of(parser).m_body;
    connection->request.header_bytes = 0;
  }
  return 0;
}

inline void count_header_bytes(std::size_t bytes) {
  if (auto* connection = current_connection()) connection->request.header_bytes += bytes;
}

inline int end_request(http_parser* parser) {
  if (auto* connection = current_connection()) {
    auto& request = connection->request;
    request.complete_bytes = request.bytes();
    request.complete_body = std::exchange(context_of(parser).m_body, {});
    request.body = nullptr;
  }
  return restinio::impl::restinio_message_complete_cb<counted_methods>(parser);
}

}  // namespace coltsfoot::internal

namespace restinio::impl {

// Unlike RESTinio's own, keeps no entry for each chunk: nothing reads them, and for small chunks
// they take more memory than the body.
template <>
inline http_parser_settings
create_parser_settings<coltsfoot::internal::counted_methods>() noexcept {
  namespace counted = coltsfoot::internal;
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = counted::begin_request;
  settings.on_url = [](http_parser* parser, const char* text, std::size_t size) {
    counted::count_header_bytes(size);
    return restinio_url_cb(parser, text, size);
  };
  settings.on_header_field = [](http_parser* parser, const char* text, std::size_t size) {
    const bool is_new = counted::context_of(parser).m_last_was_value;
    counted::count_header_bytes(size + (is_new ? counted::header_field_bytes : 0));
    return restinio_header_field_cb(parser, text, size);
  };
  settings.on_header_value = [](http_parser* parser, const char* text, std::size_t size) {
    counted::count_header_bytes(size);
    return restinio_header_value_cb(parser, text, size);
  };
  settings.on_headers_complete = [](http_parser* parser) {
    return restinio_headers_complete_cb(parser);
  };
  settings.on_body = [](http_parser* parser, const char* text, std::size_t size) {
    return restinio_body_cb(parser, text, size);
  };
  settings.on_message_complete = counted::end_request;
  return settings;
}

}  // namespace restinio::impl
