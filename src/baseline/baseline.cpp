// A policy that takes one ready holder after another without regard to load.
#include "baseline/baseline.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace lupinsill::baseline {
namespace {

constexpr Micros minTimeLeft = 60'000;   // no join is started with less time until the deadline
constexpr Micros joinTimeout = 500'000;  // of a join after which another one is possible
constexpr Micros retryAfter = 500'000;   // for throttled viewers, unless the settings limit it further

// Tries one holder after another, in order of the node id or at random.
class PlainPolicy final : public session::Decider {
 public:
  PlainPolicy(ControlSettings settings, std::uint64_t seed, bool random)
      : settings_(std::move(settings)),
        random_(random),
        engine_(static_cast<unsigned>(seed % 2147483646 + 1)) {}

  void handle(Micros now, const std::vector<Event>& turn, std::vector<Action>& actions) override {
    now_ = now;
    actions_ = &actions;
    for (const Event& event : turn) {
      if (const auto* update = std::get_if<ListUpdate>(&event)) applyList(*update);
      if (const auto* request = std::get_if<SubscriptionRequested>(&event)) {
        Subscription& subscription = subscriptions_[request->viewing.sub];
        subscription.info = request->viewing;
        place(subscription);
      }
      if (const auto* started = std::get_if<JoinStarted>(&event))
        if (const auto it = subscriptions_.find(started->sub); it != subscriptions_.end())
          it->second.plays = true;
      if (const auto* ended = std::get_if<JoinEnded>(&event)) endJoin(*ended);
      if (const auto* abandoned = std::get_if<SubscriptionAbandoned>(&event)) abandon(abandoned->sub);
    }
  }

 private:
  struct Subscription {
    SubscriptionInfo info;
    std::vector<NodeId> tried;
    int joins = 0;  // started so far
    bool joining = false, plays = false, mayHaveRun = false;
  };
  const RoomType& room(const Subscription& subscription) const {
    return settings_.roomTypes[static_cast<std::size_t>(subscription.info.roomType)];
  }
  void applyList(const ListUpdate& update) {
    if (update.kind == ListKind::snapshot || update.kind == ListKind::cachedSnapshot) nodes_.clear();
    for (const ListEntry& entry : update.entries) {
      if (entry.state == NodeState::ready)
        nodes_[entry.node] = entry.cell;
      else
        nodes_.erase(entry.node);
    }
  }
  void place(Subscription& subscription) {
    const int cells = std::max(1, settings_.cells);
    std::vector<NodeId> holders;
    for (const auto& [node, cell] : nodes_) {
      const int offset = ((cell - subscription.info.firstCell) % cells + cells) % cells;
      const bool tried =
          std::find(subscription.tried.begin(), subscription.tried.end(), node) != subscription.tried.end();
      if (offset < subscription.info.holders && !tried) holders.push_back(node);
    }
    const bool mayJoin = subscription.joins == 0 ||
                         (!subscription.mayHaveRun || room(subscription).effect == Effect::repeatable);
    // Seats and the retry budget are left to the guards.
    if (holders.empty() || !mayJoin || subscription.joins >= settings_.maxJoins ||
        subscription.info.deadline - now_ < minTimeLeft)
      return giveUp(subscription);
    const NodeId node = holders[random_ ? engine_() % holders.size() : 0];
    subscription.tried.push_back(node);
    ++subscription.joins;
    subscription.joining = true;
    actions_->push_back(SetRung{subscription.info.sub, room(subscription).floor});
    const Micros timeLeft = subscription.info.deadline - now_;
    const bool lastJoin =
        room(subscription).effect != Effect::repeatable || subscription.joins >= settings_.maxJoins;
    actions_->push_back(
        Join{subscription.info.sub, node, lastJoin ? 0 : std::min(timeLeft, Micros{joinTimeout})});
  }
  void giveUp(const Subscription& subscription) {
    const SubscriptionId id = subscription.info.sub;
    if (!subscription.mayHaveRun || room(subscription).effect == Effect::repeatable)
      actions_->push_back(Throttle{id, std::min(settings_.maxRetryAfter, Micros{retryAfter})});
    else
      actions_->push_back(Terminate{id});
    subscriptions_.erase(id);
  }
  void endJoin(const JoinEnded& ended) {
    const auto it = subscriptions_.find(ended.sub);
    if (it == subscriptions_.end()) return;
    Subscription& subscription = it->second;
    subscription.joining = false;
    if (ended.outcome != Outcome::full && ended.outcome != Outcome::connectFailed &&
        ended.outcome != Outcome::notSent)
      subscription.mayHaveRun = true;
    if (ended.settled || subscription.plays) return void(subscriptions_.erase(it));
    place(subscription);
  }
  void abandon(SubscriptionId id) {
    const auto it = subscriptions_.find(id);
    if (it == subscriptions_.end()) return;
    if (!it->second.joining) return void(subscriptions_.erase(it));
    if (!it->second.plays && settings_.cancelling) actions_->push_back(CancelJoin{id, it->second.joins - 1});
  }

  ControlSettings settings_;
  bool random_;
  std::minstd_rand engine_;
  Micros now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  std::map<NodeId, int> nodes_;  // ready nodes, with their cells
  std::map<SubscriptionId, Subscription> subscriptions_;
};

}  // namespace

std::vector<std::string> policyNames() { return {"first-open", "random-lowest"}; }

std::unique_ptr<session::Decider> makePolicy(const std::string& name, const ControlSettings& settings,
                                             std::uint64_t seed) {
  if (name == "first-open") return std::make_unique<PlainPolicy>(settings, seed, false);
  if (name == "random-lowest") return std::make_unique<PlainPolicy>(settings, seed, true);
  return nullptr;
}

}  // namespace lupinsill::baseline
