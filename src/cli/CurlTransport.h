#pragma once

#include "cli/Http.h"

namespace pistachiostand {

/// \brief Performs one HTTP exchange with libcurl; blocks for at most `aTimeoutMs`.
[[nodiscard]] TransportResult Exchange(const Endpoint& aEntry, const CommandRequest& aRequest,
                                       Millis aTimeoutMs);

} // namespace pistachiostand
