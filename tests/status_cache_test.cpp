// Questions that share exchanges with the state service.
#include "control/status_cache.hpp"

#include <gtest/gtest.h>

#include "control/job_api.hpp"
#include "control/job_record.hpp"
#include "control/record_keys.hpp"
#include "test_cluster.hpp"

namespace cranklock::control {
namespace {

using testing::FakeReactor;
using testing::StateStandIn;

/// Calls reach the state service after a millisecond, as do its answers, and it can be made to
/// refuse.
struct Transport : net::Transport {
  FakeReactor& reactor;
  StateStandIn& state;
  int status = 0;  ///< instead of serving
  int calls = 0;

  Transport(FakeReactor& r, StateStandIn& s) : reactor(r), state(s) {}
  net::Task<net::Reply> call(std::string, net::Request request, double) override {
    ++calls;
    net::Sleep there(reactor, 0.001);
    co_await there;
    if (status != 0) co_return net::Reply{net::Reply::Kind::answered, make_response(status, "{}")};
    auto response = state.handle(request);
    net::Sleep back(reactor, 0.001);
    co_await back;
    co_return net::Reply{net::Reply::Kind::answered, std::move(response)};
  }
};

struct Stored {
  FakeReactor reactor;
  StateStandIn state{reactor};
  Transport transport{reactor, state};
  base::Settings settings = testing::small_settings();
  store::Client store{reactor, transport, settings};
  StatusCache cache{reactor, settings, store};

  Stored() { reactor.run_until(100); }
  void put(const std::string& id, bool cancelled = false) {
    auto job = testing::make_job(id, wire::JobKind::service, 2, 1, "red");
    job.cancelled_at_ms = cancelled ? 1 : 0;
    write({{job_key(id), write_record(job, 8192)[0], 0}});
  }
  void write(const std::vector<wire::Mutation>& changes) {
    ASSERT_EQ(state.handle({"POST", "/txn", "", wire::compare_and_swap_request({}, changes), true})
                  .status,
              200);
  }
  StatusCache::Found ask(const std::string& id) {
    auto task = cache.find(id);
    task.start();
    for (int i = 0; i < 200 && !task.done(); ++i) reactor.run_until(reactor.now() + 0.01);
    EXPECT_TRUE(task.done());
    return task.take();
  }
};

TEST(StatusCache, ManyQuestionsAtOnceShareOneExchange) {
  Stored s;
  constexpr int kJobs = 50;
  const auto name = [](int i) { return "j-" + std::to_string(100'000 + i); };
  for (int i = 0; i < kJobs; ++i) s.put(name(i));
  ASSERT_EQ(s.ask(name(0)).kind, StatusCache::Kind::known);
  const int before = s.transport.calls;
  std::vector<net::Task<StatusCache::Found>> asking;
  for (int i = 0; i < kJobs; ++i) {
    asking.push_back(s.cache.find(name(i)));
    asking.back().start();
  }
  s.reactor.run_until(s.reactor.now() + 1);
  for (auto& task : asking) {
    ASSERT_TRUE(task.done());
    EXPECT_EQ(task.take().kind, StatusCache::Kind::known);
  }
  EXPECT_EQ(s.transport.calls, before + 1);
}

// Guards against an answer that is older than one already given elsewhere: what was written before
// the question is in the answer, however recently the last exchange was.
TEST(StatusCache, WhatWasWrittenBeforeAQuestionIsInItsAnswer) {
  Stored s;
  s.put("j-000001");
  ASSERT_EQ(s.ask("j-000001").status.state, wire::JobState::queued);
  s.put("j-000001", true);
  EXPECT_EQ(s.ask("j-000001").status.state, wire::JobState::cancelled);
  s.write({{job_key("j-000001"), "", 0}, {outcome_key("j-000001"), "{}", 0}});
  EXPECT_EQ(s.ask("j-000001").kind, StatusCache::Kind::unknown);
}

// The same when an exchange is under way: a question that comes meanwhile waits for the next one.
TEST(StatusCache, AQuestionDuringAnExchangeWaitsForTheNextOne) {
  Stored s;
  s.put("j-000001");
  ASSERT_EQ(s.ask("j-000001").kind, StatusCache::Kind::known);
  auto first = s.cache.find("j-000001");
  first.start();
  const double answered = s.reactor.now() + s.cache.interval() + 0.1;
  while (!first.done() && s.reactor.now() < answered) {
    const int calls = s.transport.calls;
    s.reactor.run_until(s.reactor.now() + 0.0005);
    if (s.transport.calls == calls) continue;
    s.reactor.run_until(s.reactor.now() + 0.001);  // served, and the answer on its way
    break;
  }
  ASSERT_FALSE(first.done());
  s.put("j-000001", true);
  EXPECT_EQ(s.ask("j-000001").status.state, wire::JobState::cancelled);
  ASSERT_TRUE(first.done());
  EXPECT_EQ(first.take().status.state, wire::JobState::queued);
}

// Guards against questions that hang on one that was given up: another carries the exchange out.
TEST(StatusCache, AnExchangeWhoseQuestionIsGivenUpIsCarriedOutByAnother) {
  Stored s;
  s.put("j-000001");
  ASSERT_EQ(s.ask("j-000001").kind, StatusCache::Kind::known);
  auto given_up = std::make_unique<net::Task<StatusCache::Found>>(s.cache.find("j-000001"));
  given_up->start();
  auto other = s.cache.find("j-000001");
  other.start();
  given_up.reset();
  s.reactor.run_until(s.reactor.now() + 1);
  ASSERT_TRUE(other.done());
  EXPECT_EQ(other.take().kind, StatusCache::Kind::known);
}

TEST(StatusCache, ARefusalIsToldAtOnceAndServiceGoesOnAfterIt) {
  Stored s;
  s.put("j-000001");
  ASSERT_EQ(s.ask("j-000001").kind, StatusCache::Kind::known);
  s.transport.status = 503;
  const double asked = s.reactor.now();
  EXPECT_EQ(s.ask("j-000001").kind, StatusCache::Kind::unavailable);
  EXPECT_LT(s.reactor.now(), asked + 2 * s.cache.interval());
  s.transport.status = 0;
  EXPECT_EQ(s.ask("j-000001").kind, StatusCache::Kind::known);
}

// More jobs than a page holds, and a revision that the service does not remember any more.
TEST(StatusCache, ReadsWhatIsStoredPageByPageAndAnewAfterAGap) {
  Stored s;
  constexpr int kJobs = 500;
  const auto name = [](int i) { return "j-" + std::to_string(100'000 + i); };
  for (int i = 0; i < kJobs; ++i) s.put(name(i));
  const auto last = name(kJobs - 1);
  EXPECT_EQ(s.ask(last).kind, StatusCache::Kind::unknown);  // not read yet: it is looked up
  for (int i = 0; i < 3; ++i) s.ask(last);
  EXPECT_EQ(s.ask(last).kind, StatusCache::Kind::known);
  s.put(last, true);
  for (int i = 0; i < 10'500; ++i) s.write({{"other", std::to_string(i), 0}});
  for (int i = 0; i < 4; ++i) s.ask(last);
  EXPECT_EQ(s.ask(last).status.state, wire::JobState::cancelled);
}

// A job that waits for others may be cancelled with them before its own record says so.
TEST(StatusCache, AJobThatWaitsForOthersIsLookedUp) {
  Stored s;
  auto job = testing::make_job("j-000002", wire::JobKind::service, 2, 1, "red");
  job.spec.dependencies = {"j-000001"};
  s.write({{job_key("j-000002"), write_record(job, 8192)[0], 0}});
  EXPECT_EQ(s.ask("j-000002").kind, StatusCache::Kind::unknown);
  EXPECT_EQ(s.ask("j-000002").kind, StatusCache::Kind::unknown);
}

}  // namespace
}  // namespace cranklock::control
