// A job specification with every field set, as in messages and in stored records.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "wire/client_api.hpp"
#include "wire/types.hpp"

namespace cranklock::testing {

inline const std::string kCompleteJob =
    R"({"Id":"j-000412","Gear":"train","Crew":"red","Shape":"ensemble","Rank":"high",)"
    R"("Teeth":16,"Cpus":8.5,"Accelerators":2.0,"MemGb":64.25,"Cast":"img-07","SizeGb":6.2,)"
    R"("Frames":["g8","g4"],"Yard":"a","OneZone":true,"Apart":false,"Loaners":true,)"
    R"("ExpectS":240.0,"NotchS":30.5,"StowS":4.0,"DueS":900.0,"WaitsOn":["j-1","j-22"]})";

inline wire::JobSpec complete_job() {
  wire::JobSpec job;
  job.id = "j-000412";
  job.job_class = "train";
  job.team = "red";
  job.kind = wire::JobKind::gang;
  job.priority = wire::Priority::high;
  job.tasks = 16;
  job.resources = {8.5, 2, 64.25};
  job.image = "img-07";
  job.image_gb = 6.2;
  job.types = {"g8", "g4"};
  job.zone = "a";
  job.one_zone = true;
  job.spot = true;
  job.estimate_s = 240;
  job.checkpoint_interval_s = 30.5;
  job.checkpoint_save_s = 4;
  job.deadline_s = 900;
  job.dependencies = {"j-1", "j-22"};
  return job;
}

inline void expect_complete_job(const wire::JobSpec& job) {
  EXPECT_EQ(job.id, "j-000412");
  EXPECT_EQ(job.job_class, "train");
  EXPECT_EQ(job.team, "red");
  EXPECT_EQ(job.kind, wire::JobKind::gang);
  EXPECT_EQ(job.priority, wire::Priority::high);
  EXPECT_EQ(job.tasks, 16U);
  EXPECT_EQ(job.resources, (wire::Resources{8.5, 2, 64.25}));
  EXPECT_EQ(job.image, "img-07");
  EXPECT_EQ(job.image_gb, 6.2);
  EXPECT_EQ(job.types, (std::vector<std::string>{"g8", "g4"}));
  EXPECT_EQ(job.zone, "a");
  EXPECT_TRUE(job.one_zone);
  EXPECT_FALSE(job.spread);
  EXPECT_TRUE(job.spot);
  EXPECT_EQ(job.estimate_s, 240);
  EXPECT_EQ(job.checkpoint_interval_s, 30.5);
  EXPECT_EQ(job.checkpoint_save_s, 4);
  EXPECT_EQ(job.deadline_s, 900.0);
  EXPECT_EQ(job.dependencies, (std::vector<std::string>{"j-1", "j-22"}));
}

}  // namespace cranklock::testing
