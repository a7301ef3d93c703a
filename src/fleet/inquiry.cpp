#include "fleet/inquiry.h"

namespace lupinsill::fleet {
namespace {

constexpr Micros period = 300'000;    // after a good answer; the rules count what is told after 1.5 s
constexpr Micros askAgain = 120'000;  // while none comes
constexpr std::uint32_t mark = 1U << 16;

}  // namespace

std::uint16_t Inquiry::ask(Micros now) {
  due_ = now + askAgain;
  const auto number = static_cast<std::uint16_t>(chance_());
  out_[next_++ % out_.size()] = mark | number;
  return number;
}

void Inquiry::moved(Micros now) {
  out_ = {};
  due_ = now;
}

bool Inquiry::expects(std::uint16_t number) {
  for (std::uint32_t& out : out_)
    if (out == (mark | number)) return out = 0, true;
  return false;
}

bool Inquiry::believes(Micros now, std::uint32_t serial) {
  if (serial < serial_) return false;
  serial_ = serial;
  due_ = now + period;
  return true;
}

}  // namespace lupinsill::fleet
