#pragma once

#include "Dispatcher.h"
#include "pistachiostand/connection/HttpServer.h"

/// \file
/// \brief HTTP routes for operators: rules, status, health and metrics.

namespace pistachiostand {

class OperatorApi
{
public:
  OperatorApi(Runtime& aRuntime, Dispatcher& aDispatcher, std::function<bool()> aIsReady);

  /// \brief Handles operator paths; false for any other path.
  bool Handle(const HttpRequest& aRequest, const HttpResponder& aRespond);

private:
  void HandlePublish(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void OnPublished(std::uint64_t aId, ProposalResult aResult, const HttpResponder& aRespond) const;
  void HandleProvenance(const std::string& aRule, const HttpResponder& aRespond) const;
  [[nodiscard]] HttpResponse StatusPage() const;
  [[nodiscard]] HttpResponse RulesPage() const;

  Runtime& m_runtime;
  Dispatcher& m_dispatcher;
  std::function<bool()> m_isReady;
};

} // namespace pistachiostand
