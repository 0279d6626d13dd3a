// Quota transfers between regions step by step, with every kind of interruption.
#include <gtest/gtest.h>

#include "quota_simulation.hpp"

namespace cranklock::testing {
namespace {

using regions::QuotaAmounts;
using regions::Resource;

constexpr const char* kTeam = "team-0";

/// Two regions with half of 12 GPUs each, after bootstrap and initial transfers.
struct TwoRegions : QuotaSimulation {
  TwoRegions() : QuotaSimulation({{"a", 0.5, {}}, {"b", 0.5, {}}}, 1) { settle(2); }
  Work& work(const std::string& region) { return regions.at(region).work[kTeam]; }
  std::int64_t held(const std::string& region) const { return held_gpus(region, kTeam); }
  void wait_for(const std::string& region, std::int64_t gpus, std::int64_t since_ms = 1) {
    work(region).waiting = gpus;
    work(region).since_ms = since_ms;
  }
  /// Sends all due messages of `from` and delivers them.
  void exchange(const std::string& from) {
    send_messages(from);
    while (!messages.empty()) deliver(0);
  }
};

TEST(QuotaLedger, BootstrapGivesEachRegionItsInitialShareUpToTheUnusedQuota) {
  QuotaSimulation simulation({{"a", 0.5, {}}, {"b", 0.5, {}}}, 3);
  // Quota that was in use before limits were shared between regions.
  simulation.regions.at("a").work["team-1"].used = 8;
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

TEST(QuotaLedger, EachRequestIsGrantedUpToHalfOfTheUnusedQuota) {
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

TEST(QuotaLedger, QuotaInUseIsNotGranted) {
  TwoRegions two;
  two.work("a").used = 6;
  two.wait_for("b", 10);
  two.settle(10);
  EXPECT_EQ(two.held("a"), 6);
  EXPECT_EQ(two.work("b").used, 6);
  two.work("a").used = 2;  // known to have ended
  two.settle(10);
  EXPECT_EQ(two.work("b").used, 10);
}

// A leader of either region may fail between any two steps; its successor has only the stored
// records.
TEST(QuotaLedger, LeaderFailsBetweenAnyTwoSteps) {
  for (const std::string region : {"a", "b"}) {
    for (int last = 0; last <= 8; ++last) {
      for (const WriteOutcome outcome :
           {WriteOutcome::applied, WriteOutcome::applied_unanswered, WriteOutcome::lost}) {
        TwoRegions two;
        two.wait_for("b", 9);
        int step = 0;
        const auto next = [&](const std::function<void(WriteOutcome)>& action) {
          action(step == last ? outcome : WriteOutcome::applied);
          if (step++ == last) two.change_leader(region);
          two.check();
        };
        next([&](WriteOutcome) { two.exchange("b"); });  // the request
        next([&](WriteOutcome requested) {
          two.write("a", requested);
        });                                              // deducted, and the transfer stored
        next([&](WriteOutcome) { two.exchange("a"); });  // the transfer
        next([&](WriteOutcome requested) { two.write("b", requested); });  // added
        next([&](WriteOutcome) { two.exchange("b"); });                    // the acknowledgement
        next([&](WriteOutcome requested) { two.write("a", requested); });  // cleared
        next([&](WriteOutcome) { two.exchange("a"); });
        next([&](WriteOutcome requested) { two.write("b", requested); });
        two.settle(10);
        EXPECT_EQ(two.work("b").used, 9) << region << " after step " << last;
        EXPECT_EQ(two.held("a") + two.held("b"), 12);
      }
    }
  }
}

TEST(QuotaLedger, ATransferWithALostAcknowledgementIsSentAgainByALaterLeaderAndAddedOnce) {
  TwoRegions two;
  two.wait_for("b", 9);
  two.exchange("b");
  two.write("a");
  two.exchange("a");
  two.write("b");
  EXPECT_EQ(two.held("b"), 9);
  two.blocked_links = {{"b", "a"}};
  two.exchange("b");  // the acknowledgement does not arrive
  two.change_leader("a");
  two.change_leader("b");
  two.exchange("a");  // sent again, from the stored record
  while (two.write("b")) {
  }
  EXPECT_EQ(two.held("b"), 9);
  two.check();
}

TEST(QuotaLedger, AnOldDuplicateOfAClearedTransferAddsNothing) {
  TwoRegions two;
  two.wait_for("b", 9);
  two.exchange("b");
  two.write("a");
  two.send_messages("a");
  const auto copies = two.messages;
  two.settle(10);
  EXPECT_TRUE(two.regions.at("a").store.list(regions::kOutPrefix).empty()) << "not cleared";
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
  two.write("a", WriteOutcome::delayed);
  EXPECT_EQ(two.held("a"), 3) << "quota that may have been sent is not usable";
  two.change_leader("a");
  EXPECT_EQ(two.held("a"), 6);
  two.work("a").used = 6;
  two.apply_delayed("a", 0);
  two.check();
  two.settle(5);
  EXPECT_EQ(two.held("a"), 6);
}

// Guards against a leader's own delayed transaction being applied in addition to a second one.
TEST(QuotaLedger, ASendWithoutAResponseCountsAsSentUntilItsResultIsKnown) {
  for (const WriteOutcome first :
       {WriteOutcome::delayed, WriteOutcome::applied_unanswered, WriteOutcome::lost}) {
    TwoRegions two;
    two.wait_for("b", 9);
    two.exchange("b");
    two.write("a", first);
    // The guard; its rejection proves nothing about the first write.
    two.write("a", WriteOutcome::rejected);
    EXPECT_EQ(two.held("a"), 3);
    two.place("a");
    two.write("a");  // the guard
    two.write("a");  // reads the records again if the guard failed
    two.check();
    two.work("a").waiting = 6;
    two.place("a");
    two.apply_delayed("a", 0);
    two.check();
    two.settle(10);
    EXPECT_EQ(two.held("a") + two.held("b"), 12);
  }
}

TEST(QuotaLedger, AReceiveWithoutAResponseIsNotUsedUntilItsResultIsKnown) {
  for (const WriteOutcome first :
       {WriteOutcome::delayed, WriteOutcome::applied_unanswered, WriteOutcome::lost}) {
    TwoRegions two;
    two.wait_for("b", 9);
    two.exchange("b");
    two.write("a");
    two.exchange("a");
    two.write("b", first);
    EXPECT_EQ(two.held("b"), 6);
    two.write("b");
    two.apply_delayed("b", 0);
    two.settle(10);
    EXPECT_EQ(two.work("b").used, 9);
    two.check();
  }
}

TEST(QuotaLedger, ALinkBlockedInOneDirectionDelaysTheTransferAndLosesNothing) {
  TwoRegions two;
  two.wait_for("b", 9);
  two.blocked_links = {{"a", "b"}};  // requests arrive, transfers don't
  for (int i = 0; i < 5; ++i) {
    two.exchange("b");
    two.write("a");
    two.exchange("a");
    two.write("b");
  }
  EXPECT_EQ(two.held("a"), 3) << "a repeated request is not granted while a transfer is in transit";
  EXPECT_EQ(two.held("b"), 6);
  two.check();
  two.settle(10);
  EXPECT_EQ(two.work("b").used, 9);
}

TEST(QuotaLedger, AStoreOutageInOneRegionDelaysOnlyItsOwnWrites) {
  TwoRegions two;
  two.wait_for("b", 9);
  two.regions.at("b").store_down = true;
  two.exchange("b");
  two.write("a");
  two.exchange("a");
  two.write("b");
  EXPECT_EQ(two.held("b"), 6);
  two.work("a").used = 3;  // the sender keeps working
  two.check();
  two.settle(10);
  EXPECT_EQ(two.work("b").used, 9);
}

TEST(QuotaLedger, OfTwoSimultaneousRequestsTheLongerWaitHasPrecedence) {
  TwoRegions two;
  // Neither gang of 10 fits into a quota of 6, so a split in halves would serve neither.
  two.wait_for("a", 10, 5);
  two.wait_for("b", 10, 3);
  for (int round = 0; round < 10; ++round) {
    two.send_messages("a");
    two.send_messages("b");
    while (!two.messages.empty()) two.deliver(0);
    while (two.write("a") || two.write("b")) two.check();
  }
  EXPECT_GE(two.held("b"), 10);
  EXPECT_EQ(two.held("a") + two.held("b"), 12);
}

TEST(QuotaLedger, DuringAPartitionEachRegionUsesItsOwnQuota) {
  TwoRegions two;
  two.blocked_links = {{"a", "b"}, {"b", "a"}};
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

TEST(QuotaLedger, ANewRegionStartsWithoutQuotaAndRequestsIt) {
  TwoRegions two;
  // The same stores, and settings that name a third region, whose store is empty.
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

TEST(QuotaLedger, QuotasOfAnotherBootstrapRegionStayUsableAndAreNotTransferred) {
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

// One unreadable record must not leave the region without a leader, and must not be overwritten.
TEST(QuotaLedger, AMalformedRecordStopsTransfersAndLeavesOtherQuotasUsable) {
  TwoRegions two;
  auto& region = two.regions.at("a");
  const auto items = region.store.list(regions::kRegionsPrefix);
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
  region.ledger->load(items);  // repaired
  EXPECT_FALSE(region.ledger->is_frozen());
  two.settle(5);
  EXPECT_EQ(two.work("b").used, 9);
}

TEST(QuotaLedger, ImplausibleMessagesAreIgnored) {
  TwoRegions two;
  auto& ledger = *two.regions.at("a").ledger;
  ledger.on_acknowledgement("b", {1000});
  ledger.on_acknowledgement("nowhere", {1});
  ledger.on_transfer("nowhere", {1, kTeam, QuotaAmounts({0, 0, 0, 1000})});
  // Far ahead of the next sequence.
  ledger.on_transfer("b", {500, kTeam, QuotaAmounts({0, 0, 0, 1000})});
  ledger.on_request("nowhere", {kTeam, QuotaAmounts({0, 0, 0, 1000}), 1});
  ledger.on_request("b", {"no-team", QuotaAmounts({0, 0, 0, 1000}), 1});
  EXPECT_FALSE(two.write("a"));
  EXPECT_EQ(two.held("a"), 6);
}

TEST(QuotaLedger, QuotaOfATeamMissingFromTheSettingsIsKept) {
  TwoRegions two;
  two.regions.at("b").settings.teams.clear();  // its settings were changed first
  two.change_leader("b");
  two.exchange("a");
  const QuotaAmounts amounts({0, 0, 0, 2000});
  two.regions.at("b").ledger->on_transfer("a", {2, "team-new", amounts});
  EXPECT_TRUE(two.write("b"));
  EXPECT_EQ(two.regions.at("b").ledger->held("team-new"), amounts);
}

TEST(QuotaLedger, ALowerLimitInTheSettingsOverridesTheStoredQuota) {
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
