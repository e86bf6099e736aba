// One unit on this node: its stream, its ownership and the unit object itself.
//
//   owned_stream<rack_owner> rack{{.unit = id, .self = self, .chart = &chart},
//                                 [] { return rack_owner{options}; }};
//   rack.request_claim(now, env);
//   rack.with_unit(now, env, [&](rack_owner& unit, unit_context& ctx) {
//     unit.on_place_task(call, request, now, ctx);
//   });
//
// Results of calls with the origin {core_module::unit_log, id} go to `on_log_read` and
// `on_log_appended`; those with the origin {core_module::unit, id} go to the unit by `with_unit`.
#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "coltsfoot/ownership/owned_stream_base.h"

namespace coltsfoot {

template <owned_unit Unit>
class owned_stream final : public owned_stream_base {
 public:
  using unit_factory = std::function<Unit()>;

  owned_stream(owned_stream_options options, unit_factory make_unit)
      : owned_stream_base(std::move(options)), make_unit_(std::move(make_unit)) {
    make();
  }

  // The unit. The reference is valid until the next call that changes this object.
  const Unit& unit() const { return *unit_; }

  // Calls `f(unit, context)`, then queues the records it appended and sends what is due. Records
  // appended while this node doesn't own the unit are handed back by `on_dropped`.
  template <typename F>
  void with_unit(time_point now, const env& e, F&& f) {
    call_unit(now, e, [&](unit_context& ctx) { std::forward<F>(f)(*unit_, ctx); });
    flush(now, e);
  }

 private:
  void make() { unit_.reset(new Unit(make_unit_())); }
  void remake_unit() override { make(); }
  void unit_apply(const record& r, time_point now, unit_context& ctx) override {
    unit_->apply(r, now, ctx);
  }
  std::vector<record> unit_snapshot() const override {
    return std::as_const(*unit_).snapshot_records();
  }
  void unit_start_owning(epoch e, time_point now, unit_context& ctx) override {
    unit_->start_owning(e, now, ctx);
  }
  void unit_dropped(const record& r, time_point now, unit_context& ctx) override {
    unit_->on_dropped(r, now, ctx);
  }
  void unit_lost(time_point now, unit_context& ctx) override { unit_->on_ownership_lost(now, ctx); }
  void unit_tick(time_point now, unit_context& ctx) override { unit_->on_tick(now, ctx); }
  bool unit_drain(time_point now, unit_context& ctx) override { return unit_->drain(now, ctx); }

  unit_factory make_unit_;
  std::unique_ptr<Unit> unit_;
};

}  // namespace coltsfoot
