#pragma once

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <utility>

/// \file
/// \brief Property tests with a fixed seed, so that every run generates the same cases.

namespace pistachiostand {

inline constexpr std::uint64_t kPropertySeed = 20'260'309;
inline constexpr int kPropertyCases = 300;

template<typename Testable>
void CheckProperty(const std::string& aName, Testable&& aTestable, int aCases = kPropertyCases)
{
  rc::detail::TestParams params;
  params.seed = kPropertySeed;
  params.maxSuccess = aCases;
  rc::detail::TestMetadata metadata;
  metadata.description = aName;
  const auto result =
    rc::detail::checkTestable(std::forward<Testable>(aTestable), metadata, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << message.str();
}

} // namespace pistachiostand
