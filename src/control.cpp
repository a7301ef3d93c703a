// The decisions of lupinsill: which media node a subscription joins, at which rung, or whether it is
// throttled. Called through Control::handle (control.h) with all events of one turn; every answer it gives
// is an Action appended to the caller's list. handle() turns the events' ids into parts, puts a note into
// one part's inbox and lets the post office empty the inboxes; parts reach each other in no other way.
#include "control.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>

namespace lupinsill {
namespace {

constexpr Micros second = 1'000'000;

// The marks of the gate, in parts of a link or uplink. The paper's 85% and 70% of busy threads.
constexpr double highMark = 0.98;
constexpr double lowMark = 0.9;
constexpr double aimMark = 0.94;    // where steps of playing subscriptions bring a limit back to
constexpr double idleMark = 0.8;    // under it playing subscriptions step up
constexpr double raiseMark = 0.85;  // where steps up leave it
constexpr double unreadUse = 0.5;   // of a link while nothing has been read anywhere
constexpr Micros quotaSpan = 5 * second;
constexpr double quotaLean = 1.5;        // a director may see this much more of a tenant than its even part
constexpr Micros askAgain = second;      // after a call for the list that failed
constexpr Micros closeHold = 400'000;    // the paper holds 2 s; notes here are already seconds old
constexpr Micros openHold = 200'000;     // the paper holds 10 s, a quarter of a subscription's life here
constexpr Micros fullHold = 4 * second;  // doubles while the node stays full, up to the courtesy span
constexpr double spareShare = 0.5;       // of the spare room, per second
constexpr double rateSpread = 0.15;      // titles run this far over their rung's rate
constexpr double rackPart = 2;           // newcomers that may meet in an uplink's room
constexpr Micros courtesySpan = 30 * second;  // the paper's reconnect courtesy
constexpr Micros playedSpan = 120 * second;   // a title that has played is known for so long
constexpr Micros reportAge = 300'000;         // of a report that comes with an outcome, about
constexpr Micros tickSpan = 200'000;
constexpr Micros comersSpan = 30 * second;
constexpr double letThrough = 0.5;  // of a turn's set-ups, by chance: together they may come in a heap
constexpr double drawnOf = 4;       // holders to one set-up: two are drawn, and half may be closed
constexpr Micros meanSpan =
    3 * second;  // of the readings that tell of links not read, or half a round of notes
constexpr Micros readSpan = 10 * second;  // in which a reading not renewed loses its say
constexpr double jamMark = 1.08;          // over it a shortage costs more than steps: half the dwell
constexpr Micros dwell = 8 * second;      // between two steps of one subscription
constexpr double readMost = 20;           // no link is asked for more; a shortage says 1 / 0.05 at most
constexpr Micros advised = 500'000;       // the middle of the times to come back, where they may be told

// What happened over the last Span, counted in buckets of time that are used again.
template <int Buckets>
class Tally {
 public:
  explicit Tally(Micros span) : width_(std::max<Micros>(1, span / Buckets)) {}
  void add(Micros now, double amount) {
    roll(now);
    sums_[slot(bucket_)] += amount;
  }
  double sum(Micros now, Micros age = 3600 * second) {
    roll(now);
    double total = 0;
    // Not below the clock's zero: a machine's clock may have started less than Span ago.
    for (Micros b = bucket_; b >= 0 && b > std::max((now - age) / width_, bucket_ - Buckets - 1); --b)
      total += sums_[slot(b)];
    return total;
  }

 private:
  static std::size_t slot(Micros bucket) { return static_cast<std::size_t>(bucket % (Buckets + 1)); }
  void roll(Micros now) {
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
struct Sub;

// An answer of a media node to the desk's question what it could do for a subscription.
struct Offer {
  Sub* sub = nullptr;
  Node* node = nullptr;
  bool open = false;
  bool fit = false;    // ready, healthy and, where cold, in its pace
  bool clean = false;  // no failure for a while
  bool home = false;   // in this director's zone
  bool overShare = false;
  double use = 0;
  int rung = 0;
};

// A viewer's subscription as the desk holds it, from the request to the end of its last join.
struct Sub {
  SubscriptionId id = 0;
  const RoomType* room = nullptr;
  int roomIndex = 0;
  SubscriptionInfo viewing;
  Node* at = nullptr;   // the join that is out, or where it plays
  Node* ran = nullptr;  // the last join that may have run binds where it may go again
  Micros ranSent = 0;
  Micros sent = 0;
  Micros began = 0;
  Micros stepped = 0;
  std::vector<Node*> tried;
  std::size_t asked = 0;  // holders whose offers the desk awaits
  std::vector<Offer> offers;
  int joins = 0;
  int rung = 0;
  double kb = 0;  // what it was charged at its node
  bool playing = false;
  bool answered = false;
  bool courtesy = false;
  bool overQuota = false;  // its tenant sends more than its share
  bool toldLink = false;   // the note at set-up has come
  bool proven = false;     // its title had played when its join went out
};

struct Ask {
  Sub* sub;
  double linkGuess;  // what the director's other readings say of a link, and of an uplink
  double uplinkGuess;
  double comers;  // requests of late that the node's cell could have taken
};
struct Take {
  Sub* sub;
  int rung;
  bool underWay;
};
struct Play {};
struct Ended {  // to its node, then to the desk
  Sub* sub;
  Outcome outcome;
  LoadReport report;
  bool settled;
};
struct Hear {
  Sub* sub;
  MeasurementKind reading;
  double value;
};
struct Listed {
  std::optional<ListEntry> entry;  // none: a whole list without it
};
struct UplinkUse {
  std::optional<double> use;
  Micros react;  // to what was so at this moment; 0: not now
};
struct UplinkLoad {
  Node* node;
  double kb;
};
struct Read {
  MeasurementKind reading;
  double use;
};
struct Shortfall {
  Node* node;
  double share;
  bool explained;
};
struct UplinkSeen {
  double use;
  Micros age;
  Node* by;  // its round of notes is complete
};
struct Start {
  Sub* sub;
};

using Note = std::variant<Ask, Read, Take, Play, Ended, Hear, Listed, UplinkUse, UplinkLoad, UplinkSeen,
                          Shortfall, Start, Offer>;

struct Post;

struct Part {
  explicit Part(Post& office) : post(office) {}
  virtual ~Part() = default;
  virtual void read(const Note& note) = 0;
  Post& post;
  std::deque<Note> inbox;
};

// The one loop: parts whose inboxes hold notes, in the order in which they were written to.
struct Post {
  explicit Post(ControlSettings handed, std::uint64_t seed)
      : terms(made(std::move(handed))),
        chance(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
        comeBack(terms) {
    const std::size_t steps = terms.ladderKb.size() - 1;
    for (const RoomType& room : terms.roomTypes)
      for (std::size_t rung = 0; rung < steps; ++rung)
        meanGain += gainPerKb(room, rung) / static_cast<double>(steps * terms.roomTypes.size());
  }
  void send(Part& to, Note note) {
    to.inbox.push_back(std::move(note));
    due.push_back(&to);
  }
  void run() {
    while (!due.empty()) {
      Part& part = *due.front();
      due.pop_front();
      const Note note = std::move(part.inbox.front());
      part.inbox.pop_front();
      part.read(note);
    }
  }
  // Guards against terms that cannot be: everything behind divides by them or indexes with them.
  static ControlSettings made(ControlSettings t) {
    if (t.ladderKb.empty()) t.ladderKb = {1};
    t.rungBenefit.resize(t.ladderKb.size(), t.rungBenefit.empty() ? 1 : t.rungBenefit.back());
    const int last = static_cast<int>(t.ladderKb.size()) - 1;
    for (RoomType& room : t.roomTypes)
      room.floor = std::clamp(room.floor, 0, last), room.top = std::clamp(room.top, room.floor, last);
    t.directors = std::max(1, t.directors);
    t.ordinal = std::clamp(t.ordinal, 0, t.directors - 1);
    t.startCapacity = std::max(1e-3, t.startCapacity);
    t.overloadFactor = std::max(1e-3, t.overloadFactor);
    return t;
  }
  // What a set-up may take: from then on it leaves too little of the join objective for another one.
  static Micros enough(const RoomType& room) { return std::max<Micros>(300'000, room.joinObjective / 2); }
  // How long a reading stands: three rounds of notes, as late as they come.
  Micros stands() const { return 3 * std::max(terms.reportInterval, second) + terms.seenAfter; }
  // Changes are kept for as long as a note may be late.
  Micros movedSpan() const { return 2 * std::max(terms.seenAfter, second); }
  double gainPerKb(const RoomType& room, std::size_t rung) const {  // of the step from rung to rung + 1
    const double kb = (terms.ladderKb[rung + 1] - terms.ladderKb[rung]) * room.rateFactor;
    return std::max(1e-9, room.benefit * (terms.rungBenefit[rung + 1] - terms.rungBenefit[rung]) / kb);
  }
  ControlSettings terms;
  std::minstd_rand chance;
  RetryAfterSchedule comeBack;
  Micros now = 0;
  Micros born = 0;
  Micros wokeAt = 0;      // the end of the last stretch in which this director got no turn
  double mostPlaces = 0;  // of nodes that were ready together
  double kbPerPlace = 0;  // all links over these
  double meanGain = 0;    // of a step's kB, over room types and rungs
  std::vector<Action>* out = nullptr;
  std::deque<Part*> due;
};

// A limit as last read: its use then, and what of it was ours then.
struct Gauge {
  double use = 0;
  double oursThen = 0;
  Micros readAt = 0;
  Micros about = 0;  // the moment that the reading speaks of
  bool known = false;

  // A reading nobody renews says less and less: in the end the limit is like any other not read. Each
  // director lets go at its own time, since what was full is full for all of them.
  double now(const Post& post, double ours, double capacity, double guess, Micros span = readSpan) const {
    const Micros due = post.stands() + readSpan * post.terms.ordinal / post.terms.directors;
    const double faded =
        std::clamp(static_cast<double>(post.now - readAt - due) / static_cast<double>(span), 0.0, 1.0);
    const double read = std::max(0.0, use + (ours - oursThen) / capacity);
    return known ? read + faded * (std::min(guess, 0.9 * lowMark) - read) : guess;
  }
};

struct Rack : Part {
  explicit Rack(Post& office) : Part(office), moved(office.movedSpan()) {}
  struct Held {
    Node* node = nullptr;
    double kb = 0;
    double share = 1;  // delivered, where the node's link does not explain it
    Micros toldAt = 0;
    bool easing = false;  // the share is smoothed: while it rises the shortage is already over
  };
  std::vector<Held> nodes;
  Gauge gauge;
  Tally<64> moved;  // kb come and gone: late notes speak of then, not of now
  double kb = 0;
  bool felt = false;  // the gauge is inferred from short delivery, not read

  double capacity() const { return std::max(1.0, post.terms.rackUplinkKb); }
  std::optional<double> use() const {
    // Nothing tells that an uplink only felt has room again: it is tried little by little.
    if (gauge.known) return gauge.now(post, kb, capacity(), kb / capacity(), (felt ? 5 : 1) * readSpan);
    return std::nullopt;
  }
  void read(const Note& note) override;
  Held& of(const Node* node) {
    return *std::find_if(nodes.begin(), nodes.end(), [&](const Held& h) { return h.node == node; });
  }
  bool feel();
  void tell(const Node* by, bool all);
};

struct Node : Part {
  Node(Post& office, Part& front, NodeId number) : Part(office), desk(&front), moved(office.movedSpan()) {
    listing.node = number, listing.state = NodeState::gone;
  }
  Part* desk;
  ListEntry listing;  // as last told, but for an earlier start
  Rack* rack = nullptr;
  Cell* cell = nullptr;  // in whose list it stands
  Micros goneAt = 0;

  std::vector<Sub*> subs;
  double kb = 0;
  Tally<64> moved;  // kb come and gone: late notes speak of then, not of now
  Gauge link;
  std::optional<double> uplink;  // as its rack tells it
  double linkGuess = unreadUse;
  double uplinkGuess = 0;
  double delivered = 1;
  Micros deliveredAt = 0;
  bool closed = false;
  Micros turningSince = 0;  // past the mark at which the gate turns
  Tally<10> admitted{second};
  int strikes = 0;
  int fulls = 0;  // in a row
  Tally<10> failures{20 * second};
  Micros shutUntil = 0;
  Micros lostAt = 0;  // a sign that the process died: whatever comes back is cold
  Micros pacedAt = 0;
  Micros reactedAt = 0;

  const ControlSettings& terms() const { return post.terms; }
  int places() const { return terms().slotsOf(listing.kind); }
  bool cold() const { return post.now - std::max(listing.readyAt, lostAt) < terms().coldTime; }
  double warmth() const {
    const double age = std::max(0.0, static_cast<double>(post.now - std::max(listing.readyAt, lostAt)));
    if (!cold()) return 1;
    return terms().startCapacity + (1 - terms().startCapacity) * age / static_cast<double>(terms().coldTime);
  }
  // Weights may be silent or rough, but the places of a kind go with its link.
  double capacity() const {
    const double full = post.kbPerPlace > 0 ? post.kbPerPlace * places() : terms().weightKb * listing.weight;
    return std::max(1.0, full * warmth());
  }
  double rate(const Sub& sub, int rung) const {
    return terms().ladderKb[static_cast<std::size_t>(rung)] * sub.room->rateFactor;
  }
  double linkUse() const;
  double rackUse() const { return uplink.value_or(uplinkGuess); }
  double use() const { return std::max(linkUse(), rackUse()); }
  bool shortNow() const {
    return delivered < 0.98 && post.now - deliveredAt < 2 * second + terms().seenAfter;
  }
  void feel(double before);
  void step(Sub& sub, int rung);
  bool unexplained() const { return shortNow() && delivered > 0.2 && linkUse() < 0.95 && !cold(); }
  void setKb(Sub& sub, double charged);
  bool paced(const Ask& ask);
  bool healthy() const;
  bool awaits() const {  // a set-up that has not begun
    return std::any_of(subs.begin(), subs.end(), [](const Sub* sub) { return !sub->playing; });
  }
  bool spoken() const;
  bool eligible(const Sub& sub) const;
  void gate();
  void strike();
  void readLink(double value, Micros age);
  void readUplink(double value, Micros age, Node* by);
  void react(Micros about);
  void read(const Note& note) override;
  void answer(const Ask& ask);
  double roomUnder(double mark) const;
  void take(Sub& sub, int rung, bool underWay);
  void leave(Sub& sub, Outcome outcome, const LoadReport& report);
  void hear(Sub& sub, MeasurementKind reading, double value);
  void listed(const std::optional<ListEntry>& told);
};

struct Cell {
  std::vector<Node*> nodes;
  Tally<10> comers{comersSpan};
};

struct Desk : Part {
  explicit Desk(Post& office)
      : Part(office),
        linkSum(std::max(meanSpan, office.terms.reportInterval / 2)),
        linkCount(linkSum),
        uplinkSum(linkSum),
        uplinkCount(linkSum),
        requests(office.terms.retryBudget ? office.terms.retryBudget->window : second),
        further(office.terms.retryBudget ? office.terms.retryBudget->window : second) {}
  std::map<SubscriptionId, std::unique_ptr<Sub>> subs;
  std::map<NodeId, std::unique_ptr<Node>> nodes;
  std::map<int, std::unique_ptr<Rack>> racks;
  std::map<int, Cell> cells;
  std::map<std::pair<std::string, int>, int> seats;
  std::map<std::string, Micros> played;  // titles, when one last began here
  std::map<std::string, Micros> broken;  // viewers whose subscription broke, until their courtesy ends
  std::map<int, Tally<10>> partyRate;
  Tally<10> linkSum, linkCount, uplinkSum, uplinkCount;
  Tally<20> requests;
  Tally<20> further;

  Micros now() const { return post.now; }
  void act(Action action) { post.out->push_back(std::move(action)); }
  void read(const Note& note) override;
  void start(Sub& sub);
  void place(Sub& sub);
  void decide(Sub& sub);
  void join(Sub& sub, const Offer& offer);
  void ended(Sub& sub, Outcome outcome, bool settled);
  void giveUp(Sub& sub);
  bool mayJoin(const Sub& sub);
  Micros patience(const Sub& sub);
  int& seatsTaken(const Sub& sub) { return seats[{sub.viewing.title, sub.roomIndex}]; }
};

// ---- rack ----

void Rack::read(const Note& note) {
  if (const auto* load = std::get_if<UplinkLoad>(&note)) {
    of(load->node).kb += load->kb;
    kb += load->kb;
    moved.add(post.now, load->kb);
  } else if (const auto* seen = std::get_if<UplinkSeen>(&note)) {
    gauge = {seen->use, kb - moved.sum(post.now, seen->age), post.now, post.now - seen->age, true};
    felt = false;
    return tell(seen->by, seen->use > highMark);
  } else if (const auto* lack = std::get_if<Shortfall>(&note)) {
    Held& from = of(lack->node);
    from.easing = lack->share > from.share;
    from.share = lack->explained ? 1 : lack->share;
    from.toldAt = post.now;
    return tell(nullptr, feel());
  }
  tell(nullptr, false);
}

void Rack::tell(const Node* by, bool all) {
  const std::optional<double> told = use();
  for (Held& held : nodes) post.send(*held.node, UplinkUse{told, all || held.node == by ? gauge.about : 0});
}

// Guards against an uplink that is short where no report tells of uplinks: nodes of one rack deliver short
// together though none of their links is asked too much. One node alone may just hang.
bool Rack::feel() {
  int held = 0, sharing = 0;
  double sum = 0, least = 1, most = 0;
  bool easing = false;
  for (const Held& h : nodes) {
    if (h.kb <= 0) continue;
    ++held;
    if (h.share >= 0.98 || post.now - h.toldAt > 2 * second) continue;
    ++sharing;
    easing = easing || h.easing;
    sum += h.share;
    least = std::min(least, h.share);
    most = std::max(most, h.share);
  }
  if (sharing < 2 || sharing * 2 < held || most - least > 0.15 || easing) return false;
  const double implied = sharing / sum;
  if (implied <= use().value_or(0) || (felt && post.now - gauge.readAt < second / 2)) return false;
  const Micros age = post.terms.seenAfter;
  gauge = {implied, kb - moved.sum(post.now, age), post.now, post.now - age, true};
  felt = true;
  return implied > highMark;
}

// ---- media node ----

double Node::linkUse() const {
  const double read = link.now(post, kb, capacity(), linkGuess + kb / capacity());
  return shortNow() && !link.known ? std::max(read, 1 / std::max(0.05, delivered)) : read;
}

void Node::setKb(Sub& sub, double charged) {
  const double change = charged - sub.kb;
  kb += change;
  sub.kb = charged;
  moved.add(post.now, change);
  if (rack) post.send(*rack, UplinkLoad{this, change});
}

// Guards against pushing a cold node over, all directors together, without talk or memory. Time is cut into
// turns of one set-up at half the multiple allowed. Few directors take them in order, in the first half of
// each, so that no two meet. Where a round would outlast the cold time, own requests tell how many come in a
// turn from all, and by chance one of two goes. Early in a director's life any node may have restarted.
bool Node::paced(const Ask& ask) {
  const bool unsure = post.now - post.born < terms().coldTime;
  if (!cold() && !unsure) return true;
  // Guards against joins that wait for a connection or a disk and then leave in a heap.
  if (cold() && awaits()) return false;
  const double bears = places() * terms().startCapacity * terms().overloadFactor /
                       static_cast<double>(terms().coldTime);  // set-ups a microsecond
  const auto turn = std::max<Micros>(1, static_cast<Micros>(2 / bears));
  if (cold() && turn * terms().directors < terms().coldTime)
    return post.now / turn % terms().directors == terms().ordinal && post.now % turn < turn / 2 &&
           post.now - pacedAt >= turn;
  const double own = (ask.comers - (cold() ? 0 : 1)) * std::min(1.0, drawnOf / ask.sub->viewing.holders);
  // A young director has counted for as long as it lives: after all restarted, all are young together.
  const Micros counted = std::clamp<Micros>(post.now - post.born, second, comersSpan);
  const double likely = own * terms().directors * static_cast<double>(turn) / static_cast<double>(counted);
  return post.now - pacedAt >= turn && likely * static_cast<double>(post.chance() % 1000) < 1000 * letThrough;
}

// A node that answers nothing or fails what it gets looks idle and would draw everybody. It is shut while a
// join there waits longer than set-ups take, after failures, and then takes one trial at a time.
bool Node::healthy() const {
  if (post.now < shutUntil) return false;
  bool waiting = false;
  for (const Sub* other : subs) {
    if (other->playing) continue;
    waiting = true;
    if (post.now - std::max(other->sent, post.wokeAt) > Post::enough(*other->room)) return false;
  }
  return strikes == 0 || !waiting;
}

// Guards against readings that stop for good: a node that was full is not open because nobody speaks of it
// any more. It is tried by one join, which brings a reading; where it does not, by the next as much later.
bool Node::spoken() const {
  return !link.known || link.use <= lowMark || post.now - link.readAt <= post.stands() ||
         post.now - pacedAt > post.stands();
}

bool Node::eligible(const Sub& sub) const {
  const int cells = std::max(1, terms().cells);
  const int offset = ((listing.cell - sub.viewing.firstCell) % cells + cells) % cells;
  if (listing.state != NodeState::ready || offset >= sub.viewing.holders) return false;
  if (!sub.ran || sub.room->effect != Effect::byKey || sub.room->group == Group::all) return true;
  return sub.room->group == Group::zone ? listing.zone == sub.ran->listing.zone
                                        : listing.cell == sub.ran->listing.cell;
}

void Node::gate() {
  const double u = use();
  if (closed ? u > lowMark : u < highMark)
    turningSince = 0;
  else if (turningSince == 0)
    turningSince = post.now;
  if (turningSince == 0 || post.now - turningSince < (closed ? openHold : closeHold)) return;
  closed = !closed;
  turningSince = 0;
}

void Node::strike() {
  failures.add(post.now, 1);
  strikes = std::min(5, strikes + 1);
  shutUntil = std::max(shutUntil, post.now + (second / 2 << strikes));
}

void Node::readLink(double value, Micros age) {
  link = {value, kb - moved.sum(post.now, age), post.now, post.now - age, true};
  post.send(*desk, Read{MeasurementKind::link, value});
}

void Node::readUplink(double value, Micros age, Node* by) {
  if (rack == nullptr) return;
  post.send(*rack, UplinkSeen{value, age, by});
  post.send(*desk, Read{MeasurementKind::uplink, value});
}

// Of an uplink a newcomer sees one node's part, since as many may come to each of the others.
double Node::roomUnder(double mark) const {
  return std::min((mark - linkUse()) * capacity(),
                  (mark - rackUse()) * std::max(1.0, terms().rackUplinkKb) / rackPart);
}

void Node::answer(const Ask& ask) {
  Sub& sub = *ask.sub;
  linkGuess = ask.linkGuess;
  uplinkGuess = ask.uplinkGuess;
  gate();
  Offer offer{&sub,
              this,
              !closed && !(sub.overQuota && use() > idleMark),
              eligible(sub) && healthy() && spoken() && paced(ask),
              failures.sum(post.now) == 0,
              listing.zone == terms().zone,
              false,
              use(),
              sub.room->floor};
  const double room = std::max(0.0, roomUnder(highMark));
  const double recent = admitted.sum(post.now);
  const double share = spareShare * (room + recent) - recent;
  const int top = std::min({sub.viewing.top, sub.room->top, static_cast<int>(terms().ladderKb.size()) - 1});
  offer.rung = sub.room->floor;
  // A newcomer takes more of the share for a rung that gains much by its kB, less for one that gains little.
  for (int rung = sub.room->floor + 1; rung <= top; ++rung) {
    const double weight = post.gainPerKb(*sub.room, static_cast<std::size_t>(rung - 1)) / post.meanGain;
    if (rate(sub, rung) * (1 + rateSpread) > std::min(room, share * weight)) break;
    offer.rung = rung;
  }
  offer.overShare = recent > 0 && rate(sub, offer.rung) > share;
  post.send(*desk, offer);
}

void Node::take(Sub& sub, int rung, bool underWay) {
  subs.push_back(&sub);
  sub.rung = rung;
  setKb(sub, rate(sub, rung));
  if (underWay) return;
  admitted.add(post.now, sub.kb);
  pacedAt = post.now;
}

void Node::leave(Sub& sub, Outcome outcome, const LoadReport& report) {
  setKb(sub, 0);
  std::erase(subs, &sub);
  if (outcome == Outcome::connectFailed || outcome == Outcome::reset) lostAt = post.now;
  if (outcome == Outcome::full) {
    shutUntil = std::max(shutUntil, post.now + std::min(courtesySpan, fullHold << std::min(3, fulls++)));
    if (terms().refusalThreshold > 0 && linkUse() < terms().refusalThreshold)
      readLink(terms().refusalThreshold, 0);
  } else if (outcome != Outcome::ok && outcome != Outcome::cancelled && outcome != Outcome::notSent) {
    // Guards against requests that no node can use: they would shut one node after the other. An error on a
    // title that never played says as much of the title.
    if (outcome != Outcome::error || sub.proven) strike();
  }
  if (outcome != Outcome::full && outcome != Outcome::connectFailed && outcome != Outcome::notSent) {
    sub.ran = this;
    sub.ranSent = sub.sent;
  }
  if (const auto& told = report.linkUse ? report.linkUse : report.linkShare) readLink(*told, reportAge);
  if (report.uplinkUse) readUplink(*report.uplinkUse, reportAge, nullptr);
  gate();
}

void Node::hear(Sub& sub, MeasurementKind reading, double value) {
  // Guards against one broken connection that passes for a death: a subscription from before it that is still
  // heard of, later than notes are late, shows that the process lives and is not cold.
  if (sub.playing && sub.began < lostAt && post.now - lostAt > terms().seenAfter) lostAt = 0;
  const Micros age = sub.toldLink ? terms().seenAfter : 0;
  switch (reading) {
    case MeasurementKind::delivered: {
      const double before = shortNow() ? delivered : 1;
      delivered = value;
      deliveredAt = post.now;
      if (rack) post.send(*rack, Shortfall{this, value, !unexplained()});
      feel(before);
      break;
    }
    case MeasurementKind::rung:
      sub.rung = std::clamp(static_cast<int>(value), 0, static_cast<int>(terms().ladderKb.size()) - 1);
      setKb(sub, rate(sub, sub.rung));
      break;
    case MeasurementKind::link:
      readLink(value, age);
      // Steps up by the link alone would overfill an uplink whose note is only a line behind.
      if (sub.toldLink && !terms().uplinksReported) react(link.about);
      sub.toldLink = true;
      break;
    case MeasurementKind::uplink:
      readUplink(value, age, this);
      break;
  }
  gate();
}

// A departure from leaving playing subscriptions alone: once per round of notes, a node over the high mark
// gives back its own part of the excess and one under the low mark takes up its own part of the room. Every
// director hears the same note, so each scales only what is its own, by the same factor however many they
// are, and waits for a note that speaks of a moment after that before it does so again.
void Node::react(Micros about) {
  const double u = use();
  const bool down = u > highMark;
  if (about <= reactedAt || u <= 0 || (!down && u >= idleMark)) return;
  reactedAt = post.now;
  const double mark = down ? aimMark : raiseMark;
  const double goal = kb * mark / u;
  std::vector<std::pair<Sub*, int>> plan;
  double planned = 0;
  for (Sub* sub : subs) {
    planned += sub->kb;
    if (sub->playing && post.now - sub->stepped >= (u > jamMark ? dwell / 2 : dwell))
      plan.emplace_back(sub, sub->rung);
  }
  while (true) {
    std::pair<Sub*, int>* best = nullptr;
    double bestGain = 0;
    for (auto& entry : plan) {
      auto& [sub, rung] = entry;
      const int top = std::min(sub->viewing.top, sub->room->top);
      if (down ? rung <= sub->room->floor : rung >= top) continue;
      // A step that its subscription will not outlive by enough costs more than it brings.
      if (!down && sub->viewing.length && rung == sub->rung &&
          static_cast<double>(sub->began + *sub->viewing.length - post.now) / second *
                  (terms().rungBenefit[static_cast<std::size_t>(rung) + 1] -
                   terms().rungBenefit[static_cast<std::size_t>(rung)]) <
              terms().switchSeconds)
        continue;
      const double gain =
          (down ? -1 : 1) * post.gainPerKb(*sub->room, static_cast<std::size_t>(down ? rung - 1 : rung));
      if (best == nullptr || gain > bestGain) best = &entry, bestGain = gain;
    }
    if (best == nullptr) break;
    auto& [sub, rung] = *best;
    const double change = rate(*sub, rung + (down ? -1 : 1)) - rate(*sub, rung);
    // In steps of this size; where another would gain more by its kB, likelier the other's to take or to
    // keep.
    const double left =
        (goal - planned) / change * (down ? post.meanGain / -bestGain : bestGain / post.meanGain);
    // Often more than the node's part, and all nodes of a rack would overdo it alike: the last step is taken
    // by chance, so that together they come out right.
    if (left < 1 &&
        (left * 1000 <= static_cast<double>(post.chance() % 1000) || (!down && change > roomUnder(highMark))))
      break;
    planned += change;
    rung += down ? -1 : 1;
  }
  // The others have heard the same and done alike, as far as can be told from here.
  if (!down && kb > 0)
    link.use += std::max(0.0, link.use - link.oursThen / capacity()) * (std::min(planned / kb, mark / u) - 1);
  for (auto& [sub, rung] : plan)
    if (rung != sub->rung) step(*sub, rung);
}

void Node::step(Sub& sub, int rung) {
  sub.rung = rung;
  sub.stepped = post.now;
  setKb(sub, rate(sub, rung));
  post.out->push_back(SetRung{sub.id, rung});
}

// Guards against reports that stay out or come late: where a link is read as nearly full and delivery is
// shorter than that explains, the shortage itself is the reading, as the design has it without reports.
void Node::feel(double before) {
  const Micros age = terms().seenAfter;
  if (delivered > 0.97 || delivered < 0.4 || delivered > before) return;
  if (link.known && linkUse() < 0.9 && post.now - link.about < 2 * terms().reportInterval + age) return;
  if (1 / delivered <= use()) return;
  readLink(1 / delivered, age);
  react(link.about);
}

void Node::listed(const std::optional<ListEntry>& told) {
  if (!told || told->state == NodeState::gone) goneAt = post.now;
  if (!told) return void(listing.state = NodeState::gone);
  const Micros before = listing.readyAt;
  listing = *told;
  listing.readyAt = std::max(before, told->readyAt);
  if (listing.readyAt > before && cold()) strikes = 0, shutUntil = 0, link = {};
}

void Node::read(const Note& note) {
  std::visit(
      [this](const auto& n) {
        using N = std::decay_t<decltype(n)>;
        if constexpr (std::is_same_v<N, Ask>) answer(n);
        if constexpr (std::is_same_v<N, Take>) take(*n.sub, n.rung, n.underWay);
        if constexpr (std::is_same_v<N, Ended>) leave(*n.sub, n.outcome, n.report);
        if constexpr (std::is_same_v<N, Hear>) hear(*n.sub, n.reading, n.value);
        if constexpr (std::is_same_v<N, Listed>) listed(n.entry);
        if constexpr (std::is_same_v<N, UplinkUse>) {
          uplink = n.use;
          if (n.react != 0) react(n.react);
        }
        if constexpr (std::is_same_v<N, Play>)
          fulls = 0, strikes = failures.sum(post.now) > 0 ? std::max(1, strikes - 1) : 0;
      },
      note);
}

// ---- desk ----

void Desk::read(const Note& note) {
  if (const auto* s = std::get_if<Start>(&note)) start(*s->sub);
  if (const auto* r = std::get_if<Read>(&note)) {
    const bool link = r->reading == MeasurementKind::link;
    (link ? linkSum : uplinkSum).add(now(), r->use);
    (link ? linkCount : uplinkCount).add(now(), 1);
  }
  if (const auto* o = std::get_if<Ended>(&note)) ended(*o->sub, o->outcome, o->settled);
  if (const auto* o = std::get_if<Offer>(&note)) {
    o->sub->offers.push_back(*o);
    if (o->sub->offers.size() == o->sub->asked) decide(*o->sub);
  }
}

void Desk::start(Sub& sub) {
  requests.add(now(), 1);
  // Beyond its tenant's share a request is worth little; directors get uneven parts of a tenant's viewers.
  if (sub.viewing.party >= 0) {
    const auto party = static_cast<std::size_t>(sub.viewing.party);
    Tally<10>& rate = partyRate.try_emplace(sub.viewing.party, quotaSpan).first->second;
    rate.add(now(), 1);
    const double even =
        post.terms.quotaPerSecond[party] / post.terms.directors * static_cast<double>(quotaSpan) / second;
    // Guards against chance that passes for excess: of hundreds of directors each sees a few of a tenant.
    sub.overQuota = rate.sum(now()) > quotaLean * even + 2 * std::sqrt(even) + 2;
  }
  const auto it = broken.find(sub.viewing.viewer);
  sub.courtesy = sub.viewing.moved || (it != broken.end() && now() < it->second);
  if (it != broken.end()) broken.erase(it);
  place(sub);
}

bool Desk::mayJoin(const Sub& sub) {
  const ControlSettings& terms = post.terms;
  if (sub.joins >= terms.maxJoins || sub.viewing.deadline - now() < 50'000) return false;
  if (sub.room->seats > 0 && seatsTaken(sub) >= sub.room->seats) return false;
  if (sub.joins > 0 && terms.retryBudget &&
      further.sum(now()) + 1 >
          terms.retryBudget->minRetries + terms.retryBudget->share * requests.sum(now()) * 0.9)
    return false;
  if (!sub.ran || sub.room->effect == Effect::repeatable) return true;
  return sub.room->effect == Effect::byKey && now() - sub.ranSent < sub.room->window;
}

void Desk::place(Sub& sub) {
  if (!mayJoin(sub)) return giveUp(sub);
  // What has been read of late tells of those not read: with many directors most holders are strangers.
  const double links = linkCount.sum(now()), uplinks = uplinkCount.sum(now());
  Ask ask{&sub, (linkSum.sum(now()) + unreadUse) / (links + 1), uplinkSum.sum(now()) / std::max(1.0, uplinks),
          0};
  sub.asked = 0;
  for (int j = 0; j < sub.viewing.holders; ++j) {
    Cell& cell = cells[(sub.viewing.firstCell + j) % std::max(1, post.terms.cells)];
    if (sub.joins == 0) cell.comers.add(now(), 1);
    ask.comers = cell.comers.sum(now());
    for (Node* node : cell.nodes) post.send(*node, ask), ++sub.asked;
  }
  if (sub.asked == 0) giveUp(sub);
}

void Desk::decide(Sub& sub) {
  std::vector<Offer> offers = std::move(sub.offers);
  sub.offers.clear();
  const auto tried = [&](const Offer& o) {
    return std::find(sub.tried.begin(), sub.tried.end(), o.node) != sub.tried.end();
  };
  std::erase_if(offers, [](const Offer& o) { return !o.fit; });
  if (std::any_of(offers.begin(), offers.end(), [&](const Offer& o) { return !tried(o); }))
    std::erase_if(offers, tried);
  // A set-up that may not be repeated goes where nothing has failed of late: an error there is final.
  if (sub.room->effect == Effect::once &&
      std::any_of(offers.begin(), offers.end(), [](const Offer& o) { return o.open && o.clean; }))
    std::erase_if(offers, [](const Offer& o) { return !o.clean; });
  std::vector<Offer> open;
  // Same zone first, but not into holders over the idle mark while another zone has some under it: a zone
  // that lost its directors or gets the crowd would throttle beside idle nodes.
  for (const double under : {idleMark, 1e9})
    for (const bool home : {true, false}) {
      if (!open.empty()) break;
      for (const Offer& o : offers)
        if (o.open && o.use < under && o.home == home) open.push_back(o);
    }
  if (open.empty() && sub.courtesy) open = offers;
  if (open.empty()) return giveUp(sub);
  std::swap(open[0], open[post.chance() % open.size()]);
  Offer best = open[0];
  if (open.size() > 1) {
    const Offer other = open[1 + post.chance() % (open.size() - 1)];
    if (std::pair(other.overShare, other.use) < std::pair(best.overShare, best.use)) best = other;
  }
  if (best.overShare && !sub.courtesy) return giveUp(sub);
  join(sub, best);
}

void Desk::join(Sub& sub, const Offer& offer) {
  if (sub.joins > 0) further.add(now(), 1);
  ++sub.joins;
  sub.tried.push_back(offer.node);
  sub.at = offer.node;
  sub.sent = now();
  sub.rung = offer.rung;
  sub.proven = played.contains(sub.viewing.title);
  ++seatsTaken(sub);
  post.send(*offer.node, Take{&sub, offer.rung, false});
  act(SetRung{sub.id, offer.rung});
  act(Join{sub.id, offer.node->listing.node, patience(sub)});
}

// Leaves time for another join within the join objective, but only where another is allowed.
Micros Desk::patience(const Sub& sub) {
  if (sub.room->effect == Effect::once || sub.joins >= post.terms.maxJoins) return 0;
  const Micros left = sub.viewing.deadline - now();
  const Micros wait = Post::enough(*sub.room);
  return left < wait + 300'000 ? 0 : wait;
}

void Desk::ended(Sub& sub, Outcome outcome, bool settled) {
  if (--seatsTaken(sub) == 0) seats.erase({sub.viewing.title, sub.roomIndex});
  sub.at = nullptr;
  if (sub.playing && outcome != Outcome::ok) broken[sub.viewing.viewer] = now() + courtesySpan;
  if (settled || sub.answered) return void(subs.erase(sub.id));
  place(sub);
}

// The final answer, at once: throttled where the rules let the viewer come again, terminated otherwise.
void Desk::giveUp(Sub& sub) {
  const bool mayReturn = !sub.ran || sub.room->effect == Effect::repeatable ||
                         (sub.room->effect == Effect::byKey && sub.room->group == Group::all);
  if (mayReturn)
    act(Throttle{sub.id, post.comeBack.next()});
  else
    act(Terminate{sub.id});
  subs.erase(sub.id);
}

}  // namespace

// ---- the door: the one place where ids are looked up ----

struct Control::Parts {
  Parts(ControlSettings terms, std::uint64_t seed) : post(std::move(terms), seed), desk(post) {}
  Post post;
  Desk desk;
  Micros askAgainAt = 0;

  Sub* find(SubscriptionId id) {
    const auto it = desk.subs.find(id);
    return it == desk.subs.end() ? nullptr : it->second.get();
  }
  Node& node(NodeId id) {
    auto& slot = desk.nodes[id];
    if (!slot) slot = std::make_unique<Node>(post, desk, id);
    return *slot;
  }
  bool knows(int roomType) const {
    return roomType >= 0 && static_cast<std::size_t>(roomType) < post.terms.roomTypes.size();
  }
  Sub& admit(const SubscriptionInfo& viewing) {
    auto sub = std::make_unique<Sub>();
    sub->id = viewing.sub;
    sub->viewing = viewing;
    // Each cell once, counted from nought: a node asked twice would be both of the two drawn.
    const int all = std::max(1, post.terms.cells);
    sub->viewing.firstCell = (viewing.firstCell % all + all) % all;
    sub->viewing.holders = std::clamp(viewing.holders, 0, all);
    if (viewing.party >= static_cast<int>(post.terms.quotaPerSecond.size())) sub->viewing.party = -1;
    sub->roomIndex = viewing.roomType;
    sub->room = &post.terms.roomTypes[static_cast<std::size_t>(viewing.roomType)];
    return *(desk.subs[viewing.sub] = std::move(sub));
  }

  // Takes with it what the node carries; a machine may be moved.
  void stand(Node& n, Rack* rack) {
    if (n.rack == rack) return;
    if (n.rack != nullptr) {
      n.rack->kb -= n.rack->of(&n).kb;
      std::erase_if(n.rack->nodes, [&](const Rack::Held& held) { return held.node == &n; });
    }
    n.rack = rack;
    n.uplink.reset();
    if (rack == nullptr) return;
    rack->nodes.emplace_back().node = &n;
    rack->nodes.back().kb = n.kb;
    rack->kb += n.kb;
  }
  // Guards against a fleet whose nodes are replaced for weeks: one long gone, with nothing left that speaks
  // of it, is let go. If its number comes back it is new.
  void forget() {
    const Micros before = post.now - std::max(post.terms.coldTime, 2 * courtesySpan);
    std::vector<Node*> held;
    for (const auto& [id, sub] : desk.subs) {
      held.insert(held.end(), sub->tried.begin(), sub->tried.end());
      held.push_back(sub->ran);
      held.push_back(sub->at);
    }
    std::erase_if(desk.nodes, [&](const auto& entry) {
      Node& n = *entry.second;
      if (n.listing.state != NodeState::gone || n.goneAt == 0 || n.goneAt > before || !n.subs.empty() ||
          std::find(held.begin(), held.end(), &n) != held.end())
        return false;
      stand(n, nullptr);
      if (n.cell != nullptr) std::erase(n.cell->nodes, &n);
      return true;
    });
  }

  void on(const ListUpdate& told) {
    if (told.kind == ListKind::lost) return void(askAgainAt = post.now + askAgain);
    forget();
    if (told.kind != ListKind::changes) {
      for (auto& [id, n] : desk.nodes) post.send(*n, Listed{});
      for (auto& [number, cell] : desk.cells) cell.nodes.clear();
    }
    for (const ListEntry& entry : told.entries) {
      Node& n = node(entry.node);
      if (n.cell != nullptr) std::erase(n.cell->nodes, &n);
      n.cell = &desk.cells[entry.cell];
      if (entry.state == NodeState::ready) n.cell->nodes.push_back(&n);
      if (post.terms.racks > 0) {
        auto& rack = desk.racks[entry.cell % post.terms.racks];
        if (!rack) rack = std::make_unique<Rack>(post);
        stand(n, rack.get());
      }
      post.send(n, Listed{entry});
    }
    count(told);
  }
  // Guards against a list that names a part of the fleet, or nodes on their way out beside those that take
  // their place: the sum of all links belongs to the most that were ever ready together.
  void count(const ListUpdate& told) {
    std::map<NodeId, int> kinds;  // as told now; the nodes themselves hear of it after this
    for (const ListEntry& entry : told.entries) kinds[entry.node] = entry.kind;
    double places = 0;
    for (const auto& [number, cell] : desk.cells)
      for (const Node* n : cell.nodes) {
        const auto kind = kinds.find(n->listing.node);
        places += post.terms.slotsOf(kind == kinds.end() ? n->listing.kind : kind->second);
      }
    if (places <= post.mostPlaces) return;
    post.mostPlaces = places;
    post.kbPerPlace = post.terms.totalLinkKb / places;
  }
  void on(const SubscriptionRequested& e) {
    if (find(e.viewing.sub) != nullptr) return;
    // Nothing can be known of it, so it may not be told to come again either.
    if (!knows(e.viewing.roomType)) return desk.act(Terminate{e.viewing.sub});
    post.send(desk, Start{&admit(e.viewing)});
  }
  void on(const SubscriptionAdopted& e) {
    if (find(e.viewing.sub) != nullptr || !knows(e.viewing.roomType)) return;
    Sub& sub = admit(e.viewing);
    sub.playing = sub.answered = sub.toldLink = true;
    sub.began = post.now;
    sub.joins = 1;
    sub.at = &node(e.node);
    sub.rung = sub.room->floor;
    desk.played[sub.viewing.title] = post.now;
    ++desk.seatsTaken(sub);
    post.send(*sub.at, Take{&sub, sub.rung, true});
  }
  void on(const JoinStarted& e) {
    Sub* sub = find(e.sub);
    if (sub == nullptr || sub->at == nullptr || e.join != sub->joins - 1) return;
    sub->playing = sub->answered = true;
    sub->began = desk.played[sub->viewing.title] = post.now;
    post.send(*sub->at, Play{});
  }
  // Guards against numbers that are none: they pass every comparison and poison every sum.
  static bool sound(double& value) {
    if (!std::isfinite(value) || value < 0) return false;
    value = std::min(value, readMost);
    return true;
  }
  void on(const MeasurementReported& e) {
    Sub* sub = find(e.sub);
    if (sub == nullptr || sub->at == nullptr || sub->at->listing.node != e.node) return;
    double value = e.value;
    if (e.reading == MeasurementKind::rung && std::isfinite(value))
      value = std::clamp(value, 0.0, static_cast<double>(post.terms.ladderKb.size() - 1));
    else if (!sound(value))
      return;
    post.send(*sub->at, Hear{sub, e.reading, value});
  }
  void on(const JoinEnded& e) {
    Sub* sub = find(e.sub);
    if (sub == nullptr || sub->at == nullptr || sub->at->listing.node != e.node || e.join != sub->joins - 1)
      return;
    Ended ended{sub, e.outcome, e.report, e.settled};
    for (std::optional<double>* told :
         {&ended.report.linkShare, &ended.report.linkUse, &ended.report.uplinkUse})
      if (*told && !sound(**told)) told->reset();
    post.send(*sub->at, ended);
    post.send(desk, ended);
  }
  void on(const SubscriptionAbandoned& e) {
    Sub* sub = find(e.sub);
    if (sub == nullptr) return;
    sub->answered = true;
    if (sub->at == nullptr) return void(desk.subs.erase(sub->id));
    if (!sub->playing && post.terms.cancelling) desk.act(CancelJoin{sub->id, sub->joins - 1});
  }
  void on(const TimerFired&) {
    std::erase_if(desk.broken, [&](const auto& entry) { return entry.second < post.now; });
    std::erase_if(desk.played, [&](const auto& entry) { return entry.second + playedSpan < post.now; });
    desk.act(SetTimer{0, tickSpan});
    // Not at once: a list out of reach is one service that all directors ask.
    if (askAgainAt != 0 && post.now >= askAgainAt) {
      askAgainAt = 0;
      desk.act(WatchList{});
    }
  }
};

int ControlSettings::slotsOf(int kind) const {
  const auto k = static_cast<std::size_t>(kind);
  if (k < slotsByKind.size()) return std::max(1, slotsByKind[k]);
  return slotsByKind.empty() ? 1 : std::max(1, *std::min_element(slotsByKind.begin(), slotsByKind.end()));
}

RetryAfterSchedule::RetryAfterSchedule(const ControlSettings& terms)
    : middle_(terms.retryAfter ? std::min(advised, terms.maxRetryAfter * 2 / 3) : 0),
      place_(0.618034 * terms.ordinal) {}

Micros RetryAfterSchedule::next() {
  place_ = std::fmod(place_ + 0.618034, 1.0);
  return middle_ / 2 + static_cast<Micros>(place_ * static_cast<double>(middle_));
}

Control::Control(ControlSettings terms, std::uint64_t seed)
    : parts_(std::make_unique<Parts>(std::move(terms), seed)) {}
Control::~Control() = default;
Control::Control(Control&&) noexcept = default;
Control& Control::operator=(Control&&) noexcept = default;

// A director that stood still finds all that came meanwhile at once: what is told of nodes and joins holds
// for every request of the same turn.
void Control::handle(Micros now, const std::vector<Event>& turn, std::vector<Action>& actions) {
  Post& post = parts_->post;
  if (now - post.now > 2 * tickSpan) post.wokeAt = now;
  post.now = now;
  post.out = &actions;
  if (post.born == 0) {
    post.born = now;
    actions.push_back(SetTimer{0, tickSpan});
    if (post.terms.listOnRequest) actions.push_back(WatchList{});
  }
  std::vector<const SubscriptionRequested*> requests;
  for (const Event& event : turn) {
    if (const auto* request = std::get_if<SubscriptionRequested>(&event)) {
      requests.push_back(request);
      continue;
    }
    if (const auto* lapsed = std::get_if<SubscriptionAbandoned>(&event))
      std::erase_if(requests, [&](const SubscriptionRequested* r) { return r->viewing.sub == lapsed->sub; });
    std::visit([&](const auto& e) { parts_->on(e); }, event);
    post.run();
  }
  for (const SubscriptionRequested* request : requests) {
    parts_->on(*request);
    post.run();
  }
}

}  // namespace lupinsill
