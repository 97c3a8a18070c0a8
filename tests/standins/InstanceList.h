#pragma once

#include "StandinServer.h"

#include <deque>
#include <map>

/// \file
/// \brief The platform's instance list, which is served with a lag.

namespace standin {

class InstanceList
{
public:
  Millis m_lag{ 0 };

  [[nodiscard]] std::optional<Json> Find(const std::string& aId) const
  {
    const auto found = m_current.find(aId);
    return found == m_current.end() ? std::nullopt : std::optional<Json>(found->second);
  }

  /// \brief Adds or replaces one instance or a list of them.
  void Add(const Json& aInstances)
  {
    for (const auto& instance : aInstances.is_array() ? aInstances : Json::array({ aInstances })) {
      auto& entry = m_current[instance.at("id").get<std::string>()];
      entry = {
        { "zone", "" }, { "rack", "" }, { "boot_id", "" }, { "boot_op", "" }, { "pool", "" }
      };
      entry["state"] = "live";
      entry.update(instance);
    }
    Record();
  }

  void Update(const std::string& aId, const Json& aFields)
  {
    if (const auto found = m_current.find(aId); found != m_current.end()) {
      found->second.update(aFields);
      Record();
    }
  }

  void Remove(const std::string& aId)
  {
    m_current.erase(aId);
    Record();
  }

  /// \brief Makes the latest version visible without the lag.
  void ShowAtOnce() { m_versions.back().m_since = Clock::now() - m_lag; }

  /// \brief Returns the whole list as it was `m_lag` ago.
  [[nodiscard]] const Json& Visible()
  {
    while (m_versions.size() > 1 && m_versions[1].m_since + m_lag <= Clock::now()) {
      m_versions.pop_front();
    }
    return m_versions.front().m_list;
  }

private:
  struct Version
  {
    Clock::time_point m_since;
    Json m_list;
  };

  void Record()
  {
    Json instances = Json::array();
    for (const auto& item : m_current) {
      instances.push_back(item.second);
    }
    m_versions.push_back(
      { Clock::now(), { { "version", ++m_version }, { "instances", std::move(instances) } } });
  }

  std::map<std::string, Json> m_current;
  std::uint64_t m_version = 0;
  std::deque<Version> m_versions{ { Clock::time_point{},
                                    { { "version", 0 }, { "instances", Json::array() } } } };
};

} // namespace standin
