// Encoding of frames between controllers and between regions, and of the drain interface, as
// literal bytes. During an upgrade the two sides of a connection may run different versions.
#include <gtest/gtest.h>

#include "defrag/drain.hpp"
#include "peer/frames.hpp"
#include "regions/frames.hpp"

namespace cranklock::testing {
namespace {

/// Returns the bytes of a string literal, which may contain zeros.
template <std::size_t N>
std::string bytes(const char (&literal)[N]) {
  return {literal, N - 1};
}

// Frames between controllers. The header consists of the length of the body (two bytes), the
// version and the kind.

const peer::PeerHeartbeat kPeerHeartbeat{
    "winch-1",          0x0102030405060708, true,      true, 0x1112131415161718, 0x2122232425262728,
    0x3132333435363738, 0x4142434445464748, 0x51525354};
const std::string kPeerHeartbeatBytes = bytes(
    "\x00\x36\x02\x01"
    "\x07winch-1"
    "\x01\x02\x03\x04\x05\x06\x07\x08"
    "\x01\x01"
    "\x11\x12\x13\x14\x15\x16\x17\x18"
    "\x21\x22\x23\x24\x25\x26\x27\x28"
    "\x31\x32\x33\x34\x35\x36\x37\x38"
    "\x41\x42\x43\x44\x45\x46\x47\x48"
    "\x51\x52\x53\x54");

const peer::ForwardedHeartbeat kForwardedHeartbeat{0x0102030405060708, R"({"Rig":"n-1"})"};
const std::string kForwardedHeartbeatBytes = bytes(
    "\x00\x17\x02\x02"
    "\x01\x02\x03\x04\x05\x06\x07\x08"
    "\x00\x0d{\"Rig\":\"n-1\"}");

const peer::ForwardedResponse kForwardedResponse{0x0102030405060708, 421, 0x1112131415161718,
                                                 0x21222324, "{}"};
const std::string kForwardedResponseBytes = bytes(
    "\x00\x1a\x02\x03"
    "\x01\x02\x03\x04\x05\x06\x07\x08"
    "\x01\xa5"
    "\x11\x12\x13\x14\x15\x16\x17\x18"
    "\x21\x22\x23\x24"
    "\x00\x02{}");

/// Unpacks one frame and expects no remaining bytes.
peer::Frame unpacked(std::string buffer) {
  auto frame = peer::unpack(buffer);
  EXPECT_TRUE(frame.has_value());
  EXPECT_TRUE(buffer.empty());
  return frame ? std::move(*frame) : peer::Frame();
}

TEST(ControllerFrames, PeerHeartbeatWithEveryFieldIsPackedAndUnpacked) {
  EXPECT_EQ(peer::pack(kPeerHeartbeat), kPeerHeartbeatBytes);
  EXPECT_EQ(unpacked(kPeerHeartbeatBytes), peer::Frame(kPeerHeartbeat));
}

TEST(ControllerFrames, EachFlagOfAPeerHeartbeatHasItsOwnByte) {
  peer::PeerHeartbeat state_only = kPeerHeartbeat;
  state_only.receives_heartbeats = false;
  std::string state_only_bytes = kPeerHeartbeatBytes;
  state_only_bytes[21] = '\0';
  EXPECT_EQ(peer::pack(state_only), state_only_bytes);
  EXPECT_EQ(unpacked(state_only_bytes), peer::Frame(state_only));
  peer::PeerHeartbeat workers_only = kPeerHeartbeat;
  workers_only.reaches_store = false;
  std::string workers_only_bytes = kPeerHeartbeatBytes;
  workers_only_bytes[20] = '\0';
  EXPECT_EQ(peer::pack(workers_only), workers_only_bytes);
  EXPECT_EQ(unpacked(workers_only_bytes), peer::Frame(workers_only));
}

TEST(ControllerFrames, PeerHeartbeatWithoutDelegatedResponseIsPackedWithAllOnes) {
  peer::PeerHeartbeat peer_heartbeat;
  peer_heartbeat.name = "a";
  const std::string expected = bytes(
                                   "\x00\x30\x02\x01"
                                   "\x01"
                                   "a") +
                               std::string(42, '\0') + bytes("\xff\xff\xff\xff");
  EXPECT_EQ(peer::pack(peer_heartbeat), expected);
  EXPECT_EQ(unpacked(expected), peer::Frame(peer_heartbeat));
}

TEST(ControllerFrames, ForwardedHeartbeatIsPackedAndUnpacked) {
  EXPECT_EQ(peer::pack(kForwardedHeartbeat), kForwardedHeartbeatBytes);
  EXPECT_EQ(unpacked(kForwardedHeartbeatBytes), peer::Frame(kForwardedHeartbeat));
}

TEST(ControllerFrames, ForwardedResponseIsPackedAndUnpacked) {
  EXPECT_EQ(peer::pack(kForwardedResponse), kForwardedResponseBytes);
  EXPECT_EQ(unpacked(kForwardedResponseBytes), peer::Frame(kForwardedResponse));
}

// Frames between regions.

// Order: guaranteed CPUs, maximum CPUs, guaranteed GPUs, maximum GPUs.
const regions::QuotaAmounts kAmounts({0x0111, 0x0222, 0x0333, 0x0444});
const std::string kAmountsBytes = bytes(
    "\0\0\0\0\0\0\x01\x11"
    "\0\0\0\0\0\0\x02\x22"
    "\0\0\0\0\0\0\x03\x33"
    "\0\0\0\0\0\0\x04\x44");

void expect_region_frame(const regions::RegionFrame& frame, const std::string& expected) {
  EXPECT_EQ(regions::pack(frame), expected);
  std::string buffer = expected;
  regions::RegionFrame read;
  ASSERT_EQ(regions::unpack(buffer, read), regions::UnpackResult::frame);
  EXPECT_EQ(read, frame);
  EXPECT_TRUE(buffer.empty());
}

TEST(FramesBetweenRegions, RegionHeartbeatIsPackedAndUnpacked) {
  expect_region_frame(regions::RegionHeartbeat{"east", "winch-1", "west", 0x0102030405060708},
                      bytes("\x00\x1a\x01\x01"
                            "\x04"
                            "east"
                            "\x07winch-1"
                            "\x04west"
                            "\x01\x02\x03\x04\x05\x06\x07\x08"));
}

TEST(FramesBetweenRegions, QuotaRequestIsPackedAndUnpacked) {
  expect_region_frame(regions::QuotaRequest{"red", kAmounts, 0x0102030405060708},
                      bytes("\x00\x2c\x01\x02"
                            "\x03red") +
                          kAmountsBytes + bytes("\x01\x02\x03\x04\x05\x06\x07\x08"));
}

TEST(FramesBetweenRegions, QuotaTransferIsPackedAndUnpacked) {
  expect_region_frame(regions::QuotaTransfer{0x0102030405060708, "red", kAmounts},
                      bytes("\x00\x2c\x01\x03"
                            "\x01\x02\x03\x04\x05\x06\x07\x08"
                            "\x03red") +
                          kAmountsBytes);
}

TEST(FramesBetweenRegions, TransferAcknowledgementIsPackedAndUnpacked) {
  expect_region_frame(regions::TransferAcknowledgement{0x0102030405060708},
                      bytes("\x00\x08\x01\x04"
                            "\x01\x02\x03\x04\x05\x06\x07\x08"));
}

// The drain interface between the leader and the router.

TEST(DrainInterface, EveryFieldOfARequestIsWrittenAndRead) {
  defrag::DrainRequest request;
  request.task = {"j-000412", 3};
  request.attempt = 14;
  request.machine = "n-000007";
  request.address = "10.1.0.7:9000";
  request.lease_s = 20;
  request.within_s = 12.5;
  const std::string text =
      R"({"task":"j-000412/3","attempt":14,"machine":"n-000007","address":"10.1.0.7:9000",)"
      R"("lease_s":20.0,"within_s":12.5})";
  EXPECT_EQ(defrag::write_drain_request(request), text);
  const auto read = defrag::read_drain_request(text);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->task, (wire::TaskName{"j-000412", 3}));
  EXPECT_EQ(read->attempt, 14U);
  EXPECT_EQ(read->machine, "n-000007");
  EXPECT_EQ(read->address, "10.1.0.7:9000");
  EXPECT_EQ(read->lease_s, 20);
  EXPECT_EQ(read->within_s, 12.5);
}

TEST(DrainInterface, EveryFieldAndStateOfAResponseIsWrittenAndRead) {
  for (const auto& [state, name] : {std::pair{defrag::DrainState::draining, "draining"},
                                    std::pair{defrag::DrainState::drained, "drained"},
                                    std::pair{defrag::DrainState::refused, "refused"}}) {
    defrag::DrainAnswer answer;
    answer.task = {"j-000412", 3};
    answer.attempt = 14;
    answer.state = state;
    answer.open_requests = 5;
    const std::string text =
        R"({"task":"j-000412/3","attempt":14,"state":")" + std::string(name) + R"(","open":5})";
    EXPECT_EQ(defrag::write_drain_answer(answer), text);
    const auto read = defrag::read_drain_answer(text);
    ASSERT_TRUE(read) << name;
    EXPECT_EQ(read->task, (wire::TaskName{"j-000412", 3}));
    EXPECT_EQ(read->attempt, 14U);
    EXPECT_EQ(read->state, state);
    EXPECT_EQ(read->open_requests, 5U);
  }
}

TEST(DrainInterface, OpenRequestsOfAResponseAreOptional) {
  const auto read =
      defrag::read_drain_answer(R"({"task":"j-000412/3","attempt":14,"state":"drained"})");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->open_requests, 0U);
}

}  // namespace
}  // namespace cranklock::testing
