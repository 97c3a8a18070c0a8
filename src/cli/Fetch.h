#pragma once

#include "cli/Replies.h"

#include <functional>
#include <variant>

/// \file
/// \brief Selection of entry instances, retries, and interpretation of the replies.

namespace pistachiostand {

using FetchResult = std::variant<HttpReply, Failure>;

/// \brief Returns true when a reply with status 200 is complete.
using ReplyCheck = std::function<bool(const HttpReply&)>;

/// \brief Sends a read-only request to the entry instances in order, once to each.
///
/// The next one is tried after a failed exchange or an incomplete or 5xx reply; any other reply is
/// final.
[[nodiscard]] FetchResult Fetch(const Environment& aEnvironment,
                                const std::vector<Endpoint>& aEntries,
                                const CommandRequest& aRequest, Millis aTimeoutMs,
                                const ReplyCheck& aIsComplete);

/// \brief Sends a publish and retries it unchanged until its outcome is known or the timeout
/// expires.
///
/// The daemon derives the id of a publish from base, author and text, so a retry returns the
/// outcome of the first attempt.
[[nodiscard]] FetchResult SendPublish(const Environment& aEnvironment,
                                      const std::vector<Endpoint>& aEntries,
                                      const CommandRequest& aRequest, Millis aTimeoutMs);

} // namespace pistachiostand
