#pragma once

#include "JobRunner.h"

#include <functional>
#include <string>
#include <vector>

/// \file
/// \brief HTTP routes for callers: services and jobs.

namespace pistachiostand {

class CallerApi
{
public:
  /// \param aIsReady Returns true once the rules and jobs have been read from the log.
  CallerApi(Runtime& aRuntime, Dispatcher& aDispatcher, JobRunner& aJobs,
            std::function<bool()> aIsReady);

  /// \brief Handles `/v1/services/...` and `/v1/jobs/...`; false for any other path.
  bool Handle(HttpRequest& aRequest, const HttpResponder& aRespond);

  /// \brief Number of requests without a response yet.
  [[nodiscard]] std::size_t Outstanding() const noexcept { return m_outstanding; }

private:
  using Parts = std::vector<std::string>;

  void HandleService(CallerRequest aCall, const ServiceName& aService);
  void HandleSubmit(CallerRequest aCall, const ServiceName& aService);
  void HandleJob(CallerRequest aCall, const std::string& aMethod, const std::string& aKey);

  [[nodiscard]] CallerRequest MakeCallerRequest(HttpRequest& aRequest,
                                                const HttpResponder& aRespond);
  [[nodiscard]] bool CheckTenant(CallerRequest& aCall) const;
  [[nodiscard]] bool CheckService(CallerRequest& aCall, const ServiceName& aService) const;
  [[nodiscard]] bool CheckKey(CallerRequest& aCall) const;
  [[nodiscard]] HttpResponder CountUntilAnswered(const HttpResponder& aRespond,
                                                 const TenantName& aTenant);

  Runtime& m_runtime;
  Dispatcher& m_dispatcher;
  JobRunner& m_jobs;
  std::function<bool()> m_isReady;
  std::size_t m_outstanding{};
  std::uint64_t m_lastRequest{};
};

/// \brief Splits a path at its slashes, without empty parts.
[[nodiscard]] std::vector<std::string> SplitPath(std::string_view aPath);

} // namespace pistachiostand
