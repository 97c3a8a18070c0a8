#pragma once

#include "StandinServer.h"

#include <set>

/// \file
/// \brief Faults of the platform that a test switches on and off, and the call that boots a server.

namespace standin {

class PlatformFaults
{
public:
  Millis m_delay{ 0 };
  std::int64_t m_loseAppends = 0;
  std::int64_t m_loseReboots = 0;

  /// \brief Returns true if a fault took the call: it is refused, or held without a response.
  bool Intercept(const CallPtr& aCall)
  {
    const bool isCut = m_cutEntries.contains(aCall->Header("X-Entry-Id")) ||
                       m_cutZones.contains(aCall->Header("X-Zone"));
    const bool isHeld = IsHeldRead(aCall);
    if (isCut) {
      m_cutCalls.Add(aCall);
    } else if (isHeld) {
      m_heldReads.Add(aCall);
    } else if (m_isDown && m_isHanging) {
      m_hungCalls.Add(aCall);
    } else if (m_isDown) {
      Send(aCall, ErrorReply(503, "the platform is down"));
    }
    return isCut || isHeld || m_isDown;
  }

  /// \brief Applies a control; returns false if the name is unknown.
  bool Control(asio::io_context& aContext, const std::string& aName, const CallPtr& aCall)
  {
    if (aName == "down") {
      Down(aContext, Millis(aCall->Number("ms", 0)), aCall->Query("mode") == "hang");
    } else if (aName == "up") {
      Up();
    } else if (aName == "slow") {
      m_delay = Millis(aCall->Number("ms", 0));
    } else if (aName == "lose") {
      m_loseAppends = aCall->Number("count", 1);
    } else if (aName == "lose-reboot") {
      m_loseReboots = aCall->Number("count", 1);
    } else if (aName == "hold-reads") {
      HoldReads(aCall->Query("on", "1") == "1", aCall->Query("from"));
    } else if (aName == "partition") {
      Cut(aCall->Query("from"), aCall->Query("zone"));
    } else if (aName == "heal") {
      m_cutEntries.clear();
      m_cutZones.clear();
      m_cutCalls.CloseAll();
    } else {
      return false;
    }
    return true;
  }

private:
  /// \brief Returns true for a read by an entry instance, or only by `m_heldEntry`, while reads are
  /// held. Such an entry instance can append records but cannot read them.
  [[nodiscard]] bool IsHeldRead(const CallPtr& aCall) const
  {
    return m_isHoldingReads && aCall->Has("X-Entry-Id") &&
           (m_heldEntry.empty() || aCall->Header("X-Entry-Id") == m_heldEntry) &&
           aCall->m_path == std::vector<std::string>{ "log", "read" };
  }

  void HoldReads(bool aOn, const std::string& aEntry)
  {
    m_isHoldingReads = aOn;
    m_heldEntry = aEntry;
    if (!aOn) {
      m_heldReads.CloseAll();
    }
  }

  void Cut(const std::string& aEntry, const std::string& aZone)
  {
    if (!aEntry.empty()) {
      m_cutEntries.insert(aEntry);
    }
    if (!aZone.empty()) {
      m_cutZones.insert(aZone);
    }
  }

  void Down(asio::io_context& aContext, Millis aDuration, bool aHang)
  {
    m_isDown = true;
    m_isHanging = aHang;
    const auto outage = ++m_outage;
    if (aDuration.count() > 0) {
      After(aContext, aDuration, [this, outage] {
        // The timer of an earlier outage must not end a later one.
        if (outage == m_outage) {
          Up();
        }
      });
    }
  }

  void Up()
  {
    m_isDown = false;
    ++m_outage;
    m_hungCalls.CloseAll();
  }

  bool m_isDown = false;
  bool m_isHanging = false;
  std::string m_heldEntry; ///< Empty: all entry instances.
  bool m_isHoldingReads = false;
  std::uint64_t m_outage = 0;
  std::set<std::string> m_cutEntries;
  std::set<std::string> m_cutZones;
  HeldCalls m_cutCalls;
  HeldCalls m_heldReads;
  HeldCalls m_hungCalls;
};

/// \brief Sends a POST and reports whether the response was 200 within one second.
inline void PostWithoutBody(asio::io_context& aContext, const std::string& aAddress,
                            const std::string& aTarget, std::function<void(bool)> aDone)
{
  struct Exchange
  {
    explicit Exchange(asio::io_context& aIo)
      : m_socket(aIo)
    {
    }
    asio::ip::tcp::socket m_socket;
    std::string m_request;
    std::string m_response;
    std::shared_ptr<asio::steady_timer> m_timer;
    std::function<void(bool)> m_done;

    void Finish()
    {
      m_timer->cancel();
      if (auto done = std::exchange(m_done, nullptr)) {
        done(m_response.starts_with("HTTP/1.1 200"));
      }
    }
  };
  const auto [ip, port] = SplitAddress(aAddress);
  auto exchange = std::make_shared<Exchange>(aContext);
  exchange->m_request = "POST " + aTarget + " HTTP/1.1\r\nHost: " + aAddress +
                        "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  exchange->m_done = std::move(aDone);
  exchange->m_timer = After(aContext, Millis(1'000), [exchange] { exchange->m_socket.close(); });
  const asio::ip::tcp::endpoint endpoint{ asio::ip::make_address(ip),
                                          static_cast<std::uint16_t>(std::stoul(port)) };
  exchange->m_socket.async_connect(endpoint, [exchange](const asio::error_code& aError) {
    if (aError) {
      return exchange->Finish();
    }
    asio::async_write(exchange->m_socket, asio::buffer(exchange->m_request),
                      [](const asio::error_code&, std::size_t) {});
    asio::async_read(exchange->m_socket, asio::dynamic_buffer(exchange->m_response),
                     [exchange](const asio::error_code&, std::size_t) { exchange->Finish(); });
  });
}

} // namespace standin
