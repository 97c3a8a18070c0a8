#pragma once

#include "pistachiostand/base/Endpoint.h"
#include "pistachiostand/base/Types.h"
#include "pistachiostand/fleet/Resources.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Backend servers, instances and maintenance waves as the platform reports them.

namespace pistachiostand::fleet {

using ServerId = std::string;

/// \brief A backend server as its own registration describes it.
struct ServerRegistration
{
  ServerId m_id;
  PoolName m_pool;
  Endpoint m_address;
  ZoneName m_zone;
  bool m_draining{};
  Resources m_capacity;
  std::vector<std::string> m_labels; ///< Kind of the instance; the last one is its rack.
  std::int64_t m_incarnation{};      ///< Unix milliseconds of its start; distinguishes restarts.
  Millis m_clockMs{};                ///< Its own clock when it registered.

  friend bool operator==(const ServerRegistration&, const ServerRegistration&) = default;
};

enum class InstanceState : std::uint8_t
{
  Up,
  Moving,
  Maintenance,
  Down,
};

/// \brief An instance as the platform's instance interface lists it.
struct InstanceInfo
{
  InstanceId m_id;
  PoolName m_pool;
  InstanceState m_state{};
  ZoneName m_zone;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  ServerId m_server; ///< Its backend server; empty while there is none.

  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;
};

/// \brief A request to maintain a set of instances within a time limit.
struct MaintenanceWave
{
  std::uint64_t m_number{};
  std::vector<InstanceId> m_instances;
  Millis m_durationMs{};
  std::uint32_t m_maxAtOnce{ 1 };

  friend bool operator==(const MaintenanceWave&, const MaintenanceWave&) = default;
};

} // namespace pistachiostand::fleet
