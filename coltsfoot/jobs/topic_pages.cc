#include "coltsfoot/jobs/topic_pages.h"

#include <fmt/format.h>

#include <utility>

namespace coltsfoot::jobs {
namespace {

std::string topic_text(const topic_read& event) {
  return fmt::format("topic={} shard={}", name_of(event.topic), event.shard);
}

}  // namespace

std::optional<topic_change> take_page(topic_follower& follower, topic_read event,
                                      node_context& context) {
  if (const auto* failed = std::get_if<read_failed>(&event.page)) {
    if (failed->history_gone) {
      context.log(severity::warning, fmt::format("event=history_gone {} offset={}",
                                                 topic_text(event), follower.position()));
      follower.on_history_gone(context.now);
      return std::nullopt;
    }
    ++context.stats.reads_failed;
    if (follower.healthy_since()) {
      context.log(severity::warning, "event=store_read_lost " + topic_text(event));
    }
    follower.on_failure(context.now);
    return std::nullopt;
  }
  context.store_contact = context.now;
  if (!follower.healthy_since()) {
    context.log(severity::info, "event=store_read_regained " + topic_text(event));
  }
  if (auto* listing = std::get_if<list_page>(&event.page)) {
    return follower.on_page(std::move(*listing), context.now);
  }
  return follower.on_page(std::move(std::get<tail_page>(event.page)), context.now);
}

}  // namespace coltsfoot::jobs
