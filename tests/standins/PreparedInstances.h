#pragma once

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HttpServer.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Stand-in for the instance interface of the prepared platform: lists and moves instances.

namespace pistachiostand::fleet::standin {

class PreparedInstances
{
public:
  /// \brief A received order.
  struct Arrival
  {
    std::string m_instance;
    std::string m_holder;
    std::string m_token;
    Millis m_atMs{};
    std::string m_pool; ///< Target of a move; empty for maintenance.
  };

  PreparedInstances(asio::io_context& aLoop, const Endpoint& aListen)
  {
    Reason reason;
    m_server = HttpServer::Create(
      aLoop, { aListen, 200 },
      [this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        Handle(aRequest, aRespond);
      },
      reason);
  }

  [[nodiscard]] bool IsListening() const { return m_server != nullptr; }

  /// \brief Adds an instance that is up, with the id of its server.
  void Add(const std::string& aInstance, const std::string& aPool, const std::string& aServer)
  {
    m_rows[aInstance] = { { "machine", aInstance },
                          { "pool", aPool },
                          { "state", "up" },
                          { "zone", "z1" },
                          { "capacity", { { "cpu", 8'000 }, { "mem-mb", 16'000 } } },
                          { "id", aServer } };
  }

  std::vector<Arrival> m_arrivals;
  bool m_loseResponses{}; ///< Orders get no response, and the list does not change.
  /// Body of refusals; every order is refused while it is set.
  std::string m_refusal;
  std::size_t m_pageSize{ 1'000 }; ///< Instances on one page of the list.
  bool m_holdPages{};              ///< Pages are read as usual, but sent by ReleasePages().
  bool m_longMaintenance{};        ///< Instances stay in maintenance.
  bool m_acknowledgeOnly{};        ///< Orders are acknowledged as done but not carried out.

  void ReleasePages()
  {
    m_holdPages = false;
    for (auto& [page, respond] : std::exchange(m_heldPages, {})) {
      respond({ 200, {}, page });
    }
  }

  [[nodiscard]] bool IsHoldingPages() const { return !m_heldPages.empty(); }

private:
  [[nodiscard]] std::string ReadPage(const std::string& aToken) const
  {
    nlohmann::json rows = nlohmann::json::array();
    auto row = m_rows.upper_bound(aToken);
    for (; row != m_rows.end() && rows.size() < m_pageSize; ++row) {
      rows.push_back(row->second);
    }
    const std::string next = row == m_rows.end() ? "" : std::prev(row)->first;
    return nlohmann::json{ { "machines", rows }, { "next-token", next } }.dump();
  }

  void Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    if (aRequest.m_method == "GET") {
      const auto token = aRequest.m_query.find("page-token");
      auto page = ReadPage(token == aRequest.m_query.end() ? std::string{} : token->second);
      if (m_holdPages) {
        m_heldPages.emplace_back(std::move(page), aRespond);
      } else {
        aRespond({ 200, {}, std::move(page) });
      }
      return;
    }
    const auto body = nlohmann::json::parse(aRequest.m_body);
    m_arrivals.push_back({ body.at("machine"),
                           std::string{ FindHeader(aRequest.m_headers, "duty-holder") },
                           std::string{ FindHeader(aRequest.m_headers, "fencing-token") },
                           MonotonicMs(), body.value("pool", "") });
    if (!m_refusal.empty()) {
      aRespond({ 409, {}, m_refusal });
    } else if (m_acknowledgeOnly) {
      aRespond({ 200, {}, "{}" });
    } else if (m_loseResponses) {
      m_lost.push_back(aRespond);
    } else {
      auto& row = m_rows[body.at("machine")];
      if (body.contains("wave") && m_longMaintenance) {
        row["state"] = "upkeep";
        aRespond({ 200, {}, "{}" });
        return;
      }
      row["pool"] = body.value("pool", row["pool"].get<std::string>());
      row["id"] = row["id"].get<std::string>() + "-next"; // A new server joins, now or later.
      aRespond({ 200, {}, "{}" });
    }
  }

  std::unique_ptr<HttpServer> m_server;
  std::map<std::string, nlohmann::json> m_rows;
  std::vector<HttpResponder> m_lost;
  std::vector<std::pair<std::string, HttpResponder>> m_heldPages;
};

} // namespace pistachiostand::fleet::standin
