// Bytes of HTTP/2 as a client of the peer port sends them. Nothing of an answer is read.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoot::testing {

// The preface, settings, and the acknowledgement of the server's settings, which the server sends
// without waiting for the client.
std::string http2_opening();

// The headers of POST /peer on a stream; the body is still to come. Streams have odd numbers.
std::string http2_request(std::uint32_t stream);

// A part of a body, as frames of the largest size that is always allowed.
std::string http2_data(std::uint32_t stream, std::string_view bytes);

// The end of a body.
std::string http2_end(std::uint32_t stream);

}  // namespace coltsfoot::testing
