#pragma once

#include "StandinServer.h"

/// \file
/// \brief Faults of a backend server that a test switches on and off.

namespace standin {

class BackendFaults
{
public:
  bool m_failFast = false;
  Millis m_delay{ 0 };

  /// \brief Keeps the call without a response and returns true while the server is frozen.
  bool Intercept(const CallPtr& aCall)
  {
    if (m_isFrozen) {
      m_held.Add(aCall);
    }
    return m_isFrozen;
  }

  /// \brief Sends the response of a run, unless a fault holds it, truncates it or swaps it with
  /// that of another run.
  void Deliver(const CallPtr& aCall, const Reply& aReply)
  {
    if (m_isFrozen) {
      m_held.Add(aCall);
    } else if (m_crossPairs > 0 && !m_crossed) {
      m_crossed = { aCall, aReply };
    } else if (m_crossed) {
      const auto other = *std::exchange(m_crossed, std::nullopt);
      --m_crossPairs;
      Send(other.first, aReply);
      Send(aCall, other.second);
    } else if (m_truncate > 0) {
      --m_truncate;
      SendTruncated(aCall, aReply);
    } else {
      Send(aCall, aReply);
    }
  }

  /// \brief Carries out the command of a request to `/control/NAME`; returns false if there is no
  /// such command.
  bool Control(const std::string& aName, const CallPtr& aCall)
  {
    const bool isOn = aCall->Query("on", "1") == "1";
    if (aName == "fail-fast") {
      m_failFast = isOn;
    } else if (aName == "freeze") {
      m_isFrozen = isOn;
      if (!isOn) {
        m_held.CloseAll();
      }
    } else if (aName == "slow") {
      m_delay = Millis(aCall->Number("ms", 0));
    } else if (aName == "truncate") {
      m_truncate = aCall->Number("count", 1);
    } else if (aName == "cross") {
      m_crossPairs = aCall->Number("count", 1);
    } else {
      return false;
    }
    return true;
  }

  void ForgetCrossed() { m_crossed.reset(); }

private:
  bool m_isFrozen = false;
  std::int64_t m_truncate = 0;
  std::int64_t m_crossPairs = 0;
  std::optional<std::pair<CallPtr, Reply>> m_crossed;
  HeldCalls m_held;
};

} // namespace standin
