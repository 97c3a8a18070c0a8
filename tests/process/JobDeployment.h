#pragma once

#include "Deployment.h"

#include "pistachiostand/process/Record.h"

#include <optional>

/// \file
/// \brief Fixture for failure tests of jobs and responses.

namespace pistachiostand::testing {

class JobDeployment : public Deployment
{
protected:
  /// \brief Starts three entry instances, two backend servers each for batches and refresh, three
  /// for lookups (so that one failing server can be taken out of use: at most a third of a pool is
  /// ejected), and one in the spare pool.
  void StartJobDeployment(const std::vector<std::string>& aBackendArguments = {},
                          const std::string& aTaskControl = "full");

  /// \brief Waits until every entry instance reports all others as alive.
  void WaitForPeers();

  /// \brief Repeats the request while the response is 202 or 503.
  ///
  /// Expects that no run was started whenever the outcome is "not-run".
  [[nodiscard]] HttpResponse RepeatUntilFinal(std::size_t aEntry, const ServiceRequest& aRequest);

  /// \brief `GET /v1/jobs/{key}` of tenant `tupelo`.
  [[nodiscard]] HttpResponse GetJob(std::size_t aEntry, const std::string& aKey) const;
  [[nodiscard]] HttpResponse CancelJob(std::size_t aEntry, const std::string& aKey) const;
  /// \brief Phase of the job that this entry instance reports, or an empty string.
  [[nodiscard]] std::string PhaseOf(std::size_t aEntry, const std::string& aKey) const;
  void WaitForPhase(std::size_t aEntry, const std::string& aKey, const std::string& aPhase);
  void WaitForFinalPhase(std::size_t aEntry, const std::string& aKey);
  void WaitForStart(const std::string& aKey, std::size_t aCount = 1);
  /// \brief Repeats the submit of a queued job until the response is 202, when it is in the log.
  void SubmitJob(std::size_t aEntry, const std::string& aService, const std::string& aKey);

  /// \brief Decodes all records of the platform's log.
  [[nodiscard]] std::vector<Record> ReadLog() const;
  /// \brief Index of the entry instance that appended the last claim of this key.
  [[nodiscard]] std::optional<std::size_t> ClaimantOf(const std::string& aKey) const;
  void WaitForClaim(const std::string& aKey);
  /// \brief Index of the backend server that has run the job of this key.
  [[nodiscard]] std::size_t ServerOf(const std::string& aKey) const;
  /// \brief The runs of this key on all backend servers, as `/control/executions` lists them.
  [[nodiscard]] Json RunsOf(const std::string& aKey) const;
  void ControlBackends(const std::string& aCommand) const;
};

} // namespace pistachiostand::testing
