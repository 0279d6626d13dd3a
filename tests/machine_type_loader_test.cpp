// Loading the machine types from the cloud or from the stored copy.
#include "control/machine_type_loader.hpp"

#include <gtest/gtest.h>

#include "control/record_keys.hpp"
#include "services_fixture.hpp"

namespace cranklock::control {
namespace {

struct MachineTypeLoaderTest : ::testing::Test, testing::ServicesFixture {
  JobApi job_api{services, [] { return true; }};
  MachineTypeLoader loader{services, job_api};
  net::Scope scope;
};

TEST_F(MachineTypeLoaderTest, ReadsTheCloudAndStoresACopy) {
  scope.spawn(loader.run());
  run_for(0.1);

  EXPECT_TRUE(job_api.has_types());
  ASSERT_TRUE(state.values.contains(kTypesKey));
  EXPECT_TRUE(wire::parse_machine_types(state.values.at(kTypesKey).data));
}

TEST_F(MachineTypeLoaderTest, ReadsTheStoredCopyWhileTheCloudIsUnavailable) {
  wire::JsonWriter writer;
  wire::write_machine_types(writer, {testing::machine_type()});
  store_value(kTypesKey, writer.take());
  transport.cloud_reachable = false;

  scope.spawn(loader.run());
  run_for(0.1);

  EXPECT_TRUE(job_api.has_types());
}

TEST_F(MachineTypeLoaderTest, RetriesUntilTypesAreKnown) {
  transport.cloud_reachable = false;
  scope.spawn(loader.run());
  run_for(2);
  EXPECT_FALSE(job_api.has_types());

  transport.cloud_reachable = true;
  run_for(settings.heartbeat_interval_s);
  EXPECT_TRUE(job_api.has_types());
}

TEST_F(MachineTypeLoaderTest, DoesNotOverwriteAStoredCopy) {
  store_value(kTypesKey, "[]");
  scope.spawn(loader.run());
  run_for(0.1);

  EXPECT_TRUE(job_api.has_types());
  EXPECT_EQ(state.values.at(kTypesKey).data, "[]");
}

}  // namespace
}  // namespace cranklock::control
