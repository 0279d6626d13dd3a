// Transfers of quotas between regions, step by step: each way in which one can be interrupted.
#include <gtest/gtest.h>

#include "quota_simulation.hpp"

namespace cranklock::testing {
namespace {

using regions::QuotaAmounts;
using regions::Resource;

constexpr const char* kTeam = "team-0";

/// Two regions with half of 12 GPUs each, all founded and received.
struct TwoRegions : ShareSimulation {
  TwoRegions() : ShareSimulation({{"a", 0.5, {}}, {"b", 0.5, {}}}, 1) { settle(2); }
  Work& work(const std::string& region) { return regions.at(region).work[kTeam]; }
  std::int64_t held(const std::string& region) const { return held_gpus(region, kTeam); }
  void wait_for(const std::string& region, std::int64_t gpus, std::int64_t since_ms = 1) {
    work(region).waiting = gpus;
    work(region).since_ms = since_ms;
  }
  /// All that `from` has said arrives.
  void exchange(const std::string& from) {
    speak(from);
    while (!messages.empty()) deliver(0);
  }
};

TEST(QuotaLedger, TheFounderGivesEachRegionItsFirstShareAndNoMoreThanIsUnused) {
  ShareSimulation simulation({{"a", 0.5, {}}, {"b", 0.5, {}}}, 3);
  simulation.regions.at("a").work["team-1"].used = 8;  // was there before the regions were
  EXPECT_EQ(simulation.held_gpus("a", "team-1"), 0);
  while (simulation.write("a")) {
  }
  EXPECT_EQ(simulation.held_gpus("a", kTeam), 6);
  EXPECT_EQ(simulation.held_gpus("a", "team-1"), 8);
  EXPECT_EQ(simulation.held_gpus("b", kTeam), 0) << "nothing has arrived";
  simulation.settle(3);
  EXPECT_EQ(simulation.held_gpus("b", kTeam), 6);
  EXPECT_EQ(simulation.held_gpus("b", "team-1"), 4);
}

TEST(QuotaLedger, WhatIsAskedForComesAsHalfOfWhatIsUnusedAtATime) {
  TwoRegions two;
  two.wait_for("b", 10);
  two.exchange("b");
  EXPECT_TRUE(two.write("a"));
  EXPECT_EQ(two.held("a"), 3);
  two.exchange("a");
  two.write("b");
  EXPECT_EQ(two.held("b"), 9);
  two.settle(4);
  EXPECT_EQ(two.work("b").used, 10);
  EXPECT_EQ(two.held("a"), 2);
}

TEST(QuotaLedger, NothingInUseIsGiven) {
  TwoRegions two;
  two.work("a").used = 6;
  two.wait_for("b", 10);
  two.settle(10);
  EXPECT_EQ(two.held("a"), 6);
  EXPECT_EQ(two.work("b").used, 6);
  two.work("a").used = 2;  // proven free
  two.settle(10);
  EXPECT_EQ(two.work("b").used, 10);
}

// A leader may end between any two steps of either side, and the next one has only what is stored.
TEST(QuotaLedger, ALeaderEndsBetweenEachTwoSteps) {
  for (const std::string outcome : {"a", "b"}) {
    for (int last = 0; last <= 8; ++last) {
      for (const Fate fate : {Fate::answered, Fate::applied_mute, Fate::lost}) {
        TwoRegions two;
        two.wait_for("b", 9);
        int step = 0;
        const auto next = [&](const std::function<void(Fate)>& action) {
          action(step == last ? fate : Fate::answered);
          if (step++ == last) two.change_leader(outcome);
          two.check();
        };
        next([&](Fate) { two.exchange("b"); });    // the request
        next([&](Fate f) { two.write("a", f); });  // taken off, and written down
        next([&](Fate) { two.exchange("a"); });    // the transfer
        next([&](Fate f) { two.write("b", f); });  // added
        next([&](Fate) { two.exchange("b"); });    // the acknowledgement
        next([&](Fate f) { two.write("a", f); });  // forgotten
        next([&](Fate) { two.exchange("a"); });
        next([&](Fate f) { two.write("b", f); });
        two.settle(10);
        EXPECT_EQ(two.work("b").used, 9) << outcome << " after step " << last;
        EXPECT_EQ(two.held("a") + two.held("b"), 12);
      }
    }
  }
}

TEST(QuotaLedger, ATransferWhoseReceiptIsLostIsSentAgainByALaterLeaderAndAddedOnce) {
  TwoRegions two;
  two.wait_for("b", 9);
  two.exchange("b");
  two.write("a");
  two.exchange("a");
  two.write("b");
  EXPECT_EQ(two.held("b"), 9);
  two.cut = {{"b", "a"}};
  two.exchange("b");  // the acknowledgement does not arrive
  two.change_leader("a");
  two.change_leader("b");
  two.exchange("a");  // once more, from what is stored
  while (two.write("b")) {
  }
  EXPECT_EQ(two.held("b"), 9);
  two.check();
}

TEST(QuotaLedger, AnOldCopyAfterItsReceiptWasForgottenAddsNothing) {
  TwoRegions two;
  two.wait_for("b", 9);
  two.exchange("b");
  two.write("a");
  two.speak("a");
  const auto copies = two.messages;
  two.settle(10);
  EXPECT_TRUE(two.regions.at("a").store.under(regions::kOutPrefix).empty()) << "forgotten";
  const auto before = two.held("b");
  two.change_leader("b");
  two.messages = copies;
  while (!two.messages.empty()) two.deliver(0);
  while (two.write("b")) {
  }
  EXPECT_EQ(two.held("b"), before);
  two.check();
}

TEST(QuotaLedger, ADeposedLeadersLateTransactionChangesNothing) {
  TwoRegions two;
  two.wait_for("b", 9);
  two.exchange("b");
  two.write("a", Fate::late);
  EXPECT_EQ(two.held("a"), 3) << "what may be given is not used";
  two.change_leader("a");
  EXPECT_EQ(two.held("a"), 6);
  two.work("a").used = 6;
  two.apply_late("a", 0);
  two.check();
  two.settle(5);
  EXPECT_EQ(two.held("a"), 6);
}

// The leader stays the same: its own late transaction must not come on top of a second one.
TEST(QuotaLedger, AnUnansweredGiftCountsAsGivenUntilItIsDecided) {
  for (const Fate first : {Fate::late, Fate::applied_mute, Fate::lost}) {
    TwoRegions two;
    two.wait_for("b", 9);
    two.exchange("b");
    two.write("a", first);
    two.write("a", Fate::refused);  // the guard, which says nothing of what went before
    EXPECT_EQ(two.held("a"), 3);
    two.place("a");
    two.write("a");  // the guard
    two.write("a");  // read again where it failed
    two.check();
    two.work("a").waiting = 6;
    two.place("a");
    two.apply_late("a", 0);
    two.check();
    two.settle(10);
    EXPECT_EQ(two.held("a") + two.held("b"), 12);
  }
}

TEST(QuotaLedger, AnUnansweredReceptionIsNotUsedUntilItIsDecided) {
  for (const Fate first : {Fate::late, Fate::applied_mute, Fate::lost}) {
    TwoRegions two;
    two.wait_for("b", 9);
    two.exchange("b");
    two.write("a");
    two.exchange("a");
    two.write("b", first);
    EXPECT_EQ(two.held("b"), 6);
    two.write("b");
    two.apply_late("b", 0);
    two.settle(10);
    EXPECT_EQ(two.work("b").used, 9);
    two.check();
  }
}

TEST(QuotaLedger, ACutInOneDirectionKeepsShareUnderWayAndNothingIsLost) {
  TwoRegions two;
  two.wait_for("b", 9);
  two.cut = {{"a", "b"}};  // requests arrive, transfers don't
  for (int i = 0; i < 5; ++i) {
    two.exchange("b");
    two.write("a");
    two.exchange("a");
    two.write("b");
  }
  EXPECT_EQ(two.held("a"), 3) << "asked again, nothing more is sent while one is on its way";
  EXPECT_EQ(two.held("b"), 6);
  two.check();
  two.settle(10);
  EXPECT_EQ(two.work("b").used, 9);
}

TEST(QuotaLedger, AStateServiceThatIsDownInOneRegionHoldsUpOnlyWhatItWouldWrite) {
  TwoRegions two;
  two.wait_for("b", 9);
  two.regions.at("b").state_down = true;
  two.exchange("b");
  two.write("a");
  two.exchange("a");
  two.write("b");
  EXPECT_EQ(two.held("b"), 6);
  two.work("a").used = 3;  // the sender goes on
  two.check();
  two.settle(10);
  EXPECT_EQ(two.work("b").used, 9);
}

TEST(QuotaLedger, BothAskEachOtherAtOnceAndTheLongerWaitGoesFirst) {
  TwoRegions two;
  // Neither gang of 10 fits in 6; together the halves would be of use to nobody.
  two.wait_for("a", 10, 5);
  two.wait_for("b", 10, 3);
  for (int round = 0; round < 10; ++round) {
    two.speak("a");
    two.speak("b");
    while (!two.messages.empty()) two.deliver(0);
    while (two.write("a") || two.write("b")) two.check();
  }
  EXPECT_GE(two.held("b"), 10);
  EXPECT_EQ(two.held("a") + two.held("b"), 12);
}

TEST(QuotaLedger, ApartEachRegionLivesOnWhatItHolds) {
  TwoRegions two;
  two.cut = {{"a", "b"}, {"b", "a"}};
  two.wait_for("a", 9);
  two.wait_for("b", 3);
  for (int round = 0; round < 5; ++round) {
    for (const std::string region : {"a", "b"}) {
      two.exchange(region);
      two.write(region);
      two.place(region);
      two.check();
    }
  }
  EXPECT_EQ(two.work("a").used, 6);
  EXPECT_EQ(two.work("b").used, 3);
  two.settle(10);
  EXPECT_EQ(two.work("a").used, 9);
}

TEST(QuotaLedger, ANewRegionBeginsWithNothingAndAsksForItsFirstShare) {
  TwoRegions two;
  // The same stores, and a file that names a third region; its own state service is empty.
  for (auto& [name, region] : two.regions) {
    region.settings.operator_settings.regions.regions.push_back({"c", 0, {}});
  }
  auto& added = two.regions["c"];
  added.settings = two.regions.at("a").settings;
  added.settings.operator_settings.regions.self = "c";
  for (const std::string region : {"a", "b", "c"}) two.change_leader(region);
  EXPECT_EQ(two.held("c"), 0);
  two.wait_for("c", 4);
  two.settle(10);
  EXPECT_EQ(two.work("c").used, 4);
  EXPECT_EQ(two.held("a") + two.held("b") + two.held("c"), 12);
}

TEST(QuotaLedger, SharesMadeByAnotherFounderStayUsableAndAreNotMoved) {
  TwoRegions two;
  two.regions.at("a").settings.operator_settings.regions.bootstrap_region = "b";
  two.change_leader("a");
  EXPECT_TRUE(two.regions.at("a").ledger->is_frozen());
  EXPECT_EQ(two.held("a"), 6);
  two.wait_for("b", 9);
  two.exchange("b");
  EXPECT_FALSE(two.write("a"));
  EXPECT_EQ(two.held("a"), 6);
}

// One record that can't be read must not leave the region without a leader, nor be written over.
TEST(QuotaLedger, AMalformedRecordStopsTransfersAndLeavesTheOtherSharesUsable) {
  TwoRegions two;
  auto& region = two.regions.at("a");
  const auto items = region.store.under(regions::kRegionsPrefix);
  for (const std::string& key :
       {regions::quota_key("team-9"), regions::sent_key("b"), regions::out_key("b", 7),
        std::string(regions::kBootstrapRegionKey)}) {
    for (const std::string bad :
         {R"({"amounts":[0,0,-1,4],"n":-1})", R"({"amounts":[1,2,3]})", "{}", "nonsense"}) {
      auto with_bad = items;
      std::erase_if(with_bad, [&](const auto& item) { return item.key == key; });
      with_bad.push_back({key, bad, 99});
      region.ledger->load(with_bad);
      EXPECT_TRUE(region.ledger->is_frozen()) << key << " " << bad;
      EXPECT_EQ(two.held("a"), 6);
      EXPECT_TRUE(region.ledger->held("team-9").is_zero());
      two.wait_for("b", 9);
      two.exchange("b");
      EXPECT_FALSE(two.write("a")) << key << " " << bad;
    }
  }
  region.ledger->load(items);  // mended
  EXPECT_FALSE(region.ledger->is_frozen());
  two.settle(5);
  EXPECT_EQ(two.work("b").used, 9);
}

TEST(QuotaLedger, WhatNobodyCanHaveMeantIsIgnored) {
  TwoRegions two;
  auto& ledger = *two.regions.at("a").ledger;
  ledger.on_acknowledgement("b", {1000});
  ledger.on_acknowledgement("nowhere", {1});
  ledger.on_transfer("nowhere", {1, kTeam, QuotaAmounts({0, 0, 0, 1000})});
  ledger.on_transfer("b", {500, kTeam, QuotaAmounts({0, 0, 0, 1000})});  // far beyond the next one
  ledger.on_request("nowhere", {kTeam, QuotaAmounts({0, 0, 0, 1000}), 1});
  ledger.on_request("b", {"no-team", QuotaAmounts({0, 0, 0, 1000}), 1});
  EXPECT_FALSE(two.write("a"));
  EXPECT_EQ(two.held("a"), 6);
}

TEST(QuotaLedger, ShareOfATeamThatTheSettingsDoNotNameIsKept) {
  TwoRegions two;
  two.regions.at("b").settings.teams.clear();  // its file came first
  two.change_leader("b");
  two.exchange("a");
  const QuotaAmounts amounts({0, 0, 0, 2000});
  two.regions.at("b").ledger->on_transfer("a", {2, "team-new", amounts});
  EXPECT_TRUE(two.write("b"));
  EXPECT_EQ(two.regions.at("b").ledger->held("team-new"), amounts);
}

TEST(QuotaLedger, ALowerLimitOfTheSettingsHoldsWhateverWasFounded) {
  TwoRegions two;
  base::Team team = *two.regions.at("a").settings.find_team(kTeam);
  const auto& ledger = *two.regions.at("a").ledger;
  EXPECT_DOUBLE_EQ(ledger.limit(team).gpus, 6);
  EXPECT_DOUBLE_EQ(ledger.guarantee(team).gpus, 3);
  team.gpus_max = 4;
  EXPECT_DOUBLE_EQ(ledger.limit(team).gpus, 4);
}

}  // namespace
}  // namespace cranklock::testing
