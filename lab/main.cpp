// cranklock-lab: runs real controllers on loopback against stand-ins and checks the rules.
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "base/settings.hpp"
#include "lab/run.hpp"

int main(int argc, char** argv) {
  using namespace cranklock;
  CLI::App app{"Plays a fleet of stand-ins around real controllers, on loopback only.",
               "cranklock-lab"};
  app.require_subcommand(1);
  std::string file, report;
  std::string program = (std::filesystem::path(argv[0]).parent_path() / "cranklock").string();
  std::vector<std::string> changes;
  unsigned seed = 0;
  auto* run = app.add_subcommand("run", "play a plan to its end");
  run->add_option("FILE", file, "the plan (TOML)")->required();
  run->add_option("--report", report, "where the report (JSON) goes; else standard output");
  auto* seed_option = run->add_option("--seed", seed, "of everything that is drawn");
  run->add_option("--set", changes, "a field that differs from the plan, as fragments.moves=false");
  run->add_option("--daemon", program, "the controller's program")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  lab::LabPlan plan;
  try {
    plan = lab::load_plan(file, changes);
    if (*seed_option) plan.seed = seed;
  } catch (const base::SettingsError& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  if (::access(program.c_str(), X_OK) != 0) {
    std::cerr << "--daemon " << program << ": expected an executable file\n";
    return 2;
  }
  std::string folder = (std::filesystem::temp_directory_path() / "cranklock-lab-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) {
    const std::string reason = std::generic_category().message(errno);
    std::cerr << "cannot create temporary directory " << folder << ": " << reason << '\n';
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  lab::Run lab_run(plan, program, folder);
  if (!lab_run.execute()) {
    std::cerr
        << "cannot listen on all addresses of the plan: expected 127.0.0.1:20900 (router) and "
           "the ports from 21000 (state services, clouds) and 25000 (relays) to be free\n";
    return 2;
  }
  const std::string text = lab_run.report();
  if (report.empty()) {
    std::cout << text << '\n';
  } else {
    std::ofstream(report) << text << '\n';
  }
  std::cerr << '\n'
            << (lab_run.passed() ? "passed: " : "failed, " + lab_run.failure_reason() + ": ")
            << lab_run.summary() << "; logs in " << folder << '\n';
  return lab_run.passed() ? 0 : 1;
}
