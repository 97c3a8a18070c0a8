#pragma once

#include "platform/Wire.h"

#include "pistachiostand/base/Base64.h"
#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Stand-in for the store of the prepared platform, on which `pistachiostand-entry` runs:
/// keyed topics and their partitions.

namespace pistachiostand::fleet::standin {

class PreparedStore
{
public:
  PreparedStore(asio::io_context& aLoop, const Endpoint& aListen)
    : m_loop(aLoop)
  {
    Reason reason;
    m_server = HttpServer::Create(
      aLoop, { aListen, 200 },
      [this](const HttpRequest& aRequest, HttpResponder aRespond) {
        Handle(aRequest, std::move(aRespond));
      },
      reason);
  }

  [[nodiscard]] bool IsListening() const { return m_server != nullptr; }

  /// \brief Writes a record of a keyed topic, as the operator and backend servers do.
  void Put(const std::string& aTopic, const std::string& aKey, std::optional<std::string> aValue,
           bool aWake = true)
  {
    m_topics[aTopic].m_records.push_back(platform::EncodeKeyed(
      aKey, aValue ? std::optional<std::string_view>{ *aValue } : std::nullopt));
    if (aWake) {
      Wake(aTopic);
    }
  }

  /// \brief Newest value of a key; nothing when it was removed or never written.
  [[nodiscard]] std::optional<std::string> Value(const std::string& aTopic, const std::string& aKey)
  {
    std::optional<std::string> value;
    for (const auto& record : m_topics[aTopic].m_records) {
      const auto keyed = platform::DecodeKeyed(record);
      if (keyed && keyed->first == aKey) {
        value = keyed->second;
      }
    }
    return value;
  }

  bool m_down{};                           ///< Every call gets 503.
  std::string m_refusedTopic;              ///< Appends to this topic get 503.
  std::size_t m_maxRecordBytes{ 262'144 }; ///< An append with a larger record gets 400.
  std::size_t m_maxCallBytes{ 2'097'152 }; ///< An append with more bytes of records gets 400.
  std::string m_silentTopic;               ///< Appends to it are not stored and get no response.
  bool m_breakAppends{};       ///< Appends are not stored, and their connections are closed.
  bool m_silentReads{};        ///< Reads and lists get no response.
  int m_refusedCalls{};        ///< Number of calls that got 503.
  int m_loseAppendResponses{}; ///< Number of appends to store without a response.
  Millis m_appendMs{}; ///< Time that an append occupies its log; its response takes as long again.

private:
  /// \brief State of a writer of a partition.
  struct WriterState
  {
    std::uint64_t m_epoch{};
    std::optional<std::uint64_t> m_sequence; ///< Of its last append; none before the epoch's first.
    std::map<std::uint64_t, std::string> m_responses; ///< To the last appends, by sequence.
  };

  static constexpr std::size_t kRememberedResponses = 5;

  struct Topic
  {
    std::vector<std::string> m_records;
    std::map<std::string, WriterState> m_writers;
    /// Time at which the appends accepted so far have ended, on the steady clock.
    Millis m_freeMs{};
  };

  /// \brief A read that waits for a record.
  struct Waiting
  {
    std::string m_topic;
    Offset m_from{};
    HttpResponder m_respond;
    std::unique_ptr<asio::steady_timer> m_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
  };

  /// \brief Name of the log of a partition; that of partition 0 is the name of its topic.
  static std::string LogOf(const HttpRequest& aRequest)
  {
    const auto part = Number(aRequest, "part");
    return aRequest.m_query.at("topic") + (part == 0 ? "" : "/" + std::to_string(part));
  }

  static std::uint64_t Number(const HttpRequest& aRequest, std::string_view aName)
  {
    const auto found = aRequest.m_query.find(aName);
    std::uint64_t value = 0;
    if (found != aRequest.m_query.end()) {
      const auto& text = found->second;
      std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
  }

  static HttpResponse Json(std::uint16_t aStatus, const nlohmann::json& aBody)
  {
    return { aStatus, { { "content-type", "application/json" } }, aBody.dump() };
  }

  void Handle(const HttpRequest& aRequest, HttpResponder aRespond)
  {
    if (m_down ||
        (aRequest.m_path == "/log-append" && aRequest.m_query.at("topic") == m_refusedTopic)) {
      ++m_refusedCalls;
      aRespond({ 503, {}, {} });
      return;
    }
    Topic& topic = m_topics[LogOf(aRequest)];
    const bool isAppend = aRequest.m_path == "/log-append";
    if (isAppend && m_breakAppends) {
      return; // The responder closes the connection.
    }
    if (isAppend ? aRequest.m_query.at("topic") == m_silentTopic : m_silentReads) {
      m_withoutResponse.push_back(std::move(aRespond));
    } else if (isAppend && m_appendMs > 0) {
      AppendLater(aRequest, topic, std::move(aRespond));
    } else if (isAppend) {
      AppendNow(aRequest, topic, aRespond);
    } else if (aRequest.m_path == "/log-newest") {
      aRespond(Newest(topic));
    } else if (aRequest.m_path == "/log-read") {
      Read(aRequest, std::move(aRespond));
    } else {
      aRespond({ 404, {}, {} });
    }
  }

  void AppendNow(const HttpRequest& aRequest, Topic& aTopic, HttpResponder& aRespond)
  {
    auto response = Append(aRequest, aTopic);
    if (m_loseAppendResponses > 0) {
      --m_loseAppendResponses;
      m_withoutResponse.push_back(std::move(aRespond));
    } else {
      aRespond(std::move(response));
    }
    Wake(LogOf(aRequest));
  }

  void AppendLater(const HttpRequest& aRequest, Topic& aTopic, HttpResponder aRespond)
  {
    const Millis now = MonotonicMs();
    aTopic.m_freeMs = std::max(now, aTopic.m_freeMs) + m_appendMs;
    auto timer = std::make_shared<asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::milliseconds{ aTopic.m_freeMs - now + m_appendMs });
    timer->async_wait([this, timer, request = aRequest, &aTopic,
                       respond = std::move(aRespond)](const std::error_code& /*aError*/) mutable {
      AppendNow(request, aTopic, respond);
    });
  }

  [[nodiscard]] HttpResponse Append(const HttpRequest& aRequest, Topic& aTopic) const
  {
    // The body has the format of the records in a response, without the two offsets.
    const auto batch = platform::DecodeRecords(std::string(16, '\0') + aRequest.m_body);
    if (aRequest.m_body.size() > m_maxCallBytes ||
        std::ranges::any_of(batch->m_records, [this](const std::string& aRecord) {
          return aRecord.size() > m_maxRecordBytes;
        })) {
      return Json(400, {});
    }
    const Offset end = aTopic.m_records.size();
    if (aRequest.m_query.contains("at") && Number(aRequest, "at") != end) {
      return Json(412, { { "end", end } });
    }
    if (aRequest.m_query.contains("producer")) {
      WriterState& writer = aTopic.m_writers[aRequest.m_query.at("producer")];
      const auto epoch = Number(aRequest, "epoch");
      const auto sequence = Number(aRequest, "sequence");
      if (epoch < writer.m_epoch) {
        return Json(409, { { "reason", "fenced" } });
      }
      if (epoch > writer.m_epoch) {
        writer = { epoch, {}, {} };
      }
      if (const auto known = writer.m_responses.find(sequence);
          !aRequest.m_body.empty() && known != writer.m_responses.end()) {
        return { 200, { { "content-type", "application/json" } }, known->second };
      }
      if (!aRequest.m_body.empty() && writer.m_sequence && sequence != *writer.m_sequence + 1) {
        return Json(409, { { "reason", "seq" }, { "sequence", *writer.m_sequence + 1 } });
      }
      if (!aRequest.m_body.empty()) {
        writer.m_sequence = sequence;
      }
    }
    for (const auto& record : batch->m_records) {
      aTopic.m_records.push_back(record);
    }
    auto response = Json(200, { { "offset", end }, { "end", aTopic.m_records.size() } });
    if (aRequest.m_query.contains("producer") && !aRequest.m_body.empty()) {
      auto& responses = aTopic.m_writers[aRequest.m_query.at("producer")].m_responses;
      responses.emplace(Number(aRequest, "sequence"), response.m_body);
      if (responses.size() > kRememberedResponses) {
        responses.erase(responses.begin());
      }
    }
    return response;
  }

  static HttpResponse Newest(const Topic& aTopic)
  {
    std::map<std::string, nlohmann::json> items;
    for (Offset offset = 0; offset < aTopic.m_records.size(); ++offset) {
      const auto keyed = platform::DecodeKeyed(aTopic.m_records[offset]);
      items.erase(keyed->first);
      if (keyed->second) {
        items[keyed->first] = { { "key", keyed->first },
                                { "value", EncodeBase64(*keyed->second) },
                                { "offset", offset } };
      }
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [key, item] : items) {
      list.push_back(item);
    }
    return Json(200,
                { { "items", list }, { "has-more", false }, { "end", aTopic.m_records.size() } });
  }

  static std::string BigEndian(Offset aValue)
  {
    std::string bytes;
    for (unsigned shift = 64; shift != 0; shift -= 8) {
      bytes += static_cast<char>((aValue >> (shift - 8)) & 0xffU);
    }
    return bytes;
  }

  HttpResponse Records(const std::string& aTopic, Offset aFrom)
  {
    const auto& records = m_topics[aTopic].m_records;
    const auto from =
      records.begin() + static_cast<std::ptrdiff_t>(std::min<Offset>(aFrom, records.size()));
    return { 200,
             {},
             BigEndian(records.size()) + BigEndian(0) +
               platform::EncodeRecords({ from, records.end() }) };
  }

  void Read(const HttpRequest& aRequest, HttpResponder aRespond)
  {
    const std::string name = LogOf(aRequest);
    const Offset from = Number(aRequest, "from");
    const auto wait = Number(aRequest, "wait-ms");
    if (wait == 0 || m_topics[name].m_records.size() > from) {
      aRespond(Records(name, from));
      return;
    }
    const auto entry =
      m_waiting.insert(m_waiting.end(), Waiting{ name, from, std::move(aRespond),
                                                 std::make_unique<asio::steady_timer>(m_loop) });
    entry->m_timer->expires_after(std::chrono::milliseconds{ wait });
    const std::weak_ptr<int> alive = entry->m_alive;
    entry->m_timer->async_wait([this, entry, alive](const std::error_code& aError) {
      // A handler that is queued already is not cancelled by Wake().
      if (!aError && !alive.expired()) {
        const Waiting waiting = std::move(*entry);
        m_waiting.erase(entry);
        waiting.m_respond(Records(waiting.m_topic, waiting.m_from));
      }
    });
  }

  /// \brief Responds to the reads that wait for records of the topic.
  void Wake(const std::string& aTopic)
  {
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
      const auto next = std::next(entry);
      if (entry->m_topic == aTopic && m_topics[aTopic].m_records.size() > entry->m_from) {
        const Waiting waiting = std::move(*entry);
        m_waiting.erase(entry);
        waiting.m_timer->cancel();
        waiting.m_respond(Records(waiting.m_topic, waiting.m_from));
      }
      entry = next;
    }
  }

  asio::io_context& m_loop;
  std::map<std::string, Topic> m_topics;
  std::list<Waiting> m_waiting;
  std::vector<HttpResponder>
    m_withoutResponse; ///< Kept, because dropping one closes its connection.
  std::unique_ptr<HttpServer> m_server;
};

} // namespace pistachiostand::fleet::standin
