// Frames, roster and write pacing of connections between controllers.
#include <gtest/gtest.h>

#include "peer/frames.hpp"
#include "peer/roster.hpp"
#include "peer/write_pacing.hpp"

namespace cranklock::peer {
namespace {

TEST(Peer, FramesHaveAFixedEncodingAndCanArriveInPieces) {
  const PeerHeartbeat peer_heartbeat{"n1", 0x0102, true, false, 3, 4, 5, 6, 7};
  const std::string bytes = pack(peer_heartbeat);
  EXPECT_EQ(bytes, std::string("\x00\x31\x02\x01\x02n1\0\0\0\0\0\0\x01\x02\x01\x00"
                               "\0\0\0\0\0\0\0\x03\0\0\0\0\0\0\0\x04"
                               "\0\0\0\0\0\0\0\x05\0\0\0\0\0\0\0\x06\0\0\0\x07",
                               53));
  std::string buffer;
  for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
    buffer += bytes[i];
    const auto partial = unpack(buffer);
    ASSERT_FALSE(partial.has_value());
    ASSERT_EQ(partial.error(), UnpackError::incomplete);
    ASSERT_EQ(buffer.size(), i + 1);
  }
  const Frame forwarded = ForwardedHeartbeat{9, "{}"},
              response = ForwardedResponse{9, 200, 41, 1500, "{\"a\":1}"};
  buffer += bytes.back() + pack(forwarded) + pack(response);
  for (const Frame& expected : {Frame(peer_heartbeat), forwarded, response}) {
    const auto frame = unpack(buffer);
    ASSERT_TRUE(frame.has_value());
    EXPECT_EQ(*frame, expected);
  }
  EXPECT_TRUE(buffer.empty());
}

TEST(Peer, MalformedFramesAreRejected) {
  const auto is_malformed = [](std::string bytes) {
    const auto frame = unpack(bytes);
    return !frame && frame.error() == UnpackError::malformed;
  };
  const std::string bytes = pack(PeerHeartbeat{"n1", 1, true, true});
  // Version, kind, length of the name, a flag other than 0 or 1.
  for (const auto& [offset, value] :
       {std::pair<std::size_t, char>{2, 9}, {3, 7}, {4, 60}, {15, 2}}) {
    std::string malformed = bytes;
    malformed[offset] = value;
    EXPECT_TRUE(is_malformed(malformed)) << offset;
  }
  EXPECT_TRUE(is_malformed(std::string("\x00\x05\x02\x02\0\0\0\x01\xff", 9)));
}

/// Number of writes of a link in `duration_s` if a frame is queued every `gap_s`.
int count_writes(WritePacing pacing, double gap_s, double duration_s) {
  constexpr double kStep = 0.001;
  int writes = 0;
  bool frame_queued = false;
  double next_frame = 0;
  for (double now = 0; now < duration_s; now += kStep) {
    if (now >= next_frame) frame_queued = true, next_frame += gap_s;
    if (!frame_queued || now < pacing.next_write_at()) continue;
    pacing.on_write(now);
    frame_queued = false;
    ++writes;
  }
  return writes;
}

// Without pacing a link writes once per forwarded heartbeat. On the smaller machines these packets
// alone took a third of the leader's share of a core.
TEST(Peer, FramesWithinAnIntervalAreWrittenTogether) {
  EXPECT_LE(count_writes(WritePacing(0.1), 0.01, 10), 101);
  EXPECT_EQ(count_writes(WritePacing(0.1), 1, 10), 10);  // one write per frame
  const WritePacing pacing(0.1);
  EXPECT_LT(pacing.next_write_at(), 0);  // the first frame is written at once
}

TEST(Peer, WriteIntervalGrowsAsTheCoreShareShrinksUpToItsMaximum) {
  base::Settings settings;
  settings.heartbeat_interval_s = 1;
  settings.core_share = 0.04;
  EXPECT_NEAR(write_interval_s(settings), 0.0625, 1e-9);
  settings.core_share = 0.08;
  EXPECT_NEAR(write_interval_s(settings), 0.03125, 1e-9);
  settings.core_share = 0.001;
  EXPECT_NEAR(write_interval_s(settings), 0.25, 1e-9);
}

TEST(Peer, ExpiredHeartbeatsAreIgnored) {
  Roster roster(4);
  roster.on_peer_heartbeat({"n1", 0, true, false}, 10);
  EXPECT_TRUE(roster.any_reaches_store(12));
  EXPECT_FALSE(roster.any_receives_heartbeats(12));
  EXPECT_FALSE(roster.any_alive(15));
}

TEST(Peer, LeaderHasTheHighestFencingTokenAmongFreshHeartbeats) {
  Roster roster(4);
  EXPECT_EQ(roster.leader(10).name, "");
  roster.on_peer_heartbeat({"n1", 0, true, true}, 10);
  EXPECT_EQ(roster.leader(10).name, "");
  roster.on_peer_heartbeat({"n2", 7, true, true}, 10);
  roster.on_peer_heartbeat({"n3", 8, true, true}, 8);
  EXPECT_EQ(roster.leader(11).name, "n3");
  EXPECT_EQ(roster.leader(13).name, "n2");
}

TEST(Peer, TruncatedFieldIsMalformed) {
  Unpacker unpacker(std::string_view("\x00\x05\x02", 3));
  EXPECT_EQ(unpacker.number<std::uint16_t>(), 5);
  EXPECT_FALSE(unpacker.complete()) << "one byte remains";
  EXPECT_EQ(unpacker.text(), "") << "length 2, but no bytes follow";
  EXPECT_FALSE(unpacker.complete());
}

TEST(Peer, LongTextsAreTruncatedToTheMaximumLength) {
  const std::string name(kMaxNameBytes + 1, 'n');
  const std::string text(kMaxTextBytes + 1, 't');
  Packer packer;
  packer.text(name).long_text(text);
  const std::string frame = std::move(packer).frame(1, 2);
  Unpacker unpacker(std::string_view(frame).substr(kHeaderBytes));
  EXPECT_EQ(unpacker.text(), name.substr(1));
  EXPECT_EQ(unpacker.long_text(), text.substr(1));
  EXPECT_TRUE(unpacker.complete());
}

}  // namespace
}  // namespace cranklock::peer
