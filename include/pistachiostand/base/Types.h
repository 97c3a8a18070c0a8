#pragma once

#include <cstdint>
#include <string>

/// \file
/// \brief Type aliases for names and numbers, shared by all modules.

namespace pistachiostand {

using InstanceId = std::string; ///< The platform's id of an instance.
using EntryId = std::string;    ///< Id of an entry instance, or of one process of it (ProcessId()).
using BootId = std::string;     ///< Changes with every boot of an instance.
using PoolName = std::string;
using ServiceName = std::string;
using TenantName = std::string;
using ZoneName = std::string; ///< Availability zone.
using RackName = std::string;
using JobKey = std::string;     ///< Idempotency key of a job as `TENANT/KEY`; see ScopedKey().
using Offset = std::uint64_t;   ///< Position in the platform's log.
using Revision = std::uint64_t; ///< Number of an accepted rule file; 0 means none.
using Epoch = std::uint64_t;    ///< Counts the phase changes of an instance.
using Millis = std::int64_t;    ///< A time or a duration in milliseconds.

} // namespace pistachiostand
