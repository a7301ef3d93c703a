// Dispatches the messages of a batch to the decision modules and collects their actions.
#include "host.h"

#include <utility>

namespace lupinsill::simulator {

std::string Host::handleBatch(const std::string& line) {
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
  const Micros now = parseWallClock(batch["wallNs"]);
  Json out = Json::array();
  std::size_t index = 0;
  for (const Json& message : batch["inbox"]) {
    try {
      handleMessage(message);
    } catch (const InvalidInput& e) {
      throw InvalidInput("inbox[" + std::to_string(index) + "]: " + e.what());
    }
    ++index;
  }
  for (auto& [instanceId, instance] : instances_) {
    if (instance.pendingEvents.empty()) continue;
    std::vector<Action> actions;
    instance.control.handle(now, instance.pendingEvents, actions);
    instance.pendingEvents.clear();
    for (const Action& action : actions) out.push_back(serializeAction(instanceId, action));
  }
  return Json{{"out", std::move(out)}}.dump();
}

void Host::handleMessage(const Json& array) {
  const Message message(array);
  if (message.name() == "Page") {
    const std::int64_t buffer = message.integer(1, "buffer");
    if (buffer < 0 || buffer >= static_cast<std::int64_t>(listBuffers_.size()))
      throw InvalidInput("buffer: out of range");
    validateListEntries(message.value(2));
    listBuffers_[static_cast<std::size_t>(buffer)] = message.value(2);
    return;
  }
  if (!isKnownEvent(message.name())) throw InvalidInput("unknown event '" + message.name() + "'");
  const std::int64_t instanceId = message.integer(1, "who");
  if (message.name() == "OpenInstance") {
    if (!message.value(2).is_number_integer()) throw InvalidInput("seed: not a whole number");
    Names names;
    ControlSettings settings = control_settings::parseControlSettings(message.value(3), names);
    instances_.erase(instanceId);
    instances_.emplace(
        instanceId,
        Instance{std::move(names), Control(std::move(settings), message.value(2).get<std::uint64_t>()), {}});
    return;
  }
  const auto it = instances_.find(instanceId);
  if (it == instances_.end()) throw InvalidInput("who: no instance " + std::to_string(instanceId) + " runs");
  if (message.name() == "Stop") {
    instances_.erase(it);
    return;
  }
  Instance& instance = it->second;
  if (message.name() == "BackendsChanged") {
    ListUpdate update{parseListKind(message.text(2, "kind")), {}};
    if (update.kind != ListKind::lost) {
      const std::int64_t buffer = message.integer(4, "buffer");
      if (buffer < 0 || buffer >= static_cast<std::int64_t>(listBuffers_.size()) ||
          listBuffers_[static_cast<std::size_t>(buffer)].is_null())
        throw InvalidInput("buffer: no such list");
      update.entries = parseListEntries(listBuffers_[static_cast<std::size_t>(buffer)], instance.names);
    }
    instance.pendingEvents.push_back(std::move(update));
  } else {
    for (Event& event : parseEvents(message, instance.names))
      instance.pendingEvents.push_back(std::move(event));
  }
}

}  // namespace lupinsill::simulator
