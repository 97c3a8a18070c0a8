#pragma once

#include "cli/Replies.h"

#include <functional>
#include <variant>

/// \file
/// \brief Which entry instance is asked, how often, and what the last answer means.

namespace pistachiostand {

using FetchResult = std::variant<HttpReply, Failure>;

/// \brief True when the body of a reply with status 200 is complete.
using ReplyCheck = std::function<bool(const HttpReply&)>;

/// \brief Sends a request that changes nothing to one entry instance after the other, each once.
///
/// A lost, incomplete or 5xx reply moves on to the next; any other reply is final.
[[nodiscard]] FetchResult Fetch(const Environment& aEnvironment,
                                const std::vector<Endpoint>& aEntries,
                                const CommandRequest& aRequest, Millis aTimeoutMs,
                                const ReplyCheck& aIsComplete);

/// \brief Sends a publish, and repeats it unchanged until its outcome is known or the time is over.
///
/// The daemon derives the id of a publish from base, author and text, so a repeat returns the
/// verdict of the first.
[[nodiscard]] FetchResult SendPublish(const Environment& aEnvironment,
                                      const std::vector<Endpoint>& aEntries,
                                      const CommandRequest& aRequest, Millis aTimeoutMs);

} // namespace pistachiostand
