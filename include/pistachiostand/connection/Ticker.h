#pragma once

#include "pistachiostand/base/Types.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

/// \file
/// \brief Periodic calls on the loop.

namespace pistachiostand {

/// \brief Calls `aTick` at an interval until it is destroyed.
class Ticker
{
public:
  Ticker(asio::io_context& aLoop, Millis aIntervalMs, std::function<void()> aTick);

  Ticker(const Ticker&) = delete;
  Ticker& operator=(const Ticker&) = delete;
  ~Ticker() = default;

  void SetInterval(Millis aIntervalMs) noexcept { m_intervalMs = aIntervalMs; }

private:
  void Arm();

  asio::steady_timer m_timer;
  Millis m_intervalMs;
  std::function<void()> m_tick;
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pistachiostand
