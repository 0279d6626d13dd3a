#include <gtest/gtest.h>

#include "peer/frames.hpp"
#include "peer/roster.hpp"

namespace cranklock::peer {
namespace {

TEST(Peer, AFrameIsTheSameBytesEverywhereAndSurvivesSplitting) {
  const Hello hello{"n1", 0x0102, true, false};
  const std::string bytes = pack(hello);
  EXPECT_EQ(bytes, std::string("\x00\x0d\x01\x01\x02n1\0\0\0\0\0\0\x01\x02\x01\x00", 17));
  std::string buffer;
  Hello out;
  for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
    buffer += bytes[i];
    ASSERT_EQ(unpack(buffer, out), Unpacked::more);
  }
  buffer += bytes.back() + bytes;
  EXPECT_EQ(unpack(buffer, out), Unpacked::frame);
  EXPECT_EQ(out, hello);
  EXPECT_EQ(unpack(buffer, out), Unpacked::frame);
  EXPECT_TRUE(buffer.empty());
}

TEST(Peer, MalformedFramesAreBroken) {
  const auto result = [](std::string bytes) {
    Hello out;
    return unpack(bytes, out);
  };
  std::string bytes = pack(Hello{"n1", 1, true, true});
  for (const auto& [at, value] : {std::pair<std::size_t, char>{2, 9}, {3, 7}, {4, 60}, {15, 2}}) {
    std::string bad = bytes;
    bad[at] = value;
    EXPECT_EQ(result(bad), Unpacked::broken) << at;
  }
  EXPECT_EQ(result(std::string("\xff\xff\x01\x01", 4)), Unpacked::broken);
}

TEST(Peer, WhatWasSaidLongAgoDoesNotCount) {
  Roster roster(4);
  roster.heard({"n1", 0, true, false}, 10);
  EXPECT_TRUE(roster.any_reaches_state(12));
  EXPECT_FALSE(roster.any_hears_workers(12));
  EXPECT_FALSE(roster.any_heard(15));
}

}  // namespace
}  // namespace cranklock::peer
