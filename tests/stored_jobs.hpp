// A key-value store with jobs, for tests of its readers.
#pragma once

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "control/api_responses.hpp"
#include "control/job_record.hpp"
#include "control/record_keys.hpp"
#include "test_cluster.hpp"

namespace cranklock::testing {

inline constexpr double kLatencyS = 0.001;

/// Delays requests to the key-value store and its responses by kLatencyS each; can refuse requests.
struct SlowTransport : net::Transport {
  FakeReactor& reactor;
  StateStandIn& store;
  bool is_unanswered = false;  ///< requests are lost
  int refusal_status = 0;      ///< HTTP status to refuse with; 0: requests are served
  int calls = 0;

  SlowTransport(FakeReactor& clock, StateStandIn& stand_in) : reactor(clock), store(stand_in) {}
  net::Task<net::Reply> call(std::string, net::Request request, double) override {
    ++calls;
    net::Sleep request_latency(reactor, kLatencyS);
    co_await request_latency;
    if (is_unanswered) co_return net::Reply{};
    if (refusal_status != 0) {
      co_return net::Reply{net::Reply::Kind::answered,
                           control::make_response(refusal_status, "{}")};
    }
    auto response = store.handle(request);
    net::Sleep response_latency(reactor, kLatencyS);
    co_await response_latency;
    co_return net::Reply{net::Reply::Kind::answered, std::move(response)};
  }
};

class StoredJobsTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kMaxBytes = 8192;  ///< of each value
  static constexpr const char* kJob = "j-000001";

  StoredJobsTest() { reactor_.run_until(100); }

  void run(double seconds) { reactor_.run_until(reactor_.now() + seconds); }
  /// Makes a service that has not started.
  static sched::Job make_service(const std::string& id) {
    return make_job(id, wire::JobKind::service, 2, 1, "red");
  }
  void store_job(const sched::Job& job) {
    write({{control::job_key(job.spec.id), control::write_record(job, kMaxBytes)[0], 0}});
  }
  void store_job(const std::string& id) { store_job(make_service(id)); }
  void store_cancelled_job(const std::string& id) {
    auto job = make_service(id);
    job.cancelled_at_ms = 1;
    store_job(job);
  }
  void store_outcome(const std::string& id, const std::string& outcome) {
    write({{control::job_key(id), "", 0}, {control::outcome_key(id), outcome, 0}});
  }
  void write(const std::vector<wire::Mutation>& mutations) {
    const auto body = wire::compare_and_swap_request({}, mutations);
    ASSERT_EQ(stand_in_.handle({"POST", "/txn", "", body, true}).status, 200);
  }
  /// Runs a task to completion and returns its result.
  template <typename Value>
  Value await(net::Task<Value> task) {
    task.start();
    for (int i = 0; i < 200 && !task.done(); ++i) run(0.01);
    EXPECT_TRUE(task.done());
    return task.take();
  }

  FakeReactor reactor_;
  StateStandIn stand_in_{reactor_};
  SlowTransport transport_{reactor_, stand_in_};
  base::Settings settings_ = small_settings();
  store::Client store_{reactor_, transport_, settings_};
};

}  // namespace cranklock::testing
