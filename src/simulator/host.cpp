#include "host.h"

#include <utility>

namespace lupinsill::simulator {

std::string Host::play(const std::string& line) {
  Json batch;
  try {
    batch = Json::parse(line);
  } catch (const Json::exception& e) {
    throw InvalidInput(std::string("batch: not JSON: ") + e.what());
  }
  if (!batch.is_object()) throw InvalidInput("batch: not an object");
  if (!batch.contains("wallNs")) throw InvalidInput("wallNs: missing");
  if (!batch.contains("inbox") || !batch["inbox"].is_array())
    throw InvalidInput("inbox: missing or not an array");
  const Micros now = clockOf(batch["wallNs"]);
  Json out = Json::array();
  std::size_t place = 0;
  for (const Json& message : batch["inbox"]) {
    try {
      play(message);
    } catch (const InvalidInput& e) {
      throw InvalidInput("inbox[" + std::to_string(place) + "]: " + e.what());
    }
    ++place;
  }
  for (auto& [who, instance] : instances_) {
    if (instance.turn.empty()) continue;
    std::vector<Action> actions;
    instance.control.handle(now, instance.turn, actions);
    instance.turn.clear();
    for (const Action& action : actions) out.push_back(wireOf(who, action));
  }
  return Json{{"out", std::move(out)}}.dump();
}

void Host::play(const Json& array) {
  const Message message(array);
  if (message.name() == "Page") {
    const std::int64_t number = message.whole(1, "buffer");
    if (number < 0 || number >= static_cast<std::int64_t>(pages_.size()))
      throw InvalidInput("buffer: out of range");
    checkRows(message.value(2));
    pages_[static_cast<std::size_t>(number)] = message.value(2);
    return;
  }
  if (!isKnownEvent(message.name())) throw InvalidInput("unknown event '" + message.name() + "'");
  const std::int64_t who = message.whole(1, "who");
  if (message.name() == "OpenInstance") {
    if (!message.value(2).is_number_integer()) throw InvalidInput("seed: not a whole number");
    Names names;
    ControlSettings terms = control_settings::parseControlSettings(message.value(3), names);
    instances_.erase(who);
    instances_.emplace(
        who,
        Instance{std::move(names), Control(std::move(terms), message.value(2).get<std::uint64_t>()), {}});
    return;
  }
  const auto it = instances_.find(who);
  if (it == instances_.end()) throw InvalidInput("who: no instance " + std::to_string(who) + " runs");
  if (message.name() == "Stop") {
    instances_.erase(it);
    return;
  }
  Instance& instance = it->second;
  if (message.name() == "BackendsChanged") {
    ListUpdate told{listKindOf(message.text(2, "kind")), {}};
    if (told.kind != ListKind::lost) {
      const std::int64_t number = message.whole(4, "buffer");
      if (number < 0 || number >= static_cast<std::int64_t>(pages_.size()) ||
          pages_[static_cast<std::size_t>(number)].is_null())
        throw InvalidInput("buffer: no such list");
      told.entries = entriesOf(pages_[static_cast<std::size_t>(number)], instance.names);
    }
    instance.turn.push_back(std::move(told));
  } else {
    for (Event& event : eventOf(message, instance.names)) instance.turn.push_back(std::move(event));
  }
}

}  // namespace lupinsill::simulator
