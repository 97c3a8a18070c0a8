#pragma once

#include "platform/Store.h"

#include "pistachiostand/base/Types.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Follows a keyed topic: first the newest record of each key, then every change.

namespace pistachiostand::fleet {

struct TopicTailOptions
{
  platform::TopicPartition m_partition;
  Millis m_waitMs{};  ///< Longest time that one read waits for a record.
  Millis m_pauseMs{}; ///< Pause between reads, in which records accumulate.
  /// After a failed read the newest records are listed instead of reading all later records. Suits
  /// a topic of few keys with large values, whose history may take too long to read over a slow
  /// connection.
  bool m_listAfterFailure{};
};

struct TopicHandlers
{
  /// \brief A key has a new value, or none when it was removed. Records may be repeated.
  std::function<void(const std::string& aKey, const std::optional<std::string>& aValue,
                     Offset aOffset)>
    m_onRecord;
  /// \brief All records up to the end of the topic as of `aSentMs` have been passed on.
  std::function<void(Millis aSentMs)> m_onCurrent;
  /// \brief The store has responded after failed calls. May be empty.
  std::function<void()> m_onStoreAvailable{};
  /// \brief A record is malformed; the others are still followed. May be empty.
  std::function<void(std::string_view aKey, std::string_view aCause)> m_onMalformed{};
};

class TopicTail
{
public:
  TopicTail(asio::io_context& aLoop, platform::Store& aStore, TopicTailOptions aOptions,
            TopicHandlers aHandlers);
  TopicTail(const TopicTail&) = delete;
  TopicTail& operator=(const TopicTail&) = delete;
  ~TopicTail();

  void Start();

  /// \brief Ends the pause after a failed call. For use when the store responds again.
  void RetryNow();

  /// \brief When the latest call that reached the end of the topic was sent; nullopt before the
  /// first.
  [[nodiscard]] std::optional<Millis> CurrentAsOf() const noexcept { return m_currentMs; }

  /// \brief Offset after the last record that was passed on.
  [[nodiscard]] Offset Next() const noexcept { return m_next; }

  /// \brief True from a failed call until the next one that succeeds.
  [[nodiscard]] bool IsStoreUnavailable() const noexcept { return m_storeUnavailable; }

private:
  void List(const std::string& aAfter);
  void OnPage(const std::optional<platform::KeyedPage>& aPage);
  void FinishList();
  void Read();
  void OnRead(const platform::ReadResult& aResult);
  void Apply(const std::string& aKey, const std::optional<std::string>& aValue, Offset aOffset);
  using NextCall = void (TopicTail::*)();
  void After(Millis aDelayMs, NextCall aNext);
  void RetryAfter(Millis aDelayMs, NextCall aNext);
  void OnAnswered();
  void OnMalformed(std::string_view aKey, std::string_view aCause);
  void Restart();
  /// \return the pause until the next call.
  [[nodiscard]] Millis OnFailure(std::string_view aCause);

  platform::Store& m_store;
  TopicTailOptions m_options;
  TopicHandlers m_handlers;
  asio::steady_timer m_timer;
  std::shared_ptr<int> m_alive = std::make_shared<int>();
  std::map<std::string, Offset> m_offsets; ///< Offset of the record applied for each key.
  std::map<std::string, Offset> m_listed;  ///< Keys of the list that is being read.
  bool m_listIsPartial{};                  ///< Some of its items are malformed.
  std::optional<Offset> m_listEnd;         ///< End of the topic when the list began.
  Millis m_listSentMs{};                   ///< When its first page was requested.
  Offset m_next{};
  Millis m_sentMs{};
  std::optional<Millis> m_currentMs;
  unsigned m_failures{};
  NextCall m_retry{}; ///< Call after the current retry pause; null: no such pause.
  bool m_storeUnavailable{};
};

} // namespace pistachiostand::fleet
