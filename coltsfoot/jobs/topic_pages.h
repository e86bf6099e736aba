// Hands what was read of a topic to its follower, and logs when the topic is lost and regained.
//
//   if (const auto change = take_page(follower, std::move(event), context)) apply(*change);
#pragma once

#include <optional>

#include "coltsfoot/jobs/node_context.h"

namespace coltsfoot::jobs {

// Returns the records to apply, if the page completed any.
std::optional<topic_change> take_page(topic_follower& follower, topic_read event,
                                      node_context& context);

}  // namespace coltsfoot::jobs
