// Users, as PROTOCOL describes them, and settings like those of the small deployments.
#pragma once

#include <string>
#include <vector>

#include "fleet.hpp"
#include "http.hpp"
#include "record.hpp"

namespace review {

/// What a user submits; the defaults are those of a small batch job.
struct Submission {
  std::string id, gear = "didol", crew = "team-00", shape = "batch", rank = "standard";
  int tasks = 1;
  double cpus = 1, gpus = 0, memory_gb = 4;
  std::string cast = "img-07";
  double size_gb = 1, expect_s = 60, notch_s = 0;
  bool one_zone = false, apart = false;
  std::vector<std::string> waits_on;

  std::string text() const {
    std::string text =
        "{\"Id\":\"" + id + "\",\"Gear\":\"" + gear + "\",\"Crew\":\"" + crew + "\",\"Shape\":\"" +
        shape + "\",\"Rank\":\"" + rank + "\",\"Teeth\":" + std::to_string(tasks) +
        ",\"Cpus\":" + std::to_string(cpus) + ",\"Accelerators\":" + std::to_string(gpus) +
        ",\"MemGb\":" + std::to_string(memory_gb) + ",\"Cast\":\"" + cast +
        "\",\"SizeGb\":" + std::to_string(size_gb) +
        ",\"Frames\":null,\"Yard\":null,\"OneZone\":" + (one_zone ? "true" : "false") +
        ",\"Apart\":" + (apart ? "true" : "false") +
        ",\"Loaners\":false,\"ExpectS\":" + std::to_string(expect_s) +
        ",\"NotchS\":" + std::to_string(notch_s) + ",\"StowS\":1.0,\"DueS\":null";
    if (!waits_on.empty()) {
      text += ",\"WaitsOn\":[";
      for (std::size_t i = 0; i < waits_on.size(); ++i)
        text += (i == 0 ? "\"" : ",\"") + waits_on[i] + "\"";
      text += "]";
    }
    return text + "}";
  }
};

/// A user with one open connection, to the node that the load balancer picked for it.
class User {
 public:
  User(Record& record, std::string node, int port, bool quiet = false)
      : record_(record), node_(std::move(node)), client_(port), quiet_(quiet) {}

  Response post(const std::string& path, const std::string& body, double timeout_s,
                const std::string& what) {
    const Response response = client_.call("POST", path, body, timeout_s);
    if (!quiet_ || response.status != 201)
      record_.line("user at " + node_ + ": " + what + " -> " + std::to_string(response.status) +
                   " " + response.body.substr(0, 160));
    return response;
  }
  /// Submits with the retries that users make: 1 s apart, for up to 60 s. Returns the last status.
  int submit(const Submission& submission) {
    const double until = now() + 60;
    for (;;) {
      const int status = post("/v1/jobs", submission.text(), 5, "submit " + submission.id).status;
      if (status == 200 || status == 201 || status == 400 || status == 422 || now() + 1 > until)
        return status;
      sleep_s(1);
    }
  }
  Response poll(const std::string& id) {
    const Response response = client_.call("GET", "/v1/jobs/" + id, "", 2);
    record_.line("user at " + node_ + ": poll " + id + " -> " + std::to_string(response.status) +
                 " " + response.body.substr(0, 160));
    return response;
  }
  int withdraw(const std::string& id) {
    return post("/v1/jobs/" + id + "/withdraw", "", 5, "withdraw " + id).status;
  }

 private:
  Record& record_;
  std::string node_;
  Client client_;
  bool quiet_;
};

inline std::string job_id(int number) {
  std::string digits = std::to_string(number);
  return "j-" + std::string(6 - digits.size(), '0') + digits;
}

struct Facts {
  std::vector<std::string> zones;
  int nodes = 3, teams = 4;
  double gpus = 16, gpus_max = 35;  ///< of each team
  WorkerSettings workers;
  StateService::Limits state;
  std::string state_next;  ///< table of the limits to come
  double cloud_rps = 6, list_lag_s = 8;

  std::string text() const {
    std::string text = "[facts]\nnodes = " + std::to_string(nodes) + "\nzones = [";
    for (std::size_t i = 0; i < zones.size(); ++i) text += (i ? ", \"" : "\"") + zones[i] + "\"";
    text += "]\nclock_error_ms = 1000.0\n";
    for (int team = 0; team < teams; ++team) {
      text += "[[facts.teams]]\nname = \"team-0" + std::to_string(team) +
              "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = " + std::to_string(gpus) +
              "\ngpus_max = " + std::to_string(gpus_max) + "\n";
    }
    text += "[facts.workers]\nreport_s = " + std::to_string(workers.report_s) +
            "\nlease_s = " + std::to_string(workers.lease_s) +
            "\ngang_wait_s = " + std::to_string(workers.gang_wait_s) +
            "\ngang_peer_s = " + std::to_string(workers.gang_peer_s) +
            "\ncancel_s = " + std::to_string(workers.cancel_s) + "\n";
    text += "[facts.state]\nrps = " + std::to_string(state.rps) +
            "\nwrite_rps = " + std::to_string(state.write_rps) +
            "\nvalue_kb = " + std::to_string(state.value_kb) +
            "\ntxn_ops = " + std::to_string(state.txn_ops) + "\n" + state_next;
    text += "[facts.cloud]\nrps = " + std::to_string(cloud_rps) +
            "\nlist_lag_s = " + std::to_string(list_lag_s) + "\n";
    text += "[facts.resources]\ncore_share = 0.08\nram_mb = 40.0\nfd_limit = 600\n";
    return text;
  }
};

}  // namespace review
