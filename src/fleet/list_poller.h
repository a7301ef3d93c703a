// When a name server is asked for the list, and which answers are to a question of ours. The list itself is
// membership's business, and so is its age. No I/O, no clock; times are whole microseconds on the caller's
// clock. Guards against answers that get lost, come late, twice, under another number, cut short, with a
// failure or with an older list, against a server that says nothing for a while, and against a fleet of
// directors that all ask it in the same moments.
#pragma once

#include <array>
#include <cstdint>
#include <random>

#include "control.h"

namespace lupinsill::fleet {

class ListPoller {
 public:
  explicit ListPoller(std::uint64_t seed)
      : chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

  Micros due() const { return due_; }
  // The number of the next ask; call it once the time is due.
  std::uint16_t nextQuery(Micros now);
  // Another address: it is asked at once, and what the old one was asked is void.
  void serverMoved(Micros now);
  // Whether an answer under this number is one to an ask of ours; each number is good once.
  bool expects(std::uint16_t number);
  // A whole answer came, without a failure and no older than what is known.
  void answered(Micros now);

 private:
  std::minstd_rand chance_;
  std::array<std::uint32_t, 8> out_{};  // numbers asked under, with a mark above; 0: none
  std::size_t next_ = 0;
  Micros due_ = 0;
};

}  // namespace lupinsill::fleet
