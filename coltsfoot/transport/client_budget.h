// Bounds what clients hold of a process: memory of requests and unread responses, and open
// connections. One budget is shared by all HTTP listeners of the process. When a limit is reached,
// connections that are idle, incomplete or unread are closed. Requests that are complete are never
// closed: those that would take more than their share of the memory are refused at once.
//
//   auto clients = std::make_shared<client_budget>(client_limits{.bytes = 40 << 20});
//   http_server server{{.clients = clients}, ...};
//   clients->set_limits(new_limits);  // closes at once what is above them
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>

namespace coltsfoot {

struct client_limits {
  std::size_t bytes = std::numeric_limits<std::size_t>::max();
  std::size_t connections = std::numeric_limits<std::size_t>::max();
};

// Why connections were closed.
enum class client_close_cause {
  memory_receiving,  // an incomplete request, because of the memory
  memory_sending,    // a response that is not read, because of the memory
  connections,       // idle or incomplete, in favour of a new connection
  refused,           // a new one, while all others wait for their response or are being closed
  memory_waiting     // after a refusal: the complete requests that wait hold their share
};
inline constexpr std::size_t client_close_causes = 5;

struct client_budget_stats {
  std::size_t bytes = 0;          // of connections that are being closed too
  std::size_t waiting_bytes = 0;  // part of `bytes`, of complete requests
  std::size_t connections = 0;
  client_limits limits;
  std::array<std::uint64_t, client_close_causes> closed{};  // since the start, by cause
  std::uint64_t failed_accepts = 0;                         // since the start
};

// Approximate memory of a connection without a request: RESTinio's connection with its input buffer
// of 4 KiB, the socket's state in the reactor, and the account.
inline constexpr std::size_t client_connection_bytes = 8'192;

// An incomplete request of which more comes this much later is making progress, if slowly.
inline constexpr std::chrono::milliseconds client_progress_interval{200};

enum class begin_verdict {
  accepted,
  closed,  // the budget has closed the connection: the request must not run
  refused  // for want of memory: it must be refused
};

class client_account;

// All member functions may be called from any thread.
class client_budget {
 public:
  explicit client_budget(client_limits limits = {}) : limits_(limits) {}
  client_budget(const client_budget&) = delete;
  client_budget& operator=(const client_budget&) = delete;

  void set_limits(client_limits limits);
  client_budget_stats stats() const;

  // A listener could not accept a connection.
  void count_failed_accept() { ++failed_accepts_; }

 private:
  friend class client_account;
  // In the order of how long they have been in the phase; `progressing` in that of how long nothing
  // has come. Accounts that are closed are in no list.
  enum phase : std::size_t { idle, receiving, progressing, handling, sending, phases };
  using account_list = std::list<client_account*>;

  // These need the lock.
  void move_to_phase(client_account& account);
  void change_bytes(client_account& account, std::size_t bytes);
  void enforce_bytes();
  bool admit_connection();
  bool admit_waiting(std::size_t bytes) const;
  client_account* connection_to_close() const;
  client_account* holder_to_close() const;
  bool is_lone(const client_account& account) const;
  void count_source(const client_account& account, bool opened);
  using account_filter = std::function<bool(const client_account&)>;
  client_account* oldest(std::initializer_list<phase> candidates,
                         const account_filter& filter) const;
  void close(client_account& account, client_close_cause cause);
  void retire(client_account& account);
  void count(client_close_cause cause) { ++closed_[static_cast<std::size_t>(cause)]; }

  mutable std::mutex mutex_;
  client_limits limits_;
  std::array<account_list, phases> accounts_;
  std::uint64_t last_change_ = 0;  // orders the accounts of different phases
  std::size_t bytes_ = 0;
  std::size_t retired_bytes_ = 0;  // part of `bytes_`, of accounts that are closed
  std::size_t waiting_bytes_ = 0;  // part of `bytes_`, of complete requests
  std::size_t connections_ = 0;    // that are not closed
  // Of connections that are not closed, by source, and how many sources have only one.
  std::unordered_map<std::string, std::size_t> connections_from_;
  std::size_t lone_sources_ = 0;
  std::size_t closing_ = 0;  // closed by the budget, and their descriptors are still open
  std::array<std::uint64_t, client_close_causes> closed_{};
  std::atomic<std::uint64_t> failed_accepts_ = 0;
};

// What one connection holds. All member functions may be called from any thread.
class client_account {
 public:
  // `source` names where the connection comes from; empty if that is not known. Returns null if no
  // connection can be closed in favour of this one; the client is then told so.
  static std::shared_ptr<client_account> open(std::shared_ptr<client_budget> budget, int descriptor,
                                              std::string source = {});
  // Its memory has been released.
  ~client_account();
  client_account(const client_account&) = delete;
  client_account& operator=(const client_account&) = delete;

  // An incomplete request holds `bytes`.
  void receive(std::size_t bytes, std::chrono::steady_clock::time_point now);
  // A request of `bytes` is complete. A refused one counts as handled, with no bytes.
  [[nodiscard]] begin_verdict begin_handling(std::size_t bytes);
  // A request that is handled takes `bytes` more, for example in decoded form. False if it must be
  // refused; the bytes are not counted then.
  [[nodiscard]] bool hold_more(std::size_t bytes);
  void begin_sending(std::size_t request_bytes, std::size_t response_bytes);
  void end_sending(std::size_t response_bytes);

  // Whether the budget has closed the connection. What still comes on it must not be used.
  bool closed() const { return closed_; }

  // Must be called before the descriptor is closed. The budget doesn't use it after that.
  void detach();

 private:
  friend class client_budget;
  client_account(std::shared_ptr<client_budget> budget, int descriptor, std::string source)
      : budget_(std::move(budget)), source_(std::move(source)), descriptor_(descriptor) {}
  client_budget::phase phase() const;

  const std::shared_ptr<client_budget> budget_;
  const std::string source_;
  std::atomic<bool> closed_ = false;
  // Guarded by the mutex of the budget.
  int descriptor_;
  bool listed_ = false;
  bool closing_ = false;
  client_budget::phase listed_phase_ = client_budget::idle;
  client_budget::account_list::iterator place_;
  std::uint64_t since_ = 0;
  std::size_t bytes_ = 0;           // all of the following
  std::size_t received_bytes_ = 0;  // of the incomplete request
  std::size_t handled_bytes_ = 0;
  std::size_t unsent_bytes_ = 0;
  bool receives_ = false;
  bool progresses_ = false;
  std::chrono::steady_clock::time_point last_received_;
  std::size_t handled_requests_ = 0;
  std::size_t unsent_responses_ = 0;
};

// A complete request that is handled, and what it holds until it is answered.
class waiting_request {
 public:
  waiting_request(std::shared_ptr<client_account> account, std::size_t bytes)
      : account_(std::move(account)), bytes_(bytes) {}

  // As `client_account::hold_more`.
  [[nodiscard]] bool hold_more(std::size_t bytes) {
    if (!account_->hold_more(bytes)) return false;
    bytes_ += bytes;
    return true;
  }
  void begin_sending(std::size_t response_bytes) {
    account_->begin_sending(bytes_, response_bytes);
  }
  void end_sending(std::size_t response_bytes) { account_->end_sending(response_bytes); }

 private:
  std::shared_ptr<client_account> account_;
  std::atomic<std::size_t> bytes_;
};

}  // namespace coltsfoot
