// Scripted players: real WebSocket clients that ask, watch, come again as the app does, and some of which do
// not behave. They record what they sent and were told.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "audit/record.h"
#include "lab/day.h"
#include "lab/processes.h"
#include "lab/stand_in.h"
#include "websocket/channel.h"
#include "websocket/messages.h"

namespace lupinsill::lab {

struct Tallies {
  std::size_t asks = 0, playing = 0, inTime = 0, throttled = 0, terminated = 0, unanswered = 0;
  std::size_t ended = 0, socketsLost = 0, neverReached = 0, garbageClosed = 0, garbageSent = 0,
              askedAgain = 0;
  double offered = 0;
};

class Crowd {
 public:
  Crowd(Stage& stage, const Processes& processes, std::vector<Arrival> arrivals, std::uint64_t seed);
  ~Crowd();
  void tick();
  bool done() const;  // nobody is waiting for an answer any more
  Micros lengthLeft(const std::string& viewer) const;
  bool inTime(const std::string& viewer, int roomType) const;
  const Tallies& tallies() const { return tallies_; }

 private:
  struct Player;
  void begin(Player& player);
  void ask(Player& player, bool again);
  void heard(Player& player, const websocket::AnswerMessage& answer);
  void over(Player& player, Micros retryAfter, bool mayComeAgain);
  void lost(Player& player);

  Stage& stage_;
  const Processes& processes_;
  RandomSource chance_;
  std::vector<Arrival> arrivals_;
  std::size_t next_ = 0;
  std::map<int, std::unique_ptr<Player>> players_;
  std::vector<std::unique_ptr<websocket::Channel>> closed_;
  Tallies tallies_;
};

}  // namespace lupinsill::lab
