#pragma once

#include "pistachiostand/base/Endpoint.h"
#include "pistachiostand/connection/HttpClient.h"
#include "pistachiostand/process/FleetPlanner.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief The platform's log, instance list and instance operations, over HTTP with JSON.
///
/// Used by src/daemon; src/manager uses the store of platform/Store.h, whose types have similar
/// names.

namespace pistachiostand {

/// \brief Outcome of an append, as far as it is known.
enum class AppendResult : std::uint8_t
{
  Appended,
  NotAppended, ///< Never sent, or refused by the platform.
  Unknown,     ///< Sent, without a usable response: only the log shows the outcome.
};

struct ReadResult
{
  Offset m_oldest{}; ///< Oldest offset that the log still holds.
  Offset m_next{};   ///< Offset after the last record of the log.
  Offset m_first{};  ///< Offset of `m_records.front()`.
  std::vector<std::string> m_records;
};

struct InstanceList
{
  std::uint64_t m_version{};
  std::vector<ListedInstance> m_instances;
};

/// \brief Identifies the process to the platform.
struct PlatformIdentity
{
  Endpoint m_platform;
  EntryId m_entry;
  ZoneName m_zone;
  Millis m_timeoutMs{};
};

class PlatformClient
{
public:
  PlatformClient(HttpClient& aHttp, PlatformIdentity aIdentity);

  void Append(const std::vector<std::string>& aRecords, std::function<void(AppendResult)> aDone);

  /// \brief Reads up to `aMax` records; waits up to `aWaitMs` when there is none yet.
  void Read(Offset aFrom, std::uint32_t aMax, Millis aWaitMs,
            std::function<void(std::optional<ReadResult>)> aDone);

  void ListInstances(std::function<void(std::optional<InstanceList>)> aDone);

  /// \brief Both orders are idempotent by operation id, so the response is not needed.
  void OrderDrain(const DrainOrder& aOrder);
  void OrderReboot(const RebootOrder& aOrder);

private:
  [[nodiscard]] ClientRequest MakeRequest(std::string aMethod, const std::string& aTarget,
                                          Millis aExtraTimeoutMs) const;
  void Order(const std::string& aTarget);

  HttpClient& m_http;
  PlatformIdentity m_identity;
};

/// \brief What a response to Append() proves.
[[nodiscard]] AppendResult ClassifyAppend(const ClientResponse& aResponse);

/// \brief Reads a response to Read(); nothing when it is unusable.
[[nodiscard]] std::optional<ReadResult> ParseRead(const ClientResponse& aResponse);

/// \brief Reads a response to ListInstances(); nothing when it is unusable.
[[nodiscard]] std::optional<InstanceList> ParseInstanceList(const ClientResponse& aResponse);

} // namespace pistachiostand
