// The load generator: scripted players, each a real WebSocket client that requests a subscription, watches it
// and retries as the app does. Some misbehave (ClientBehaviour). They record the requests that they send and
// the answers that they receive.
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

// Counts over all players of a run. `offered` is the benefit that serving every request in full would earn.
struct PlayerStatistics {
  std::size_t requests = 0, playing = 0, metJoinObjective = 0, throttled = 0, terminated = 0, unanswered = 0;
  std::size_t ended = 0, socketsLost = 0, neverConnected = 0, garbageClosed = 0, garbageSent = 0,
              requestsRepeated = 0;
  double offered = 0;
};

// All players of a run.
class PlayerPool {
 public:
  PlayerPool(LabContext& context, const Processes& processes, std::vector<Arrival> arrivals,
             std::uint64_t seed);
  ~PlayerPool();
  // Starts players whose time has come and acts on expired timers.
  void tick();
  // Whether all players have arrived and none waits for an answer or a retry.
  bool done() const;
  // How long the viewer is still to watch.
  Micros remainingLength(const std::string& viewer) const;
  // Whether the viewer's current request is still within the join objective of the room type.
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
  RandomSource chance_;
  std::vector<Arrival> arrivals_;
  std::size_t next_ = 0;
  std::map<int, std::unique_ptr<Player>> players_;
  std::vector<std::unique_ptr<websocket::Channel>> closed_;
  PlayerStatistics statistics_;
};

}  // namespace lupinsill::lab
