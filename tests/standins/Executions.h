#pragma once

#include "StandinServer.h"

#include <map>

/// \file
/// \brief Executions on a backend server, counted across reboots.

namespace standin {

/// \brief One start of a request.
struct Execution
{
  std::string m_attempt;
  std::string m_requestId;
  std::string m_pool;
  std::string m_bootId;
  std::string m_end{ "running" }; ///< running, finished, failed, stopped or rebooted
};

/// \brief The executions of each job key, or of each request id for requests without a key.
class Executions
{
public:
  /// \brief Records a start and returns its index under this name.
  std::size_t Start(const std::string& aName, Execution aExecution)
  {
    auto& list = m_byName[aName];
    list.push_back(std::move(aExecution));
    return list.size() - 1;
  }

  void End(const std::string& aName, std::size_t aIndex, const std::string& aEnd)
  {
    m_byName.at(aName).at(aIndex).m_end = aEnd;
  }

  [[nodiscard]] Json ToJson() const
  {
    Json out = Json::object();
    for (const auto& [name, list] : m_byName) {
      Json runs = Json::array();
      std::size_t finished = 0;
      for (const auto& run : list) {
        finished += run.m_end == "finished" ? 1 : 0;
        runs.push_back({ { "attempt", run.m_attempt },
                         { "request_id", run.m_requestId },
                         { "pool", run.m_pool },
                         { "boot_id", run.m_bootId },
                         { "end", run.m_end } });
      }
      out[name] = { { "started", list.size() }, { "finished", finished }, { "runs", runs } };
    }
    return out;
  }

private:
  std::map<std::string, std::vector<Execution>> m_byName;
};

} // namespace standin
