#include "HttpRequest.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <curl/curl.h>
#include <memory>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace pistachiostand::testing {

namespace {

std::size_t AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTarget)
{
  static_cast<std::string*>(aTarget)->append(aData, aSize * aCount);
  return aSize * aCount;
}

std::size_t AddHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTarget)
{
  const std::string_view line(aData, aSize * aCount);
  const auto colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char aChar) { return static_cast<char>(std::tolower(aChar)); });
    const auto start = std::min(line.find_first_not_of(' ', colon + 1), line.size());
    const auto end = std::min(line.find_first_of("\r\n", start), line.size());
    (*static_cast<std::map<std::string, std::string>*>(aTarget))[name] =
      line.substr(start, end - start);
  }
  return line.size();
}

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

CurlHandle NewHandle(const std::string& aUrl, std::chrono::milliseconds aTimeout)
{
  // curl_global_init is not thread-safe; a static initializer runs it once.
  static const auto kGlobal = curl_global_init(CURL_GLOBAL_ALL);
  static_cast<void>(kGlobal);
  CurlHandle handle(curl_easy_init(), &curl_easy_cleanup);
  curl_easy_setopt(handle.get(), CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
  return handle;
}

CurlList HeaderList(const RequestHeaders& aHeaders)
{
  CurlList list(curl_slist_append(nullptr, "Expect:"), &curl_slist_free_all);
  for (const auto& [name, value] : aHeaders) {
    auto line = name;
    line.append(": ").append(value);
    curl_slist_append(list.get(), line.c_str());
  }
  return list;
}

} // namespace

HttpResponse SendRequest(const HttpRequest& aRequest)
{
  const auto handle =
    NewHandle("http://" + aRequest.m_address + aRequest.m_target, aRequest.m_timeout);
  const auto headers = HeaderList(aRequest.m_headers);
  HttpResponse response;
  auto* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, aRequest.m_method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  if (aRequest.m_method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aRequest.m_body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aRequest.m_body.data());
  }
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.m_body);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &AddHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &response.m_headers);
  const auto code = curl_easy_perform(curl);
  if (code == CURLE_OK) {
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response.m_status);
  } else {
    response.m_error = curl_easy_strerror(code);
  }
  return response;
}

std::future<HttpResponse> SendAsync(HttpRequest aRequest)
{
  return std::async(std::launch::async,
                    [request = std::move(aRequest)] { return SendRequest(request); });
}

std::string ExchangeBytes(const std::string& aAddress, const std::string& aBytes)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  const int socketFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{ 20, 0 };
  setsockopt(socketFd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  std::string output;
  if (connect(socketFd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      send(socketFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) >= 0) {
    std::array<char, 4'096> buffer{};
    ssize_t count = 0;
    while ((count = recv(socketFd, buffer.data(), buffer.size(), 0)) > 0) {
      output.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
  close(socketFd);
  return output;
}

} // namespace pistachiostand::testing
