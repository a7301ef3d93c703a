// Decides which media node a subscription joins, at which rung, and when a request is throttled or
// terminated.
//
// The module consists of actors: the scheduler, the media nodes and the racks. Each has a mailbox, and actors
// call one another only by messages, which the dispatcher delivers in the order in which they were sent.
// Control::handle (control.h) resolves the ids of each event, sends messages to the actors concerned and runs
// the dispatcher until all mailboxes are empty. Actions are appended to the caller's list.
//
// "Use" is the data rate asked of a link or rack uplink divided by its capacity. "Own" load is the load of
// this director's subscriptions; other directors place subscriptions on the same nodes without coordination.
#include "control.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>

namespace lupinsill {
namespace {

constexpr Micros millisecond = 1'000;
constexpr Micros second = 1'000 * millisecond;

// Thresholds on use. A node's gate closes above the high mark and opens again below the low mark.
constexpr double highMark = 0.98;
constexpr double lowMark = 0.9;
constexpr double stepDownTarget = 0.94;  // above the high mark, rungs are lowered until use is back here
constexpr double idleMark = 0.8;         // below it, rungs of playing subscriptions are raised
constexpr double stepUpTarget = 0.85;    // rungs are raised until use reaches this
constexpr double overloadMark = 1.08;    // above it the shortage costs more than frequent rung changes do
constexpr double priorLinkUse = 0.5;     // assumed of a link while no link has been measured
constexpr double maxMeasuredUse = 20;  // higher measurements are cut; short delivery implies at most as much

// Short delivery: the share of its data rate that a subscription receives is below fullDeliveredShare.
constexpr double fullDeliveredShare = 0.98;
constexpr double minDeliveredShare = 0.05;  // bounds the use that short delivery implies
constexpr double maxShareSpread = 0.15;  // nodes behind a full uplink deliver short by about the same share
constexpr double hangingDeliveredShare = 0.2;  // at or below it the node seems to hang
constexpr double explainingLinkUse = 0.95;     // at or above it the link itself explains short delivery
// Use of a link is inferred from delivered shares in this range, unless a recent measurement shows less than
// nearlyFullUse.
constexpr double minShareToInferFrom = 0.4;
constexpr double maxShareToInferFrom = 0.97;
constexpr double nearlyFullUse = 0.9;

// Hysteresis of the gate: how long use must stay beyond a mark before the gate closes or opens.
constexpr Micros closeDelay = 400 * millisecond;  // short: measurements are seconds old when they arrive
constexpr Micros openDelay = 200 * millisecond;   // short: 10 s would be a quarter of a subscription's life

// Between two rung changes of one subscription; half of it above the overload mark.
constexpr Micros stepInterval = 8 * second;
constexpr Micros minSetUpTime = 300 * millisecond;  // a join is given at least this long to start
constexpr Micros minTimeToJoin = 50 * millisecond;  // no join is sent closer to the client timeout

constexpr Micros quotaWindow = 5 * second;
constexpr double quotaTolerance = 1.5;     // multiple of its even part of a quota that a director may receive
constexpr double retryBudgetMargin = 0.9;  // part of the share in the retry budget that is used
constexpr Micros reconnectGrace = 30 * second;  // viewers whose subscription broke pass a closed gate
constexpr Micros fullBackoff = 4 * second;      // doubles while a node stays full, up to reconnectGrace
constexpr Micros failureWindow = 20 * second;   // in which failures count as recent
constexpr int maxEjectionLevel = 5;             // bounds the doubling of ejection times
constexpr double spareShare = 0.5;   // part of a node's spare capacity given to newcomers per second
constexpr double rateMargin = 0.15;  // titles may exceed the data rate of their rung by this part
constexpr double concurrentUplinkArrivals = 2;  // newcomers that may meet at one uplink

// Slow start of cold nodes.
constexpr Micros arrivalWindow = 30 * second;    // in which the requests for a cell are counted
constexpr double targetSetUpsPerInterval = 0.5;  // of all directors together; random arrivals cluster
constexpr double drawsPerRequest = 4;  // two holders are drawn, and half of the holders may be closed

constexpr Micros playedTitleRetention = 120 * second;   // how long a title counts as one that has played
constexpr Micros outcomeReportAge = 300 * millisecond;  // typical age of a load report sent with an outcome
constexpr Micros estimateDecay = 10 * second;  // in which an estimate that is not renewed loses its weight
// Window of the mean use of recently measured links; half the report interval if that is longer.
constexpr Micros minMeanUseWindow = 3 * second;

constexpr Micros tickInterval = 200 * millisecond;
constexpr Micros listRetryDelay = second;             // before the list is requested again after a failure
constexpr Micros meanRetryAfter = 500 * millisecond;  // of the retry delays that are told to viewers
constexpr double goldenRatioFraction = 0.618034;  // multiples of it modulo 1 are evenly spread over 0 to 1

// The sum of the amounts added within a sliding window of time. The window is divided into buckets, which are
// reused in a ring.
template <int Buckets>
class SlidingWindowSum {
 public:
  explicit SlidingWindowSum(Micros window) : width_(std::max<Micros>(1, window / Buckets)) {}
  void add(Micros now, double amount) {
    advance(now);
    sums_[slot(bucket_)] += amount;
  }
  // Sums what was added within the last `age`, at most the window.
  double sum(Micros now, Micros age = 3600 * second) {
    advance(now);
    double total = 0;
    // Bucket numbers below zero do not exist: the clock may have started less than a window ago.
    for (Micros b = bucket_; b >= 0 && b > std::max((now - age) / width_, bucket_ - Buckets - 1); --b)
      total += sums_[slot(b)];
    return total;
  }

 private:
  static std::size_t slot(Micros bucket) { return static_cast<std::size_t>(bucket % (Buckets + 1)); }
  // Clears the buckets that have left the window.
  void advance(Micros now) {
    const Micros current = now / width_;
    if (current - bucket_ > Buckets) sums_.fill(0);
    while (bucket_ < current) {
      if (current - bucket_ > Buckets) bucket_ = current - Buckets - 1;
      sums_[slot(++bucket_)] = 0;
    }
  }
  Micros width_;
  Micros bucket_ = 0;
  std::array<double, Buckets + 1> sums_{};
};

struct Node;
struct Cell;
struct Rack;
struct Subscription;

// A media node's reply to a CandidateQuery: whether it could take the subscription, and at which rung.
struct Candidate {
  Subscription* subscription = nullptr;
  Node* node = nullptr;
  bool open = false;             // its gate is open for this subscription
  bool eligible = false;         // may serve it, is not ejected and, where cold, slow start allows a join now
  bool noRecentFailure = false;  // no join has failed there within the failure window
  bool sameZone = false;         // in this director's zone
  bool exceedsSpareShare = false;  // the newcomers of this second already use up the spare share
  double use = 0;
  int rung = 0;
};

// A viewer's subscription, from the request to the end of its last join.
struct Subscription {
  SubscriptionId id = 0;
  const RoomType* room = nullptr;
  int roomIndex = 0;
  SubscriptionInfo info;
  Node* currentNode = nullptr;     // where a join is pending or the subscription plays
  Node* mayHaveRunNode = nullptr;  // target of the last join that may have run; restricts further joins
  Micros mayHaveRunSentAt = 0;     // when that join was sent
  Micros joinSentAt = 0;
  Micros startedAt = 0;
  Micros steppedAt = 0;  // the last rung change decided here
  std::vector<Node*> triedNodes;
  std::size_t awaitedCandidates = 0;  // queried nodes
  std::vector<Candidate> candidates;  // replies received so far
  int joinsSent = 0;
  int rung = 0;
  double chargedKb = 0;  // data rate counted for it at its node
  bool playing = false;
  bool answered = false;  // started or abandoned: no further join and no answer follows
  bool hasReconnectGrace = false;
  bool overQuota = false;           // its tenant sends more than its quota
  bool hasLinkMeasurement = false;  // the link measurement sent at set-up has arrived
  bool titleHadPlayed = false;      // its title had played before its join was sent
};

// ---- Messages ----

// Scheduler to node: asks whether the node could take a subscription.
struct CandidateQuery {
  Subscription* subscription;
  double fallbackLinkUse;  // mean of the recent measurements of other nodes, for a node without its own
  double fallbackUplinkUse;
  double recentArrivals;  // requests within arrivalWindow that could have gone to the node's cell
};
// Scheduler to node: a subscription joins the node, or was adopted while it played there.
struct Assign {
  Subscription* subscription;
  int rung;
  bool adopted;
};
// To the node: a join has started to play.
struct JoinSucceeded {};
// To the node, then to the scheduler: a join or a playing subscription has ended.
struct AssignmentEnded {
  Subscription* subscription;
  Outcome outcome;
  LoadReport report;
  bool settled;
};
// To the node: a measurement made by one of its subscriptions.
struct Measurement {
  Subscription* subscription;
  MeasurementKind kind;
  double value;
};
// To the node: its entry in the node list.
struct ListEntryUpdated {
  std::optional<ListEntry> entry;  // empty: a complete list does not name the node
};
// Rack to node: the estimated use of the uplink.
struct UplinkEstimate {
  std::optional<double> use;
  Micros adjustRungsFor;  // time of the measurement to adjust rungs for; 0: no adjustment
};
// Node to rack: the own load on the uplink has changed.
struct UplinkLoadChanged {
  Node* node;
  double changeKb;
};
// Node to scheduler: use of a link or uplink was measured.
struct UseMeasured {
  MeasurementKind kind;
  double use;
};
// Node to rack: the share of its data rate that a subscription received.
struct DeliveryMeasured {
  Node* node;
  double deliveredShare;
  bool explainedByLink;  // not evidence about the uplink
};
// Node to rack: use of the uplink was measured.
struct UplinkMeasured {
  double use;
  Micros age;
  Node* source;  // node whose load report is complete with this measurement; null: none
};
// To the scheduler: a new subscription to place.
struct RequestReceived {
  Subscription* subscription;
};

using Message = std::variant<CandidateQuery, UseMeasured, Assign, JoinSucceeded, AssignmentEnded, Measurement,
                             ListEntryUpdated, UplinkEstimate, UplinkLoadChanged, UplinkMeasured,
                             DeliveryMeasured, RequestReceived, Candidate>;

struct Dispatcher;

// A participant that reacts to the messages in its mailbox, one at a time.
struct Actor {
  explicit Actor(Dispatcher& shared) : dispatcher(shared) {}
  virtual ~Actor() = default;
  virtual void receive(const Message& message) = 0;
  Dispatcher& dispatcher;
  std::deque<Message> mailbox;
};

// Delivers messages in the order in which they were sent, and holds the settings and the clock that all
// actors share.
struct Dispatcher {
  explicit Dispatcher(ControlSettings initial, std::uint64_t seed)
      : settings(sanitized(std::move(initial))),
        random(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
        retryAfterSchedule(settings) {
    const std::size_t steps = settings.ladderKb.size() - 1;
    for (const RoomType& room : settings.roomTypes)
      for (std::size_t rung = 0; rung < steps; ++rung)
        meanBenefitPerKb += benefitPerKb(room, rung) / static_cast<double>(steps * settings.roomTypes.size());
  }
  void send(Actor& to, Message message) {
    to.mailbox.push_back(std::move(message));
    pending.push_back(&to);
  }
  void deliverAll() {
    while (!pending.empty()) {
      Actor& actor = *pending.front();
      pending.pop_front();
      const Message message = std::move(actor.mailbox.front());
      actor.mailbox.pop_front();
      actor.receive(message);
    }
  }
  // Guards against impossible settings: values that are divided by or used as an index are brought into
  // range.
  static ControlSettings sanitized(ControlSettings s) {
    if (s.ladderKb.empty()) s.ladderKb = {1};
    s.rungBenefit.resize(s.ladderKb.size(), s.rungBenefit.empty() ? 1 : s.rungBenefit.back());
    const int last = static_cast<int>(s.ladderKb.size()) - 1;
    for (RoomType& room : s.roomTypes)
      room.floor = std::clamp(room.floor, 0, last), room.top = std::clamp(room.top, room.floor, last);
    s.directors = std::max(1, s.directors);
    s.ordinal = std::clamp(s.ordinal, 0, s.directors - 1);
    s.startCapacity = std::max(1e-3, s.startCapacity);
    s.overloadFactor = std::max(1e-3, s.overloadFactor);
    return s;
  }
  // How long a join may take to start. A longer one leaves too little of the join objective for another join.
  static Micros maxSetUpTime(const RoomType& room) {
    return std::max(Micros{minSetUpTime}, room.joinObjective / 2);
  }
  // How long a measurement stays valid: three report intervals plus the delay of reports.
  Micros measurementLifetime() const {
    return 3 * std::max(settings.reportInterval, second) + settings.seenAfter;
  }
  // Load changes are kept for as long as a measurement may be delayed.
  Micros loadHistoryWindow() const { return 2 * std::max(settings.seenAfter, second); }
  // Benefit of the step from rung to rung + 1, divided by its data rate.
  double benefitPerKb(const RoomType& room, std::size_t rung) const {
    const double stepKb = (settings.ladderKb[rung + 1] - settings.ladderKb[rung]) * room.rateFactor;
    return std::max(1e-9,
                    room.benefit * (settings.rungBenefit[rung + 1] - settings.rungBenefit[rung]) / stepKb);
  }
  ControlSettings settings;
  std::minstd_rand random;
  RetryAfterSchedule retryAfterSchedule;
  Micros now = 0;
  Micros startedAt = 0;
  Micros resumedAt = 0;         // the end of the last stall, in which this director processed no events
  double maxReadySlots = 0;     // most slots of nodes that were ready at the same time
  double linkKbPerSlot = 0;     // the capacity of all links divided by maxReadySlots
  double meanBenefitPerKb = 0;  // of a step, over all room types and rungs
  std::vector<Action>* actions = nullptr;
  std::deque<Actor*> pending;  // one entry for each undelivered message
};

// The use of a link or uplink, estimated from its last measurement and the change of the own load since.
struct UseEstimate {
  double use = 0;
  double ownKbThen = 0;  // own load at the time of measurement
  Micros receivedAt = 0;
  Micros measuredAt = 0;
  bool known = false;

  // A measurement that is not renewed decays towards the fallback, as if the link had never been measured,
  // but to below the low mark, so that a closed gate opens in the end. Each director starts to forget at its
  // own time: otherwise all of them would try a full node at once.
  double current(const Dispatcher& dispatcher, double ownKb, double capacityKb, double fallback,
                 Micros decay = estimateDecay) const {
    const Micros validFor = dispatcher.measurementLifetime() +
                            estimateDecay * dispatcher.settings.ordinal / dispatcher.settings.directors;
    const double decayed = std::clamp(
        static_cast<double>(dispatcher.now - receivedAt - validFor) / static_cast<double>(decay), 0.0, 1.0);
    const double measured = std::max(0.0, use + (ownKb - ownKbThen) / capacityKb);
    return known ? measured + decayed * (std::min(fallback, 0.9 * lowMark) - measured) : fallback;
  }
};

// The nodes behind one uplink, and the estimated use of that uplink.
struct Rack : Actor {
  explicit Rack(Dispatcher& shared) : Actor(shared), loadChanges(shared.loadHistoryWindow()) {}
  struct AttachedNode {
    Node* node = nullptr;
    double ownKb = 0;
    double deliveredShare = 1;  // 1 where the node's own link explains a shortage
    Micros reportedAt = 0;
    bool recovering = false;  // the share is smoothed by its sender: while it rises, the shortage is over
  };
  std::vector<AttachedNode> nodes;
  UseEstimate estimate;
  SlidingWindowSum<64> loadChanges;  // relates a delayed measurement to the own load at its time
  double ownKb = 0;
  bool inferred = false;  // the estimate is inferred from short delivery, not measured

  double capacityKb() const { return std::max(1.0, dispatcher.settings.rackUplinkKb); }
  std::optional<double> use() const {
    // No measurement tells when an uplink with an inferred estimate has capacity again: it decays slowly, so
    // that load returns little by little.
    if (estimate.known)
      return estimate.current(dispatcher, ownKb, capacityKb(), ownKb / capacityKb(),
                              (inferred ? 5 : 1) * estimateDecay);
    return std::nullopt;
  }
  void receive(const Message& message) override;
  AttachedNode& attached(const Node* node) {
    return *std::find_if(nodes.begin(), nodes.end(), [&](const AttachedNode& a) { return a.node == node; });
  }
  bool inferUseFromDelivery();
  void publishUse(const Node* source, bool adjustAll);
};

// A media node: the load of this director's subscriptions on it, its gate, its health and its slow start.
struct Node : Actor {
  Node(Dispatcher& shared, Actor& owner, NodeId id)
      : Actor(shared), scheduler(&owner), loadChanges(shared.loadHistoryWindow()) {
    listEntry.node = id, listEntry.state = NodeState::gone;
  }
  Actor* scheduler;
  ListEntry listEntry;  // as last received, but readyAt never moves back
  Rack* rack = nullptr;
  Cell* cell = nullptr;  // the cell that names it
  Micros goneAt = 0;

  std::vector<Subscription*> subscriptions;
  double ownKb = 0;
  SlidingWindowSum<64> loadChanges;  // relates a delayed measurement to the own load at its time
  UseEstimate linkEstimate;
  std::optional<double> reportedUplinkUse;  // as last received from its rack
  double fallbackLinkUse = priorLinkUse;    // as last received with a query
  double fallbackUplinkUse = 0;
  double deliveredShare = 1;  // as last measured
  Micros deliveredAt = 0;     // when that measurement arrived
  bool gateClosed = false;
  Micros pastMarkSince = 0;  // since when use is beyond the mark at which the gate turns; 0: it is not
  SlidingWindowSum<10> admittedKb{second};
  int ejectionLevel = 0;    // ejections double with it; above 0 the node takes one trial join at a time
  int consecutiveFull = 0;  // joins refused as full since the last success
  SlidingWindowSum<10> recentFailures{failureWindow};
  Micros ejectedUntil = 0;
  Micros suspectedCrashAt = 0;  // its process seems to have died: the next one starts cold
  Micros assignedAt = 0;        // when a join was last sent to it
  Micros rungsAdjustedAt = 0;

  const ControlSettings& settings() const { return dispatcher.settings; }
  int slots() const { return settings().slotsOf(listEntry.kind); }
  bool cold() const {
    return dispatcher.now - std::max(listEntry.readyAt, suspectedCrashAt) < settings().coldTime;
  }
  // The part of its full capacity that a cold node has; grows linearly to 1 over the cold time.
  double slowStartFactor() const {
    const double age =
        std::max(0.0, static_cast<double>(dispatcher.now - std::max(listEntry.readyAt, suspectedCrashAt)));
    if (!cold()) return 1;
    return settings().startCapacity +
           (1 - settings().startCapacity) * age / static_cast<double>(settings().coldTime);
  }
  // Capacity of the link. Slots are preferred to weights, which may be missing or inexact: the slots of a
  // kind of node are in proportion to its link.
  double capacityKb() const {
    const double full = dispatcher.linkKbPerSlot > 0 ? dispatcher.linkKbPerSlot * slots()
                                                     : settings().weightKb * listEntry.weight;
    return std::max(1.0, full * slowStartFactor());
  }
  double rateKb(const Subscription& sub, int rung) const {
    return settings().ladderKb[static_cast<std::size_t>(rung)] * sub.room->rateFactor;
  }
  double linkUse() const;
  double uplinkUse() const { return reportedUplinkUse.value_or(fallbackUplinkUse); }
  double use() const { return std::max(linkUse(), uplinkUse()); }
  bool deliversShort() const {
    return deliveredShare < fullDeliveredShare &&
           dispatcher.now - deliveredAt < 2 * second + settings().seenAfter;
  }
  void inferLinkUseFromDelivery(double previousShare);
  void changeRung(Subscription& sub, int rung);
  // Delivery is short though the link is not full and the node neither hangs nor is cold.
  bool shortfallUnexplained() const {
    return deliversShort() && deliveredShare > hangingDeliveredShare && linkUse() < explainingLinkUse &&
           !cold();
  }
  void setCharge(Subscription& sub, double chargeKb);
  bool slowStartAllows(const CandidateQuery& query);
  bool healthy() const;
  bool hasPendingSetUp() const {
    return std::any_of(subscriptions.begin(), subscriptions.end(),
                       [](const Subscription* sub) { return !sub->playing; });
  }
  bool measuredOrDueForProbe() const;
  bool mayServe(const Subscription& sub) const;
  void updateGate();
  void recordFailure();
  void recordLinkUse(double measuredUse, Micros age);
  void recordUplinkUse(double measuredUse, Micros age, Node* source);
  void adjustRungs(Micros measuredAt);
  void receive(const Message& message) override;
  void sendCandidate(const CandidateQuery& query);
  double spareKbUnder(double mark) const;
  void assign(Subscription& sub, int rung, bool adopted);
  void release(Subscription& sub, Outcome outcome, const LoadReport& report);
  void handleMeasurement(Subscription& sub, MeasurementKind kind, double value);
  void updateListEntry(const std::optional<ListEntry>& entry);
};

// The ready nodes of one cell, and the recent requests that they could have taken.
struct Cell {
  std::vector<Node*> nodes;
  SlidingWindowSum<10> arrivals{arrivalWindow};
};

// Owns the subscriptions, nodes and racks, and decides where each subscription joins.
struct Scheduler : Actor {
  explicit Scheduler(Dispatcher& shared)
      : Actor(shared),
        linkUseSum(std::max(minMeanUseWindow, shared.settings.reportInterval / 2)),
        linkUseCount(linkUseSum),
        uplinkUseSum(linkUseSum),
        uplinkUseCount(linkUseSum),
        requests(shared.settings.retryBudget ? shared.settings.retryBudget->window : second),
        retries(shared.settings.retryBudget ? shared.settings.retryBudget->window : second) {}
  std::map<SubscriptionId, std::unique_ptr<Subscription>> subscriptions;
  std::map<NodeId, std::unique_ptr<Node>> nodes;
  std::map<int, std::unique_ptr<Rack>> racks;
  std::map<int, Cell> cells;
  std::map<std::pair<std::string, int>, int> seatsInUse;  // by title and room type
  std::map<std::string, Micros> playedTitles;             // when a subscription to the title last started
  std::map<std::string, Micros> reconnectGraceUntil;      // by viewer whose subscription broke
  std::map<int, SlidingWindowSum<10>> partyRequests;
  SlidingWindowSum<10> linkUseSum, linkUseCount, uplinkUseSum, uplinkUseCount;
  SlidingWindowSum<20> requests;
  SlidingWindowSum<20> retries;

  Micros now() const { return dispatcher.now; }
  void emit(Action action) { dispatcher.actions->push_back(std::move(action)); }
  void receive(const Message& message) override;
  void handleRequest(Subscription& sub);
  void queryCandidates(Subscription& sub);
  void chooseCandidate(Subscription& sub);
  void sendJoin(Subscription& sub, const Candidate& candidate);
  void handleAssignmentEnded(Subscription& sub, Outcome outcome, bool settled);
  void reject(Subscription& sub);
  bool mayJoin(const Subscription& sub);
  Micros joinTimeout(const Subscription& sub);
  int& seatCount(const Subscription& sub) { return seatsInUse[{sub.info.title, sub.roomIndex}]; }
};

// ---- Rack ----

void Rack::receive(const Message& message) {
  if (const auto* change = std::get_if<UplinkLoadChanged>(&message)) {
    attached(change->node).ownKb += change->changeKb;
    ownKb += change->changeKb;
    loadChanges.add(dispatcher.now, change->changeKb);
  } else if (const auto* measured = std::get_if<UplinkMeasured>(&message)) {
    estimate = {measured->use, ownKb - loadChanges.sum(dispatcher.now, measured->age), dispatcher.now,
                dispatcher.now - measured->age, true};
    inferred = false;
    return publishUse(measured->source, measured->use > highMark);
  } else if (const auto* delivery = std::get_if<DeliveryMeasured>(&message)) {
    AttachedNode& reporter = attached(delivery->node);
    reporter.recovering = delivery->deliveredShare > reporter.deliveredShare;
    reporter.deliveredShare = delivery->explainedByLink ? 1 : delivery->deliveredShare;
    reporter.reportedAt = dispatcher.now;
    return publishUse(nullptr, inferUseFromDelivery());
  }
  publishUse(nullptr, false);
}

void Rack::publishUse(const Node* source, bool adjustAll) {
  const std::optional<double> current = use();
  for (AttachedNode& attachedNode : nodes)
    dispatcher.send(
        *attachedNode.node,
        UplinkEstimate{current, adjustAll || attachedNode.node == source ? estimate.measuredAt : 0});
}

// Guards against a full uplink where load reports do not contain uplinks: several nodes of the rack deliver
// short at the same time by about the same share, though none of their links is full. A single node that
// delivers short may merely hang. Returns whether the inferred use is above the high mark.
bool Rack::inferUseFromDelivery() {
  int loadedNodes = 0, shortNodes = 0;
  double shareSum = 0, minShare = 1, maxShare = 0;
  bool recovering = false;
  for (const AttachedNode& attachedNode : nodes) {
    if (attachedNode.ownKb <= 0) continue;
    ++loadedNodes;
    if (attachedNode.deliveredShare >= fullDeliveredShare ||
        dispatcher.now - attachedNode.reportedAt > 2 * second)
      continue;
    ++shortNodes;
    recovering = recovering || attachedNode.recovering;
    shareSum += attachedNode.deliveredShare;
    minShare = std::min(minShare, attachedNode.deliveredShare);
    maxShare = std::max(maxShare, attachedNode.deliveredShare);
  }
  if (shortNodes < 2 || shortNodes * 2 < loadedNodes || maxShare - minShare > maxShareSpread || recovering)
    return false;
  const double implied = shortNodes / shareSum;
  if (implied <= use().value_or(0) || (inferred && dispatcher.now - estimate.receivedAt < second / 2))
    return false;
  const Micros age = dispatcher.settings.seenAfter;
  estimate = {implied, ownKb - loadChanges.sum(dispatcher.now, age), dispatcher.now, dispatcher.now - age,
              true};
  inferred = true;
  return implied > highMark;
}

// ---- Node ----

double Node::linkUse() const {
  const double measured =
      linkEstimate.current(dispatcher, ownKb, capacityKb(), fallbackLinkUse + ownKb / capacityKb());
  return deliversShort() && !linkEstimate.known
             ? std::max(measured, 1 / std::max(minDeliveredShare, deliveredShare))
             : measured;
}

void Node::setCharge(Subscription& sub, double chargeKb) {
  const double changeKb = chargeKb - sub.chargedKb;
  ownKb += changeKb;
  sub.chargedKb = chargeKb;
  loadChanges.add(dispatcher.now, changeKb);
  if (rack) dispatcher.send(*rack, UplinkLoadChanged{this, changeKb});
}

// Paces the set-ups of a cold node. Guards against directors that overload it together, as they do not
// coordinate. Time is divided into intervals of one set-up each, at half the rate that the overload factor
// allows. Where a round of all directors fits into the cold time, each director uses the first half of its
// own interval, so that no two set-ups overlap. Otherwise a director estimates from its own requests how many
// set-ups all directors would send in an interval, and lets a request pass at random so that
// targetSetUpsPerInterval are expected. For a cold time after the start of the director this holds for all
// nodes, as any of them may have restarted as well.
bool Node::slowStartAllows(const CandidateQuery& query) {
  const bool mayHaveRestarted = dispatcher.now - dispatcher.startedAt < settings().coldTime;
  if (!cold() && !mayHaveRestarted) return true;
  // Guards against joins that queue up behind a slow connection or disk and then arrive all at once.
  if (cold() && hasPendingSetUp()) return false;
  const double setUpsPerMicrosecond = slots() * settings().startCapacity * settings().overloadFactor /
                                      static_cast<double>(settings().coldTime);
  const auto interval = std::max<Micros>(1, static_cast<Micros>(2 / setUpsPerMicrosecond));
  if (cold() && interval * settings().directors < settings().coldTime)
    return dispatcher.now / interval % settings().directors == settings().ordinal &&
           dispatcher.now % interval < interval / 2 && dispatcher.now - assignedAt >= interval;
  const double ownRequests = (query.recentArrivals - (cold() ? 0 : 1)) *
                             std::min(1.0, drawsPerRequest / query.subscription->info.holders);
  // A director that started recently has counted requests only since then. Guards against a simultaneous
  // restart of all directors: divided by the whole window, the arrivals of a crowd would be underestimated.
  const Micros countedFor = std::clamp<Micros>(dispatcher.now - dispatcher.startedAt, second, arrivalWindow);
  const double expectedSetUps =
      ownRequests * settings().directors * static_cast<double>(interval) / static_cast<double>(countedFor);
  return dispatcher.now - assignedAt >= interval &&
         expectedSetUps * static_cast<double>(dispatcher.random() % 1000) < 1000 * targetSetUpsPerInterval;
}

// Guards against a node that does not answer or fails its joins: it looks idle and would attract all
// requests. A node is unhealthy while it is ejected after failures and while a join there is pending for
// longer than a set-up may take. After an ejection it is on trial with one join at a time.
bool Node::healthy() const {
  if (dispatcher.now < ejectedUntil) return false;
  bool hasPendingJoin = false;
  for (const Subscription* sub : subscriptions) {
    if (sub->playing) continue;
    hasPendingJoin = true;
    if (dispatcher.now - std::max(sub->joinSentAt, dispatcher.resumedAt) >
        Dispatcher::maxSetUpTime(*sub->room))
      return false;
  }
  return ejectionLevel == 0 || !hasPendingJoin;
}

// Guards against measurements that stop: a node that was full must not count as open merely because its
// measurement has expired. It is probed by one join, which brings a new measurement; failing that, by another
// one after each further measurement lifetime.
bool Node::measuredOrDueForProbe() const {
  return !linkEstimate.known || linkEstimate.use <= lowMark ||
         dispatcher.now - linkEstimate.receivedAt <= dispatcher.measurementLifetime() ||
         dispatcher.now - assignedAt > dispatcher.measurementLifetime();
}

// Whether the node is ready, holds the title and is in the group that an earlier join may bind the
// subscription to.
bool Node::mayServe(const Subscription& sub) const {
  const int cells = std::max(1, settings().cells);
  const int offset = ((listEntry.cell - sub.info.firstCell) % cells + cells) % cells;
  if (listEntry.state != NodeState::ready || offset >= sub.info.holders) return false;
  if (!sub.mayHaveRunNode || sub.room->effect != Effect::byKey || sub.room->group == Group::all) return true;
  return sub.room->group == Group::zone ? listEntry.zone == sub.mayHaveRunNode->listEntry.zone
                                        : listEntry.cell == sub.mayHaveRunNode->listEntry.cell;
}

// Applies the hysteresis: the gate turns once use has been beyond its mark for the delay.
void Node::updateGate() {
  const double currentUse = use();
  if (gateClosed ? currentUse > lowMark : currentUse < highMark)
    pastMarkSince = 0;
  else if (pastMarkSince == 0)
    pastMarkSince = dispatcher.now;
  if (pastMarkSince == 0 || dispatcher.now - pastMarkSince < (gateClosed ? openDelay : closeDelay)) return;
  gateClosed = !gateClosed;
  pastMarkSince = 0;
}

// Ejects the node for 1 s after the first failure, doubled with each further one up to 16 s.
void Node::recordFailure() {
  recentFailures.add(dispatcher.now, 1);
  ejectionLevel = std::min(maxEjectionLevel, ejectionLevel + 1);
  ejectedUntil = std::max(ejectedUntil, dispatcher.now + (second / 2 << ejectionLevel));
}

void Node::recordLinkUse(double measuredUse, Micros age) {
  linkEstimate = {measuredUse, ownKb - loadChanges.sum(dispatcher.now, age), dispatcher.now,
                  dispatcher.now - age, true};
  dispatcher.send(*scheduler, UseMeasured{MeasurementKind::link, measuredUse});
}

void Node::recordUplinkUse(double measuredUse, Micros age, Node* source) {
  if (rack == nullptr) return;
  dispatcher.send(*rack, UplinkMeasured{measuredUse, age, source});
  dispatcher.send(*scheduler, UseMeasured{MeasurementKind::uplink, measuredUse});
}

// The data rate that can be added before the link or the uplink reaches the mark. Of the uplink's spare
// capacity only a part counts, since newcomers may arrive at the other nodes of the rack at the same time.
double Node::spareKbUnder(double mark) const {
  return std::min((mark - linkUse()) * capacityKb(),
                  (mark - uplinkUse()) * std::max(1.0, settings().rackUplinkKb) / concurrentUplinkArrivals);
}

void Node::sendCandidate(const CandidateQuery& query) {
  Subscription& sub = *query.subscription;
  fallbackLinkUse = query.fallbackLinkUse;
  fallbackUplinkUse = query.fallbackUplinkUse;
  updateGate();
  Candidate candidate{&sub,
                      this,
                      !gateClosed && !(sub.overQuota && use() > idleMark),
                      mayServe(sub) && healthy() && measuredOrDueForProbe() && slowStartAllows(query),
                      recentFailures.sum(dispatcher.now) == 0,
                      listEntry.zone == settings().zone,
                      false,
                      use(),
                      sub.room->floor};
  const double spareKb = std::max(0.0, spareKbUnder(highMark));
  const double recentKb = admittedKb.sum(dispatcher.now);
  const double shareKb = spareShare * (spareKb + recentKb) - recentKb;
  const int top = std::min({sub.info.top, sub.room->top, static_cast<int>(settings().ladderKb.size()) - 1});
  candidate.rung = sub.room->floor;
  // A newcomer takes a larger part of the spare share for a rung of high benefit per data rate.
  for (int rung = sub.room->floor + 1; rung <= top; ++rung) {
    const double weight =
        dispatcher.benefitPerKb(*sub.room, static_cast<std::size_t>(rung - 1)) / dispatcher.meanBenefitPerKb;
    if (rateKb(sub, rung) * (1 + rateMargin) > std::min(spareKb, shareKb * weight)) break;
    candidate.rung = rung;
  }
  candidate.exceedsSpareShare = recentKb > 0 && rateKb(sub, candidate.rung) > shareKb;
  dispatcher.send(*scheduler, candidate);
}

void Node::assign(Subscription& sub, int rung, bool adopted) {
  subscriptions.push_back(&sub);
  sub.rung = rung;
  setCharge(sub, rateKb(sub, rung));
  if (adopted) return;
  admittedKb.add(dispatcher.now, sub.chargedKb);
  assignedAt = dispatcher.now;
}

void Node::release(Subscription& sub, Outcome outcome, const LoadReport& report) {
  setCharge(sub, 0);
  std::erase(subscriptions, &sub);
  if (outcome == Outcome::connectFailed || outcome == Outcome::reset) suspectedCrashAt = dispatcher.now;
  if (outcome == Outcome::full) {
    ejectedUntil =
        std::max(ejectedUntil,
                 dispatcher.now + std::min(reconnectGrace, fullBackoff << std::min(3, consecutiveFull++)));
    if (settings().refusalThreshold > 0 && linkUse() < settings().refusalThreshold)
      recordLinkUse(settings().refusalThreshold, 0);
  } else if (outcome != Outcome::ok && outcome != Outcome::cancelled && outcome != Outcome::notSent) {
    // Guards against requests that no node can serve: they would eject one node after the other. An error on
    // a title that has never played may be the fault of the title.
    if (outcome != Outcome::error || sub.titleHadPlayed) recordFailure();
  }
  if (outcome != Outcome::full && outcome != Outcome::connectFailed && outcome != Outcome::notSent) {
    sub.mayHaveRunNode = this;
    sub.mayHaveRunSentAt = sub.joinSentAt;
  }
  if (const auto& linkUseReport = report.linkUse ? report.linkUse : report.linkShare)
    recordLinkUse(*linkUseReport, outcomeReportAge);
  if (report.uplinkUse) recordUplinkUse(*report.uplinkUse, outcomeReportAge, nullptr);
  updateGate();
}

void Node::handleMeasurement(Subscription& sub, MeasurementKind kind, double value) {
  // Guards against taking a broken connection for a crash: if a subscription that started before it is still
  // measured after the delay of reports, the process is alive and not cold.
  if (sub.playing && sub.startedAt < suspectedCrashAt &&
      dispatcher.now - suspectedCrashAt > settings().seenAfter)
    suspectedCrashAt = 0;
  const Micros age = sub.hasLinkMeasurement ? settings().seenAfter : 0;
  switch (kind) {
    case MeasurementKind::delivered: {
      const double previousShare = deliversShort() ? deliveredShare : 1;
      deliveredShare = value;
      deliveredAt = dispatcher.now;
      if (rack) dispatcher.send(*rack, DeliveryMeasured{this, value, !shortfallUnexplained()});
      inferLinkUseFromDelivery(previousShare);
      break;
    }
    case MeasurementKind::rung:
      sub.rung = std::clamp(static_cast<int>(value), 0, static_cast<int>(settings().ladderKb.size()) - 1);
      setCharge(sub, rateKb(sub, sub.rung));
      break;
    case MeasurementKind::link:
      recordLinkUse(value, age);
      // Where an uplink measurement follows, rungs wait for it: raising them by the link alone could overload
      // the uplink.
      if (sub.hasLinkMeasurement && !settings().uplinksReported) adjustRungs(linkEstimate.measuredAt);
      sub.hasLinkMeasurement = true;
      break;
    case MeasurementKind::uplink:
      recordUplinkUse(value, age, this);
      break;
  }
  updateGate();
}

// Changes rungs of playing subscriptions once per load report. Above the high mark they are lowered towards
// stepDownTarget, below the idle mark raised towards stepUpTarget. All directors receive the same
// measurement, so each scales its own load by the same factor, whatever their number. The next adjustment
// waits for a measurement made after this one.
void Node::adjustRungs(Micros measuredAt) {
  const double currentUse = use();
  const bool lower = currentUse > highMark;
  if (measuredAt <= rungsAdjustedAt || currentUse <= 0 || (!lower && currentUse >= idleMark)) return;
  rungsAdjustedAt = dispatcher.now;
  const double target = lower ? stepDownTarget : stepUpTarget;
  const double targetKb = ownKb * target / currentUse;
  std::vector<std::pair<Subscription*, int>> plan;
  double plannedKb = 0;
  for (Subscription* sub : subscriptions) {
    plannedKb += sub->chargedKb;
    if (sub->playing &&
        dispatcher.now - sub->steppedAt >= (currentUse > overloadMark ? stepInterval / 2 : stepInterval))
      plan.emplace_back(sub, sub->rung);
  }
  while (true) {
    std::pair<Subscription*, int>* best = nullptr;
    double bestBenefit = 0;
    for (auto& entry : plan) {
      auto& [sub, rung] = entry;
      const int top = std::min(sub->info.top, sub->room->top);
      if (lower ? rung <= sub->room->floor : rung >= top) continue;
      // No step up where the subscription ends before the benefit of the step outweighs the cost of
      // switching.
      if (!lower && sub->info.length && rung == sub->rung &&
          static_cast<double>(sub->startedAt + *sub->info.length - dispatcher.now) / second *
                  (settings().rungBenefit[static_cast<std::size_t>(rung) + 1] -
                   settings().rungBenefit[static_cast<std::size_t>(rung)]) <
              settings().switchSeconds)
        continue;
      const double benefit =
          (lower ? -1 : 1) *
          dispatcher.benefitPerKb(*sub->room, static_cast<std::size_t>(lower ? rung - 1 : rung));
      if (best == nullptr || benefit > bestBenefit) best = &entry, bestBenefit = benefit;
    }
    if (best == nullptr) break;
    auto& [sub, rung] = *best;
    const double changeKb = rateKb(*sub, rung + (lower ? -1 : 1)) - rateKb(*sub, rung);
    // How many steps of this size fit into the rest, weighted by benefit: a step of more than the mean
    // benefit per data rate is likelier to be taken up and less likely to be given up, since other directors
    // may have steps of less benefit to give up, or of more to take.
    const double remainingSteps =
        (targetKb - plannedKb) / changeKb *
        (lower ? dispatcher.meanBenefitPerKb / -bestBenefit : bestBenefit / dispatcher.meanBenefitPerKb);
    // The last step is often larger than what is left, and all directors and nodes of a rack would overshoot
    // alike: it is taken with a probability equal to the remaining part, which is right on average.
    if (remainingSteps < 1 && (remainingSteps * 1000 <= static_cast<double>(dispatcher.random() % 1000) ||
                               (!lower && changeKb > spareKbUnder(highMark))))
      break;
    plannedKb += changeKb;
    rung += lower ? -1 : 1;
  }
  // Other directors have received the same measurement: their load is assumed to have grown by the same
  // factor.
  if (!lower && ownKb > 0)
    linkEstimate.use += std::max(0.0, linkEstimate.use - linkEstimate.ownKbThen / capacityKb()) *
                        (std::min(plannedKb / ownKb, target / currentUse) - 1);
  for (auto& [sub, rung] : plan)
    if (rung != sub->rung) changeRung(*sub, rung);
}

void Node::changeRung(Subscription& sub, int rung) {
  sub.rung = rung;
  sub.steppedAt = dispatcher.now;
  setCharge(sub, rateKb(sub, rung));
  dispatcher.actions->push_back(SetRung{sub.id, rung});
}

// Guards against load reports that are missing or late: where the link was measured as nearly full, or not
// recently, and delivery is shorter than its use explains, the shortage itself is taken as a measurement.
void Node::inferLinkUseFromDelivery(double previousShare) {
  const Micros age = settings().seenAfter;
  if (deliveredShare > maxShareToInferFrom || deliveredShare < minShareToInferFrom ||
      deliveredShare > previousShare)
    return;
  if (linkEstimate.known && linkUse() < nearlyFullUse &&
      dispatcher.now - linkEstimate.measuredAt < 2 * settings().reportInterval + age)
    return;
  if (1 / deliveredShare <= use()) return;
  recordLinkUse(1 / deliveredShare, age);
  adjustRungs(linkEstimate.measuredAt);
}

void Node::updateListEntry(const std::optional<ListEntry>& entry) {
  if (!entry || entry->state == NodeState::gone) goneAt = dispatcher.now;
  if (!entry) return void(listEntry.state = NodeState::gone);
  const Micros previousReadyAt = listEntry.readyAt;
  listEntry = *entry;
  listEntry.readyAt = std::max(previousReadyAt, entry->readyAt);
  if (listEntry.readyAt > previousReadyAt && cold()) ejectionLevel = 0, ejectedUntil = 0, linkEstimate = {};
}

void Node::receive(const Message& message) {
  std::visit(
      [this](const auto& received) {
        using Type = std::decay_t<decltype(received)>;
        if constexpr (std::is_same_v<Type, CandidateQuery>) sendCandidate(received);
        if constexpr (std::is_same_v<Type, Assign>)
          assign(*received.subscription, received.rung, received.adopted);
        if constexpr (std::is_same_v<Type, AssignmentEnded>)
          release(*received.subscription, received.outcome, received.report);
        if constexpr (std::is_same_v<Type, Measurement>)
          handleMeasurement(*received.subscription, received.kind, received.value);
        if constexpr (std::is_same_v<Type, ListEntryUpdated>) updateListEntry(received.entry);
        if constexpr (std::is_same_v<Type, UplinkEstimate>) {
          reportedUplinkUse = received.use;
          if (received.adjustRungsFor != 0) adjustRungs(received.adjustRungsFor);
        }
        if constexpr (std::is_same_v<Type, JoinSucceeded>)
          consecutiveFull = 0,
          ejectionLevel = recentFailures.sum(dispatcher.now) > 0 ? std::max(1, ejectionLevel - 1) : 0;
      },
      message);
}

// ---- Scheduler ----

void Scheduler::receive(const Message& message) {
  if (const auto* request = std::get_if<RequestReceived>(&message)) handleRequest(*request->subscription);
  if (const auto* measured = std::get_if<UseMeasured>(&message)) {
    const bool link = measured->kind == MeasurementKind::link;
    (link ? linkUseSum : uplinkUseSum).add(now(), measured->use);
    (link ? linkUseCount : uplinkUseCount).add(now(), 1);
  }
  if (const auto* ended = std::get_if<AssignmentEnded>(&message))
    handleAssignmentEnded(*ended->subscription, ended->outcome, ended->settled);
  if (const auto* candidate = std::get_if<Candidate>(&message)) {
    candidate->subscription->candidates.push_back(*candidate);
    if (candidate->subscription->candidates.size() == candidate->subscription->awaitedCandidates)
      chooseCandidate(*candidate->subscription);
  }
}

void Scheduler::handleRequest(Subscription& sub) {
  requests.add(now(), 1);
  // Requests over their tenant's quota have little benefit. The quota is divided evenly among the directors,
  // with a tolerance because each receives a different part of a tenant's viewers.
  if (sub.info.party >= 0) {
    const auto party = static_cast<std::size_t>(sub.info.party);
    SlidingWindowSum<10>& recent = partyRequests.try_emplace(sub.info.party, quotaWindow).first->second;
    recent.add(now(), 1);
    const double evenPart = dispatcher.settings.quotaPerSecond[party] / dispatcher.settings.directors *
                            static_cast<double>(quotaWindow) / second;
    // Guards against taking random variation for excess: each of hundreds of directors receives only a few
    // requests of a tenant.
    sub.overQuota = recent.sum(now()) > quotaTolerance * evenPart + 2 * std::sqrt(evenPart) + 2;
  }
  const auto grace = reconnectGraceUntil.find(sub.info.viewer);
  sub.hasReconnectGrace = sub.info.moved || (grace != reconnectGraceUntil.end() && now() < grace->second);
  if (grace != reconnectGraceUntil.end()) reconnectGraceUntil.erase(grace);
  queryCandidates(sub);
}

// Whether another join is allowed by the limit of joins, the time left, the seats, the retry budget and the
// effect of the room type.
bool Scheduler::mayJoin(const Subscription& sub) {
  const ControlSettings& settings = dispatcher.settings;
  if (sub.joinsSent >= settings.maxJoins || sub.info.deadline - now() < minTimeToJoin) return false;
  if (sub.room->seats > 0 && seatCount(sub) >= sub.room->seats) return false;
  if (sub.joinsSent > 0 && settings.retryBudget &&
      retries.sum(now()) + 1 > settings.retryBudget->minRetries +
                                   settings.retryBudget->share * requests.sum(now()) * retryBudgetMargin)
    return false;
  if (!sub.mayHaveRunNode || sub.room->effect == Effect::repeatable) return true;
  return sub.room->effect == Effect::byKey && now() - sub.mayHaveRunSentAt < sub.room->window;
}

// Queries all nodes of the cells that hold the title. The subscription is rejected if there are none.
void Scheduler::queryCandidates(Subscription& sub) {
  if (!mayJoin(sub)) return reject(sub);
  // Recent measurements of any nodes are the fallback for nodes without one: with many directors, each has
  // measured only a few of the holders.
  const double links = linkUseCount.sum(now()), uplinks = uplinkUseCount.sum(now());
  CandidateQuery query{&sub, (linkUseSum.sum(now()) + priorLinkUse) / (links + 1),
                       uplinkUseSum.sum(now()) / std::max(1.0, uplinks), 0};
  sub.awaitedCandidates = 0;
  for (int index = 0; index < sub.info.holders; ++index) {
    Cell& cell = cells[(sub.info.firstCell + index) % std::max(1, dispatcher.settings.cells)];
    if (sub.joinsSent == 0) cell.arrivals.add(now(), 1);
    query.recentArrivals = cell.arrivals.sum(now());
    for (Node* node : cell.nodes) dispatcher.send(*node, query), ++sub.awaitedCandidates;
  }
  if (sub.awaitedCandidates == 0) reject(sub);
}

// Draws two of the open candidates at random and joins the one of lower use, or rejects the subscription.
void Scheduler::chooseCandidate(Subscription& sub) {
  std::vector<Candidate> candidates = std::move(sub.candidates);
  sub.candidates.clear();
  const auto tried = [&](const Candidate& candidate) {
    return std::find(sub.triedNodes.begin(), sub.triedNodes.end(), candidate.node) != sub.triedNodes.end();
  };
  std::erase_if(candidates, [](const Candidate& candidate) { return !candidate.eligible; });
  if (std::any_of(candidates.begin(), candidates.end(),
                  [&](const Candidate& candidate) { return !tried(candidate); }))
    std::erase_if(candidates, tried);
  // A set-up that must not be repeated avoids nodes with recent failures, since an error would be final.
  if (sub.room->effect == Effect::once &&
      std::any_of(candidates.begin(), candidates.end(),
                  [](const Candidate& candidate) { return candidate.open && candidate.noRecentFailure; }))
    std::erase_if(candidates, [](const Candidate& candidate) { return !candidate.noRecentFailure; });
  std::vector<Candidate> open;
  // Prefers the director's own zone, but not nodes over the idle mark while another zone has some under it.
  // Guards against throttling next to idle nodes when one zone receives most requests or has lost its
  // directors.
  for (const double maxUse : {idleMark, 1e9})
    for (const bool sameZone : {true, false}) {
      if (!open.empty()) break;
      for (const Candidate& candidate : candidates)
        if (candidate.open && candidate.use < maxUse && candidate.sameZone == sameZone)
          open.push_back(candidate);
    }
  if (open.empty() && sub.hasReconnectGrace) open = candidates;
  if (open.empty()) return reject(sub);
  std::swap(open[0], open[dispatcher.random() % open.size()]);
  Candidate best = open[0];
  if (open.size() > 1) {
    const Candidate other = open[1 + dispatcher.random() % (open.size() - 1)];
    if (std::pair(other.exceedsSpareShare, other.use) < std::pair(best.exceedsSpareShare, best.use))
      best = other;
  }
  if (best.exceedsSpareShare && !sub.hasReconnectGrace) return reject(sub);
  sendJoin(sub, best);
}

void Scheduler::sendJoin(Subscription& sub, const Candidate& candidate) {
  if (sub.joinsSent > 0) retries.add(now(), 1);
  ++sub.joinsSent;
  sub.triedNodes.push_back(candidate.node);
  sub.currentNode = candidate.node;
  sub.joinSentAt = now();
  sub.rung = candidate.rung;
  sub.titleHadPlayed = playedTitles.contains(sub.info.title);
  ++seatCount(sub);
  dispatcher.send(*candidate.node, Assign{&sub, candidate.rung, false});
  emit(SetRung{sub.id, candidate.rung});
  emit(Join{sub.id, candidate.node->listEntry.node, joinTimeout(sub)});
}

// Where another join is allowed, leaves time for it within the join objective. Otherwise 0: the join may last
// until the client timeout.
Micros Scheduler::joinTimeout(const Subscription& sub) {
  if (sub.room->effect == Effect::once || sub.joinsSent >= dispatcher.settings.maxJoins) return 0;
  const Micros timeLeft = sub.info.deadline - now();
  const Micros timeout = Dispatcher::maxSetUpTime(*sub.room);
  return timeLeft < timeout + minSetUpTime ? 0 : timeout;
}

void Scheduler::handleAssignmentEnded(Subscription& sub, Outcome outcome, bool settled) {
  if (--seatCount(sub) == 0) seatsInUse.erase({sub.info.title, sub.roomIndex});
  sub.currentNode = nullptr;
  if (sub.playing && outcome != Outcome::ok) reconnectGraceUntil[sub.info.viewer] = now() + reconnectGrace;
  if (settled || sub.answered) return void(subscriptions.erase(sub.id));
  queryCandidates(sub);
}

// Answers without delay: throttled where the effect of the room type allows the viewer to try again,
// terminated otherwise.
void Scheduler::reject(Subscription& sub) {
  const bool mayReturn = !sub.mayHaveRunNode || sub.room->effect == Effect::repeatable ||
                         (sub.room->effect == Effect::byKey && sub.room->group == Group::all);
  if (mayReturn)
    emit(Throttle{sub.id, dispatcher.retryAfterSchedule.next()});
  else
    emit(Terminate{sub.id});
  subscriptions.erase(sub.id);
}

}  // namespace

// ---- Control ----

// Resolves the ids of events, validates their values and sends messages to the actors concerned.
struct Control::Impl {
  Impl(ControlSettings settings, std::uint64_t seed)
      : dispatcher(std::move(settings), seed), scheduler(dispatcher) {}
  Dispatcher dispatcher;
  Scheduler scheduler;
  Micros listRetryAt = 0;

  Subscription* findSubscription(SubscriptionId id) {
    const auto it = scheduler.subscriptions.find(id);
    return it == scheduler.subscriptions.end() ? nullptr : it->second.get();
  }
  Node& nodeFor(NodeId id) {
    auto& node = scheduler.nodes[id];
    if (!node) node = std::make_unique<Node>(dispatcher, scheduler, id);
    return *node;
  }
  bool knowsRoomType(int roomType) const {
    return roomType >= 0 && static_cast<std::size_t>(roomType) < dispatcher.settings.roomTypes.size();
  }
  Subscription& createSubscription(const SubscriptionInfo& info) {
    auto sub = std::make_unique<Subscription>();
    sub->id = info.sub;
    sub->info = info;
    // Cells are numbered from 0 and each is queried once: otherwise a node could be both of the two
    // candidates drawn.
    const int cellCount = std::max(1, dispatcher.settings.cells);
    sub->info.firstCell = (info.firstCell % cellCount + cellCount) % cellCount;
    sub->info.holders = std::clamp(info.holders, 0, cellCount);
    if (info.party >= static_cast<int>(dispatcher.settings.quotaPerSecond.size())) sub->info.party = -1;
    sub->roomIndex = info.roomType;
    sub->room = &dispatcher.settings.roomTypes[static_cast<std::size_t>(info.roomType)];
    return *(scheduler.subscriptions[info.sub] = std::move(sub));
  }

  // Moves the node and its own load to a rack, or detaches it if `rack` is null.
  void attachToRack(Node& node, Rack* rack) {
    if (node.rack == rack) return;
    if (node.rack != nullptr) {
      node.rack->ownKb -= node.rack->attached(&node).ownKb;
      std::erase_if(node.rack->nodes,
                    [&](const Rack::AttachedNode& attached) { return attached.node == &node; });
    }
    node.rack = rack;
    node.reportedUplinkUse.reset();
    if (rack == nullptr) return;
    rack->nodes.emplace_back().node = &node;
    rack->nodes.back().ownKb = node.ownKb;
    rack->ownKb += node.ownKb;
  }
  // Guards against unbounded growth where nodes are replaced for weeks: a node that has been gone for long
  // and that no subscription refers to is deleted. If its id returns, it counts as a new node.
  void evictGoneNodes() {
    const Micros goneBefore = dispatcher.now - std::max(dispatcher.settings.coldTime, 2 * reconnectGrace);
    std::vector<Node*> referenced;
    for (const auto& [id, sub] : scheduler.subscriptions) {
      referenced.insert(referenced.end(), sub->triedNodes.begin(), sub->triedNodes.end());
      referenced.push_back(sub->mayHaveRunNode);
      referenced.push_back(sub->currentNode);
    }
    std::erase_if(scheduler.nodes, [&](const auto& entry) {
      Node& node = *entry.second;
      if (node.listEntry.state != NodeState::gone || node.goneAt == 0 || node.goneAt > goneBefore ||
          !node.subscriptions.empty() ||
          std::find(referenced.begin(), referenced.end(), &node) != referenced.end())
        return false;
      attachToRack(node, nullptr);
      if (node.cell != nullptr) std::erase(node.cell->nodes, &node);
      return true;
    });
  }

  void on(const ListUpdate& update) {
    if (update.kind == ListKind::lost) return void(listRetryAt = dispatcher.now + listRetryDelay);
    evictGoneNodes();
    if (update.kind != ListKind::changes) {
      for (auto& [id, node] : scheduler.nodes) dispatcher.send(*node, ListEntryUpdated{});
      for (auto& [number, cell] : scheduler.cells) cell.nodes.clear();
    }
    for (const ListEntry& entry : update.entries) {
      Node& node = nodeFor(entry.node);
      if (node.cell != nullptr) std::erase(node.cell->nodes, &node);
      node.cell = &scheduler.cells[entry.cell];
      if (entry.state == NodeState::ready) node.cell->nodes.push_back(&node);
      if (dispatcher.settings.racks > 0) {
        auto& rack = scheduler.racks[entry.cell % dispatcher.settings.racks];
        if (!rack) rack = std::make_unique<Rack>(dispatcher);
        attachToRack(node, rack.get());
      }
      dispatcher.send(node, ListEntryUpdated{entry});
    }
    updateLinkKbPerSlot(update);
  }
  // Guards against lists that name only a part of the fleet, or nodes being replaced next to their
  // replacements: the stated capacity of all links is divided by the largest number of slots that were ever
  // ready together.
  void updateLinkKbPerSlot(const ListUpdate& update) {
    std::map<NodeId, int> kinds;  // of this update; the nodes receive their entries later
    for (const ListEntry& entry : update.entries) kinds[entry.node] = entry.kind;
    double readySlots = 0;
    for (const auto& [number, cell] : scheduler.cells)
      for (const Node* node : cell.nodes) {
        const auto kind = kinds.find(node->listEntry.node);
        readySlots += dispatcher.settings.slotsOf(kind == kinds.end() ? node->listEntry.kind : kind->second);
      }
    if (readySlots <= dispatcher.maxReadySlots) return;
    dispatcher.maxReadySlots = readySlots;
    dispatcher.linkKbPerSlot = dispatcher.settings.totalLinkKb / readySlots;
  }
  void on(const SubscriptionRequested& event) {
    if (findSubscription(event.viewing.sub) != nullptr) return;
    // The effect of an unknown room type is unknown too: a retry might not be allowed.
    if (!knowsRoomType(event.viewing.roomType)) return scheduler.emit(Terminate{event.viewing.sub});
    dispatcher.send(scheduler, RequestReceived{&createSubscription(event.viewing)});
  }
  void on(const SubscriptionAdopted& event) {
    if (findSubscription(event.viewing.sub) != nullptr || !knowsRoomType(event.viewing.roomType)) return;
    Subscription& sub = createSubscription(event.viewing);
    sub.playing = sub.answered = sub.hasLinkMeasurement = true;
    sub.startedAt = dispatcher.now;
    sub.joinsSent = 1;
    sub.currentNode = &nodeFor(event.node);
    sub.rung = sub.room->floor;
    scheduler.playedTitles[sub.info.title] = dispatcher.now;
    ++scheduler.seatCount(sub);
    dispatcher.send(*sub.currentNode, Assign{&sub, sub.rung, true});
  }
  void on(const JoinStarted& event) {
    Subscription* sub = findSubscription(event.sub);
    if (sub == nullptr || sub->currentNode == nullptr || event.join != sub->joinsSent - 1) return;
    sub->playing = sub->answered = true;
    sub->startedAt = scheduler.playedTitles[sub->info.title] = dispatcher.now;
    dispatcher.send(*sub->currentNode, JoinSucceeded{});
  }
  // Returns false for negative and non-finite values and limits the others to maxMeasuredUse. Guards against
  // NaN, which makes every comparison false and every sum NaN.
  static bool sanitize(double& value) {
    if (!std::isfinite(value) || value < 0) return false;
    value = std::min(value, maxMeasuredUse);
    return true;
  }
  void on(const MeasurementReported& event) {
    Subscription* sub = findSubscription(event.sub);
    if (sub == nullptr || sub->currentNode == nullptr || sub->currentNode->listEntry.node != event.node)
      return;
    double value = event.value;
    if (event.reading == MeasurementKind::rung && std::isfinite(value))
      value = std::clamp(value, 0.0, static_cast<double>(dispatcher.settings.ladderKb.size() - 1));
    else if (!sanitize(value))
      return;
    dispatcher.send(*sub->currentNode, Measurement{sub, event.reading, value});
  }
  void on(const JoinEnded& event) {
    Subscription* sub = findSubscription(event.sub);
    if (sub == nullptr || sub->currentNode == nullptr || sub->currentNode->listEntry.node != event.node ||
        event.join != sub->joinsSent - 1)
      return;
    AssignmentEnded ended{sub, event.outcome, event.report, event.settled};
    for (std::optional<double>* use :
         {&ended.report.linkShare, &ended.report.linkUse, &ended.report.uplinkUse})
      if (*use && !sanitize(**use)) use->reset();
    dispatcher.send(*sub->currentNode, ended);
    dispatcher.send(scheduler, ended);
  }
  void on(const SubscriptionAbandoned& event) {
    Subscription* sub = findSubscription(event.sub);
    if (sub == nullptr) return;
    sub->answered = true;
    if (sub->currentNode == nullptr) return void(scheduler.subscriptions.erase(sub->id));
    if (!sub->playing && dispatcher.settings.cancelling)
      scheduler.emit(CancelJoin{sub->id, sub->joinsSent - 1});
  }
  void on(const TimerFired&) {
    std::erase_if(scheduler.reconnectGraceUntil,
                  [&](const auto& entry) { return entry.second < dispatcher.now; });
    std::erase_if(scheduler.playedTitles,
                  [&](const auto& entry) { return entry.second + playedTitleRetention < dispatcher.now; });
    scheduler.emit(SetTimer{0, tickInterval});
    // Delayed, because all directors request the list from the same service.
    if (listRetryAt != 0 && dispatcher.now >= listRetryAt) {
      listRetryAt = 0;
      scheduler.emit(WatchList{});
    }
  }
};

int ControlSettings::slotsOf(int kind) const {
  const auto k = static_cast<std::size_t>(kind);
  if (k < slotsByKind.size()) return std::max(1, slotsByKind[k]);
  return slotsByKind.empty() ? 1 : std::max(1, *std::min_element(slotsByKind.begin(), slotsByKind.end()));
}

RetryAfterSchedule::RetryAfterSchedule(const ControlSettings& settings)
    : mean_(settings.retryAfter ? std::min(meanRetryAfter, settings.maxRetryAfter * 2 / 3) : 0),
      phase_(goldenRatioFraction * settings.ordinal) {}

Micros RetryAfterSchedule::next() {
  phase_ = std::fmod(phase_ + goldenRatioFraction, 1.0);
  return mean_ / 2 + static_cast<Micros>(phase_ * static_cast<double>(mean_));
}

Control::Control(ControlSettings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Control::~Control() = default;
Control::Control(Control&&) noexcept = default;
Control& Control::operator=(Control&&) noexcept = default;

// After a stall, a director receives all events of that time in one turn: requests are handled last, so that
// what the other events say of nodes and joins applies to each of them.
void Control::handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions) {
  Dispatcher& dispatcher = impl_->dispatcher;
  if (now - dispatcher.now > 2 * tickInterval) dispatcher.resumedAt = now;
  dispatcher.now = now;
  dispatcher.actions = &actions;
  if (dispatcher.startedAt == 0) {
    dispatcher.startedAt = now;
    actions.push_back(SetTimer{0, tickInterval});
    if (dispatcher.settings.listOnRequest) actions.push_back(WatchList{});
  }
  std::vector<const SubscriptionRequested*> requests;
  for (const Event& event : events) {
    if (const auto* request = std::get_if<SubscriptionRequested>(&event)) {
      requests.push_back(request);
      continue;
    }
    if (const auto* abandoned = std::get_if<SubscriptionAbandoned>(&event))
      std::erase_if(requests, [&](const SubscriptionRequested* request) {
        return request->viewing.sub == abandoned->sub;
      });
    std::visit([&](const auto& typedEvent) { impl_->on(typedEvent); }, event);
    dispatcher.deliverAll();
  }
  for (const SubscriptionRequested* request : requests) {
    impl_->on(*request);
    dispatcher.deliverAll();
  }
}

}  // namespace lupinsill
