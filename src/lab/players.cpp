#include "lab/players.h"

#include <algorithm>
#include <cstdlib>

namespace lupinsill::lab {
namespace {
constexpr Micros tryAnother = 300'000;  // after a director that cannot be reached
constexpr Micros closeLeast = 3'000, closeMost = 25'000;
constexpr Micros backLeast = 50'000, backMost = 600'000;
constexpr Micros hangAround =
    400'000;  // over the client timeout and its slack, to see answers that come late
}  // namespace

struct Crowd::Player final : websocket::Channel::Handler {
  enum class State { waiting, opening, asking, playing, done };
  Crowd* crowd = nullptr;
  Arrival arrival;
  State state = State::waiting;
  Micros wakeAt = 0;
  Micros endsAt = 0;  // of its wish to watch
  Micros askedAt = 0;
  int tries = 0;
  int place = -1, run = 0;
  bool first = true;        // the very first ask has not been sent
  bool comingBack = false;  // a closer, with the same key
  bool closeNext = false;
  std::string idempotencyKey;
  std::size_t seen = 0;  // its ask in the record
  std::size_t secondSeen = 0;
  std::unique_ptr<websocket::Channel> channel;

  std::string viewer() const { return "v" + std::to_string(arrival.viewer); }
  audit::RequestObservation& record() { return crowd->stage_.record->requests[seen]; }
  void onOpen(websocket::Channel&) override { crowd->ask(*this, comingBack); }
  void onText(websocket::Channel&, std::string_view text) override {
    crowd->heard(*this, websocket::parseAnswer(text));
  }
  void onClosed(websocket::Channel&, int) override { crowd->lost(*this); }
  void drop() {
    if (!channel) return;
    channel->abort();
    crowd->closed_.push_back(std::move(channel));
  }
};

Crowd::Crowd(Stage& stage, const Processes& processes, std::vector<Arrival> arrivals, std::uint64_t seed)
    : stage_(stage), processes_(processes), chance_(seed, 3), arrivals_(std::move(arrivals)) {
  const ControlSettings& t = stage.day->deployment.controlSettings;
  for (const Arrival& a : arrivals_)
    if (a.manner != Manner::mute && a.manner != Manner::garbage)
      tallies_.offered += static_cast<double>(std::min(a.length, stage.day->length - a.at)) / 1e6 *
                          t.roomTypes[static_cast<std::size_t>(a.roomType)].benefit *
                          t.rungBenefit[static_cast<std::size_t>(a.top)];
}
Crowd::~Crowd() = default;

Micros Crowd::lengthLeft(const std::string& viewer) const {
  const auto it = players_.find(std::atoi(viewer.c_str() + 1));
  return it == players_.end() ? 1'000'000 : std::max<Micros>(200'000, it->second->endsAt - stage_.now());
}

bool Crowd::inTime(const std::string& viewer, int roomType) const {
  const auto it = players_.find(std::atoi(viewer.c_str() + 1));
  if (it == players_.end()) return false;
  const Micros objective =
      stage_.day->deployment.controlSettings.roomTypes[static_cast<std::size_t>(roomType)].joinObjective;
  return stage_.now() - it->second->askedAt <= objective;
}

void Crowd::begin(Player& player) {
  std::vector<int> near, all;
  for (std::size_t i = 0; i < processes_.places().size(); ++i) {
    const Place& p = processes_.places()[i];
    if (p.players == 0) continue;
    all.push_back(static_cast<int>(i));
    if (p.zone == player.arrival.zone) near.push_back(static_cast<int>(i));
  }
  const std::vector<int>& from = near.empty() ? all : near;
  if (!player.comingBack) {
    if (from.empty()) {
      player.wakeAt = stage_.now() + tryAnother;
      return;
    }
    player.place = from[chance_.below(from.size())];
    player.run = processes_.places()[static_cast<std::size_t>(player.place)].run;
  }
  const Place& place = processes_.places()[static_cast<std::size_t>(player.place)];
  // A paid key is known to one director only, over its restarts.
  if (player.comingBack) {
    if (place.players == 0) {
      player.wakeAt = stage_.now() + tryAnother;
      return;
    }
    player.run = place.run;
  }
  player.state = Player::State::opening;
  player.wakeAt = stage_.now() + 2'000'000;
  net::BufferEvent bufferEvent = net::connectTo(stage_.base, "127.0.0.1", place.players);
  if (!bufferEvent) {
    player.state = Player::State::waiting;
    player.wakeAt = stage_.now() + tryAnother;
    return;
  }
  player.channel =
      std::make_unique<websocket::Channel>(std::move(bufferEvent), player, websocket::ChannelLimits{}, false,
                                           "127.0.0.1:" + std::to_string(place.players));
}

void Crowd::ask(Player& player, bool again) {
  const Micros now = stage_.now();
  const auto& deployment = stage_.day->deployment;
  const auto room = static_cast<std::size_t>(player.arrival.roomType);
  if (player.arrival.manner == Manner::garbage) {
    ++tallies_.garbageSent;
    const char* junk[] = {"\x81\x05hello", "\xff\xff\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n"};
    if (player.arrival.viewer % 2 == 0)
      player.channel->sendText("{\"type\":\"ask\",\"id\":7");
    else
      player.channel->sendRaw(junk[player.arrival.viewer % 3]);
    player.state = Player::State::asking;
    player.wakeAt = now + 3'000'000;
    return;
  }
  if (!again)
    player.idempotencyKey =
        "d" + std::to_string(player.place) + ":" + player.viewer() + "." + std::to_string(++player.tries);
  websocket::PlayMessage message;
  message.id = again ? "again" : "a" + std::to_string(player.tries);
  message.key = player.idempotencyKey;
  message.viewer = player.viewer();
  message.title = "t" + std::to_string(player.arrival.title);
  message.room = deployment.roomTypes[room];
  message.top = player.arrival.top;
  message.length = std::max<Micros>(1'000, player.endsAt - now);
  if (again) message.previousDirector = "d" + std::to_string(player.place);
  audit::RequestObservation seen;
  seen.at = now;
  seen.director = player.place;
  seen.run = player.run;
  seen.viewer = message.viewer;
  seen.idempotencyKey = message.key;
  seen.title = message.title;
  seen.roomType = player.arrival.roomType;
  seen.timeout = deployment.clientTimeouts[room];
  seen.neverReads = player.arrival.manner == Manner::mute;
  if (!again || player.comingBack) player.seen = stage_.record->requests.size();
  player.secondSeen = stage_.record->requests.size();
  stage_.record->requests.push_back(seen);
  if (player.first || !again) player.askedAt = now;
  player.first = false;
  ++tallies_.asks;
  player.channel->sendText(websocket::toJson(message));
  player.state = Player::State::asking;
  player.wakeAt = now + seen.timeout + stage_.day->answerSlack + hangAround;
  const bool unsafe = deployment.controlSettings.roomTypes[room].effect != Effect::repeatable;
  if (player.arrival.manner == Manner::mute) player.channel->stopReading();
  if (player.arrival.manner == Manner::closer && !again && player.tries == 1) {
    player.closeNext = true;
    player.wakeAt = now + chance_.duration(closeLeast, closeMost);
  }
  if (player.arrival.manner == Manner::repeater && unsafe && !again) ask(player, true);
  player.comingBack = false;
}

void Crowd::heard(Player& player, const websocket::AnswerMessage& answer) {
  using websocket::AnswerKind;
  const Micros now = stage_.now();
  const bool second = answer.id == "again" && player.secondSeen != player.seen;
  audit::RequestObservation& seen = stage_.record->requests[second ? player.secondSeen : player.seen];
  const auto record = [&](audit::RequestObservation::Answer::Kind kind) {
    seen.answers.push_back({now, kind});
  };
  const Micros objective =
      stage_.day->deployment.controlSettings.roomTypes[static_cast<std::size_t>(player.arrival.roomType)]
          .joinObjective;
  switch (answer.kind) {
    case AnswerKind::hello:
      return;
    case AnswerKind::playing:
      record(audit::RequestObservation::Answer::Kind::playing);
      ++tallies_.playing;
      if (now - player.askedAt <= objective) ++tallies_.inTime;
      player.state = Player::State::playing;
      player.wakeAt = player.endsAt + 2'000'000;
      return;
    case AnswerKind::throttled:
      record(audit::RequestObservation::Answer::Kind::throttled);
      ++tallies_.throttled;
      if (second) return;
      return over(player, answer.retryAfter, true);
    case AnswerKind::terminated: {
      record(audit::RequestObservation::Answer::Kind::terminated);
      ++tallies_.terminated;
      if (second) return;
      const bool safe =
          stage_.day->deployment.controlSettings.roomTypes[static_cast<std::size_t>(player.arrival.roomType)]
              .effect == Effect::repeatable;
      return over(player, 0, safe);
    }
    case AnswerKind::ended:
      if (second) return;
      ++tallies_.ended;
      return over(player, answer.retryAfter, answer.reason != "finished");
    case AnswerKind::rung:
      return;
    case AnswerKind::error:
      return over(player, 0, false);
  }
}

void Crowd::over(Player& player, Micros retryAfter, bool mayComeAgain) {
  const Micros now = stage_.now();
  // Its second ask on the same socket goes unheard from here on.
  if (player.secondSeen != player.seen && stage_.record->requests[player.secondSeen].answers.empty())
    stage_.record->requests[player.secondSeen].closedAt = now;
  player.drop();
  const Micros pause = std::max(retryAfter, chance_.duration(stage_.day->pauseLeast, stage_.day->pauseMost));
  const bool again = mayComeAgain && now + pause < std::min(player.endsAt - 500'000, stage_.day->length) &&
                     chance_.withProbability(stage_.day->comeAgain);
  player.state = again ? Player::State::waiting : Player::State::done;
  player.wakeAt = now + pause;
}

void Crowd::lost(Player& player) {
  const Micros now = stage_.now();
  const Player::State was = player.state;
  if (player.arrival.manner == Manner::garbage) {
    ++tallies_.garbageClosed;
    player.drop();
    player.state = Player::State::done;
    return;
  }
  if (was == Player::State::opening) {
    player.drop();
    player.state = Player::State::waiting;
    player.wakeAt = now + tryAnother;
    return;
  }
  if (was != Player::State::asking && was != Player::State::playing) return player.drop();
  ++tallies_.socketsLost;
  player.record().closedAt = now;
  player.record().connectionLost = true;
  const bool unsafe =
      stage_.day->deployment.controlSettings.roomTypes[static_cast<std::size_t>(player.arrival.roomType)]
          .effect != Effect::repeatable;
  // An answer to a paid ask that is lost with its director is asked for again there, with the same key.
  if (was == Player::State::asking && unsafe && now < player.endsAt) {
    ++tallies_.askedAgain;
    player.drop();
    player.comingBack = true;
    player.state = Player::State::waiting;
    player.wakeAt = now + chance_.duration(backLeast, backMost);
    return;
  }
  over(player, 0, true);
}

void Crowd::tick() {
  const Micros now = stage_.now();
  while (next_ < arrivals_.size() && arrivals_[next_].at <= now) {
    auto player = std::make_unique<Player>();
    player->crowd = this;
    player->arrival = arrivals_[next_++];
    player->endsAt = now + player->arrival.length;
    player->askedAt = now;
    players_.emplace(player->arrival.viewer, std::move(player));
  }
  for (auto& [viewer, player] : players_) {
    if (player->channel) player->channel->tick(net::monotonicNow());
    if (player->state == Player::State::done || now < player->wakeAt) continue;
    switch (player->state) {
      case Player::State::waiting:
        if (now >= stage_.day->length || now + 500'000 > player->endsAt) {
          if (player->first) ++tallies_.neverReached;
          player->state = Player::State::done;
        } else {
          begin(*player);
        }
        break;
      case Player::State::opening:
        player->drop();
        player->state = Player::State::waiting;
        player->wakeAt = now + tryAnother;
        break;
      case Player::State::asking:
        if (player->closeNext) {
          player->closeNext = false;
          player->record().closedAt = now;
          player->drop();
          player->comingBack = true;
          player->state = Player::State::waiting;
          player->wakeAt = now + chance_.duration(backLeast, backMost);
          break;
        }
        if (player->arrival.manner == Manner::plain || player->arrival.manner == Manner::closer ||
            player->arrival.manner == Manner::repeater)
          ++tallies_.unanswered;
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

bool Crowd::done() const {
  return next_ == arrivals_.size() && std::all_of(players_.begin(), players_.end(), [](const auto& p) {
           return p.second->state == Player::State::done || p.second->state == Player::State::playing ||
                  p.second->arrival.manner == Manner::mute;
         });
}

}  // namespace lupinsill::lab
