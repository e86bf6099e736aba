#include "coltsfoot/transport/client_budget.h"

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace coltsfoot {
namespace {

constexpr std::string_view not_run_response =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Retry-After: 1\r\n"
    "Connection: close\r\n"
    "Content-Type: text/plain\r\n"
    "Content-Length: 71\r\n"
    "\r\n"
    "not run: the server closes incomplete requests because it is overloaded";

// The part of the memory, and of the connections, that one kind of them may take: complete requests
// that wait, and connections whose incomplete requests make progress.
constexpr std::size_t kind_divisor = 2;

// The part of the connections that may be spared as the only ones of their sources.
constexpr std::size_t lone_divisor = 4;

// Connections that are being closed may hold descriptors for one in this many connections allowed.
constexpr std::size_t closing_share = 4;

// Neither waits nor fails: a client whose receive buffer is full only sees the end.
void send_not_run(int descriptor) {
  static_cast<void>(::send(descriptor, not_run_response.data(), not_run_response.size(),
                           MSG_DONTWAIT | MSG_NOSIGNAL));
}

}  // namespace

void client_budget::set_limits(client_limits limits) {
  const std::lock_guard lock{mutex_};
  limits_ = limits;
  enforce_bytes();
  while (connections_ > limits_.connections) {
    auto* account = connection_to_close();
    if (account == nullptr) return;
    close(*account, client_close_cause::connections);
  }
}

client_budget_stats client_budget::stats() const {
  const std::lock_guard lock{mutex_};
  return {.bytes = bytes_,
          .waiting_bytes = waiting_bytes_,
          .connections = connections_,
          .limits = limits_,
          .closed = closed_,
          .failed_accepts = failed_accepts_};
}

void client_budget::move_to_phase(client_account& account) {
  const auto phase = account.phase();
  if (!account.listed_) return;
  if (phase == account.listed_phase_ && phase != progressing) return;
  auto& to = accounts_[phase];
  to.splice(to.end(), accounts_[account.listed_phase_], account.place_);
  account.listed_phase_ = phase;
  account.since_ = ++last_change_;
}

void client_budget::change_bytes(client_account& account, std::size_t bytes) {
  bytes_ += bytes - account.bytes_;
  if (!account.listed_) retired_bytes_ += bytes - account.bytes_;
  account.bytes_ = bytes;
}

void client_budget::enforce_bytes() {
  while (bytes_ - retired_bytes_ > limits_.bytes) {
    auto* account = holder_to_close();
    if (account == nullptr) return;
    close(*account, account->listed_phase_ == sending ? client_close_cause::memory_sending
                                                      : client_close_cause::memory_receiving);
  }
}

// Connections that the budget has closed hold their descriptors until their own threads close them.
// While new connections come faster than that, they are refused.
bool client_budget::admit_connection() {
  const auto descriptors = connections_ + closing_;
  const auto spare = std::max<std::size_t>(limits_.connections / closing_share, 1);
  if (descriptors > spare && descriptors - spare >= limits_.connections) {
    count(client_close_cause::refused);
    return false;
  }
  if (connections_ < limits_.connections) return true;
  auto* account = connection_to_close();
  if (account == nullptr) {
    count(client_close_cause::refused);
    return false;
  }
  close(*account, client_close_cause::connections);
  return true;
}

// One request at least is admitted, so that each that is within the listener's limits can be
// served.
bool client_budget::admit_waiting(std::size_t bytes) const {
  const auto share = limits_.bytes / kind_divisor;
  return waiting_bytes_ == 0 || (bytes <= share && waiting_bytes_ <= share - bytes);
}

// Clients that come back as often as they are closed would otherwise close each request that takes
// longer than theirs.
client_account* client_budget::connection_to_close() const {
  const auto any = [](const client_account&) { return true; };
  const auto not_lone = [this](const client_account& account) { return !is_lone(account); };
  const bool spares_progress = accounts_[progressing].size() <= limits_.connections / kind_divisor;
  for (const account_filter& filter : {account_filter{not_lone}, account_filter{any}}) {
    auto* slow = oldest({progressing}, filter);
    if (slow != nullptr && !spares_progress) return slow;
    if (auto* account = oldest({idle, receiving, sending}, filter)) return account;
    if (slow != nullptr) return slow;
  }
  return nullptr;
}

// While clients hold too much, some hold more than an equal part: those that don't are kept.
client_account* client_budget::holder_to_close() const {
  const auto equal_part = limits_.bytes / std::max<std::size_t>(limits_.connections, 1);
  const auto holds_more = [=](const client_account& account) {
    return account.bytes_ > equal_part;
  };
  const auto any = [](const client_account&) { return true; };
  if (auto* account = oldest({receiving, sending}, holds_more)) return account;
  if (auto* account = oldest({progressing}, holds_more)) return account;
  return oldest({receiving, sending, progressing}, any);
}

client_account* client_budget::oldest(std::initializer_list<phase> candidates,
                                      const account_filter& filter) const {
  client_account* found = nullptr;
  for (const auto phase : candidates) {
    const auto& accounts = accounts_[phase];
    const auto first = std::find_if(accounts.begin(), accounts.end(),
                                    [&](const auto* account) { return filter(*account); });
    if (first == accounts.end()) continue;
    if (found == nullptr || (*first)->since_ < found->since_) found = *first;
  }
  return found;
}

// Whether it is the only connection of its source. Where many sources have one, that tells nothing.
bool client_budget::is_lone(const client_account& account) const {
  if (lone_sources_ > limits_.connections / lone_divisor) return false;
  const auto found = connections_from_.find(account.source_);
  return found != connections_from_.end() && found->second == 1;
}

void client_budget::count_source(const client_account& account, bool opened) {
  if (account.source_.empty()) return;
  auto& count = connections_from_[account.source_];
  lone_sources_ -= count == 1 ? 1 : 0;
  count += opened ? 1 : -1;
  lone_sources_ += count == 1 ? 1 : 0;
  if (count == 0) connections_from_.erase(account.source_);
}

void client_budget::close(client_account& account, client_close_cause cause) {
  count(cause);
  account.closed_ = true;
  const bool incomplete =
      account.listed_phase_ == receiving || account.listed_phase_ == progressing;
  if (incomplete) send_not_run(account.descriptor_);
  // Wakes the connection's own thread, which then closes the descriptor.
  ::shutdown(account.descriptor_, SHUT_RDWR);
  account.closing_ = true;
  ++closing_;
  retire(account);
}

void client_budget::retire(client_account& account) {
  if (!account.listed_) return;
  accounts_[account.listed_phase_].erase(account.place_);
  account.listed_ = false;
  retired_bytes_ += account.bytes_;
  --connections_;
  count_source(account, false);
}

std::shared_ptr<client_account> client_account::open(std::shared_ptr<client_budget> budget,
                                                     int descriptor, std::string source) {
  auto& b = *budget;
  // The constructor is private.
  std::shared_ptr<client_account> account{
      new client_account{std::move(budget), descriptor, std::move(source)}};
  const std::lock_guard lock{b.mutex_};
  if (!b.admit_connection()) {
    send_not_run(descriptor);
    return nullptr;
  }
  auto& accounts = b.accounts_[client_budget::idle];
  account->place_ = accounts.insert(accounts.end(), account.get());
  account->listed_ = true;
  account->since_ = ++b.last_change_;
  ++b.connections_;
  b.count_source(*account, true);
  b.change_bytes(*account, client_connection_bytes);
  b.enforce_bytes();
  return account;
}

client_account::~client_account() {
  const std::lock_guard lock{budget_->mutex_};
  budget_->retire(*this);
  budget_->change_bytes(*this, 0);
  budget_->waiting_bytes_ -= handled_bytes_;
}

client_budget::phase client_account::phase() const {
  if (handled_requests_ > 0) return client_budget::handling;
  if (unsent_responses_ > 0) return client_budget::sending;
  if (!receives_) return client_budget::idle;
  return progresses_ ? client_budget::progressing : client_budget::receiving;
}

void client_account::receive(std::size_t bytes, std::chrono::steady_clock::time_point now) {
  const std::lock_guard lock{budget_->mutex_};
  if (!std::exchange(receives_, true)) {
    progresses_ = false;
  } else if (now - last_received_ >= client_progress_interval) {
    progresses_ = true;
  }
  last_received_ = now;
  budget_->change_bytes(*this, bytes_ - received_bytes_ + bytes);
  received_bytes_ = bytes;
  budget_->move_to_phase(*this);
  budget_->enforce_bytes();
}

begin_verdict client_account::begin_handling(std::size_t bytes) {
  const std::lock_guard lock{budget_->mutex_};
  if (closed_) return begin_verdict::closed;
  const bool admitted = budget_->admit_waiting(bytes);
  if (!admitted) {
    budget_->count(client_close_cause::memory_waiting);
    bytes = 0;
  }
  receives_ = false;
  ++handled_requests_;
  budget_->change_bytes(*this, bytes_ - received_bytes_ + bytes);
  received_bytes_ = 0;
  handled_bytes_ += bytes;
  budget_->waiting_bytes_ += bytes;
  budget_->move_to_phase(*this);
  budget_->enforce_bytes();
  return admitted ? begin_verdict::accepted : begin_verdict::refused;
}

bool client_account::hold_more(std::size_t bytes) {
  const std::lock_guard lock{budget_->mutex_};
  // What the request holds already must not stand in its own way.
  const bool alone = budget_->waiting_bytes_ == handled_bytes_;
  if (!alone && !budget_->admit_waiting(bytes)) {
    budget_->count(client_close_cause::memory_waiting);
    return false;
  }
  budget_->change_bytes(*this, bytes_ + bytes);
  handled_bytes_ += bytes;
  budget_->waiting_bytes_ += bytes;
  budget_->enforce_bytes();
  return true;
}

void client_account::begin_sending(std::size_t request_bytes, std::size_t response_bytes) {
  const std::lock_guard lock{budget_->mutex_};
  --handled_requests_;
  handled_bytes_ -= request_bytes;
  budget_->waiting_bytes_ -= request_bytes;
  ++unsent_responses_;
  unsent_bytes_ += response_bytes;
  budget_->change_bytes(*this, bytes_ - request_bytes + response_bytes);
  budget_->move_to_phase(*this);
  budget_->enforce_bytes();
}

void client_account::end_sending(std::size_t response_bytes) {
  const std::lock_guard lock{budget_->mutex_};
  --unsent_responses_;
  unsent_bytes_ -= response_bytes;
  budget_->change_bytes(*this, bytes_ - response_bytes);
  budget_->move_to_phase(*this);
}

void client_account::detach() {
  const std::lock_guard lock{budget_->mutex_};
  budget_->retire(*this);
  if (std::exchange(closing_, false)) --budget_->closing_;
  descriptor_ = -1;
}

}  // namespace coltsfoot
