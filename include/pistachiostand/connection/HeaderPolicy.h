#pragma once

#include "pistachiostand/connection/HttpMessage.h"

/// \file
/// \brief Selects the header fields that an entry instance forwards.

namespace pistachiostand {

/// \brief Fields of a caller's request that are forwarded to the service.
///
/// Leaves out the fields that belong to one connection or message (the hop-by-hop fields of RFC
/// 9110, section 7.6.1, and host, content-length and expect) and those that entry instances set
/// themselves: a caller must not be able to choose a pool, a boot id or an attempt.
[[nodiscard]] HttpHeaders PassedToService(const HttpHeaders& aHeaders);

/// \brief Fields of a service's response that are forwarded to the caller; leaves out the same
/// ones.
[[nodiscard]] HttpHeaders PassedToCaller(const HttpHeaders& aHeaders);

} // namespace pistachiostand
