#include "pistachiostand/connection/HeaderPolicy.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>

namespace pistachiostand {

namespace {

/// Fields that belong to one connection or message; not all of them are hop-by-hop.
constexpr std::array<std::string_view, 12> kConnectionFields{ "connection",
                                                              "content-length",
                                                              "expect",
                                                              "host",
                                                              "keep-alive",
                                                              "proxy-connection",
                                                              "te",
                                                              "trailer",
                                                              "upgrade",
                                                              "transfer-encoding",
                                                              "proxy-authenticate",
                                                              "proxy-authorization" };

constexpr std::array<std::string_view, 12> kReservedFields{
  "x-request-id",      "x-tenant",  "x-pool", "x-boot-id", "x-job-key",       "x-attempt",
  "x-start-before-ms", "x-outcome", "x-load", "x-not-run", "idempotency-key", "x-entry-id"
};

bool IsPassed(const HttpHeaders::value_type& aField)
{
  return std::ranges::find(kConnectionFields, aField.first) == kConnectionFields.end() &&
         std::ranges::find(kReservedFields, aField.first) == kReservedFields.end();
}

HttpHeaders Passed(const HttpHeaders& aHeaders)
{
  HttpHeaders passed;
  std::ranges::copy_if(aHeaders, std::inserter(passed, passed.end()), IsPassed);
  return passed;
}

} // namespace

HttpHeaders PassedToService(const HttpHeaders& aHeaders)
{
  return Passed(aHeaders);
}

HttpHeaders PassedToCaller(const HttpHeaders& aHeaders)
{
  return Passed(aHeaders);
}

} // namespace pistachiostand
