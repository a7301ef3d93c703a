#include "lab/players.h"

#include <algorithm>
#include <cstdlib>

namespace lupinsill::lab {
namespace {

constexpr Micros reconnectDelay = 300'000;  // after a director could not be reached
constexpr Micros connectTimeout = 2'000'000;
// From a request to the disconnection of a client that disconnects on purpose.
constexpr Micros minDisconnectDelay = 3'000, maxDisconnectDelay = 25'000;
// From a lost connection to the repeat of the request.
constexpr Micros minReturnDelay = 50'000, maxReturnDelay = 600'000;
// Kept open beyond the client timeout and the answer slack, so that late answers are recorded.
constexpr Micros lateAnswerWait = 400'000;
constexpr Micros garbageTimeout = 3'000'000;    // for the director to close after malformed bytes
constexpr Micros endWait = 2'000'000;           // for the director to announce the end of a stream
constexpr Micros minRemainingLength = 500'000;  // a viewer with less left makes no new attempt
constexpr Micros unknownViewerLength = 1'000'000;

}  // namespace

struct PlayerPool::Player final : websocket::Channel::Handler {
  enum class State { waiting, connecting, awaitingAnswer, playing, done };
  PlayerPool* pool = nullptr;
  Arrival arrival;
  State state = State::waiting;
  Micros wakeAt = 0;
  Micros endsAt = 0;  // when the viewer stops watching
  Micros requestedAt = 0;
  int attempts = 0;
  int directorIndex = -1, run = 0;
  bool firstRequest = true;     // the first request has not been sent
  bool repeatsRequest = false;  // the next request repeats the last one, with the same idempotency key
  bool disconnectNext = false;
  std::string idempotencyKey;
  std::size_t requestRecord = 0;  // index of the current request in the record
  std::size_t repeatRecord = 0;   // of its repeat on the same socket; otherwise equal to requestRecord
  std::unique_ptr<websocket::Channel> channel;

  std::string viewer() const { return "v" + std::to_string(arrival.viewer); }
  audit::RequestObservation& record() { return pool->context_.record->requests[requestRecord]; }
  void onOpen(websocket::Channel&) override { pool->sendRequest(*this, repeatsRequest); }
  void onText(websocket::Channel&, std::string_view text) override {
    pool->onAnswer(*this, websocket::parseAnswer(text));
  }
  void onClosed(websocket::Channel&, int) override { pool->onConnectionLost(*this); }
  void drop() {
    if (!channel) return;
    channel->abort();
    pool->closed_.push_back(std::move(channel));
  }
};

PlayerPool::PlayerPool(LabContext& context, const Processes& processes, std::vector<Arrival> arrivals,
                       std::uint64_t seed)
    : context_(context), processes_(processes), chance_(seed, 3), arrivals_(std::move(arrivals)) {
  const ControlSettings& terms = context.day->deployment.controlSettings;
  for (const Arrival& a : arrivals_)
    if (a.behaviour != ClientBehaviour::neverReads && a.behaviour != ClientBehaviour::sendsGarbage)
      statistics_.offered += static_cast<double>(std::min(a.length, context.day->length - a.at)) / 1e6 *
                             terms.roomTypes[static_cast<std::size_t>(a.roomType)].benefit *
                             terms.rungBenefit[static_cast<std::size_t>(a.top)];
}
PlayerPool::~PlayerPool() = default;

Micros PlayerPool::remainingLength(const std::string& viewer) const {
  const auto it = players_.find(std::atoi(viewer.c_str() + 1));
  // At least 200 ms, also when the viewer's time is nearly over.
  return it == players_.end() ? unknownViewerLength
                              : std::max<Micros>(200'000, it->second->endsAt - context_.now());
}

bool PlayerPool::metJoinObjective(const std::string& viewer, int roomType) const {
  const auto it = players_.find(std::atoi(viewer.c_str() + 1));
  if (it == players_.end()) return false;
  const Micros objective =
      context_.day->deployment.controlSettings.roomTypes[static_cast<std::size_t>(roomType)].joinObjective;
  return context_.now() - it->second->requestedAt <= objective;
}

void PlayerPool::connect(Player& player) {
  std::vector<int> sameZone, reachable;
  for (std::size_t i = 0; i < processes_.directors().size(); ++i) {
    const DirectorProcess& p = processes_.directors()[i];
    if (p.playersPort == 0) continue;
    reachable.push_back(static_cast<int>(i));
    if (p.zone == player.arrival.zone) sameZone.push_back(static_cast<int>(i));
  }
  const std::vector<int>& candidates = sameZone.empty() ? reachable : sameZone;
  if (!player.repeatsRequest) {
    if (candidates.empty()) {
      player.wakeAt = context_.now() + reconnectDelay;
      return;
    }
    player.directorIndex = candidates[chance_.below(candidates.size())];
    player.run = processes_.directors()[static_cast<std::size_t>(player.directorIndex)].run;
  }
  const DirectorProcess& director = processes_.directors()[static_cast<std::size_t>(player.directorIndex)];
  // Only the director that received an idempotency key knows it, also after a restart: a repeat goes there.
  if (player.repeatsRequest) {
    if (director.playersPort == 0) {
      player.wakeAt = context_.now() + reconnectDelay;
      return;
    }
    player.run = director.run;
  }
  player.state = Player::State::connecting;
  player.wakeAt = context_.now() + connectTimeout;
  net::BufferEvent bufferEvent = net::connectTo(context_.base, "127.0.0.1", director.playersPort);
  if (!bufferEvent) {
    player.state = Player::State::waiting;
    player.wakeAt = context_.now() + reconnectDelay;
    return;
  }
  player.channel =
      std::make_unique<websocket::Channel>(std::move(bufferEvent), player, websocket::ChannelLimits{}, false,
                                           "127.0.0.1:" + std::to_string(director.playersPort));
}

void PlayerPool::sendRequest(Player& player, bool again) {
  const Micros now = context_.now();
  const auto& deployment = context_.day->deployment;
  const auto room = static_cast<std::size_t>(player.arrival.roomType);
  if (player.arrival.behaviour == ClientBehaviour::sendsGarbage) {
    ++statistics_.garbageSent;
    const char* invalidBytes[] = {"\x81\x05hello", "\xff\xff\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n"};
    if (player.arrival.viewer % 2 == 0)
      player.channel->sendText("{\"type\":\"ask\",\"id\":7");
    else
      player.channel->sendRaw(invalidBytes[player.arrival.viewer % 3]);
    player.state = Player::State::awaitingAnswer;
    player.wakeAt = now + garbageTimeout;
    return;
  }
  if (!again)
    player.idempotencyKey = "d" + std::to_string(player.directorIndex) + ":" + player.viewer() + "." +
                            std::to_string(++player.attempts);
  websocket::PlayMessage message;
  message.id = again ? "again" : "a" + std::to_string(player.attempts);
  message.key = player.idempotencyKey;
  message.viewer = player.viewer();
  message.title = "t" + std::to_string(player.arrival.title);
  message.room = deployment.roomTypes[room];
  message.top = player.arrival.top;
  // At least 1 ms: a request needs a positive length.
  message.length = std::max<Micros>(1'000, player.endsAt - now);
  if (again) message.previousDirector = "d" + std::to_string(player.directorIndex);
  audit::RequestObservation seen;
  seen.at = now;
  seen.director = player.directorIndex;
  seen.run = player.run;
  seen.viewer = message.viewer;
  seen.idempotencyKey = message.key;
  seen.title = message.title;
  seen.roomType = player.arrival.roomType;
  seen.timeout = deployment.clientTimeouts[room];
  seen.neverReads = player.arrival.behaviour == ClientBehaviour::neverReads;
  if (!again || player.repeatsRequest) player.requestRecord = context_.record->requests.size();
  player.repeatRecord = context_.record->requests.size();
  context_.record->requests.push_back(seen);
  if (player.firstRequest || !again) player.requestedAt = now;
  player.firstRequest = false;
  ++statistics_.requests;
  player.channel->sendText(websocket::toJson(message));
  player.state = Player::State::awaitingAnswer;
  player.wakeAt = now + seen.timeout + context_.day->answerSlack + lateAnswerWait;
  const bool nonRepeatable = deployment.controlSettings.roomTypes[room].effect != Effect::repeatable;
  if (player.arrival.behaviour == ClientBehaviour::neverReads) player.channel->stopReading();
  if (player.arrival.behaviour == ClientBehaviour::disconnects && !again && player.attempts == 1) {
    player.disconnectNext = true;
    player.wakeAt = now + chance_.duration(minDisconnectDelay, maxDisconnectDelay);
  }
  if (player.arrival.behaviour == ClientBehaviour::duplicatesRequest && nonRepeatable && !again)
    sendRequest(player, true);
  player.repeatsRequest = false;
}

void PlayerPool::onAnswer(Player& player, const websocket::AnswerMessage& answer) {
  using websocket::AnswerKind;
  const Micros now = context_.now();
  const bool isRepeat = answer.id == "again" && player.repeatRecord != player.requestRecord;
  audit::RequestObservation& seen =
      context_.record->requests[isRepeat ? player.repeatRecord : player.requestRecord];
  const auto record = [&](audit::RequestObservation::Answer::Kind kind) {
    seen.answers.push_back({now, kind});
  };
  const Micros objective =
      context_.day->deployment.controlSettings.roomTypes[static_cast<std::size_t>(player.arrival.roomType)]
          .joinObjective;
  switch (answer.kind) {
    case AnswerKind::hello:
      return;
    case AnswerKind::playing:
      record(audit::RequestObservation::Answer::Kind::playing);
      ++statistics_.playing;
      if (now - player.requestedAt <= objective) ++statistics_.metJoinObjective;
      player.state = Player::State::playing;
      player.wakeAt = player.endsAt + endWait;
      return;
    case AnswerKind::throttled:
      record(audit::RequestObservation::Answer::Kind::throttled);
      ++statistics_.throttled;
      if (isRepeat) return;
      return finishOrRetry(player, answer.retryAfter, true);
    case AnswerKind::terminated: {
      record(audit::RequestObservation::Answer::Kind::terminated);
      ++statistics_.terminated;
      if (isRepeat) return;
      const bool repeatable = context_.day->deployment.controlSettings
                                  .roomTypes[static_cast<std::size_t>(player.arrival.roomType)]
                                  .effect == Effect::repeatable;
      return finishOrRetry(player, 0, repeatable);
    }
    case AnswerKind::ended:
      if (isRepeat) return;
      ++statistics_.ended;
      return finishOrRetry(player, answer.retryAfter, answer.reason != "finished");
    case AnswerKind::rung:
      return;
    case AnswerKind::error:
      return finishOrRetry(player, 0, false);
  }
}

void PlayerPool::finishOrRetry(Player& player, Micros retryAfter, bool mayRetry) {
  const Micros now = context_.now();
  // The answer to a repeat on the same socket can no longer be received.
  if (player.repeatRecord != player.requestRecord &&
      context_.record->requests[player.repeatRecord].answers.empty())
    context_.record->requests[player.repeatRecord].closedAt = now;
  player.drop();
  const Micros pause =
      std::max(retryAfter, chance_.duration(context_.day->minRetryPause, context_.day->maxRetryPause));
  const bool retries = mayRetry &&
                       now + pause < std::min(player.endsAt - minRemainingLength, context_.day->length) &&
                       chance_.withProbability(context_.day->retryShare);
  player.state = retries ? Player::State::waiting : Player::State::done;
  player.wakeAt = now + pause;
}

void PlayerPool::onConnectionLost(Player& player) {
  const Micros now = context_.now();
  const Player::State previousState = player.state;
  if (player.arrival.behaviour == ClientBehaviour::sendsGarbage) {
    ++statistics_.garbageClosed;
    player.drop();
    player.state = Player::State::done;
    return;
  }
  if (previousState == Player::State::connecting) {
    player.drop();
    player.state = Player::State::waiting;
    player.wakeAt = now + reconnectDelay;
    return;
  }
  if (previousState != Player::State::awaitingAnswer && previousState != Player::State::playing)
    return player.drop();
  ++statistics_.socketsLost;
  player.record().closedAt = now;
  player.record().connectionLost = true;
  const bool nonRepeatable =
      context_.day->deployment.controlSettings.roomTypes[static_cast<std::size_t>(player.arrival.roomType)]
          .effect != Effect::repeatable;
  // The answer to a non-repeatable request was lost with the connection: repeat it at the same director with
  // the same idempotency key.
  if (previousState == Player::State::awaitingAnswer && nonRepeatable && now < player.endsAt) {
    ++statistics_.requestsRepeated;
    player.drop();
    player.repeatsRequest = true;
    player.state = Player::State::waiting;
    player.wakeAt = now + chance_.duration(minReturnDelay, maxReturnDelay);
    return;
  }
  finishOrRetry(player, 0, true);
}

void PlayerPool::tick() {
  const Micros now = context_.now();
  while (next_ < arrivals_.size() && arrivals_[next_].at <= now) {
    auto player = std::make_unique<Player>();
    player->pool = this;
    player->arrival = arrivals_[next_++];
    player->endsAt = now + player->arrival.length;
    player->requestedAt = now;
    players_.emplace(player->arrival.viewer, std::move(player));
  }
  for (auto& [viewer, player] : players_) {
    if (player->channel) player->channel->tick(net::monotonicNow());
    if (player->state == Player::State::done || now < player->wakeAt) continue;
    switch (player->state) {
      case Player::State::waiting:
        if (now >= context_.day->length || now + minRemainingLength > player->endsAt) {
          if (player->firstRequest) ++statistics_.neverConnected;
          player->state = Player::State::done;
        } else {
          connect(*player);
        }
        break;
      case Player::State::connecting:
        player->drop();
        player->state = Player::State::waiting;
        player->wakeAt = now + reconnectDelay;
        break;
      case Player::State::awaitingAnswer:
        if (player->disconnectNext) {
          player->disconnectNext = false;
          player->record().closedAt = now;
          player->drop();
          player->repeatsRequest = true;
          player->state = Player::State::waiting;
          player->wakeAt = now + chance_.duration(minReturnDelay, maxReturnDelay);
          break;
        }
        if (player->arrival.behaviour == ClientBehaviour::normal ||
            player->arrival.behaviour == ClientBehaviour::disconnects ||
            player->arrival.behaviour == ClientBehaviour::duplicatesRequest)
          ++statistics_.unanswered;
        player->drop();
        player->state = Player::State::done;
        break;
      case Player::State::playing:
        player->drop();
        player->state = Player::State::done;
        break;
      case Player::State::done:
        break;
    }
  }
  closed_.clear();
}

bool PlayerPool::done() const {
  return next_ == arrivals_.size() && std::all_of(players_.begin(), players_.end(), [](const auto& p) {
           return p.second->state == Player::State::done || p.second->state == Player::State::playing ||
                  p.second->arrival.behaviour == ClientBehaviour::neverReads;
         });
}

}  // namespace lupinsill::lab
