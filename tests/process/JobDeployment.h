#pragma once

#include "Deployment.h"

#include "pistachiostand/process/Record.h"

#include <optional>

/// \file
/// \brief Fixture for faults of jobs and responses: rules, jobs of callers, and the log's content.

namespace pistachiostand::testing {

class JobDeployment : public Deployment
{
protected:
  /// \brief Three entry instances; two backend servers each for batches and refreshes, three for
  /// lookups (at most a third of a pool is ejected), and one in the spare pool.
  void StartJobDeployment(const std::vector<std::string>& aBackendArguments = {},
                          const std::string& aTaskControl = "full");

  /// \brief Waits until every entry instance has heard from all others.
  void WaitForPeers();

  /// \brief Sends the request until its outcome is final; 202 and "not run" are repeated.
  ///
  /// Expects that nothing has started whenever the outcome is "not run".
  [[nodiscard]] HttpResponse RepeatUntilFinal(std::size_t aEntry, const ServiceRequest& aRequest);

  /// \brief `GET /v1/jobs/{key}` of tenant `tupelo`.
  [[nodiscard]] HttpResponse GetJob(std::size_t aEntry, const std::string& aKey) const;
  [[nodiscard]] HttpResponse CancelJob(std::size_t aEntry, const std::string& aKey) const;
  /// \brief Phase of the job as this entry instance sees it; empty without one.
  [[nodiscard]] std::string PhaseOf(std::size_t aEntry, const std::string& aKey) const;
  void WaitForPhase(std::size_t aEntry, const std::string& aKey, const std::string& aPhase);
  void WaitForFinalPhase(std::size_t aEntry, const std::string& aKey);
  void WaitForStart(const std::string& aKey, std::size_t aCount = 1);
  /// \brief Submits a queued job until it is in the log.
  void SubmitJob(std::size_t aEntry, const std::string& aService, const std::string& aKey);

  /// \brief All records of the platform's log.
  [[nodiscard]] std::vector<Record> ReadLog() const;
  /// \brief Index of the entry instance that made the last claim of this key.
  [[nodiscard]] std::optional<std::size_t> ClaimantOf(const std::string& aKey) const;
  void WaitForClaim(const std::string& aKey);
  /// \brief Index of the backend server that has started this key.
  [[nodiscard]] std::size_t RunnerOf(const std::string& aKey) const;
  /// \brief The runs of this key on all backend servers, as `/control/executions` lists them.
  [[nodiscard]] Json RunsOf(const std::string& aKey) const;
  void ControlBackends(const std::string& aCommand) const;
};

} // namespace pistachiostand::testing
