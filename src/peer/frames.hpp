// What controllers tell each other: packed structs, each led by its length, the version and its
// kind; all numbers big-endian.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace cranklock::peer {

inline constexpr std::uint8_t kVersion = 1;
inline constexpr std::size_t kMostName = 64;
inline constexpr std::size_t kHeader = 4;  ///< u16 length of what follows it, u8 version, u8 kind

/// Who is there, and whether it reaches the state service.
struct Hello {
  std::string name;
  std::uint64_t token = 0;  ///< of its office; 0: it doesn't lead
  bool state_reached = false;
  bool operator==(const Hello&) const = default;
};

/// A job was accepted or cancelled here: worth a look before the watch tells.
struct JobChanged {
  std::string id;
  std::uint64_t revision = 0;
  bool operator==(const JobChanged&) const = default;
};

using Frame = std::variant<Hello, JobChanged>;

std::string pack(const Frame& frame);

enum class Unpacked { frame, more, broken };
/// Takes one frame off the front of the buffer.
Unpacked unpack(std::string& buffer, Frame& out);

}  // namespace cranklock::peer
