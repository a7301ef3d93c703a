#include "lab/plant.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <utility>

namespace lupinsill::lab {
namespace {

using session::Command;

// Timeout of repeatable joins under budget-over, short so that many time out and are retried.
constexpr Micros retriedJoinTimeout = 3'000;
// Timeout of non-repeatable joins under join-again and throttle-after-run, short so that many time out
// although they may have run.
constexpr Micros shortJoinTimeout = 5'000;
// Delay of an answer under answer-late.
constexpr Micros answerDelay = 5'500'000;
// Faults in commands act on every n-th one.
constexpr int faultInterval = 10;

// Wraps the control module and falsifies the events that it receives and the actions that it returns.
class FaultyDecider final : public session::Decider {
 public:
  FaultyDecider(std::string name, const ControlSettings& terms, std::uint64_t seed)
      : name_(std::move(name)), terms_(terms) {
    ControlSettings faultyTerms = terms;
    if (name_ == "seat-over")
      for (RoomType& room : faultyTerms.roomTypes) room.seats = 0;
    if (name_ == "budget-over") faultyTerms.retryBudget.reset();
    decider_ = std::make_unique<session::ControlDecider>(std::move(faultyTerms), seed);
  }

  void handle(Micros now, const std::vector<Event>& turn, std::vector<Action>& actions) override {
    std::vector<Event> events = turn;
    for (Event& event : events) {
      if (auto* update = std::get_if<ListUpdate>(&event)) applyDrainFault(*update);
      if (const auto* requested = std::get_if<SubscriptionRequested>(&event))
        rooms_[requested->viewing.sub] = requested->viewing.roomType;
      // The module sees results under the node that it chose, also where the fault sent the join elsewhere.
      if (auto* ended = std::get_if<JoinEnded>(&event))
        if (const auto it = sentTo_.find(ended->sub); it != sentTo_.end()) ended->node = it->second;
      if (auto* measured = std::get_if<MeasurementReported>(&event))
        if (const auto it = sentTo_.find(measured->sub); it != sentTo_.end()) measured->node = it->second;
      // Reports a join that may have run as refused, so that the module tries again.
      if (auto* ended = std::get_if<JoinEnded>(&event); ended != nullptr && name_ == "join-again")
        if (ended->outcome == Outcome::error || ended->outcome == Outcome::timeout ||
            ended->outcome == Outcome::reset)
          ended->outcome = Outcome::full;
    }
    const std::size_t from = actions.size();
    decider_->handle(now, events, actions);
    for (std::size_t i = from; i < actions.size(); ++i) applyFault(now, actions[i]);
  }

 private:
  void applyDrainFault(ListUpdate& update) {
    for (ListEntry& entry : update.entries) {
      if (name_ == "drain-ignored" && entry.state == NodeState::draining) {
        ignoredDrains_[entry.node] = true;
        entry.state = NodeState::ready;
      } else if (entry.state == NodeState::gone) {
        ignoredDrains_.erase(entry.node);
      }
      nodes_[entry.node] = entry;
    }
  }
  void applyFault(Micros now, Action& action) {
    if (auto* join = std::get_if<Join>(&action)) {
      sentTo_[join->sub] = join->node;
      if (name_ == "cold-burst")
        for (const auto& [id, entry] : nodes_)
          if (entry.state == NodeState::ready && entry.readyAt > 0 && now - entry.readyAt < terms_.coldTime)
            join->node = id;
      if (name_ == "drain-ignored")
        for (const auto& [id, entry] : nodes_)
          if (ignoredDrains_.contains(id)) join->node = id;
      const RoomType& room = terms_.roomTypes[static_cast<std::size_t>(rooms_[join->sub])];
      if (name_ == "budget-over" && room.effect == Effect::repeatable) join->timeout = retriedJoinTimeout;
      if (name_ == "join-again" && room.effect == Effect::once) join->timeout = shortJoinTimeout;
      if (name_ == "throttle-after-run" && room.effect == Effect::once) join->timeout = shortJoinTimeout;
    }
    if (auto* rung = std::get_if<SetRung>(&action); rung != nullptr && name_ == "floor-under") rung->rung = 0;
    if (const auto* end = std::get_if<Terminate>(&action); end != nullptr && name_ == "throttle-after-run")
      action = Throttle{end->sub, 0};
  }

  std::string name_;
  ControlSettings terms_;
  std::unique_ptr<session::ControlDecider> decider_;
  std::map<NodeId, ListEntry> nodes_;
  std::map<NodeId, bool> ignoredDrains_;
  std::map<SubscriptionId, int> rooms_;
  std::map<SubscriptionId, NodeId> sentTo_;
};

// Faults that a title names (src/client_script): the director dies, or closes the call, at a given step. It
// dies once per title: a marker file in its folder tells the restarted director that it already did.
struct TitleFaults {
  std::map<std::string, int> cutCount;
  std::minstd_rand chance{11};

  director::FaultAction operator()(director::FaultPoint step, const std::string& title) {
    const std::string faultName = title.substr(0, title.find('.'));
    static const std::map<std::string, director::FaultPoint> killSteps{
        {"kill-ask-read", director::FaultPoint::requestRead},
        {"kill-ask-decided", director::FaultPoint::requestDecided},
        {"kill-join-leaves", director::FaultPoint::joinSent},
        {"kill-join-began", director::FaultPoint::joinStarted},
        {"kill-answer-decided", director::FaultPoint::answerDecided},
    };
    if (const auto it = killSteps.find(faultName); it != killSteps.end() && it->second == step) {
      const std::string markerFile = "died-of-" + title;
      if (std::filesystem::exists(markerFile)) return director::FaultAction::none;
      std::ofstream(markerFile) << "once\n";
      raise(SIGKILL);
    }
    if (step == director::FaultPoint::requestRead &&
        (faultName == "all" || (faultName == "half" && chance() / 7 % 2 == 0)))
      return director::FaultAction::dropConnection;
    if (step == director::FaultPoint::requestRead && faultName == "refuse")
      return director::FaultAction::reject;
    const int maxCuts = faultName == "lose" || faultName == "lose-err" || faultName == "unheard" ? 1
                        : faultName == "twice"                                                   ? 2
                                                                                                 : 0;
    const auto cutStep =
        faultName == "unheard" ? director::FaultPoint::requestRead : director::FaultPoint::answerDecided;
    if (maxCuts == 0 || step != cutStep || cutCount[title] >= maxCuts) return director::FaultAction::none;
    ++cutCount[title];
    return director::FaultAction::dropConnection;
  }
};

bool isAnswer(const Command& command) {
  return std::holds_alternative<session::Playing>(command) ||
         std::holds_alternative<session::Throttled>(command) ||
         std::holds_alternative<session::Terminated>(command);
}

// Falsifies commands on their way from the session core to the sockets: every tenth one that a fault
// concerns.
struct CommandFault {
  explicit CommandFault(std::string faultName) : name(std::move(faultName)) {}
  std::string name;
  int matchingCommands = 0;
  session::JoinId nextJoin = 1'000'000'000;  // beyond the ids that the session core assigns
  std::vector<NodeId> knownNodes;
  std::deque<std::pair<Micros, Command>> delayed;

  void operator()(Micros now, std::vector<Command>& commands) {
    std::vector<Command> out;
    while (!delayed.empty() && delayed.front().first <= now) {
      out.push_back(std::move(delayed.front().second));
      delayed.pop_front();
    }
    for (Command& command : commands) {
      if (const auto* setUp = std::get_if<session::SetUp>(&command)) {
        if (std::find(knownNodes.begin(), knownNodes.end(), setUp->node) == knownNodes.end())
          knownNodes.push_back(setUp->node);
        if (name == "second-join" && ++matchingCommands % faultInterval == 0 && knownNodes.size() > 1) {
          session::SetUp second = *setUp;
          second.join = ++nextJoin;
          second.node = knownNodes[0] == setUp->node ? knownNodes[1] : knownNodes[0];
          out.emplace_back(second);
        }
      }
      if (isAnswer(command) && name.starts_with("answer-") && ++matchingCommands % faultInterval == 0) {
        if (name == "answer-lost") continue;
        if (name == "answer-late") {
          delayed.emplace_back(now + answerDelay, std::move(command));
          continue;
        }
        out.push_back(command);
      }
      out.push_back(std::move(command));
    }
    commands = std::move(out);
  }
};

}  // namespace

const std::vector<PlantedFault>& plantedFaults() {
  static const std::vector<PlantedFault> all{
      {"answer-lost", 1, "every tenth answer is not sent"},
      {"answer-late", 1, "every tenth answer is sent 5.5 s late"},
      {"answer-twice", 1, "every tenth answer is sent twice"},
      {"second-join", 2, "every tenth join goes to two nodes at once"},
      {"join-again", 2, "a paid join that may have run is sent again"},
      {"throttle-after-run", 2, "a paid request is throttled although its join may have run"},
      {"ledger-unused", 2, "paid requests are not recorded in the ledger, so a restart forgets them"},
      {"drain-ignored", 3, "a draining node counts as ready"},
      {"cold-burst", 4, "while a node is cold, every join goes there"},
      {"seat-over", 5, "seats are not counted"},
      {"floor-under", 5, "every rung is the lowest"},
      {"budget-over", 6, "repeatable joins time out after 3 ms and are retried without a budget"},
  };
  return all;
}

const PlantedFault* findPlantedFault(const std::string& name) {
  for (const PlantedFault& fault : plantedFaults())
    if (fault.name == name) return &fault;
  return nullptr;
}

director::FaultHooks hooksForFault(const std::string& name) {
  if (name == "titles" || name == "titles-unrecorded") {
    director::FaultHooks hooks;
    hooks.onFaultPoint = TitleFaults();
    hooks.ledgerEnabled = name == "titles";
    return hooks;
  }
  if (findPlantedFault(name) == nullptr)
    throw std::runtime_error("plant '" + name + "': see `lupinsill lab plants`");
  director::FaultHooks hooks;
  if (name == "second-join" || name.starts_with("answer-")) {
    hooks.alterCommands = CommandFault(name);
    return hooks;
  }
  if (name == "ledger-unused") {
    hooks.ledgerEnabled = false;
    return hooks;
  }
  hooks.guardsEnabled = false;
  hooks.makeDecider = [name](const ControlSettings& terms, std::uint64_t seed) {
    return std::make_unique<FaultyDecider>(name, terms, seed);
  };
  return hooks;
}

}  // namespace lupinsill::lab
