#include "coltsfoot/transport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

#include "coltsfoot/transport/internal/host_queues.h"
#include "coltsfoot/transport/internal/rest_listener.h"
#include "coltsfoot/transport/internal/transfer_loop.h"

namespace coltsfoot {
namespace {

struct curl_easy_deleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using easy_handle = std::unique_ptr<CURL, curl_easy_deleter>;
struct curl_slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// One request from `send` to its result.
struct transfer {
  http_request request;
  http_client::callback done;
  http_client_options limits;
  std::chrono::steady_clock::time_point queued_at;
  std::chrono::steady_clock::time_point deadline;
  std::string host;  // and port
  easy_handle handle;
  std::unique_ptr<curl_slist, curl_slist_deleter> headers;
  http_response response;
  std::size_t header_bytes = 0;
  bool length_known = false;  // Content-Length or chunked
  int attempts = 0;           // times that libcurl was about to send the request
  std::chrono::steady_clock::time_point progressed_at;  // when bytes of the answer came last
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user) {
  auto& t = *static_cast<transfer*>(user);
  const auto bytes = size * count;
  if (t.response.body.size() + bytes > t.limits.max_answer_bytes) return CURL_WRITEFUNC_ERROR;
  t.response.body.append(data, bytes);
  t.progressed_at = std::chrono::steady_clock::now();
  return bytes;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user) {
  auto& t = *static_cast<transfer*>(user);
  const auto bytes = size * count;
  t.header_bytes += bytes;
  if (t.header_bytes > t.limits.max_header_bytes) return CURL_WRITEFUNC_ERROR;
  std::string_view line{data, bytes};
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) line.remove_suffix(1);
  if (line.starts_with("HTTP/")) {  // a new head follows an interim answer such as 100
    t.response.headers.clear();
    t.length_known = false;
    return bytes;
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return bytes;
  auto value = line.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) value.remove_prefix(1);
  const auto name = line.substr(0, colon);
  if (internal::equals_ignoring_case(name, "content-length") ||
      internal::equals_ignoring_case(name, "transfer-encoding")) {
    t.length_known = true;
  }
  t.response.headers.push_back({.name = std::string{name}, .value = std::string{value}});
  return bytes;
}

// libcurl sends a request again when a kept-alive connection turns out to be closed, although the
// server may have run it. The second attempt is refused here.
int on_before_send(void* user, char*, char*, int, int) {
  return ++static_cast<transfer*>(user)->attempts > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

bool has_control_characters(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](unsigned char c) { return c < 0x20 && c != '\t'; });
}

// Returns the reason if the request can't be expressed in HTTP.
std::string fault_of(const http_request& request) {
  const auto is_token_char = [](unsigned char c) { return c > 0x20 && c < 0x7f && c != ':'; };
  if (request.method.empty() ||
      !std::all_of(request.method.begin(), request.method.end(), is_token_char)) {
    return "invalid method";
  }
  for (const auto& header : request.headers) {
    if (header.name.empty() ||
        !std::all_of(header.name.begin(), header.name.end(), is_token_char) ||
        has_control_characters(header.value)) {
      return "invalid header: " + header.name;
    }
  }
  if (has_control_characters(request.url)) return "invalid URL";
  return {};
}

curl_slist* header_list(const http_request& request) {
  curl_slist* list = nullptr;
  // Headers that libcurl would add by itself.
  for (const char* name : {"Accept", "Content-Type", "Expect"}) {
    const bool given = std::any_of(
        request.headers.begin(), request.headers.end(),
        [name](const auto& header) { return internal::equals_ignoring_case(header.name, name); });
    if (!given) list = curl_slist_append(list, (std::string{name} + ":").c_str());
  }
  for (const auto& header : request.headers) {
    const auto line = header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
    list = curl_slist_append(list, line.c_str());
  }
  return list;
}

std::string host_of(const std::string& url) {
  const auto scheme_end = url.find("://");
  const auto begin = scheme_end == std::string::npos ? 0 : scheme_end + 3;
  return url.substr(begin, url.find('/', begin) - begin);
}

long timeout_ms_of(const transfer& t) {
  const auto left = std::chrono::ceil<duration>(t.deadline - std::chrono::steady_clock::now());
  return std::max<long>(1, static_cast<long>(left.count()));
}

void prepare(transfer& t) {
  t.headers.reset(header_list(t.request));
  CURL* h = t.handle.get();
  const long timeout = timeout_ms_of(t);
  curl_easy_setopt(h, CURLOPT_URL, t.request.url.c_str());
  curl_easy_setopt(h, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(h, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(h, CURLOPT_PROXY, "");
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
                   std::max<long>(1, std::min<long>(timeout, t.limits.connect_timeout.count())));
  curl_easy_setopt(h, CURLOPT_MAXAGE_CONN,
                   std::max<long>(1, t.limits.max_idle_connection.count() / 1000));
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, t.headers.get());
  if (t.request.method == "HEAD") {
    curl_easy_setopt(h, CURLOPT_NOBODY, 1L);
  } else {
    if (t.request.method != "GET" || !t.request.body.empty()) {
      curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(t.request.body.size()));
      curl_easy_setopt(h, CURLOPT_POSTFIELDS, t.request.body.c_str());
    }
    curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, t.request.method.c_str());
  }
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &t);
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, &t);
  curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt(h, CURLOPT_PREREQDATA, &t);
}

http_error failure(const transfer& t, std::string detail) {
  return {.kind = t.attempts == 0 ? http_failure::not_sent : http_failure::unknown,
          .detail = std::move(detail)};
}

std::uint64_t number_of(CURL* handle, CURLINFO info) {
  curl_off_t value = 0;
  curl_easy_getinfo(handle, info, &value);
  return static_cast<std::uint64_t>(value);
}

std::uint64_t long_of(CURL* handle, CURLINFO info) {
  long value = 0;
  curl_easy_getinfo(handle, info, &value);
  return static_cast<std::uint64_t>(value);
}

http_traffic traffic_of(const transfer& t, CURLcode code) {
  CURL* handle = t.handle.get();
  const auto body_bytes = number_of(handle, CURLINFO_SIZE_UPLOAD_T);
  // Includes the body if that was sent together with the head.
  const auto request_bytes = long_of(handle, CURLINFO_REQUEST_SIZE);
  const auto head_bytes = request_bytes >= body_bytes ? request_bytes - body_bytes : request_bytes;
  return {.calls = 1,
          .failures = code == CURLE_OK ? 0U : 1U,
          .connections = long_of(handle, CURLINFO_NUM_CONNECTS),
          .sent_bytes = head_bytes + body_bytes,
          .received_bytes =
              long_of(handle, CURLINFO_HEADER_SIZE) + number_of(handle, CURLINFO_SIZE_DOWNLOAD_T)};
}

http_result result_of(transfer& t, CURLcode code) {
  if (code != CURLE_OK) return tl::unexpected(failure(t, curl_easy_strerror(code)));
  long status = 0;
  curl_easy_getinfo(t.handle.get(), CURLINFO_RESPONSE_CODE, &status);
  t.response.status = static_cast<std::int32_t>(status);
  const bool has_no_body = t.request.method == "HEAD" || status == 204 || status == 304;
  // A body that ends with the connection can't be told from a truncated one.
  if (!t.length_known && !has_no_body) {
    return tl::unexpected(failure(t, "answer without a length"));
  }
  return std::move(t.response);
}

}  // namespace

class http_client::impl {
 public:
  explicit impl(http_client_options options)
      : options_(options), queues_(static_cast<std::size_t>(options.max_connections_per_host)) {
    thread_ = std::thread{[this] { run(); }};
  }
  ~impl() { stop(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void send(http_request request, callback done) {
    auto t = std::make_unique<transfer>();
    t->request = std::move(request);
    t->done = std::move(done);
    t->limits = options_;
    t->queued_at = std::chrono::steady_clock::now();
    t->deadline = t->queued_at + t->request.timeout;
    std::unique_lock lock{mutex_};
    if (stopping_) {
      lock.unlock();
      return t->done(tl::unexpected(failure(*t, "client stopped")));
    }
    const bool was_empty = queued_.empty();
    queued_.push_back(std::move(t));
    lock.unlock();
    // The thread takes all queued requests at once.
    if (was_empty) loop_.wake();
  }

  http_traffic_by_kind traffic() const {
    const std::scoped_lock lock{traffic_mutex_};
    return traffic_;
  }

  duration take_longest_delay() { return duration{longest_delay_ms_.exchange(0)}; }

  void stop() {
    {
      const std::scoped_lock lock{mutex_};
      stopping_ = true;
    }
    loop_.wake();
    if (thread_.joinable()) thread_.join();
  }

 private:
  void run() {
    while (true) {
      std::vector<std::unique_ptr<transfer>> fresh;
      bool stopping = false;
      {
        const std::scoped_lock lock{mutex_};
        fresh = std::exchange(queued_, {});
        stopping = stopping_;
      }
      for (auto& t : fresh) admit(std::move(t));
      if (stopping) return end_all();
      constexpr duration longest_wait{1'000};
      constexpr duration longest_wait_with_queue{20};
      loop_.run_once(
          std::min(queues_.waiting() == 0 ? longest_wait : longest_wait_with_queue, until_stall()));
      collect();
      end_stalled();
      for (auto& t : queues_.take_expired(std::chrono::steady_clock::now())) {
        t->done(tl::unexpected(failure(*t, "no connection in time")));
      }
    }
  }

  void note_delay(const transfer& t) {
    const auto delay = std::chrono::steady_clock::now() - t.queued_at;
    const auto ms = std::chrono::duration_cast<duration>(delay).count();
    if (ms > longest_delay_ms_) longest_delay_ms_ = ms;
  }

  void count(const transfer& t, CURLcode code) {
    const auto traffic = traffic_of(t, code);
    const std::scoped_lock lock{traffic_mutex_};
    traffic_[t.request.kind] += traffic;
  }

  void admit(std::unique_ptr<transfer> t) {
    note_delay(*t);
    if (const auto fault = fault_of(t->request); !fault.empty()) {
      return t->done(tl::unexpected(failure(*t, fault)));
    }
    t->host = host_of(t->request.url);
    const auto host = t->host;
    const auto deadline = t->deadline;
    if (auto ready = queues_.admit(host, std::move(t), deadline)) begin(std::move(ready));
  }

  void begin(std::unique_ptr<transfer> t) {
    t->handle = unused_handle();
    prepare(*t);
    CURL* handle = t->handle.get();
    t->progressed_at = std::chrono::steady_clock::now();
    if (t->request.stall_timeout) watched_.insert(handle);
    open_.emplace(handle, std::move(t));
    loop_.add(handle);
  }

  void collect() {
    while (const auto ended = loop_.next_ended()) {
      CURL* handle = ended->handle;
      const CURLcode code = ended->code;
      end(handle, code);
    }
  }

  void end(CURL* handle, CURLcode code) {
    auto t = std::move(open_.at(handle));
    open_.erase(handle);
    watched_.erase(handle);
    loop_.remove(handle);
    count(*t, code);
    auto result = result_of(*t, code);
    keep_for_reuse(std::move(t->handle));
    if (auto next = queues_.release(t->host)) begin(std::move(next));
    t->done(std::move(result));
  }

  std::chrono::steady_clock::time_point stall_time(CURL* handle) const {
    const auto& t = *open_.at(handle);
    return t.progressed_at + *t.request.stall_timeout;
  }

  // Time until the first of the watched requests would count as stalled.
  duration until_stall() const {
    duration left = duration::max();
    const auto now = std::chrono::steady_clock::now();
    for (CURL* handle : watched_) {
      left = std::min(left, std::chrono::ceil<duration>(stall_time(handle) - now));
    }
    return std::max(left, duration{0});
  }

  void end_stalled() {
    std::vector<CURL*> stalled;
    const auto now = std::chrono::steady_clock::now();
    for (CURL* handle : watched_) {
      if (now >= stall_time(handle)) stalled.push_back(handle);
    }
    // Removing an unfinished transfer closes its connection.
    for (CURL* handle : stalled) end(handle, CURLE_OPERATION_TIMEDOUT);
  }

  // Making a handle costs more than resetting one.
  easy_handle unused_handle() {
    if (unused_.empty()) return easy_handle{curl_easy_init()};
    auto handle = std::move(unused_.back());
    unused_.pop_back();
    return handle;
  }

  void keep_for_reuse(easy_handle handle) {
    constexpr std::size_t most_unused_handles = 32;
    if (unused_.size() >= most_unused_handles) return;
    curl_easy_reset(handle.get());
    unused_.push_back(std::move(handle));
  }

  void end_all() {
    auto open = std::exchange(open_, {});
    for (auto& [handle, t] : open) {
      loop_.remove(handle);
      t->done(tl::unexpected(failure(*t, "client stopped")));
    }
    for (auto& t : queues_.take_expired(std::chrono::steady_clock::time_point::max())) {
      t->done(tl::unexpected(failure(*t, "client stopped")));
    }
  }

  http_client_options options_;
  internal::transfer_loop loop_{{}};
  std::mutex mutex_;
  std::vector<std::unique_ptr<transfer>> queued_;
  bool stopping_ = false;
  mutable std::mutex traffic_mutex_;
  http_traffic_by_kind traffic_;
  std::atomic<duration::rep> longest_delay_ms_ = 0;
  // Used by the thread only.
  std::unordered_map<CURL*, std::unique_ptr<transfer>> open_;
  std::set<CURL*> watched_;  // open requests with a stall timeout
  std::vector<easy_handle> unused_;
  internal::host_queues<transfer> queues_;
  std::thread thread_;
};

http_client::http_client(http_client_options options) : impl_(std::make_unique<impl>(options)) {}
http_client::~http_client() = default;
void http_client::send(http_request request, callback done) {
  impl_->send(std::move(request), std::move(done));
}
http_traffic_by_kind http_client::traffic() const {
  return impl_->traffic();
}
duration http_client::take_longest_delay() {
  return impl_->take_longest_delay();
}
void http_client::stop() {
  impl_->stop();
}

http_traffic& http_traffic::operator+=(const http_traffic& other) {
  calls += other.calls;
  failures += other.failures;
  connections += other.connections;
  sent_bytes += other.sent_bytes;
  received_bytes += other.received_bytes;
  return *this;
}

http_traffic operator-(const http_traffic& a, const http_traffic& b) {
  return {.calls = a.calls - b.calls,
          .failures = a.failures - b.failures,
          .connections = a.connections - b.connections,
          .sent_bytes = a.sent_bytes - b.sent_bytes,
          .received_bytes = a.received_bytes - b.received_bytes};
}

std::string url_encode(std::string_view text) {
  static constexpr std::string_view digits = "0123456789ABCDEF";
  std::string out;
  for (const unsigned char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '.' || c == '_' || c == '~';
    if (plain) {
      out.push_back(static_cast<char>(c));
    } else {
      out.push_back('%');
      out.push_back(digits[c >> 4U]);
      out.push_back(digits[c & 0xfU]);
    }
  }
  return out;
}

}  // namespace coltsfoot
