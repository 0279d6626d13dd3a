// Every field of the platform's TOML and of the operator's XML, each with a value that differs from
// its default and from the values of other fields. Operators have such files in use, so they must
// remain valid.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "base/settings.hpp"

namespace cranklock::testing {
namespace {

const std::string kToml = R"(
member = "winch-1"
zone = "a"
listen = "10.1.0.2:7100"
peer_listen = "10.1.0.2:7200"
[[others]]
member = "winch-0"
zone = "b"
address = "10.1.0.1:7200"
[[others]]
member = "winch-2"
zone = "c"
address = "10.1.0.3:7200"
[external]
cloud = "10.1.0.8:80"
state = "10.1.0.9:81"
[facts]
nodes = 3
zones = ["a", "b", "c"]
clock_error_ms = 250.0
[[facts.teams]]
name = "red"
cpus = 100.5
cpus_max = 200.5
gpus = 11.0
gpus_max = 22.0
[[facts.objectives]]
kind = "start_within"
class = "train"
within_s = 60.5
share = 0.95
[[facts.objectives]]
kind = "cost"
[facts.workers]
report_s = 1.5
lease_s = 10.5
gang_wait_s = 31.0
gang_peer_s = 5.5
cancel_s = 41.0
[facts.state]
rps = 101.0
write_rps = 31.5
value_kb = 9.0
txn_ops = 13
[facts.cloud]
rps = 6.5
list_lag_s = 7.5
[facts.resources]
fd_limit = 400
core_share = 0.025
ram_mb = 27.5
)";

// deploy/regions.xml and deploy/defrag.xml without their comments.
const std::string kRegionsExample = R"(<cranklock>
  <regions self="east" founder="east">
    <region name="east" share="0.6">
      <controller member="winch-0" address="10.1.0.1:7300"/>
      <controller member="winch-1" address="10.1.0.2:7300"/>
      <controller member="winch-2" address="10.1.0.3:7300"/>
    </region>
    <region name="west" share="0.4">
      <controller member="winch-0" address="10.2.0.1:7300"/>
      <controller member="winch-1" address="10.2.0.2:7300"/>
    </region>
  </regions>
</cranklock>
)";
const std::string kDefragExample = R"(<cranklock>
  <defrag moves="on"/>
</cranklock>
)";

class TemporaryFile {
 public:
  TemporaryFile(const char* name, const std::string& text)
      : path_(::testing::TempDir() + "compatibility_" + std::to_string(::getpid()) + name) {
    std::ofstream(path_) << text;
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

base::Settings read_toml(const std::string& text) {
  const TemporaryFile toml("settings.toml", text);
  return base::load_settings(toml.path(), "");
}

base::OperatorSettings read_xml(const std::string& text) {
  const TemporaryFile toml("settings.toml", kToml), xml("operator.xml", text);
  return base::load_settings(toml.path(), xml.path()).operator_settings;
}

TEST(SettingsToml, ControllerPeersAndServicesAreRead) {
  const auto settings = read_toml(kToml);
  EXPECT_EQ(settings.name, "winch-1");
  EXPECT_EQ(settings.zone, "a");
  EXPECT_EQ(settings.listen, "10.1.0.2:7100");
  EXPECT_EQ(settings.peer_listen, "10.1.0.2:7200");
  ASSERT_EQ(settings.others.size(), 2U);
  EXPECT_EQ(settings.others[0].name, "winch-0");
  EXPECT_EQ(settings.others[0].zone, "b");
  EXPECT_EQ(settings.others[0].address, "10.1.0.1:7200");
  EXPECT_EQ(settings.others[1].name, "winch-2");
  EXPECT_EQ(settings.others[1].zone, "c");
  EXPECT_EQ(settings.others[1].address, "10.1.0.3:7200");
  EXPECT_EQ(settings.cloud_address, "10.1.0.8:80");
  EXPECT_EQ(settings.state_address, "10.1.0.9:81");
}

TEST(SettingsToml, ZonesTeamsAndObjectivesAreRead) {
  const auto settings = read_toml(kToml);
  EXPECT_EQ(settings.nodes, 3);
  EXPECT_EQ(settings.zones, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(settings.clock_error_s, 0.25);
  ASSERT_EQ(settings.teams.size(), 1U);
  EXPECT_EQ(settings.teams[0].name, "red");
  EXPECT_EQ(settings.teams[0].cpus, 100.5);
  EXPECT_EQ(settings.teams[0].cpus_max, 200.5);
  EXPECT_EQ(settings.teams[0].gpus, 11);
  EXPECT_EQ(settings.teams[0].gpus_max, 22);
  ASSERT_EQ(settings.objectives.size(), 2U);
  EXPECT_EQ(settings.objectives[0].kind, "start_within");
  EXPECT_EQ(settings.objectives[0].job_class, "train");
  EXPECT_EQ(settings.objectives[0].within_s, 60.5);
  EXPECT_EQ(settings.objectives[0].share, 0.95);
  EXPECT_EQ(settings.objectives[1].kind, "cost");
  EXPECT_EQ(settings.objectives[1].job_class, "");
  EXPECT_EQ(settings.objectives[1].within_s, 0);
  EXPECT_EQ(settings.objectives[1].share, 0);
}

TEST(SettingsToml, AgentTimesAndServiceAndProcessLimitsAreRead) {
  const auto settings = read_toml(kToml);
  EXPECT_EQ(settings.heartbeat_interval_s, 1.5);
  EXPECT_EQ(settings.lease_s, 10.5);
  EXPECT_EQ(settings.gang_wait_s, 31);
  EXPECT_EQ(settings.gang_peer_s, 5.5);
  EXPECT_EQ(settings.cancel_s, 41);
  EXPECT_EQ(settings.state_rps, 101);
  EXPECT_EQ(settings.state_write_rps, 31.5);
  EXPECT_EQ(settings.value_kb, 9);
  EXPECT_EQ(settings.txn_ops, 13);
  EXPECT_EQ(settings.cloud_rps, 6.5);
  EXPECT_EQ(settings.list_lag_s, 7.5);
  EXPECT_EQ(settings.fd_limit, 400);
  EXPECT_EQ(settings.core_share, 0.025);
  EXPECT_EQ(settings.ram_mb, 27.5);
}

TEST(SettingsToml, EveryAnnouncedStoreLimitIsRead) {
  const auto settings = read_toml(kToml + R"([facts.state.next]
rps = 51.0
write_rps = 15.5
value_kb = 2.5
txn_ops = 6
)");
  EXPECT_EQ(settings.state_rps, 51);
  EXPECT_EQ(settings.state_write_rps, 15.5);
  EXPECT_EQ(settings.value_kb, 2.5);
  EXPECT_EQ(settings.txn_ops, 6);
}

TEST(SettingsXml, EveryAttributeOfTheScalerAndOfMachinesIsRead) {
  const auto settings = read_xml(R"(<cranklock>
  <scaler every_s="2.5" high="0.9" low="0.6" up_window_s="3.5" down_window_s="31.5"
          up_cooldown_s="4.5" down_cooldown_s="11.5" step_machines="2" step_share="0.06"
          most_step="51" most_step_share="0.26" least_machines="7" most_machines="5000"/>
  <machines boot_patience="3.5"/>
</cranklock>)");
  const base::ScalerSettings& scaler = settings.scaler;
  EXPECT_EQ(scaler.interval_s, 2.5);
  EXPECT_EQ(scaler.high_score, 0.9);
  EXPECT_EQ(scaler.low_score, 0.6);
  EXPECT_EQ(scaler.scale_out_window_s, 3.5);
  EXPECT_EQ(scaler.scale_in_window_s, 31.5);
  EXPECT_EQ(scaler.scale_out_cooldown_s, 4.5);
  EXPECT_EQ(scaler.scale_in_cooldown_s, 11.5);
  EXPECT_EQ(scaler.scale_in_step_machines, 2);
  EXPECT_EQ(scaler.scale_in_step_share, 0.06);
  EXPECT_EQ(scaler.max_scale_out_step_machines, 51);
  EXPECT_EQ(scaler.max_scale_out_step_share, 0.26);
  EXPECT_EQ(scaler.min_machines, 7);
  EXPECT_EQ(scaler.max_machines, 5000);
  EXPECT_EQ(settings.boot_timeout_factor, 3.5);
}

TEST(SettingsXml, DefaultsOfTheScalerAndOfMachinesAreStable) {
  const auto settings = read_xml("<cranklock/>");
  const base::ScalerSettings& scaler = settings.scaler;
  EXPECT_EQ(scaler.interval_s, 2);
  EXPECT_EQ(scaler.high_score, 0.85);
  EXPECT_EQ(scaler.low_score, 0.75);
  EXPECT_EQ(scaler.scale_out_window_s, 2);
  EXPECT_EQ(scaler.scale_in_window_s, 30);
  EXPECT_EQ(scaler.scale_out_cooldown_s, 4);
  EXPECT_EQ(scaler.scale_in_cooldown_s, 10);
  EXPECT_EQ(scaler.scale_in_step_machines, 1);
  EXPECT_EQ(scaler.scale_in_step_share, 0.05);
  EXPECT_EQ(scaler.max_scale_out_step_machines, 50);
  EXPECT_EQ(scaler.max_scale_out_step_share, 0.25);
  EXPECT_EQ(scaler.min_machines, 0);
  EXPECT_EQ(scaler.max_machines, 100'000);
  EXPECT_EQ(settings.boot_timeout_factor, 3);
}

TEST(SettingsXml, EveryAttributeOfDefragIsRead) {
  const auto defrag = read_xml(R"(<cranklock>
  <defrag advise_every_s="30.5" moves="on" drain="http://10.1.0.20:8090/drains"/>
</cranklock>)")
                          .defrag;
  EXPECT_EQ(defrag.advise_every_s, 30.5);
  EXPECT_TRUE(defrag.moves);
  EXPECT_EQ(defrag.drain.address, "10.1.0.20:8090");
  EXPECT_EQ(defrag.drain.path, "/drains");
  EXPECT_FALSE(read_xml(R"(<cranklock><defrag moves="off"/></cranklock>)").defrag.moves);
}

TEST(SettingsXml, RegionsExampleIsRead) {
  const auto regions = read_xml(kRegionsExample).regions;
  EXPECT_EQ(regions.self, "east");
  EXPECT_EQ(regions.bootstrap_region, "east");
  ASSERT_EQ(regions.regions.size(), 2U);
  const base::Region& east = regions.regions[0];
  EXPECT_EQ(east.name, "east");
  EXPECT_EQ(east.initial_share, 0.6);
  ASSERT_EQ(east.controllers.size(), 3U);
  EXPECT_EQ(east.controllers[0].member, "winch-0");
  EXPECT_EQ(east.controllers[0].address, "10.1.0.1:7300");
  EXPECT_EQ(east.controllers[1].member, "winch-1");
  EXPECT_EQ(east.controllers[1].address, "10.1.0.2:7300");
  EXPECT_EQ(east.controllers[2].member, "winch-2");
  EXPECT_EQ(east.controllers[2].address, "10.1.0.3:7300");
  const base::Region& west = regions.regions[1];
  EXPECT_EQ(west.name, "west");
  EXPECT_EQ(west.initial_share, 0.4);
  ASSERT_EQ(west.controllers.size(), 2U);
  EXPECT_EQ(west.controllers[0].member, "winch-0");
  EXPECT_EQ(west.controllers[0].address, "10.2.0.1:7300");
  EXPECT_EQ(west.controllers[1].member, "winch-1");
  EXPECT_EQ(west.controllers[1].address, "10.2.0.2:7300");
}

TEST(SettingsXml, DefragExampleIsRead) {
  const auto defrag = read_xml(kDefragExample).defrag;
  EXPECT_TRUE(defrag.moves);
  EXPECT_EQ(defrag.advise_every_s, 0);
  EXPECT_FALSE(defrag.drain.is_configured());
}

}  // namespace
}  // namespace cranklock::testing
