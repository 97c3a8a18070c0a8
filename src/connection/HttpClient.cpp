#include "pistachiostand/connection/HttpClient.h"

#include "pistachiostand/base/Clock.h"

#include <asio.hpp>
#include <curl/curl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <unistd.h>
#include <utility>
#include <vector>

namespace pistachiostand {

namespace {

constexpr std::size_t kMaxResponseBytes = std::size_t{ 8 } * 1024 * 1024;
/// Handles kept for later transfers; creating one costs more than resetting it.
constexpr std::size_t kMaxIdleHandles = 256;
/// Allows several connections to each of 350 backend servers; above this number libcurl closes the
/// oldest idle one.
constexpr long kMaxCachedConnections = 2'000;

class CurlClient;

struct Transfer
{
  std::uint64_t m_id{};
  CurlClient* m_client{};
  ClientRequest m_request;
  std::string m_peer; ///< Host and port.
  ClientResponse m_response;
  ClientCallback m_callback;
  CURL* m_easy{};
  curl_slist* m_headerList{};
  bool m_sendStarted{}; ///< libcurl has begun to send the request.
  bool m_isWaiting{};   ///< It has no connection yet, and has not begun to open one.
  curl_socket_t m_openedSocket{ CURL_SOCKET_BAD }; ///< Of the connection opened for it.

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer()
  {
    if (m_easy != nullptr) {
      curl_easy_cleanup(m_easy);
    }
    curl_slist_free_all(m_headerList);
  }
};

/// \brief A libcurl socket that the loop waits on. It stays registered while its connection is
/// idle, which saves two system calls per transfer.
struct WatchedSocket
{
  asio::posix::stream_descriptor m_descriptor;
  int m_pollFlags{};
  bool m_waitingRead{};
  bool m_waitingWrite{};
};

std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& body = static_cast<Transfer*>(aTransfer)->m_response.m_body;
  if (body.size() + aSize * aCount > kMaxResponseBytes) {
    return 0;
  }
  body.append(aData, aSize * aCount);
  return aSize * aCount;
}

std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  const std::string_view line{ aData, aSize * aCount };
  const auto colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    const auto end = value.find_last_not_of(" \t\r\n");
    value = value.substr(0, end == std::string_view::npos ? 0 : end + 1);
    SetHeader(static_cast<Transfer*>(aTransfer)->m_response.m_headers, line.substr(0, colon),
              value);
  }
  return aSize * aCount;
}

/// \brief Host and port of a URL.
std::string PeerOf(std::string_view aUrl)
{
  constexpr std::string_view kSchemeEnd = "://";
  const auto scheme = aUrl.find(kSchemeEnd);
  aUrl.remove_prefix(scheme == std::string_view::npos ? 0 : scheme + kSchemeEnd.size());
  return std::string{ aUrl.substr(0, aUrl.find_first_of("/?")) };
}

/// \brief An open connection, or one that is being opened.
struct Connection
{
  std::string m_peer;
  std::uint64_t m_openedFor{}; ///< Transfer that opened it.
  int m_localPort{};           ///< 0: not established yet.
  Millis m_establishedMs{};    ///< When it was first found established; not earlier than it was.
  bool m_isShutDown{};         ///< It is not used again.
};

/// \brief The connections to a peer and the requests that wait for one.
struct Peer
{
  std::vector<curl_socket_t> m_sockets;
  std::size_t m_waiting{};
};

/// \brief True when the request was not handed to a connection.
bool IsUnsent(CURL* aEasy)
{
  long sentBytes = 0;
  curl_off_t uploaded = 0;
  curl_easy_getinfo(aEasy, CURLINFO_REQUEST_SIZE, &sentBytes);
  curl_easy_getinfo(aEasy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  return sentBytes == 0 && uploaded == 0;
}

std::optional<TransferFailure> FailureOf(CURLcode aCode, CURL* aEasy)
{
  if (aCode == CURLE_OK) {
    return std::nullopt;
  }
  if (IsUnsent(aEasy)) {
    return TransferFailure::NotSent;
  }
  if (aCode == CURLE_OPERATION_TIMEDOUT) {
    return TransferFailure::Timeout;
  }
  return aCode == CURLE_PARTIAL_FILE ? TransferFailure::Truncated : TransferFailure::Broken;
}

class CurlClient final : public HttpClient
{
public:
  explicit CurlClient(asio::io_context& aLoop)
    : m_loop(aLoop)
    , m_timer(aLoop)
    , m_multi(curl_multi_init())
  {
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlClient::OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlClient::OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  CurlClient(const CurlClient&) = delete;
  CurlClient& operator=(const CurlClient&) = delete;

  ~CurlClient() override
  {
    for (auto& [id, transfer] : m_transfers) {
      curl_multi_remove_handle(m_multi, transfer->m_easy);
    }
    m_transfers.clear();
    std::ranges::for_each(m_idleHandles, curl_easy_cleanup);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, nullptr);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, nullptr);
    curl_multi_cleanup(m_multi);
    // The descriptor of a socket that never connected may already belong to another one.
    std::ranges::for_each(m_sockets, [](auto& aEntry) { aEntry.second->m_descriptor.release(); });
  }

  std::uint64_t Send(ClientRequest aRequest, ClientCallback aCallback) override
  {
    auto transfer = std::make_unique<Transfer>();
    transfer->m_id = ++m_lastId;
    transfer->m_client = this;
    transfer->m_request = std::move(aRequest);
    transfer->m_peer = PeerOf(transfer->m_request.m_url);
    transfer->m_callback = std::move(aCallback);
    transfer->m_easy = AcquireHandle();
    transfer->m_isWaiting = true;
    ++m_peers[transfer->m_peer].m_waiting;
    Configure(*transfer);
    CURL* easy = transfer->m_easy;
    m_transfers.emplace(m_lastId, std::move(transfer));
    curl_multi_add_handle(m_multi, easy);
    return m_lastId;
  }

  void Cancel(std::uint64_t aId) override
  {
    const auto found = m_transfers.find(aId);
    if (found != m_transfers.end()) {
      EndWait(*found->second);
      curl_multi_remove_handle(m_multi, found->second->m_easy);
      ReleaseUnconnected(*found->second);
      m_transfers.erase(found);
    }
    m_pendingResponses.erase(aId);
  }

  [[nodiscard]] bool HasIdleConnection(std::string_view aUrl,
                                       Millis aEstablishedByMs) const override
  {
    const auto peer = m_peers.find(PeerOf(aUrl));
    if (peer == m_peers.end()) {
      return false;
    }
    const auto idle = std::ranges::count_if(peer->second.m_sockets, [&](curl_socket_t aSocket) {
      const Connection& connection = m_connections.at(aSocket);
      return connection.m_localPort != 0 && !connection.m_isShutDown &&
             connection.m_establishedMs <= aEstablishedByMs && IsIdle(aSocket);
    });
    return static_cast<std::size_t>(idle) > peer->second.m_waiting;
  }

private:
  /// \brief A response that has not been delivered to its caller yet.
  struct PendingResponse
  {
    ClientCallback m_callback;
    ClientResponse m_response;
  };

  CURL* AcquireHandle()
  {
    if (m_idleHandles.empty()) {
      return curl_easy_init();
    }
    CURL* easy = m_idleHandles.back();
    m_idleHandles.pop_back();
    return easy;
  }

  void RecycleHandle(Transfer& aTransfer)
  {
    if (m_idleHandles.size() < kMaxIdleHandles) {
      curl_easy_reset(aTransfer.m_easy);
      m_idleHandles.push_back(std::exchange(aTransfer.m_easy, nullptr));
    }
  }

  static void SetHeaders(Transfer& aTransfer)
  {
    for (const auto& [name, value] : aTransfer.m_request.m_headers) {
      std::string line = name;
      line += value.empty() ? ";" : ": ";
      line += value;
      aTransfer.m_headerList = curl_slist_append(aTransfer.m_headerList, line.c_str());
    }
    // Without this libcurl waits up to 1 s for a "100 Continue" before it sends a larger body.
    aTransfer.m_headerList = curl_slist_append(aTransfer.m_headerList, "Expect:");
    curl_easy_setopt(aTransfer.m_easy, CURLOPT_HTTPHEADER, aTransfer.m_headerList);
  }

  void Configure(Transfer& aTransfer)
  {
    CURL* easy = aTransfer.m_easy;
    const ClientRequest& request = aTransfer.m_request;
    curl_easy_setopt(easy, CURLOPT_URL, request.m_url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.m_timeoutMs));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(request.m_connectTimeoutMs));
    if (request.m_method != "GET") {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.m_method.c_str());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.m_body.data());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.m_body.size()));
    }
    if (request.m_freshConnection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aTransfer);
    SetHeaders(aTransfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &aTransfer);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &aTransfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  }

  /// \brief Called when the connection is ready, right before the request is written.
  static int OnBeforeRequest(void* aTransfer, char* /*aPeer*/, char* /*aLocal*/, int /*aPeerPort*/,
                             int aLocalPort)
  {
    auto& transfer = *static_cast<Transfer*>(aTransfer);
    const ClientRequest& request = transfer.m_request;
    const Millis now = MonotonicMs();
    transfer.m_client->EndWait(transfer);
    const Millis establishedMs = transfer.m_client->EstablishedMs(transfer, aLocalPort, now);
    if ((request.m_sendOnce && transfer.m_sendStarted) ||
        (request.m_sendBeforeMs != 0 && now > request.m_sendBeforeMs) ||
        (request.m_establishedByMs != 0 && establishedMs > request.m_establishedByMs)) {
      return CURL_PREREQFUNC_ABORT;
    }
    transfer.m_sendStarted = true;
    transfer.m_response.m_sentMs = now;
    return CURL_PREREQFUNC_OK;
  }

  /// \brief When the connection that a transfer is about to use was established. libcurl identifies
  /// the connection only by its local port, which is unique among those to one peer.
  Millis EstablishedMs(const Transfer& aTransfer, int aLocalPort, Millis aNowMs)
  {
    const auto opened = m_connections.find(aTransfer.m_openedSocket);
    if (opened != m_connections.end() && opened->second.m_localPort == 0) {
      opened->second.m_localPort = aLocalPort;
      opened->second.m_establishedMs = aNowMs;
    }
    const auto& sockets = m_peers[aTransfer.m_peer].m_sockets;
    const auto used = std::ranges::find_if(sockets, [&](curl_socket_t aSocket) {
      return aLocalPort > 0 && m_connections.at(aSocket).m_localPort == aLocalPort;
    });
    return used == sockets.end() ? aNowMs : m_connections.at(*used).m_establishedMs;
  }

  void EndWait(Transfer& aTransfer)
  {
    if (std::exchange(aTransfer.m_isWaiting, false)) {
      --m_peers[aTransfer.m_peer].m_waiting;
      ForgetUnused(aTransfer.m_peer);
    }
  }

  void ForgetUnused(const std::string& aPeer)
  {
    const auto found = m_peers.find(aPeer);
    if (found != m_peers.end() && found->second.m_sockets.empty() && found->second.m_waiting == 0) {
      m_peers.erase(found);
    }
  }

  static int OnTimer(CURLM* /*aMulti*/, long aTimeoutMs, void* aSelf)
  {
    static_cast<CurlClient*>(aSelf)->SetDriveTime(aTimeoutMs);
    return 0;
  }

  /// \brief Sets the time when libcurl has to be called; replaces the previous one.
  void SetDriveTime(long aTimeoutMs)
  {
    m_due.reset();
    if (aTimeoutMs == 0) {
      ScheduleDrive();
    } else if (aTimeoutMs > 0) {
      m_due = std::chrono::steady_clock::now() + std::chrono::milliseconds{ aTimeoutMs };
      // A timer that expires earlier is kept: each change of a timer is a system call.
      if (!m_timerArmed || m_timer.expiry() > *m_due) {
        ArmTimer();
      }
    }
  }

  void ArmTimer()
  {
    m_timerArmed = true;
    m_timer.expires_at(*m_due);
    m_timer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](const std::error_code& aError) {
      if (!aError && alive.lock()) {
        OnTimerExpired();
      }
    });
  }

  void OnTimerExpired()
  {
    m_timerArmed = false;
    if (!m_due) {
      return;
    }
    if (std::chrono::steady_clock::now() < *m_due) {
      ArmTimer();
      return;
    }
    m_due.reset();
    Drive(CURL_SOCKET_TIMEOUT, 0);
  }

  /// \brief Schedules one call of libcurl for all transfers that are added before the loop runs it.
  void ScheduleDrive()
  {
    if (!std::exchange(m_driveScheduled, true)) {
      asio::post(m_loop, [this, alive = std::weak_ptr<int>(m_alive)] {
        if (alive.lock()) {
          m_driveScheduled = false;
          Drive(CURL_SOCKET_TIMEOUT, 0);
        }
      });
    }
  }

  static int OnSocket(CURL* /*aEasy*/, curl_socket_t aSocket, int aWhat, void* aSelf,
                      void* /*aData*/)
  {
    auto* self = static_cast<CurlClient*>(aSelf);
    if (aWhat == CURL_POLL_REMOVE) {
      self->MarkIdle(aSocket);
    } else {
      self->WatchSocket(aSocket, aWhat);
    }
    return 0;
  }

  void MarkIdle(curl_socket_t aSocket)
  {
    const auto found = m_sockets.find(aSocket);
    if (found != m_sockets.end()) {
      found->second->m_pollFlags = 0;
    }
  }

  /// \brief Releases the previous socket with the same descriptor. libcurl does not report that it
  /// closed a socket that never connected; a new socket mistaken for it would receive no events.
  static curl_socket_t OnOpenSocket(void* aTransfer, curlsocktype /*aPurpose*/,
                                    curl_sockaddr* aAddress)
  {
    const curl_socket_t opened =
      ::socket(aAddress->family, aAddress->socktype | SOCK_CLOEXEC, aAddress->protocol);
    auto& transfer = *static_cast<Transfer*>(aTransfer);
    CurlClient& client = *transfer.m_client;
    client.ReleaseSocket(opened);
    if (opened != CURL_SOCKET_BAD) {
      client.m_connections.emplace(opened, Connection{ transfer.m_peer, transfer.m_id });
      client.m_peers[transfer.m_peer].m_sockets.push_back(opened);
      transfer.m_openedSocket = opened;
    }
    client.EndWait(transfer);
    return opened;
  }

  static int OnCloseSocket(void* aSelf, curl_socket_t aSocket)
  {
    static_cast<CurlClient*>(aSelf)->ReleaseSocket(aSocket);
    return ::close(aSocket);
  }

  void ReleaseSocket(curl_socket_t aSocket)
  {
    if (const auto connection = m_connections.extract(aSocket)) {
      std::erase(m_peers[connection.mapped().m_peer].m_sockets, aSocket);
      ForgetUnused(connection.mapped().m_peer);
    }
    const auto found = m_sockets.find(aSocket);
    if (found != m_sockets.end()) {
      found->second->m_descriptor.release();
      m_sockets.erase(found);
    }
  }

  /// \brief Releases the socket of an ended transfer that was never connected. libcurl does not
  /// report that it has closed it, and its descriptor may soon belong to another socket.
  void ReleaseUnconnected(const Transfer& aTransfer)
  {
    const auto opened = m_connections.find(aTransfer.m_openedSocket);
    if (opened != m_connections.end() && opened->second.m_openedFor == aTransfer.m_id &&
        opened->second.m_localPort == 0) {
      ReleaseSocket(aTransfer.m_openedSocket);
    }
  }

  /// \brief Shuts the idle connections to a peer down, so that libcurl opens new ones.
  void ShutDownIdleConnections(const std::string& aPeer)
  {
    const auto peer = m_peers.find(aPeer);
    if (peer == m_peers.end()) {
      return;
    }
    for (const curl_socket_t socket : peer->second.m_sockets) {
      if (IsIdle(socket)) {
        ::shutdown(socket, SHUT_RDWR);
        m_connections.at(socket).m_isShutDown = true;
      }
    }
  }

  [[nodiscard]] bool IsIdle(curl_socket_t aSocket) const
  {
    const auto watched = m_sockets.find(aSocket);
    return watched != m_sockets.end() && watched->second->m_pollFlags == 0;
  }

  void WatchSocket(curl_socket_t aSocket, int aPollFlags)
  {
    auto& socket = m_sockets[aSocket];
    if (!socket) {
      socket = std::make_shared<WatchedSocket>(
        WatchedSocket{ asio::posix::stream_descriptor{ m_loop, aSocket } });
    }
    socket->m_pollFlags = aPollFlags;
    Wait(aSocket, socket);
  }

  void Wait(curl_socket_t aSocket, const std::shared_ptr<WatchedSocket>& aWatched)
  {
    if ((aWatched->m_pollFlags & CURL_POLL_IN) != 0 && !aWatched->m_waitingRead) {
      aWatched->m_waitingRead = true;
      WaitFor(aSocket, aWatched, asio::posix::stream_descriptor::wait_read, CURL_CSELECT_IN,
              &WatchedSocket::m_waitingRead);
    }
    if ((aWatched->m_pollFlags & CURL_POLL_OUT) != 0 && !aWatched->m_waitingWrite) {
      aWatched->m_waitingWrite = true;
      WaitFor(aSocket, aWatched, asio::posix::stream_descriptor::wait_write, CURL_CSELECT_OUT,
              &WatchedSocket::m_waitingWrite);
    }
  }

  void WaitFor(curl_socket_t aSocket, const std::shared_ptr<WatchedSocket>& aWatched,
               asio::posix::stream_descriptor::wait_type aType, int aAction,
               bool WatchedSocket::*aWaiting)
  {
    aWatched->m_descriptor.async_wait(aType, [this, aSocket, aWatched, aAction,
                                              aWaiting](const std::error_code& aError) {
      (*aWatched).*aWaiting = false;
      const bool wanted =
        (aWatched->m_pollFlags & (aAction == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT)) != 0;
      if (aError == asio::error::operation_aborted || (!aError && !wanted)) {
        return;
      }
      Drive(aSocket, aError ? CURL_CSELECT_ERR : aAction);
      const auto current = m_sockets.find(aSocket);
      if (current != m_sockets.end() && current->second == aWatched) {
        Wait(aSocket, aWatched);
      }
    });
  }

  void Drive(curl_socket_t aSocket, int aAction)
  {
    int running = 0;
    curl_multi_socket_action(m_multi, aSocket, aAction, &running);
    CompleteTransfers();
  }

  void CompleteTransfers()
  {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        Complete(message->easy_handle, message->data.result);
      }
    }
  }

  void Complete(CURL* aEasy, CURLcode aCode)
  {
    void* data = nullptr;
    curl_easy_getinfo(aEasy, CURLINFO_PRIVATE, &data);
    const auto found = m_transfers.find(static_cast<Transfer*>(data)->m_id);
    const auto transfer = std::move(found->second);
    m_transfers.erase(found);
    EndWait(*transfer);
    long status = 0;
    curl_easy_getinfo(aEasy, CURLINFO_RESPONSE_CODE, &status);
    transfer->m_response.m_status = static_cast<std::uint16_t>(status);
    transfer->m_response.m_failure = FailureOf(aCode, aEasy);
    curl_multi_remove_handle(m_multi, aEasy);
    ReleaseUnconnected(*transfer);
    // A request whose send deadline had passed says nothing about the peer.
    const bool isAbandoned = aCode == CURLE_ABORTED_BY_CALLBACK && !transfer->m_sendStarted;
    if (transfer->m_response.m_failure && !isAbandoned) {
      ShutDownIdleConnections(transfer->m_peer);
    }
    RecycleHandle(*transfer);
    m_pendingResponses.emplace(transfer->m_id, PendingResponse{ std::move(transfer->m_callback),
                                                                std::move(transfer->m_response) });
    asio::post(m_loop, [this, id = transfer->m_id, alive = std::weak_ptr<int>(m_alive)] {
      if (alive.lock()) {
        Deliver(id);
      }
    });
  }

  void Deliver(std::uint64_t aId)
  {
    if (auto response = m_pendingResponses.extract(aId)) {
      response.mapped().m_callback(std::move(response.mapped().m_response));
    }
  }

  asio::io_context& m_loop;
  asio::steady_timer m_timer;
  std::optional<std::chrono::steady_clock::time_point> m_due; ///< When libcurl has to be called.
  bool m_timerArmed{};
  bool m_driveScheduled{};
  std::shared_ptr<int> m_alive = std::make_shared<int>();
  CURLM* m_multi;
  std::vector<CURL*> m_idleHandles;
  std::uint64_t m_lastId{};
  std::map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
  std::map<std::uint64_t, PendingResponse> m_pendingResponses;
  std::map<curl_socket_t, std::shared_ptr<WatchedSocket>> m_sockets;
  std::map<curl_socket_t, Connection> m_connections;
  std::map<std::string, Peer> m_peers; ///< By host and port.
};

} // namespace

std::string_view ToString(TransferFailure aFailure) noexcept
{
  constexpr std::array<std::string_view, 4> kNames{ "not-sent", "timeout", "truncated", "broken" };
  return kNames.at(static_cast<std::size_t>(aFailure));
}

std::unique_ptr<HttpClient> HttpClient::Create(asio::io_context& aLoop)
{
  static const bool kInitialized = curl_global_init(CURL_GLOBAL_NOTHING) == CURLE_OK;
  return kInitialized ? std::make_unique<CurlClient>(aLoop) : nullptr;
}

} // namespace pistachiostand
