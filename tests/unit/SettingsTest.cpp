#include "pistachiostand/process/Settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace pistachiostand {
namespace {

/// Lines 1 to 8 of every file; a test appends its own lines from line 9 on.
constexpr std::string_view kBase = "[entry]\n"
                                   "id = \"e1\"\n"
                                   "zone = \"a\"\n"
                                   "[listen]\n"
                                   "callers = \"127.0.0.1:8080\"\n"
                                   "peers = \"127.0.0.1:8081\"\n"
                                   "[platform]\n"
                                   "address = \"[::1]:9000\"\n";

class SettingsTest : public ::testing::Test
{
protected:
  std::optional<Settings> Parse(std::string_view aRest)
  {
    return ParseText(std::string{ kBase } + std::string{ aRest });
  }

  std::optional<Settings> ParseText(std::string_view aText)
  {
    m_reasons.clear();
    return ParseSettings(aText, m_reasons);
  }

  Reasons m_reasons;
};

// Guards against a file without optional tables losing the documented defaults.
TEST_F(SettingsTest, File_WithRequiredTablesOnly_KeepsDefaults)
{
  const auto settings = Parse("");
  ASSERT_TRUE(settings) << Format(m_reasons.front(), "entry.toml");
  EXPECT_EQ(settings->m_id, "e1");
  EXPECT_EQ(settings->m_zone, "a");
  EXPECT_EQ(settings->m_callerListen, (Endpoint{ "127.0.0.1", 8080 }));
  EXPECT_EQ(settings->m_peerListen, (Endpoint{ "127.0.0.1", 8081 }));
  EXPECT_EQ(settings->m_platform, (Endpoint{ "::1", 9000 }));
  EXPECT_EQ(settings->m_logLevel, "info");
  EXPECT_EQ(settings->m_limits, LimitSettings{});
}

// Guards against a key that is accepted but stored in another member.
TEST_F(SettingsTest, Limits_WithEveryKey_AreReadIntoTheirMembers)
{
  const auto settings =
    Parse("[limits]\nheartbeat_ms = 101\npeer_timeout_ms = 202\nview_confirm_ms = 103\n"
          "claim_window_ms = 104\nlist_poll_ms = 105\ntail_wait_ms = 106\n"
          "platform_timeout_ms = 107\nshutdown_grace_ms = 108\ndrain_wait_ms = 109\n"
          "max_connections = 110\nmax_tenants = 111\nsnapshot_every = 112\n"
          "[log]\nlevel = \"warn\"\n");
  ASSERT_TRUE(settings) << Format(m_reasons.front(), "entry.toml");
  const LimitSettings expected{ 101, 202, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112 };
  EXPECT_EQ(settings->m_limits, expected);
  EXPECT_EQ(settings->m_logLevel, "warn");
}

// Guards against peers that are dropped or reordered.
TEST_F(SettingsTest, Peers_OfTwoTables_AreReadInOrder)
{
  const auto settings =
    Parse("[[peer]]\nid = \"e2\"\nzone = \"a\"\naddress = \"127.0.0.2:8081\"\n"
          "[[peer]]\nid = \"e3\"\nzone = \"b\"\naddress = \"127.0.0.3:8081\"\n");
  ASSERT_TRUE(settings);
  ASSERT_EQ(settings->m_peers.size(), 2U);
  EXPECT_EQ(settings->m_peers[1], (PeerSettings{ "e3", "b", { "127.0.0.3", 8081 } }));
}

// Guards against an operator having to correct one error per start.
TEST_F(SettingsTest, Errors_OfSeveralTables_AreAllReportedWithTheirPositions)
{
  EXPECT_FALSE(Parse("[limits]\nheartbeat_ms = 1\nmax_conections = 5\n"
                     "[log]\nlevel = \"loud\"\n[[peer]]\nid = \"e2\"\naddress = \"host:1\"\n"));
  ASSERT_EQ(m_reasons.size(), 5U);
  EXPECT_TRUE(std::ranges::is_sorted(m_reasons, {}, &Reason::m_position));
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::BadValue);
  EXPECT_EQ(m_reasons[0].m_position, (SourcePosition{ 10, 16 }));
  EXPECT_EQ(m_reasons[1].m_kind, ReasonKind::UnknownKey);
  EXPECT_EQ(m_reasons[1].m_remedy, "did you mean \"max_connections\"?");
  EXPECT_EQ(m_reasons[2].m_position.m_line, 13U);
  EXPECT_EQ(m_reasons[3].m_kind, ReasonKind::MissingValue);
  EXPECT_EQ(m_reasons[4].m_kind, ReasonKind::BadValue);
}

// Guards against a misspelled table that silently leaves its defaults in force.
TEST_F(SettingsTest, Table_OfUnknownName_IsRefusedWithNearestName)
{
  EXPECT_FALSE(Parse("[limit]\nheartbeat_ms = 500\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::UnknownKey);
  EXPECT_EQ(m_reasons[0].m_remedy, "did you mean \"limits\"?");
  EXPECT_EQ(m_reasons[0].m_position.m_line, 9U);
}

// Guards against a daemon that starts without settings for its platform or its addresses.
TEST_F(SettingsTest, File_WithoutRequiredTables_NamesEachOfThem)
{
  EXPECT_FALSE(ParseText(""));
  ASSERT_EQ(m_reasons.size(), 3U);
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::MissingValue);
}

// Guards against a dependency on a resolver: addresses are IP addresses only.
TEST_F(SettingsTest, Address_WithHostName_IsRefused)
{
  EXPECT_FALSE(Parse("[[peer]]\nid = \"e2\"\nzone = \"a\"\naddress = \"localhost:8081\"\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_position, (SourcePosition{ 12, 11 }));
}

// Guards against two entry instances that share an id, whose claims could not be distinguished.
TEST_F(SettingsTest, Peer_WithIdOfThisEntry_IsRefused)
{
  EXPECT_FALSE(Parse("[[peer]]\nid = \"e1\"\nzone = \"a\"\naddress = \"127.0.0.2:8081\"\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::Inconsistent);
  EXPECT_EQ(m_reasons[0].m_position, (SourcePosition{ 10, 6 }));
}

// Guards against one address under two ids, which would count one peer twice.
TEST_F(SettingsTest, Peers_WithEqualAddress_AreRefused)
{
  EXPECT_FALSE(Parse("[[peer]]\nid = \"e2\"\nzone = \"a\"\naddress = \"127.0.0.2:8081\"\n"
                     "[[peer]]\nid = \"e3\"\nzone = \"a\"\naddress = \"127.0.0.2:8081\"\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_position.m_line, 16U);
}

// Guards against a peer that is declared lost after one late heartbeat.
TEST_F(SettingsTest, PeerTimeout_BelowTwoHeartbeats_IsRefused)
{
  EXPECT_FALSE(Parse("[limits]\nheartbeat_ms = 1000\npeer_timeout_ms = 1999\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_position.m_line, 11U);
}

// Guards against reads of an idle log that always time out.
TEST_F(SettingsTest, PlatformTimeout_NotAboveTailWait_IsRefused)
{
  EXPECT_FALSE(Parse("[limits]\ntail_wait_ms = 5000\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::Inconsistent);
}

// Guards against a claim or a view that remains valid beyond the bounds other processes rely on.
TEST_F(SettingsTest, SafetyWindows_AboveTheDesignBounds_AreRefused)
{
  EXPECT_TRUE(Parse("[limits]\nclaim_window_ms = 5000\nview_confirm_ms = 15000\n"));
  EXPECT_FALSE(Parse("[limits]\nclaim_window_ms = 5001\nview_confirm_ms = 15001\n"));
  EXPECT_EQ(m_reasons.size(), 2U);
}

// Guards against two listeners on one port, which would fail only when the daemon binds.
TEST_F(SettingsTest, Listeners_WithEqualAddress_AreRefused)
{
  EXPECT_FALSE(ParseText("entry = { id = \"e1\", zone = \"a\" }\n"
                         "listen = { callers = \"127.0.0.1:1\", peers = \"127.0.0.1:1\" }\n"
                         "platform = { address = \"127.0.0.1:2\" }\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_position.m_line, 2U);
}

// Guards against a crash on values of the wrong type.
TEST_F(SettingsTest, Tables_OfWrongType_AreRefused)
{
  EXPECT_FALSE(ParseText("entry = 1\nlisten = []\nplatform = \"x\"\npeer = 5\nlimits = true\n"));
  EXPECT_EQ(m_reasons.size(), 5U);
  EXPECT_FALSE(ParseText("peer = [1]\n"));
}

// Guards against a syntax error that is reported without its line.
TEST_F(SettingsTest, Syntax_WhenBroken_NamesItsLine)
{
  EXPECT_FALSE(Parse("[log\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::Syntax);
  EXPECT_EQ(m_reasons[0].m_position.m_line, 9U);
}

} // namespace
} // namespace pistachiostand
