#pragma once

#include "EntrySettings.h"
#include "Metrics.h"
#include "SubmissionWriter.h"

#include "pistachiostand/account/Access.h"
#include "pistachiostand/connection/HttpServer.h"
#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobSpec.h"
#include "platform/Store.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// \file
/// \brief The API for callers: accepts jobs, reports their state, cancels them.
///
/// A job is accepted when its submission is stored, which needs no running owner. Requests for job
/// states and pending counts are forwarded to the owner.

namespace pistachiostand::fleet {

/// \brief Outcome for a record that the owner of the fleet was asked to store.
enum class RelayOutcome : std::uint8_t
{
  Stored,
  Refused, ///< By the store: the record is not stored.
  NotSent, ///< To the store: the owner was not reached or could not send it in time.
  Unknown, ///< It may be stored.
};

/// \brief What the API needs from the process.
struct JobApiContext
{
  asio::io_context& m_loop;
  SubmissionWriter& m_writer;
  Metrics& m_metrics;
  const Configuration& m_configuration; ///< Revision 0: none has been read yet.
  std::size_t m_maxRecordBytes{};       ///< Largest record that the store takes.
  /// Fraction of the quota of an account that a gang may exceed; see MayStartGang.
  const double& m_runningOverage;
  /// \brief Forwards a request for a job state or a pending count to the owner of the fleet.
  std::function<void(const std::string& aPath, HttpResponder aDone)> m_askOwner;
  /// \brief Has the owner store a record of the submission topic when this instance cannot.
  std::function<void(const std::string& aRecord, Millis aTimeoutMs,
                     std::function<void(RelayOutcome)> aDone)>
    m_relay;
  /// \brief Checks the key of a request to a queue.
  std::function<AccessResult(const QueueRule& aQueue, std::string_view aKey)> m_authorize;
  std::function<bool()> m_isStopping;
  std::function<bool()> m_isStoreSilent;
  std::function<bool()> m_isIsolated; ///< Neither the store nor the owner can be reached.
};

class JobApi
{
public:
  explicit JobApi(JobApiContext aContext);

  JobApi(const JobApi&) = delete;
  JobApi& operator=(const JobApi&) = delete;
  ~JobApi() = default;

  void Handle(HttpRequest aRequest, HttpResponder aRespond);

  [[nodiscard]] std::size_t InFlight() const noexcept { return m_inFlight; }

  /// \brief Ends all submissions because the process stops; later ones are refused.
  void Close();

private:
  struct Submission;

  void Submit(const HttpRequest& aRequest, const QueueRule& aQueue, const JobId& aId,
              const CallerScope& aScope, HttpResponder aRespond);
  /// \brief Refuses a job of which a gang is wider than its account may ever run.
  void RejectGang(const QueueRule& aQueue, const JobId& aId, const AccountName& aAccount,
                  std::size_t aStep, const HttpResponder& aRespond);
  void Begin(const std::shared_ptr<Submission>& aSubmission);
  void Store(const std::shared_ptr<Submission>& aSubmission);
  void Relay(const std::shared_ptr<Submission>& aSubmission);
  void OnWritten(const std::shared_ptr<Submission>& aSubmission, platform::AppendOutcome aOutcome);
  void OnRelayed(const std::shared_ptr<Submission>& aSubmission, RelayOutcome aOutcome);
  void Accept(const std::shared_ptr<Submission>& aSubmission);
  void Finish(const std::shared_ptr<Submission>& aSubmission, std::uint16_t aStatus,
              std::string_view aReason);
  void Cancel(const HttpRequest& aRequest, const JobId& aId, const CallerScope& aScope,
              HttpResponder aRespond);
  void AskState(const JobId& aId, const CallerScope& aScope, HttpResponder aRespond);
  /// \brief Responds to a request whose key does not allow it.
  void Reject(const QueueRule& aQueue, AccessOutcome aOutcome, const HttpResponder& aRespond);
  void AskPending(const QueueRule& aQueue, HttpResponder aRespond);
  void PruneAccepted(Millis aNowMs);

  JobApiContext m_context;
  std::size_t m_inFlight{};
  /// Submissions without a response yet.
  std::set<std::shared_ptr<Submission>> m_pendingSubmissions;
  bool m_closed{};
  struct AcceptedJob
  {
    Millis m_sinceMs{};
    CallerScope m_scope; ///< Of the caller that submitted it.
  };
  /// Jobs accepted recently by this instance, which the owner may not have read yet.
  std::map<JobId, AcceptedJob> m_accepted;
  Millis m_lastPruneMs{};
};

/// \brief Target on the owner for the state of a job, as far as the caller may read it.
[[nodiscard]] std::string OwnerJobPath(const JobId& aId, const CallerScope& aScope);
/// \brief The caller for whom an entry instance requests the state of a job. Instances of earlier
/// versions send none.
[[nodiscard]] CallerScope ScopeOfOwnerRequest(const HttpRequest& aRequest);
/// \brief Path on the owner for the number of pending jobs of a queue.
[[nodiscard]] std::string OwnerPendingPath(const QueueName& aQueue);

} // namespace pistachiostand::fleet
