#include "baseline/baseline.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace lupinsill::baseline {
namespace {

class Plain final : public session::Decider {
 public:
  Plain(ControlSettings terms, std::uint64_t seed, bool random)
      : terms_(std::move(terms)), random_(random), chance_(static_cast<unsigned>(seed % 2147483646 + 1)) {}

  void handle(Micros now, const std::vector<Event>& turn, std::vector<Action>& actions) override {
    now_ = now;
    out_ = &actions;
    for (const Event& event : turn) {
      if (const auto* told = std::get_if<ListUpdate>(&event)) list(*told);
      if (const auto* request = std::get_if<SubscriptionRequested>(&event)) {
        Held& held = subs_[request->viewing.sub];
        held.viewing = request->viewing;
        place(held);
      }
      if (const auto* began = std::get_if<JoinStarted>(&event))
        if (const auto it = subs_.find(began->sub); it != subs_.end()) it->second.plays = true;
      if (const auto* ended = std::get_if<JoinEnded>(&event)) end(*ended);
      if (const auto* lapsed = std::get_if<SubscriptionAbandoned>(&event)) lapse(lapsed->sub);
    }
  }

 private:
  struct Held {
    SubscriptionInfo viewing;
    std::vector<NodeId> tried;
    int joins = 0;
    bool out = false, plays = false, mayHaveRun = false;
  };
  const RoomType& room(const Held& held) const {
    return terms_.roomTypes[static_cast<std::size_t>(held.viewing.roomType)];
  }
  void list(const ListUpdate& told) {
    if (told.kind == ListKind::snapshot || told.kind == ListKind::cachedSnapshot) nodes_.clear();
    for (const ListEntry& entry : told.entries) {
      if (entry.state == NodeState::ready)
        nodes_[entry.node] = entry.cell;
      else
        nodes_.erase(entry.node);
    }
  }
  void place(Held& held) {
    const int cells = std::max(1, terms_.cells);
    std::vector<NodeId> holders;
    for (const auto& [node, cell] : nodes_) {
      const int offset = ((cell - held.viewing.firstCell) % cells + cells) % cells;
      const bool tried = std::find(held.tried.begin(), held.tried.end(), node) != held.tried.end();
      if (offset < held.viewing.holders && !tried) holders.push_back(node);
    }
    const bool again = held.joins == 0 || (!held.mayHaveRun || room(held).effect == Effect::repeatable);
    // Plain policies know of seats and budgets only by what the guards hold back.
    if (holders.empty() || !again || held.joins >= terms_.maxJoins || held.viewing.deadline - now_ < 60'000)
      return giveUp(held);
    const NodeId node = holders[random_ ? chance_() % holders.size() : 0];
    held.tried.push_back(node);
    ++held.joins;
    held.out = true;
    out_->push_back(SetRung{held.viewing.sub, room(held).floor});
    const Micros left = held.viewing.deadline - now_;
    const bool last = room(held).effect != Effect::repeatable || held.joins >= terms_.maxJoins;
    out_->push_back(Join{held.viewing.sub, node, last ? 0 : std::min<Micros>(left, 500'000)});
  }
  void giveUp(const Held& held) {
    const SubscriptionId sub = held.viewing.sub;
    if (!held.mayHaveRun || room(held).effect == Effect::repeatable)
      out_->push_back(Throttle{sub, std::min<Micros>(terms_.maxRetryAfter, 500'000)});
    else
      out_->push_back(Terminate{sub});
    subs_.erase(sub);
  }
  void end(const JoinEnded& ended) {
    const auto it = subs_.find(ended.sub);
    if (it == subs_.end()) return;
    Held& held = it->second;
    held.out = false;
    if (ended.outcome != Outcome::full && ended.outcome != Outcome::connectFailed &&
        ended.outcome != Outcome::notSent)
      held.mayHaveRun = true;
    if (ended.settled || held.plays) return void(subs_.erase(it));
    place(held);
  }
  void lapse(SubscriptionId sub) {
    const auto it = subs_.find(sub);
    if (it == subs_.end()) return;
    if (!it->second.out) return void(subs_.erase(it));
    if (!it->second.plays && terms_.cancelling) out_->push_back(CancelJoin{sub, it->second.joins - 1});
  }

  ControlSettings terms_;
  bool random_;
  std::minstd_rand chance_;
  Micros now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::map<NodeId, int> nodes_;
  std::map<SubscriptionId, Held> subs_;
};

}  // namespace

std::vector<std::string> policyNames() { return {"first-open", "random-lowest"}; }

std::unique_ptr<session::Decider> makePolicy(const std::string& name, const ControlSettings& terms,
                                             std::uint64_t seed) {
  if (name == "first-open") return std::make_unique<Plain>(terms, seed, false);
  if (name == "random-lowest") return std::make_unique<Plain>(terms, seed, true);
  return nullptr;
}

}  // namespace lupinsill::baseline
