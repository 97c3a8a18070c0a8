#pragma once

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sstream>

/// \file
/// \brief Runs a rapidcheck property with a fixed seed.

namespace pistachiostand {

/// Makes every run generate the same cases.
inline constexpr std::uint64_t kPropertySeed = 20'260'309;

template<typename Testable>
void CheckProperty(const std::string& aName, int aCases, Testable&& aTestable)
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
