// What controllers tell each other: packed structs, each led by its length, the version and its
// kind; all numbers big-endian.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cranklock::peer {

inline constexpr std::uint8_t kVersion = 1;
inline constexpr std::size_t kMostName = 64;
inline constexpr std::size_t kHeader = 4;  ///< u16 length of what follows it, u8 version, u8 kind

/// Who is there, and what it reaches.
struct Hello {
  std::string name;
  std::uint64_t token = 0;     ///< of its office; 0: it doesn't lead
  bool reaches_state = false;  ///< the state service answered it lately
  bool hears_workers = false;  ///< workers have reported to it lately, be it in vain
  bool operator==(const Hello&) const = default;
};

std::string pack(const Hello& hello);

enum class Unpacked { frame, more, broken };
/// Takes one frame off the front of the buffer.
Unpacked unpack(std::string& buffer, Hello& out);

}  // namespace cranklock::peer
