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

struct PlayerStatistics {
  std::size_t requests = 0, playing = 0, metJoinObjective = 0, throttled = 0, terminated = 0, unanswered = 0;
  std::size_t ended = 0, socketsLost = 0, neverConnected = 0, garbageClosed = 0, garbageSent = 0,
              requestsRepeated = 0;
  double offered = 0;
};

class PlayerPool {
 public:
  PlayerPool(LabContext& context, const Processes& processes, std::vector<Arrival> arrivals,
             std::uint64_t seed);
  ~PlayerPool();
  void tick();
  bool done() const;  // nobody is waiting for an answer any more
  Micros remainingLength(const std::string& viewer) const;
  bool metJoinObjective(const std::string& viewer, int roomType) const;
  const PlayerStatistics& statistics() const { return statistics_; }

 private:
  struct Player;
  void connect(Player& player);
  void sendRequest(Player& player, bool again);
  void onAnswer(Player& player, const websocket::AnswerMessage& answer);
  void finishOrRetry(Player& player, Micros retryAfter, bool mayRetry);
  void onConnectionLost(Player& player);

  LabContext& context_;
  const Processes& processes_;
  Chance chance_;
  std::vector<Arrival> arrivals_;
  std::size_t next_ = 0;
  std::map<int, std::unique_ptr<Player>> players_;
  std::vector<std::unique_ptr<websocket::Channel>> closed_;
  PlayerStatistics statistics_;
};

}  // namespace lupinsill::lab
