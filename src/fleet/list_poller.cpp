#include "fleet/list_poller.h"

namespace lupinsill::fleet {
namespace {

constexpr Micros period = 240'000;  // after a good answer, at least; the rules count what is told after 1.5 s
constexpr Micros spread = 120'000;  // and so much more, by chance
constexpr Micros askAgain = 120'000;  // while none comes
constexpr std::uint32_t mark = 1U << 16;

}  // namespace

std::uint16_t ListPoller::nextQuery(Micros now) {
  due_ = now + askAgain;
  const auto number = static_cast<std::uint16_t>(chance_());
  out_[next_++ % out_.size()] = mark | number;
  return number;
}

void ListPoller::serverMoved(Micros now) {
  out_ = {};
  due_ = now;
}

bool ListPoller::expects(std::uint16_t number) {
  for (std::uint32_t& out : out_)
    if (out == (mark | number)) return out = 0, true;
  return false;
}

void ListPoller::answered(Micros now) { due_ = now + period + static_cast<Micros>(chance_()) % spread; }

}  // namespace lupinsill::fleet
