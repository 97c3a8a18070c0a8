#pragma once

#include "Dispatcher.h"

/// \file
/// \brief The /metrics page, in the text format of Prometheus.

namespace pistachiostand {

[[nodiscard]] HttpResponse MetricsPage(const Runtime& aRuntime, const Dispatcher& aDispatcher);

} // namespace pistachiostand
