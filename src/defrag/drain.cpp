#include "defrag/drain.hpp"

#include <array>
#include <utility>

#include "wire/json.hpp"

namespace cranklock::defrag {

using wire::JsonDocument;
using wire::JsonWriter;

namespace {
constexpr std::array<std::pair<DrainState, const char*>, 3> kStateNames{
    {{DrainState::draining, "draining"},
     {DrainState::drained, "drained"},
     {DrainState::refused, "refused"}}};
}  // namespace

std::string write_drain_request(const DrainRequest& request) {
  JsonWriter w;
  w.begin_object()
      .key("task")
      .text(wire::to_string(request.task))
      .key("attempt")
      .count(request.attempt);
  w.key("machine").text(request.machine).key("address").text(request.address);
  w.key("lease_s").amount(request.lease_s).key("within_s").amount(request.within_s).end_object();
  return w.take();
}

std::optional<DrainRequest> read_drain_request(const std::string& text) {
  const JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  const auto& object = document.root();
  const auto task = wire::parse_task(wire::read_text(object, "task").value_or(""));
  const auto attempt = wire::read_count(object, "attempt");
  const auto machine = wire::read_text(object, "machine");
  const auto address = wire::read_text(object, "address");
  const auto lease_s = wire::read_amount(object, "lease_s");
  const auto within_s = wire::read_amount(object, "within_s");
  if (!task || !attempt || !machine || !address || !lease_s || !within_s) return std::nullopt;
  return DrainRequest{*task, *attempt, *machine, *address, *lease_s, *within_s};
}

std::string write_drain_answer(const DrainAnswer& answer) {
  JsonWriter w;
  w.begin_object()
      .key("task")
      .text(wire::to_string(answer.task))
      .key("attempt")
      .count(answer.attempt);
  for (const auto& [state, name] : kStateNames) {
    if (state == answer.state) w.key("state").text(name);
  }
  w.key("open").count(answer.open_requests).end_object();
  return w.take();
}

std::optional<DrainAnswer> read_drain_answer(const std::string& text) {
  const JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  const auto& object = document.root();
  const auto task = wire::parse_task(wire::read_text(object, "task").value_or(""));
  const auto attempt = wire::read_count(object, "attempt");
  const auto state = wire::read_text(object, "state");
  if (!task || !attempt || !state) return std::nullopt;
  for (const auto& [known, name] : kStateNames) {
    if (*state != name) continue;
    return DrainAnswer{*task, *attempt, known, wire::read_count(object, "open").value_or(0)};
  }
  return std::nullopt;
}

}  // namespace cranklock::defrag
