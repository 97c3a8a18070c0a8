#pragma once

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>

/// \file
/// \brief Stand-in for the placement service: it works off the calls of one caller in turn, also
/// those that the caller has given up.

namespace pistachiostand::fleet::standin {

class AdviceService
{
public:
  static constexpr Millis kValidMs = 3'000;

  AdviceService(asio::io_context& aLoop, const Endpoint& aListen, Millis aCallMs)
    : m_callMs(aCallMs)
    , m_loop(aLoop)
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

  Millis m_callMs;              ///< Time that each call takes.
  int m_calls{};                ///< Number of calls received.
  int m_failCalls{};            ///< This many calls get 500 at once.
  std::set<std::string> m_good; ///< Servers that may run the steps; empty: all that are named.

private:
  void Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    ++m_calls;
    if (m_failCalls > 0) {
      --m_failCalls;
      aRespond({ 500, {}, {} });
      return;
    }
    nlohmann::json good = nlohmann::json::array();
    const auto call = nlohmann::json::parse(aRequest.m_body);
    for (const auto& worker : call.at("workers")) {
      if (m_good.empty() || m_good.contains(worker.get<std::string>())) {
        good.push_back({ worker, "ticket" });
      }
    }
    const Millis now = MonotonicMs();
    m_freeMs = std::max(now, m_freeMs) + m_callMs;
    auto timer = std::make_shared<asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::milliseconds{ m_freeMs - now });
    timer->async_wait([timer, good, aRespond](const std::error_code& /*aError*/) {
      aRespond({ 200,
                 { { "content-type", "application/json" } },
                 nlohmann::json{ { "good", good }, { "valid-ms", kValidMs } }.dump() });
    });
  }

  asio::io_context& m_loop;
  Millis m_freeMs{}; ///< When all calls received so far are worked off.
  std::unique_ptr<HttpServer> m_server;
};

} // namespace pistachiostand::fleet::standin
