#include "ChildProcess.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace pistachiostand::testing {
namespace {

/// \brief Runs `pistachiostand-entry --check-configuration` on files of its own directory.
class CheckConfigurationTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    std::filesystem::create_directory(m_directory);
    Write("valid.json", R"({"version":2,"routes":[],"upstreams":[{"name":"off","spare":true}]})");
    Write("earlier.json", R"({"version":1,"routes":[],"upstreams":[]})");
    Write("invalid.json",
          R"({"version":2,"routes":[7],"upstreams":[{"name":"off","spare":true}]})");
  }

  void TearDown() override { std::filesystem::remove_all(m_directory); }

  void Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream{ m_directory / aName } << aText;
  }

  [[nodiscard]] std::string Path(const std::string& aName) const { return m_directory / aName; }

  /// \brief Expects an exit code and returns the output.
  [[nodiscard]] std::string Run(std::vector<std::string> aArguments, int aExitCode) const
  {
    aArguments.insert(aArguments.begin(), BINARY_DIR "/pistachiostand-entry");
    ChildProcess process{ aArguments, m_directory / "output" };
    EXPECT_EQ(process.WaitForExit(), aExitCode);
    return process.Output();
  }

  std::filesystem::path m_directory =
    std::filesystem::temp_directory_path() / ("pistachiostand-check-" + std::to_string(getpid()));
};

// Guards against a script that publishes an invalid record because the exit code says it is valid.
TEST_F(CheckConfigurationTest, ExitCode_OfEachOutcome_IsAsDocumented)
{
  const auto valid = Path("valid.json");
  EXPECT_EQ(Run({ "--check-configuration", valid }, 0), valid + ": valid\n");
  EXPECT_EQ(Run({ "--check-configuration", valid, "--against", Path("earlier.json") }, 0),
            valid + ": upstreams[0] \"off\": difference: added\n" + valid + ": valid\n");
  EXPECT_TRUE(Run({ "--check-configuration", Path("invalid.json") }, 1)
                .starts_with(Path("invalid.json") + ": routes[0]: error: "));
  EXPECT_TRUE(Run({ "--check-configuration", Path("none.json") }, 1)
                .starts_with(Path("none.json") + ": record: error: the file cannot be read"));
  EXPECT_TRUE(Run({ "--check-configuration", m_directory }, 1)
                .starts_with(m_directory.string() + ": record: error: the file cannot be read"));
  EXPECT_NE(Run({ "--against", valid }, 2).find("Usage:"), std::string::npos);
}

// Guards against output that a script cannot parse.
TEST_F(CheckConfigurationTest, Json_OfAnInvalidRecord_IsOneObject)
{
  const auto output = Run({ "--check-configuration", Path("invalid.json"), "--json" }, 1);
  EXPECT_TRUE(output.starts_with("{\"file\":")) << output;
  EXPECT_TRUE(output.ends_with("\"result\":\"refused\"}\n")) << output;
}

} // namespace
} // namespace pistachiostand::testing
