// Protocols with clients, agents, the cloud and the key-value store, as literal bytes. Other
// programs rely on them: a rename inside this program must not change the literals.
#include <gtest/gtest.h>

#include <ostream>

#include "cloud/client.hpp"
#include "complete_job.hpp"
#include "store/client.hpp"
#include "test_cluster.hpp"
#include "wire/agent_protocol.hpp"
#include "wire/client_api.hpp"
#include "wire/cloud_api.hpp"
#include "wire/json.hpp"
#include "wire/store_api.hpp"
#include "wire/types.hpp"

namespace cranklock::testing {
namespace {

using Texts = std::vector<std::string>;

std::string write_job(const wire::JobSpec& job) {
  wire::JsonWriter writer;
  wire::write_job(writer, job);
  return writer.take();
}

base::Result<wire::JobSpec, wire::FieldError> parse_job(const std::string& text) {
  const wire::JsonDocument document(text);
  return wire::parse_job(document.root());
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

// Clients.

TEST(ClientProtocol, EveryFieldOfASubmittedJobIsRead) {
  const auto job = parse_job(kCompleteJob);
  ASSERT_TRUE(job.has_value()) << wire::to_string(job.error());
  expect_complete_job(*job);
}

TEST(ClientProtocol, EveryFieldOfAJobIsWritten) {
  EXPECT_EQ(write_job(complete_job()), kCompleteJob);
}

TEST(ClientProtocol, UnsetOptionalFieldsOfAJobAreOmitted) {
  wire::JobSpec job = complete_job();
  job.types.clear();
  job.zone.clear();
  job.deadline_s.reset();
  job.dependencies.clear();
  const std::string expected =
      R"({"Id":"j-000412","Gear":"train","Crew":"red","Shape":"ensemble","Rank":"high",)"
      R"("Teeth":16,"Cpus":8.5,"Accelerators":2.0,"MemGb":64.25,"Cast":"img-07","SizeGb":6.2,)"
      R"("OneZone":true,"Apart":false,"Loaners":true,"ExpectS":240.0,"NotchS":30.5,"StowS":4.0})";
  EXPECT_EQ(write_job(job), expected);
  const auto read = parse_job(expected).value();
  EXPECT_TRUE(read.types.empty());
  EXPECT_EQ(read.zone, "");
  EXPECT_FALSE(read.deadline_s);
  EXPECT_TRUE(read.dependencies.empty());
}

TEST(ClientProtocol, EachFlagOfAJobHasItsOwnName) {
  const std::string none = R"("OneZone":false,"Apart":false,"Loaners":false)";
  const auto with_flags = [&](const std::string& flags) {
    const std::string all = R"("OneZone":true,"Apart":false,"Loaners":true)";
    return parse_job(replaced(kCompleteJob, all, flags)).value();
  };
  EXPECT_FALSE(with_flags(none).one_zone || with_flags(none).spread || with_flags(none).spot);
  EXPECT_TRUE(with_flags(R"("OneZone":true,"Apart":false,"Loaners":false)").one_zone);
  EXPECT_TRUE(with_flags(R"("OneZone":false,"Apart":true,"Loaners":false)").spread);
  EXPECT_TRUE(with_flags(R"("OneZone":false,"Apart":false,"Loaners":true)").spot);
  wire::JobSpec spread = complete_job();
  spread.one_zone = spread.spot = false;
  spread.spread = true;
  EXPECT_NE(write_job(spread).find(R"("OneZone":false,"Apart":true,"Loaners":false)"),
            std::string::npos);
}

TEST(ClientProtocol, EveryKindAndPriorityIsReadAndWritten) {
  for (const auto& [kind, name] :
       {std::pair{wire::JobKind::job_array, "batch"}, std::pair{wire::JobKind::gang, "ensemble"},
        std::pair{wire::JobKind::service, "standing"}}) {
    wire::JobSpec job = complete_job();
    job.kind = kind;
    const auto text = replaced(kCompleteJob, R"("ensemble")", '"' + std::string(name) + '"');
    EXPECT_EQ(write_job(job), text);
    EXPECT_EQ(parse_job(text).value().kind, kind);
  }
  for (const auto& [priority, name] :
       {std::pair{wire::Priority::production, "production"},
        std::pair{wire::Priority::high, "high"}, std::pair{wire::Priority::standard, "standard"},
        std::pair{wire::Priority::best_effort, "best_effort"}}) {
    wire::JobSpec job = complete_job();
    job.priority = priority;
    const auto text = replaced(kCompleteJob, R"("high")", '"' + std::string(name) + '"');
    EXPECT_EQ(write_job(job), text);
    EXPECT_EQ(parse_job(text).value().priority, priority);
  }
}

TEST(ClientProtocol, EachMalformedFieldOfAJobHasItsMessage) {
  struct Case {
    const char *from, *to, *message;
  };
  for (const auto& [from, to, message] : {
           Case{R"("j-000412")", R"("x-1")", "Id: expected a job id"},
           Case{R"("train")", R"("")", "Gear: expected a class"},
           Case{R"("red")", R"("")", "Crew: expected a team"},
           Case{R"("ensemble")", "1", "Shape: expected batch, ensemble or standing"},
           Case{R"("high")", "1", "Rank: expected production, high, standard or best_effort"},
           Case{":16", ":0", "Teeth: expected 1 to 100000"},
           Case{R"("img-07")", R"("")", "Cast: expected an image"},
           Case{"8.5", "-1", "Cpus: expected a number of at least 0"},
           Case{R"("Accelerators":2.0)", R"("Accelerators":-1)",
                "Accelerators: expected a number of at least 0"},
           Case{"64.25", "-1", "MemGb: expected a number of at least 0"},
           Case{"6.2", "-1", "SizeGb: expected a number of at least 0"},
           Case{"240.0", "-1", "ExpectS: expected a number of at least 0"},
           Case{"30.5", "-1", "NotchS: expected a number of at least 0"},
           Case{R"("StowS":4.0)", R"("StowS":-1)", "StowS: expected a number of at least 0"},
           Case{R"("OneZone":true)", R"("OneZone":1)", "OneZone: expected true or false"},
           Case{R"("Apart":false)", R"("Apart":1)", "Apart: expected true or false"},
           Case{R"("Loaners":true)", R"("Loaners":1)", "Loaners: expected true or false"},
           Case{R"(["g8","g4"])", "1", "Frames: expected a list of machine types"},
           Case{R"("Yard":"a")", R"("Yard":"")", "Yard: expected a zone"},
           Case{"900.0", "-1", "DueS: expected a number of at least 0"},
           Case{R"(["j-1","j-22"])", "1", "WaitsOn: expected a list of at most 256 job ids"},
       }) {
    const auto result = parse_job(replaced(kCompleteJob, from, to));
    ASSERT_FALSE(result.has_value()) << message;
    EXPECT_EQ(wire::to_string(result.error()), message);
  }
}

TEST(ClientProtocol, ResponsesContainEveryStateOfAJob) {
  EXPECT_EQ(wire::job_response("j-1", wire::JobState::queued), R"({"Id":"j-1","Stance":"queued"})");
  EXPECT_EQ(wire::job_response("j-1", wire::JobState::running),
            R"({"Id":"j-1","Stance":"running"})");
  EXPECT_EQ(wire::job_response("j-1", wire::JobState::done), R"({"Id":"j-1","Stance":"done"})");
  EXPECT_EQ(wire::job_response("j-1", wire::JobState::cancelled),
            R"({"Id":"j-1","Stance":"withdrawn"})");
  EXPECT_EQ(wire::job_status("j-1", wire::JobState::running, 3, 5),
            R"({"Id":"j-1","Stance":"running","done":3,"running":5})");
}

TEST(ClientProtocol, ErrorResponseContainsTheReason) {
  EXPECT_EQ(wire::error_response("unknown \"team\""), R"({"error":"unknown \"team\""})");
}

// Agents.

TEST(AgentProtocol, EveryFieldOfAHeartbeatIsRead) {
  const auto heartbeat = wire::parse_heartbeat(
      R"({"Rig":"n-000007","Address":"10.1.0.7:9000","Frame":"g8","Yard":"b","Loaners":true,)"
      R"("Shift":11,"Tick":12,"KeyTurn":13,"WarningS":29.5,"Teeth":[)"
      R"({"Tooth":"j-000412/3","Crank":14,"Stance":"exited","Cause":"halted","Kept":true}]})");
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->machine, "n-000007");
  EXPECT_EQ(heartbeat->address, "10.1.0.7:9000");
  EXPECT_EQ(heartbeat->type, "g8");
  EXPECT_EQ(heartbeat->zone, "b");
  EXPECT_TRUE(heartbeat->spot);
  EXPECT_EQ(heartbeat->agent_epoch, 11U);
  EXPECT_EQ(heartbeat->sequence, 12U);
  EXPECT_EQ(heartbeat->fencing_token, 13U);
  EXPECT_EQ(heartbeat->preemption_notice_s, 29.5);
  ASSERT_EQ(heartbeat->tasks.size(), 1U);
  EXPECT_EQ(heartbeat->tasks[0].task, (wire::TaskName{"j-000412", 3}));
  EXPECT_EQ(heartbeat->tasks[0].attempt, 14U);
  EXPECT_EQ(heartbeat->tasks[0].state, wire::TaskState::exited);
  EXPECT_EQ(heartbeat->tasks[0].exit_reason, wire::ExitReason::stopped);
  EXPECT_TRUE(heartbeat->tasks[0].checkpoint_saved);
}

TEST(AgentProtocol, NoticeAndTasksOfAHeartbeatAreOptional) {
  const auto heartbeat = wire::parse_heartbeat(
      R"({"Rig":"n-1","Address":"","Frame":"g8","Yard":"b","Loaners":false,"Shift":1,"Tick":2,)"
      R"("KeyTurn":0})");
  ASSERT_TRUE(heartbeat);
  EXPECT_FALSE(heartbeat->spot);
  EXPECT_FALSE(heartbeat->preemption_notice_s);
  EXPECT_TRUE(heartbeat->tasks.empty());
}

/// Parses a heartbeat with one task, whose state fields are `state`, and returns that task.
wire::TaskStatus parse_task_status(const std::string& state) {
  const auto heartbeat = wire::parse_heartbeat(
      R"({"Rig":"n-1","Address":"a","Frame":"g","Yard":"z","Loaners":false,"Shift":1,"Tick":1,)"
      R"("KeyTurn":1,"Teeth":[{"Tooth":"j-1/0","Crank":1,)" +
      state + "}]}");
  EXPECT_TRUE(heartbeat) << state;
  return heartbeat ? heartbeat->tasks.at(0) : wire::TaskStatus{};
}

TEST(AgentProtocol, EveryStateOfATaskIsRead) {
  EXPECT_EQ(parse_task_status(R"("Stance":"fetching")").state, wire::TaskState::fetching);
  EXPECT_EQ(parse_task_status(R"("Stance":"waiting")").state, wire::TaskState::waiting);
  EXPECT_EQ(parse_task_status(R"("Stance":"running")").state, wire::TaskState::running);
  EXPECT_EQ(parse_task_status(R"("Stance":"flushing")").state, wire::TaskState::checkpointing);
  EXPECT_EQ(parse_task_status(R"("Stance":"exited","Cause":"done")").state,
            wire::TaskState::exited);
  EXPECT_EQ(parse_task_status(R"("Stance":"running")").exit_reason, wire::ExitReason::none);
  EXPECT_FALSE(parse_task_status(R"("Stance":"running")").checkpoint_saved);
}

TEST(AgentProtocol, EveryExitReasonIsRead) {
  for (const auto& [name, exit_reason] :
       {std::pair{"done", wire::ExitReason::completed},
        std::pair{"halted", wire::ExitReason::stopped},
        std::pair{"peers", wire::ExitReason::gang_peer_lost},
        std::pair{"incomplete", wire::ExitReason::gang_incomplete},
        std::pair{"error", wire::ExitReason::error},
        std::pair{"no_room", wire::ExitReason::insufficient_resources},
        std::pair{"busy", wire::ExitReason::other_attempt_present},
        std::pair{"no_such", wire::ExitReason::unknown_task}}) {
    EXPECT_EQ(
        parse_task_status(R"("Stance":"exited","Cause":")" + std::string(name) + '"').exit_reason,
        exit_reason)
        << name;
  }
}

TEST(AgentProtocol, CommandsAreWrittenInResponsesAndRequests) {
  const std::vector<wire::Command> commands = {{wire::CommandKind::start, {"j-000412", 3}, 14, 0},
                                               {wire::CommandKind::stop, {"j-000413", 0}, 15, 2.5},
                                               {wire::CommandKind::forget, {"j-000414", 7}, 16, 0}};
  const std::string list = R"("Orders":[{"Verb":"start","Tooth":"j-000412/3","Crank":14},)"
                           R"({"Verb":"kill","Tooth":"j-000413/0","Crank":15,"SlackS":2.5},)"
                           R"({"Verb":"forget","Tooth":"j-000414/7","Crank":16}]})";
  EXPECT_EQ(wire::heartbeat_response(41, commands), R"({"KeyTurn":41,)" + list);
  EXPECT_EQ(wire::commands_request(41, 11, commands), R"({"KeyTurn":41,"Shift":11,)" + list);
  EXPECT_EQ(wire::heartbeat_response(41, {}), R"({"KeyTurn":41,"Orders":[]})");
}

TEST(AgentProtocol, RedirectResponseNamesTheControllerIfKnown) {
  EXPECT_EQ(wire::redirect_response("n2"), R"({"Foreman":"n2"})");
  EXPECT_EQ(wire::redirect_response(""), "{}");
}

TEST(AgentProtocol, TaskNameConsistsOfJobAndIndex) {
  EXPECT_EQ(wire::to_string({"j-000412", 99999}), "j-000412/99999");
  EXPECT_EQ(wire::parse_task("j-000412/99999"), (wire::TaskName{"j-000412", 99999}));
  for (const char* malformed : {"j-000412", "j-000412/", "j-000412/x", "x-1/0", "j-1/0/1", ""}) {
    EXPECT_FALSE(wire::parse_task(malformed)) << malformed;
  }
}

// The cloud.

TEST(CloudProtocol, EveryFieldOfAMachineTypeIsReadAndWritten) {
  const std::string text =
      R"({"Frames":[{"Label":"g8","Cpus":96.0,"Accelerators":8.0,"MemGb":768.5,"CacheGb":200.0,)"
      R"("PullGbPerS":5.5,"Price":12.25,"SpotPrice":4.75,"ReadyS":45.0,"Yards":["a","b"]}]})";
  const auto types = wire::parse_machine_types(text);
  ASSERT_TRUE(types);
  ASSERT_EQ(types->size(), 1U);
  const wire::MachineType& type = types->front();
  EXPECT_EQ(type.name, "g8");
  EXPECT_EQ(type.resources, (wire::Resources{96, 8, 768.5}));
  EXPECT_EQ(type.cache_gb, 200);
  EXPECT_EQ(type.fetch_gb_per_s, 5.5);
  EXPECT_EQ(type.price, 12.25);
  EXPECT_EQ(type.spot_price, 4.75);
  EXPECT_EQ(type.ready_s, 45);
  EXPECT_EQ(type.zones, (Texts{"a", "b"}));
  wire::MachineType copy;
  copy.name = "g8";
  copy.resources = {96, 8, 768.5};
  copy.cache_gb = 200;
  copy.fetch_gb_per_s = 5.5;
  copy.price = 12.25;
  copy.spot_price = 4.75;
  copy.ready_s = 45;
  copy.zones = {"a", "b"};
  wire::JsonWriter writer;
  wire::write_machine_types(writer, {copy});
  EXPECT_EQ(writer.take(), text);
}

TEST(CloudProtocol, EveryFieldOfAScaleOutIsWrittenAndRead) {
  EXPECT_EQ(wire::scale_out_request({"r-7", "g8", "b", true, 3}),
            R"({"Charter":"r-7","Frame":"g8","Yard":"b","Loaners":true,"Count":3})");
  EXPECT_EQ(wire::parse_scale_out_response(R"({"Rigs":["n-1","n-2"]})"), (Texts{"n-1", "n-2"}));
}

TEST(CloudProtocol, DeletionRequestListsMachineIds) {
  EXPECT_EQ(wire::deletion_request({"n-1", "n-2"}), R"({"Rigs":["n-1","n-2"]})");
}

TEST(CloudProtocol, EveryFieldAndStateOfListedMachinesIsRead) {
  const auto page = wire::parse_machine_page(
      R"({"Rigs":[{"Id":"n-1","Address":"10.1.0.1:9000","Frame":"g8","Yard":"b",)"
      R"("Loaners":true,"Stance":"running","HeldS":12.5},)"
      R"({"Id":"n-2","Frame":"g4","Yard":"a","Stance":"booting"},)"
      R"({"Id":"n-3","Frame":"g4","Yard":"a","Stance":"failed"}],"HasNext":true})");
  ASSERT_TRUE(page);
  EXPECT_TRUE(page->more);
  ASSERT_EQ(page->machines.size(), 3U);
  const wire::ListedMachine& first = page->machines[0];
  EXPECT_EQ(first.id, "n-1");
  EXPECT_EQ(first.address, "10.1.0.1:9000");
  EXPECT_EQ(first.type, "g8");
  EXPECT_EQ(first.zone, "b");
  EXPECT_TRUE(first.spot);
  EXPECT_EQ(first.state, wire::MachineState::running);
  EXPECT_EQ(first.age_s, 12.5);
  const wire::ListedMachine& second = page->machines[1];
  EXPECT_EQ(second.address, "");
  EXPECT_FALSE(second.spot);
  EXPECT_EQ(second.state, wire::MachineState::booting);
  EXPECT_EQ(second.age_s, 0);
  EXPECT_EQ(page->machines[2].state, wire::MachineState::failed);
  EXPECT_FALSE(wire::parse_machine_page(R"({"Rigs":[]})")->more);
}

TEST(CloudProtocol, PageQueryHasALimitAndAStart) {
  EXPECT_EQ(wire::machine_page_query("", 500), "Most=500");
  EXPECT_EQ(wire::machine_page_query("n-000007", 500), "Most=500&Since=n-000007");
}

// The key-value store.

TEST(StoreProtocol, TransactionContainsConditionsWritesAndRemovals) {
  EXPECT_EQ(wire::compare_and_swap_request({{"leader", 7}, {"jobs/j-1", 0}},
                                           {{"jobs/j-1", R"({"x":1})", 0},
                                            {"leader", R"({"node":"n0"})", 9},
                                            {"parts/j-1/1", "", 0}}),
            R"({"If":[{"K":"leader","Mark":7},{"K":"jobs/j-1","Mark":0}],)"
            R"("Then":[{"Write":"jobs/j-1","Data":{"x":1}},)"
            R"({"Write":"leader","Data":{"node":"n0"},"Hold":9},{"Remove":"parts/j-1/1"}]})");
}

TEST(StoreProtocol, TransactionResponsesAreRead) {
  const auto done = wire::parse_compare_and_swap_response(R"({"LedgerTurn":18})");
  ASSERT_TRUE(done);
  EXPECT_EQ(done->revision, 18U);
  EXPECT_TRUE(done->failed_keys.empty());
  const auto failed =
      wire::parse_compare_and_swap_response(R"({"LedgerTurn":19,"failed":["leader","a"]})");
  ASSERT_TRUE(failed);
  EXPECT_EQ(failed->revision, 19U);
  EXPECT_EQ(failed->failed_keys, (Texts{"leader", "a"}));
}

TEST(StoreProtocol, StoredValueAndRevisionAreRead) {
  const auto value = wire::parse_stored_value(R"({"K":"leader","Mark":17,"Data":{"node":"n0"}})");
  ASSERT_TRUE(value);
  EXPECT_EQ(value->key, "leader");
  EXPECT_EQ(value->data, R"({"node":"n0"})");
  EXPECT_EQ(value->revision, 17U);
  EXPECT_EQ(wire::parse_revision(R"({"LedgerTurn":18})"), 18U);
}

TEST(StoreProtocol, PageOfStoredValuesIsRead) {
  const auto page = wire::parse_range_response(
      R"({"Rows":[{"K":"jobs/j-1","Mark":17,"Data":{"n":1}},{"K":"jobs/j-2","Mark":16,)"
      R"("Data":{"n":2}}],"HasNext":true,"LedgerTurn":18})");
  ASSERT_TRUE(page);
  EXPECT_TRUE(page->more);
  EXPECT_EQ(page->revision, 18U);
  ASSERT_EQ(page->items.size(), 2U);
  EXPECT_EQ(page->items[0].key, "jobs/j-1");
  EXPECT_EQ(page->items[0].data, R"({"n":1})");
  EXPECT_EQ(page->items[0].revision, 17U);
  EXPECT_EQ(page->items[1].key, "jobs/j-2");
  EXPECT_EQ(page->items[1].revision, 16U);
}

TEST(StoreProtocol, ChangesOfAWatchAreRead) {
  const auto page = wire::parse_watch_response(
      R"({"LedgerTurn":20,"News":[{"Write":"jobs/j-1","Mark":19,"Data":{"n":1}},)"
      R"({"Remove":"jobs/j-2","Mark":20}]})");
  ASSERT_TRUE(page);
  EXPECT_EQ(page->revision, 20U);
  ASSERT_EQ(page->items.size(), 2U);
  EXPECT_EQ(page->items[0].key, "jobs/j-1");
  EXPECT_EQ(page->items[0].data, R"({"n":1})");
  EXPECT_EQ(page->items[0].revision, 19U);
  EXPECT_EQ(page->items[1].key, "jobs/j-2");
  EXPECT_EQ(page->items[1].data, "");
  EXPECT_EQ(page->items[1].revision, 20U);
}

TEST(StoreProtocol, QueriesContainPrefixStartLimitAndWait) {
  EXPECT_EQ(wire::range_query("jobs/", "", 200), "Under=jobs/&Most=200");
  EXPECT_EQ(wire::range_query("jobs/", "jobs/j-1", 200), "Under=jobs/&Most=200&Since=jobs/j-1");
  EXPECT_EQ(wire::watch_query("jobs/", 18, 5000), "Under=jobs/&Since=18&HoldMs=5000");
}

TEST(StoreProtocol, LeaseRequestContainsTtlAndResponseContainsId) {
  EXPECT_EQ(wire::lease_request(9500), R"({"LifeMs":9500})");
  EXPECT_EQ(wire::parse_lease_id(R"({"Hold":77})"), 77U);
}

// Methods and paths of the requests of the store and cloud clients.

/// Records each request as one line and responds to all with 503.
struct RecordingTransport : net::Transport {
  Texts requests;
  std::string body;  ///< of the responses
  net::Task<net::Reply> call(std::string address, net::Request request, double) override {
    std::string line = address + " " + request.method + " " + request.path;
    if (!request.query.empty()) line += "?" + request.query;
    if (!request.body.empty()) line += " " + request.body;
    requests.push_back(line);
    net::Response response;
    response.status = 503;
    response.body = body;
    co_return net::Reply{net::Reply::Kind::answered, response};
  }
};

struct Clients {
  FakeReactor reactor;
  RecordingTransport transport;
  base::Settings settings = small_settings();
  std::optional<store::Client> store;
  std::optional<cloud::Client> cloud;

  Clients() {
    settings.state_address = "state:1";
    settings.cloud_address = "cloud:1";
    store.emplace(reactor, transport, settings);
    cloud.emplace(reactor, transport, settings);
    reactor.run_until(100);
  }
  /// Returns the first request of the operation.
  template <typename Result>
  std::string request_of(net::Task<Result> operation) {
    transport.requests.clear();
    operation.start();
    reactor.run_until(reactor.now() + 10);
    return transport.requests.empty() ? "" : transport.requests.front();
  }
};

TEST(StoreProtocol, EachOperationHasItsMethodAndPath) {
  Clients clients;
  EXPECT_EQ(clients.request_of(clients.store->compare_and_swap({}, {}, 1)),
            R"(state:1 POST /txn {"If":[],"Then":[]})");
  EXPECT_EQ(clients.request_of(clients.store->read("jobs/j-1", 1)), "state:1 GET /store/jobs/j-1");
  EXPECT_EQ(clients.request_of(clients.store->read_page("jobs/", "jobs/j-1", 7, 1)),
            "state:1 GET /store?Under=jobs/&Most=7&Since=jobs/j-1");
  EXPECT_EQ(clients.request_of(clients.store->read_all("jobs/", 1)),
            "state:1 GET /store?Under=jobs/&Most=200");
  EXPECT_EQ(clients.request_of(clients.store->watch("jobs/", 18, 2.5)),
            "state:1 GET /follow?Under=jobs/&Since=18&HoldMs=2500");
  EXPECT_EQ(clients.request_of(clients.store->changes_since("jobs/", 18, 1)),
            "state:1 GET /follow?Under=jobs/&Since=18&HoldMs=0");
  EXPECT_EQ(clients.request_of(clients.store->grant_lease(9.5, 1)),
            R"(state:1 POST /leases {"LifeMs":9500})");
  EXPECT_EQ(clients.request_of(clients.store->renew_lease(77, 1)),
            "state:1 POST /leases/77/renew {}");
  EXPECT_EQ(clients.request_of(clients.store->revoke_lease(77, 1)), "state:1 DELETE /leases/77");
}

TEST(CloudProtocol, EachOperationHasItsMethodAndPath) {
  Clients clients;
  EXPECT_EQ(clients.request_of(clients.cloud->machine_types()), "cloud:1 GET /machine_types");
  EXPECT_EQ(clients.request_of(clients.cloud->scale_out({"r-7", "g8", "b", false, 1})),
            "cloud:1 POST /rentals "
            R"({"Charter":"r-7","Frame":"g8","Yard":"b","Loaners":false,"Count":1})");
  EXPECT_EQ(clients.request_of(clients.cloud->delete_machines({"n-1"})),
            R"(cloud:1 POST /rentals/delete {"Rigs":["n-1"]})");
  EXPECT_EQ(clients.request_of(clients.cloud->list_machines()), "cloud:1 GET /rentals?Most=500");
}

TEST(CloudProtocol, RefusedScaleOutDistinguishesFailureFromLackOfCapacity) {
  Clients clients;
  const auto kind_for = [&](const std::string& body) {
    clients.transport.body = body;
    auto scaling_out = clients.cloud->scale_out({"r-7", "g8", "b", false, 1});
    scaling_out.start();
    clients.reactor.run_until(clients.reactor.now() + 10);
    return scaling_out.take().kind;
  };
  EXPECT_EQ(kind_for(R"({"error":"trouble"})"), cloud::ScaleOutResult::Kind::rejected);
  EXPECT_EQ(kind_for(R"({"error":"no capacity"})"), cloud::ScaleOutResult::Kind::no_capacity);
}

// Responses of a cluster to clients.

struct StatusAndBody {
  int status;
  std::string body;
  bool operator==(const StatusAndBody&) const = default;
};

std::ostream& operator<<(std::ostream& out, const StatusAndBody& response) {
  return out << response.status << " " << response.body;
}

struct ClientsOfCluster {
  TestCluster cluster;

  ClientsOfCluster() { cluster.run(5); }
  StatusAndBody ask(const std::string& method, const std::string& path,
                    const std::string& body = "") {
    const auto response = cluster.send_request(0, method, path, body);
    return {response.status, response.body};
  }
};

// The cluster has no machines, so the job remains queued.
const std::string kSmallJob =
    R"({"Id":"j-000412","Gear":"train","Crew":"red","Shape":"batch","Rank":"high","Teeth":2,)"
    R"("Cpus":1,"Accelerators":1,"MemGb":1,"Cast":"img-07","SizeGb":1,"OneZone":false,)"
    R"("Apart":false,"Loaners":false,"ExpectS":1,"NotchS":0,"StowS":0})";

TEST(ClientProtocol, JobIsSubmittedReadAndCancelled) {
  ClientsOfCluster clients;
  EXPECT_EQ(clients.ask("POST", "/v1/jobs", kSmallJob),
            (StatusAndBody{201, R"({"Id":"j-000412","Stance":"queued"})"}));
  EXPECT_EQ(clients.ask("POST", "/v1/jobs", kSmallJob),
            (StatusAndBody{200, R"({"Id":"j-000412","Stance":"queued"})"}));
  EXPECT_EQ(clients.ask("GET", "/v1/jobs/j-000412"),
            (StatusAndBody{200, R"({"Id":"j-000412","Stance":"queued","done":0,"running":0})"}));
  EXPECT_EQ(clients.ask("POST", "/v1/jobs/j-000412/withdraw"),
            (StatusAndBody{200, R"({"Id":"j-000412","Stance":"withdrawn"})"}));
}

TEST(ClientProtocol, RejectionsHaveTheirStatusAndReason) {
  ClientsOfCluster clients;
  const auto rejection = [](int status, const std::string& reason) {
    return StatusAndBody{status, R"({"error":")" + reason + R"("})"};
  };
  EXPECT_EQ(clients.ask("POST", "/v1/jobs", "[]"), rejection(400, "expected a JSON object"));
  EXPECT_EQ(clients.ask("POST", "/v1/jobs", "{}"), rejection(400, "Id: expected a job id"));
  EXPECT_EQ(clients.ask("POST", "/v1/jobs", replaced(kSmallJob, "red", "nobody")),
            rejection(422, "unknown team"));
  EXPECT_EQ(clients.ask("POST", "/v1/jobs", replaced(kSmallJob, R"("Cpus":1)", R"("Cpus":1e6)")),
            rejection(422, "no allowed machine type has room for a task"));
  EXPECT_EQ(clients.ask("POST", "/v1/jobs",
                        replaced(kSmallJob, R"(batch","Rank":"high","Teeth":2)",
                                 R"(ensemble","Rank":"high","Teeth":99)")),
            rejection(422, "more than the team's limit"));
  EXPECT_EQ(clients.ask("POST", "/v1/jobs",
                        replaced(kSmallJob, R"("StowS":0)", R"("StowS":0,"WaitsOn":["j-000412"])")),
            rejection(422, "needs itself"));
  EXPECT_EQ(clients.ask("GET", "/v1/jobs/j-000413"), rejection(404, "no such job"));
  EXPECT_EQ(clients.ask("POST", "/v1/jobs/j-000413/withdraw"), rejection(404, "no such job"));
  EXPECT_EQ(clients.ask("GET", "/v1/other"), rejection(404, "no such path"));
  EXPECT_EQ(clients.ask("GET", "/v1/jobs"), rejection(405, "method not allowed"));
}

TEST(AgentProtocol, ControllerPathsAcceptOnlyTheirMethods) {
  ClientsOfCluster clients;
  EXPECT_EQ(clients.ask("GET", "/ready"), (StatusAndBody{200, "{}"}));
  EXPECT_EQ(clients.ask("POST", "/ready"),
            (StatusAndBody{405, R"({"error":"method not allowed"})"}));
  EXPECT_EQ(clients.ask("POST", "/checkin", "{}"),
            (StatusAndBody{400, R"({"error":"malformed report"})"}));
  EXPECT_EQ(clients.ask("GET", "/checkin"),
            (StatusAndBody{405, R"({"error":"method not allowed"})"}));
}

// HTTP.

TEST(HttpMessages, RequestIsWrittenWithItsHeaders) {
  EXPECT_EQ(net::serialize(net::Request{"POST", "/txn", "", "{}", true}, "10.1.0.9:81"),
            "POST /txn HTTP/1.1\r\nHost: 10.1.0.9:81\r\nContent-Type: application/json\r\n"
            "Content-Length: 2\r\n\r\n{}");
  EXPECT_EQ(net::serialize(net::Request{"GET", "/store", "Under=jobs/&Most=7", "", false}, "h:1"),
            "GET /store?Under=jobs/&Most=7 HTTP/1.1\r\nHost: h:1\r\nConnection: close\r\n\r\n");
}

TEST(HttpMessages, ResponseIsWrittenWithItsHeaders) {
  net::Response response;
  response.status = 503;
  response.body = "{}";
  response.retry_after_s = 1;
  EXPECT_EQ(net::serialize(response),
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
            "Retry-After: 1\r\nContent-Length: 2\r\n\r\n{}");
  net::Response refusal;
  refusal.status = 405;
  refusal.allow = "POST";
  refusal.keep_alive = false;
  EXPECT_EQ(net::serialize(refusal),
            "HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n");
}

}  // namespace
}  // namespace cranklock::testing
