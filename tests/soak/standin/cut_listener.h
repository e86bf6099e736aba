// A stand-in's listener for the calls of one node, which can be cut: while it is, calls don't
// arrive, or are executed without an answer. Calls that were held up may be executed when the cut
// ends.
//
//   cut_listener listener{[](const rest_request& request, const rest_responder& respond) {...}};
//   listener.cut(cut_kind::both_ways);
//   listener.heal(true);
#pragma once

#include <mutex>
#include <utility>
#include <vector>

#include "coltsfoot/transport/internal/rest_listener.h"

namespace coltsfoot::testing {

using internal::rest_handler;
using internal::rest_listener;
using internal::rest_request;
using internal::rest_responder;
using internal::rest_response;

enum class cut_kind { none, both_ways, answers_only };

class cut_listener {
 public:
  explicit cut_listener(rest_handler handler)
      : handler_(std::move(handler)),
        listener_({}, [this](rest_request request, const rest_responder& respond) {
          receive(std::move(request), respond);
        }) {}

  bool start() { return listener_.start().has_value(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }

  // Cuts may overlap: the listener is whole again once each of them has been healed.
  void cut(cut_kind kind) {
    const std::lock_guard lock{mutex_};
    ++cuts_;
    if (kind_ != cut_kind::both_ways) kind_ = kind;
  }
  // `late`: whether the calls that were held up are executed now, without an answer.
  void heal(bool late) {
    std::vector<rest_request> held;
    {
      const std::lock_guard lock{mutex_};
      if (--cuts_ > 0) return;
      kind_ = cut_kind::none;
      held = std::exchange(held_, {});
    }
    if (!late) return;
    for (auto& request : held) handler_(std::move(request), [](const rest_response&) {});
  }
  bool is_cut() const {
    const std::lock_guard lock{mutex_};
    return kind_ != cut_kind::none;
  }

 private:
  static constexpr std::size_t most_held = 200;

  void receive(rest_request request, const rest_responder& respond) {
    {
      const std::lock_guard lock{mutex_};
      if (kind_ == cut_kind::both_ways) {
        if (held_.size() < most_held) held_.push_back(std::move(request));
        silent_.push_back(respond);
        return;
      }
    }
    handler_(std::move(request), [this, respond](rest_response response) {
      const std::lock_guard lock{mutex_};
      if (kind_ == cut_kind::none) return respond(std::move(response));
      silent_.push_back(respond);  // its connection stays open without an answer
    });
  }

  rest_handler handler_;
  mutable std::mutex mutex_;
  int cuts_ = 0;
  cut_kind kind_ = cut_kind::none;
  std::vector<rest_request> held_;
  std::vector<rest_responder> silent_;
  rest_listener listener_;
};

}  // namespace coltsfoot::testing
