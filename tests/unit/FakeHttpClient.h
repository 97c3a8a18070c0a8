#pragma once

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HttpClient.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief HTTP client that sends nothing: the test responds to its requests, in any order or never.

namespace pistachiostand {

class FakeHttpClient : public HttpClient
{
public:
  struct Request
  {
    std::uint64_t m_id{};
    ClientRequest m_request;
    ClientCallback m_callback;
  };

  std::uint64_t Send(ClientRequest aRequest, ClientCallback aCallback) override
  {
    m_sent.push_back({ ++m_lastId, std::move(aRequest), std::move(aCallback) });
    return m_lastId;
  }

  void Cancel(std::uint64_t aId) override
  {
    for (auto& one : m_sent) {
      if (one.m_id == aId) {
        one.m_callback = {};
      }
    }
  }

  [[nodiscard]] bool HasIdleConnection(std::string_view /*aUrl*/,
                                       Millis /*aEstablishedByMs*/) const override
  {
    return m_hasIdleConnection;
  }

  /// \brief Completes a request with a response, unless it was completed or canceled before.
  void Respond(std::size_t aIndex, std::uint16_t aStatus, std::string aBody)
  {
    const auto callback = std::exchange(m_sent.at(aIndex).m_callback, {});
    if (callback) {
      callback({ {}, aStatus, {}, std::move(aBody), MonotonicMs() });
    }
  }

  /// \brief Indexes of the requests whose URL contains the text, in the order of sending.
  [[nodiscard]] std::vector<std::size_t> Find(const std::string& aText) const
  {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < m_sent.size(); ++i) {
      if (m_sent[i].m_request.m_url.find(aText) != std::string::npos) {
        found.push_back(i);
      }
    }
    return found;
  }

  std::vector<Request> m_sent;
  bool m_hasIdleConnection{ true };

private:
  std::uint64_t m_lastId{};
};

} // namespace pistachiostand
