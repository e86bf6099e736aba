#include "coltsfoot/ctl/admin_client.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <memory>

namespace coltsfoot {
namespace {

// A reply with 10,000 customers and tasks stays far below it.
constexpr std::size_t max_reply_bytes = 64 << 20;

constexpr long http_ok = 200;

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target) {
  auto& body = *static_cast<std::string*>(target);
  if (body.size() + size * count > max_reply_bytes) return 0;  // ends the transfer
  body.append(data, size * count);
  return size * count;
}

bool was_not_reached(CURL* curl, CURLcode code) {
  if (code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT) return true;
  curl_off_t connected_after_us = 0;
  curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connected_after_us);
  return code == CURLE_OPERATION_TIMEDOUT && connected_after_us == 0;
}

tl::expected<operator_reply, client_error> ask_node(const std::string& node, std::string_view name,
                                                    const std::string& body, duration timeout) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl{curl_easy_init(),
                                                                 &curl_easy_cleanup};
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers{
      curl_slist_append(nullptr, "Content-Type: application/json"), &curl_slist_free_all};
  const std::string url = fmt::format("http://{}/v1/admin/{}", node, name);
  std::string answer;
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(curl.get(), CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &answer);
  const CURLcode code = curl_easy_perform(curl.get());
  if (code != CURLE_OK) {
    const auto kind =
        was_not_reached(curl.get(), code) ? client_failure::not_reached : client_failure::unknown;
    return tl::unexpected(client_error{kind, node + ": " + curl_easy_strerror(code)});
  }
  auto reply = decode_json<operator_reply>(answer);
  if (reply) return *reply;
  long status = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  const std::string what =
      status == http_ok ? reply.error().message : fmt::format("HTTP {}", status);
  return tl::unexpected(client_error{client_failure::unknown, node + ": " + what});
}

}  // namespace

tl::expected<operator_reply, client_error> ask_nodes(const std::vector<std::string>& nodes,
                                                     const operator_request& request,
                                                     duration timeout) {
  const auto [name, body] = std::visit(
      [](const auto& r) {
        return std::pair{std::decay_t<decltype(r)>::message_name, nlohmann::json(r).dump()};
      },
      request);
  client_error last{client_failure::not_reached, "no node is given"};
  for (const std::string& node : nodes) {
    auto reply = ask_node(node, name, body, timeout);
    if (reply || reply.error().kind == client_failure::unknown) return reply;
    last = reply.error();
  }
  return tl::unexpected(last);
}

}  // namespace coltsfoot
