#pragma once

#include "pistachiostand/connection/HttpMessage.h"

/// \file
/// \brief Which header fields go through an entry instance.

namespace pistachiostand {

/// \brief Fields of a caller that the service sees.
///
/// Leaves out the fields of a single connection (RFC 9110, section 7.6.1) and those that entry
/// instances set themselves: a caller must not be able to name a pool, a boot id or an attempt.
[[nodiscard]] HttpHeaders PassedToService(const HttpHeaders& aHeaders);

/// \brief Fields of a service's response that the caller sees.
[[nodiscard]] HttpHeaders PassedToCaller(const HttpHeaders& aHeaders);

} // namespace pistachiostand
