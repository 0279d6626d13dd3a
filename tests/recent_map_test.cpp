// Eviction from a full map.
#include "base/recent_map.hpp"

#include <gtest/gtest.h>

namespace cranklock::base {
namespace {

std::string name(int i) {
  return "n-" + std::to_string(i);
}

TEST(RecentMap, FullMapEvictsOneEntryPerNewName) {
  constexpr int kCapacity = 100;
  RecentMap<int> map(kCapacity);
  for (int i = 0; i < kCapacity + 3; ++i) map.put(name(i), i);
  EXPECT_EQ(map.size(), static_cast<std::size_t>(kCapacity));
  for (int i = 0; i < 3; ++i) EXPECT_EQ(map.find(name(i)), nullptr);
  for (int i = 3; i < kCapacity + 3; ++i) {
    ASSERT_NE(map.find(name(i)), nullptr) << i;
    EXPECT_EQ(*map.find(name(i)), i);
  }
}

TEST(RecentMap, RewrittenEntryIsTheNewest) {
  RecentMap<int> map(2);
  map.put("a", 1);
  map.put("b", 2);
  map.put("a", 3);
  map.put("c", 4);
  EXPECT_EQ(map.find("b"), nullptr);
  ASSERT_NE(map.find("a"), nullptr);
  EXPECT_EQ(*map.find("a"), 3);
}

}  // namespace
}  // namespace cranklock::base
