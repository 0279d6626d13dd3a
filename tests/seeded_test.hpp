// Base class of tests that play a random scenario for each seed.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

namespace cranklock::testing {

/// Logs errors only, as there are many clusters; a test that runs alone logs at debug level.
class SeededTest : public ::testing::TestWithParam<unsigned> {
 protected:
  void SetUp() override {
    const bool alone = ::testing::UnitTest::GetInstance()->test_to_run_count() == 1;
    spdlog::set_level(alone ? spdlog::level::debug : spdlog::level::err);
  }
  void TearDown() override { spdlog::set_level(spdlog::level::info); }
};

}  // namespace cranklock::testing
