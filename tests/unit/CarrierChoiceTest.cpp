#include "pistachiostand/fleet/CarrierChoice.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>

namespace pistachiostand::fleet {
namespace {

/// \brief 370 backend servers in two zones and six entry instances in each.
class CarrierChoiceTest : public ::testing::Test
{
protected:
  static constexpr int kServers = 370;

  CarrierChoiceTest()
  {
    for (int i = 0; i < 12; ++i) {
      m_all.push_back({ fmt::format("e{}", i), i % 2 == 0 ? "z1" : "z2", i < 6 ? 0.5 : 0.12 });
    }
  }

  static ZoneName ZoneOf(int aServer) { return aServer % 2 == 0 ? "z1" : "z2"; }

  /// \brief Returns the process of the carrier for each server.
  static std::vector<std::string> Assign(const std::vector<CarrierView>& aAll)
  {
    const auto inUse = SelectCarriers(aAll);
    std::vector<std::string> carriers;
    for (int server = 0; server < kServers; ++server) {
      const auto index = ChooseCarrier(inUse, ZoneOf(server), fmt::format("s{}", server));
      carriers.push_back(index ? inUse[*index].m_process : "");
    }
    return carriers;
  }

  std::vector<CarrierView> m_all;
};

// Guards against selecting small instances as carriers while larger ones are idle.
TEST_F(CarrierChoiceTest, InUse_ManyInstances_AreTheLargestOfEachZone)
{
  const auto inUse = SelectCarriers(m_all);
  EXPECT_EQ(inUse.size(), 2 * kCarriersPerZone);
  for (const auto& carrier : inUse) {
    EXPECT_EQ(carrier.m_processorShare, 0.5);
  }
}

// Guards against traffic between zones although the server's zone has a carrier, and against one
// carrier that has most of the servers.
TEST_F(CarrierChoiceTest, Choose_CarriersInAllZones_AreNearAndEven)
{
  const auto carriers = Assign(m_all);
  std::map<std::string, int> loads;
  for (int server = 0; server < kServers; ++server) {
    const auto& name = carriers[static_cast<std::size_t>(server)];
    ++loads[name];
    const auto view = std::ranges::find(m_all, name, &CarrierView::m_process);
    EXPECT_EQ(view->m_zone, ZoneOf(server));
  }
  for (const auto& [name, load] : loads) {
    EXPECT_LT(load, 2 * kServers / static_cast<int>(loads.size())) << name;
  }
}

// Guards against shares of the orders that do not match the processor shares.
TEST_F(CarrierChoiceTest, Choose_UnequalProcessors_FollowsTheirShares)
{
  const std::vector<CarrierView> two{ { "large", "z1", 0.5 }, { "small", "z1", 0.125 } };
  int large = 0;
  for (int server = 0; server < kServers; ++server) {
    large += ChooseCarrier(two, "z1", fmt::format("s{}", server)) == 0U ? 1 : 0;
  }
  EXPECT_GT(large, kServers * 7 / 10);
  EXPECT_LT(large, kServers * 9 / 10);
}

// Guards against servers that change their carrier although it is still available.
TEST_F(CarrierChoiceTest, Choose_OneCarrierLeaves_OnlyItsServersChange)
{
  const auto before = Assign(m_all);
  const std::string gone = SelectCarriers(m_all).front().m_process;
  std::erase_if(m_all, [&gone](const CarrierView& aView) { return aView.m_process == gone; });
  const auto after = Assign(m_all);
  int moved = 0;
  for (std::size_t server = 0; server < before.size(); ++server) {
    if (before[server] != after[server] && before[server] != gone) {
      ++moved; // To the instance that replaces the lost one.
    }
  }
  EXPECT_LT(moved, kServers / 4);
}

// Guards against servers without a carrier while another zone has one.
TEST_F(CarrierChoiceTest, Choose_NoCarrierInTheZone_TakesAnother)
{
  EXPECT_EQ(ChooseCarrier({ { "far", "z9", 0.5 } }, "z1", "s1"), 0U);
  EXPECT_EQ(ChooseCarrier({}, "z1", "s1"), std::nullopt);
}

} // namespace
} // namespace pistachiostand::fleet
