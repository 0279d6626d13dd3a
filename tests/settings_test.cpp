#include "base/settings.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace cranklock::base {
namespace {

const std::string kToml = R"(
member = "n0"
zone = "a"
listen = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
novelty = 1
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[facts]
nodes = 1
zones = ["a"]
clock_error_ms = 5.0
[facts.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 40.0
[facts.state]
rps = 10.0
write_rps = 5.0
value_kb = 8.0
txn_ops = 12
[facts.cloud]
rps = 5.0
list_lag_s = 8.0
[facts.resources]
fd_limit = 500
)";

class TemporaryFile {
 public:
  TemporaryFile(const char* name, const std::string& text)
      : path_(::testing::TempDir() + name + std::to_string(::getpid())) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Error of loading these settings; empty if they are valid.
std::string load_error(const std::string& toml, const std::string& xml) {
  const TemporaryFile toml_file("settings.toml", toml), xml_file("operator.xml", xml);
  try {
    load_settings(toml_file.path(), xml.empty() ? "" : xml_file.path());
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST(Settings, UnknownTomlFieldsAreIgnoredAndInvalidOnesNamed) {
  EXPECT_EQ(load_error(kToml, ""), "");
  EXPECT_NE(load_error(replaced(kToml, "lease_s = 10.0", "lease_s = \"x\""), "")
                .find("facts.workers.lease_s: expected a number"),
            std::string::npos);
  EXPECT_NE(load_error(replaced(kToml, "txn_ops = 12", ""), "").find("facts.state.txn_ops"),
            std::string::npos);
  EXPECT_NE(load_error("member = ", "").find("expected TOML"), std::string::npos);
}

TEST(Settings, CoreShareAndMemoryAreOptionalAndPositive) {
  const std::string given =
      replaced(kToml, "fd_limit = 500", "fd_limit = 500\ncore_share = 0.024\nram_mb = 27.0");
  const TemporaryFile toml("share.toml", given);
  EXPECT_DOUBLE_EQ(load_settings(toml.path(), "").core_share, 0.024);
  EXPECT_DOUBLE_EQ(load_settings(toml.path(), "").ram_mb, 27);
  EXPECT_NE(load_error(replaced(given, "0.024", "0.0"), "").find("facts.resources.core_share"),
            std::string::npos);
}

// Announced limits take effect without notice, so values written now must already fit them.
TEST(Settings, SmallerOfCurrentAndAnnouncedStoreLimitsApplies) {
  const std::string announced = replaced(kToml, "[facts.cloud]",
                                         "[facts.state.next]\nwrite_rps = 3.0\nvalue_kb = 2.0\n"
                                         "txn_ops = 40\n[facts.cloud]");
  const TemporaryFile toml("next.toml", announced);
  const auto settings = load_settings(toml.path(), "");
  EXPECT_DOUBLE_EQ(settings.state_rps, 10);  // absent from state.next: unchanged
  EXPECT_DOUBLE_EQ(settings.state_write_rps, 3);
  EXPECT_DOUBLE_EQ(settings.value_kb, 2);
  EXPECT_EQ(settings.txn_ops, 12);
  EXPECT_NE(load_error(replaced(announced, "txn_ops = 40", "txn_ops = 1"), "")
                .find("facts.state.next.txn_ops: expected a whole number of at least 2"),
            std::string::npos);
  EXPECT_NE(load_error(replaced(announced, "value_kb = 2.0", "value_kb = \"2\""), "")
                .find("facts.state.next.value_kb"),
            std::string::npos);
  EXPECT_NE(load_error(replaced(announced, "write_rps = 3.0", "write_rps = 0"), "")
                .find("facts.state.next.write_rps"),
            std::string::npos);
  EXPECT_NE(load_error(replaced(kToml, "txn_ops = 12", "txn_ops = 12\nnext = 1"), "")
                .find("facts.state.next: expected a table"),
            std::string::npos);
}

TEST(Settings, UnknownXmlElementsAreRejected) {
  EXPECT_EQ(load_error(kToml, "<cranklock><scaler high='0.8' low='0.4'/></cranklock>"), "");
  EXPECT_NE(load_error(kToml, "<cranklock><scalar/></cranklock>").find("scalar"),
            std::string::npos);
  EXPECT_NE(load_error(kToml, "<cranklock><scaler hihg='1'/></cranklock>").find("scaler/hihg"),
            std::string::npos);
  // The design requires a scale-in window.
  EXPECT_NE(load_error(kToml, "<cranklock><scaler down_window_s='0'/></cranklock>")
                .find("scaler/down_window_s: expected a number"),
            std::string::npos);
  EXPECT_NE(load_error(kToml, "<cranklock><scaler low='0.95'/></cranklock>").find("below high"),
            std::string::npos);
}

TEST(Settings, MoveAdviceIsOffByDefault) {
  const TemporaryFile toml("advice.toml", kToml);
  const TemporaryFile xml("advice.xml", "<cranklock><defrag advise_every_s='30'/></cranklock>");
  EXPECT_DOUBLE_EQ(load_settings(toml.path(), "").operator_settings.defrag.advise_every_s, 0);
  EXPECT_DOUBLE_EQ(load_settings(toml.path(), xml.path()).operator_settings.defrag.advise_every_s,
                   30);
  EXPECT_NE(load_error(kToml, "<cranklock><defrag advise_every_s='0'/></cranklock>")
                .find("defrag/advise_every_s: expected a number"),
            std::string::npos);
}

TEST(Settings, MovesAndDrainsAreOffByDefault) {
  const TemporaryFile toml("moves.toml", kToml);
  const TemporaryFile on(
      "moves.xml",
      "<cranklock><defrag moves='on' drain='http://10.0.0.9:8080/drains/v1'/></cranklock>");
  const auto off = load_settings(toml.path(), "").operator_settings.defrag;
  EXPECT_FALSE(off.moves);
  EXPECT_FALSE(off.drain.is_configured());
  const auto moves = load_settings(toml.path(), on.path()).operator_settings.defrag;
  EXPECT_TRUE(moves.moves);
  EXPECT_EQ(moves.drain.address, "10.0.0.9:8080");
  EXPECT_EQ(moves.drain.path, "/drains/v1");
}

TEST(Settings, ErrorsOfDefragNameTheFieldAndTheExpectedValue) {
  const auto expect_error = [](const std::string& attributes, const std::string& expected) {
    const auto error = load_error(kToml, "<cranklock><defrag " + attributes + "/></cranklock>");
    EXPECT_NE(error.find(expected), std::string::npos) << attributes << ": " << error;
  };
  expect_error("moves='yes'", "defrag/moves: expected on or off");
  expect_error("move='on'", "defrag/move: expected a known attribute");
  for (const char* url : {"https://h:1/p", "http://h/p", "http://h:0/p", "http://h:70000/p",
                          "http://h:1", "http://:1/p", "http://h:x/p", ""}) {
    expect_error(std::string("moves='on' drain='") + url + "'",
                 "defrag/drain: expected http://host:port/path");
  }
  expect_error("drain='http://h:1/p'", "defrag/moves: expected on, where drain is named");
}

const std::string kRegions =
    "<cranklock><regions self='east' founder='west'>"
    "<region name='east' share='0.25'><controller member='n0' address='127.0.0.1:5'/></region>"
    "<region name='west' share='0.75'><controller member='n0' address='127.0.0.1:6'/></region>"
    "</regions></cranklock>";

TEST(Settings, RegionsAreReadFromXml) {
  const TemporaryFile toml("regions.toml", kToml), xml("regions.xml", kRegions);
  const auto regions = load_settings(toml.path(), xml.path()).operator_settings.regions;
  ASSERT_TRUE(regions.enabled());
  EXPECT_EQ(regions.self, "east");
  EXPECT_EQ(regions.bootstrap_region, "west");
  ASSERT_EQ(regions.regions.size(), 2U);
  EXPECT_DOUBLE_EQ(regions.find("west")->initial_share, 0.75);
  EXPECT_EQ(regions.listen_address("n0"), "127.0.0.1:5");
  EXPECT_EQ(regions.listen_address("n1"), "");
  EXPECT_FALSE(load_settings(toml.path(), "").operator_settings.regions.enabled());
}

TEST(Settings, ErrorsOfRegionsNameTheFieldAndTheExpectedValue) {
  const auto expect_error = [](const std::string& from, const std::string& to,
                               const std::string& expected) {
    const std::string error = load_error(kToml, replaced(kRegions, from, to));
    EXPECT_NE(error.find(expected), std::string::npos) << error;
  };
  expect_error("name='west'", "name='east'", "region/name: expected each region once: east");
  expect_error("share='0.75'", "share='0.76'",
               "region/share: expected shares that add up to at most 1");
  expect_error("share='0.75'", "share='-1'", "region west/share: expected a number from 0 to 1");
  expect_error("self='east'", "self='north'", "regions/self: expected one of the regions");
  expect_error("founder='west'", "founder='north'", "regions/founder: expected one of the regions");
  expect_error("founder='west'", "founder=''", "regions/founder: expected 1 to 64 letters");
  expect_error("address='127.0.0.1:6'", "adress='127.0.0.1:6'", "region west/controller/adress");
  expect_error("address='127.0.0.1:6'", "address='west'",
               "region west/controller/address: expected host");
  expect_error("<controller member='n0' address='127.0.0.1:6'/>", "",
               "region west: expected at least one");
  expect_error("member='n0' address='127.0.0.1:5'", "member='n7' address='127.0.0.1:5'",
               "region east: expected the controller n0");
  expect_error("</regions>", "</regions><regions self='east' founder='west'/>",
               "regions: expected the element once");
  EXPECT_NE(load_error(replaced(kToml, "txn_ops = 12", "txn_ops = 3"), kRegions).find("at least 4"),
            std::string::npos);
}

}  // namespace
}  // namespace cranklock::base
