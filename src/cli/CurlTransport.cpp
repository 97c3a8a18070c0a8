#include "cli/CurlTransport.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace pistachiostand {

namespace {

// The status of 8,500 instances is about 1 MiB; a reply above this limit is not from a daemon.
constexpr std::size_t kMaxReplyBytes = std::size_t{ 16 } * 1024 * 1024;

struct CurlDeleter
{
  void operator()(CURL* aHandle) const noexcept { curl_easy_cleanup(aHandle); }
  void operator()(curl_slist* aList) const noexcept { curl_slist_free_all(aList); }
};

using Handle = std::unique_ptr<CURL, CurlDeleter>;
using HeaderList = std::unique_ptr<curl_slist, CurlDeleter>;

std::size_t OnBody(const char* aData, std::size_t aSize, std::size_t aCount, void* aReply)
{
  auto& reply = *static_cast<HttpReply*>(aReply);
  const std::size_t bytes = aSize * aCount;
  if (reply.m_body.size() + bytes > kMaxReplyBytes) {
    return 0;
  }
  reply.m_body.append(aData, bytes);
  return bytes;
}

std::size_t OnHeader(const char* aData, std::size_t aSize, std::size_t aCount, void* aReply)
{
  const std::string_view line{ aData, aSize * aCount };
  const auto colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string name{ line.substr(0, colon) };
    std::ranges::transform(name, name.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
    const auto first = line.find_first_not_of(" \t", colon + 1);
    const auto last = line.find_last_not_of(" \t\r\n");
    const std::string value{ first == std::string_view::npos || last < first
                               ? ""
                               : line.substr(first, last - first + 1) };
    static_cast<HttpReply*>(aReply)->m_headers[name] = value;
  }
  return line.size();
}

HeaderList MakeHeaders(const CommandRequest& aRequest)
{
  // Removes libcurl's own "Expect" header, with which it waits a second for "100 Continue" before
  // it sends a large body.
  HeaderList list{ curl_slist_append(nullptr, "Expect:") };
  for (const auto& header : aRequest.m_headers) {
    list.reset(curl_slist_append(list.release(), header.c_str()));
  }
  return list;
}

void Prepare(CURL* aHandle, const CommandRequest& aRequest, const std::string& aUrl,
             Millis aTimeoutMs)
{
  curl_easy_setopt(aHandle, CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(aHandle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(aHandle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(aHandle, CURLOPT_PROXY,
                   ""); // Connects directly even if the environment sets a proxy.
  curl_easy_setopt(aHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aHandle, CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeoutMs));
  if (aRequest.m_method == "POST") {
    curl_easy_setopt(aHandle, CURLOPT_POST, 1L);
    curl_easy_setopt(aHandle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aRequest.m_body.size()));
    curl_easy_setopt(aHandle, CURLOPT_POSTFIELDS, aRequest.m_body.data());
  }
}

TransportError ErrorOf(CURL* aHandle, CURLcode aCode)
{
  long sentBytes = 0;
  curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &sentBytes);
  return { sentBytes > 0, curl_easy_strerror(aCode) };
}

} // namespace

TransportResult Exchange(const Endpoint& aEntry, const CommandRequest& aRequest, Millis aTimeoutMs)
{
  const Handle handle{ curl_easy_init() };
  if (!handle) {
    return TransportError{ false, "libcurl cannot be initialized" };
  }
  const std::string url = "http://" + ToString(aEntry) + aRequest.m_path;
  const auto headers = MakeHeaders(aRequest);
  HttpReply reply;
  Prepare(handle.get(), aRequest, url, aTimeoutMs);
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reply);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &reply);
  const CURLcode code = curl_easy_perform(handle.get());
  if (code != CURLE_OK) {
    return ErrorOf(handle.get(), code);
  }
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  reply.m_status = static_cast<int>(status);
  return reply;
}

} // namespace pistachiostand
