#include "tests/process/support/peer_frames.h"

#include <array>
#include <string_view>

namespace coltsfoot::testing {
namespace {

constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr std::size_t largest_frame = 16'384;

enum class frame_type : std::uint8_t { data = 0, headers = 1, settings = 4 };
constexpr std::uint8_t no_flags = 0;
constexpr std::uint8_t acknowledged = 0x1;
constexpr std::uint8_t end_of_stream = 0x1;
constexpr std::uint8_t end_of_headers = 0x4;

// RFC 9113, 4.1: length, type, flags, stream.
std::string frame(frame_type type, std::uint8_t flags, std::uint32_t stream,
                  std::string_view payload) {
  const auto size = static_cast<std::uint32_t>(payload.size());
  const std::array<std::uint32_t, 9> head{
      size >> 16U,   size >> 8U,   size,  static_cast<std::uint32_t>(type), flags, stream >> 24U,
      stream >> 16U, stream >> 8U, stream};
  std::string bytes;
  for (const auto part : head) bytes.push_back(static_cast<char>(part & 0xffU));
  return bytes.append(payload);
}

}  // namespace

std::string http2_opening() {
  return std::string{preface} + frame(frame_type::settings, no_flags, 0, {}) +
         frame(frame_type::settings, acknowledged, 0, {});
}

std::string http2_request(std::uint32_t stream) {
  // RFC 7541: `:method: POST` and `:scheme: http` are entries 3 and 6 of the static table;
  // `:path` and `:authority`, with the names of entries 4 and 1, are literals without an index.
  static constexpr std::string_view fields = "\x83\x86\x04\x05/peer\x01\x01p";
  return frame(frame_type::headers, end_of_headers, stream, fields);
}

std::string http2_data(std::uint32_t stream, std::string_view bytes) {
  std::string frames;
  for (std::size_t sent = 0; sent < bytes.size(); sent += largest_frame) {
    frames += frame(frame_type::data, no_flags, stream, bytes.substr(sent, largest_frame));
  }
  return frames;
}

std::string http2_end(std::uint32_t stream) {
  return frame(frame_type::data, end_of_stream, stream, {});
}

}  // namespace coltsfoot::testing
