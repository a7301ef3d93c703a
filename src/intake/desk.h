// Who may speak to a director, and what a player's word means in the state that its call is in: for every
// protocol alike. A peer is one connection; a call is one ask on it and what follows, and has a line that no
// other call of the director ever had. No socket, no clock, no format: an edge says what came and asks
// whether it may send; the desk keeps, for any order of words:
//  1. of the answers to a call, one is sent and no second, whatever the front or a fault behind it says;
//  2. the front hears of a call at most once that it was asked, and once that it went;
//  3. a peer that asks and takes back without end, or heaps up calls, is ended, and not its neighbours;
//  4. a drain ends no call: a peer is told to go elsewhere first, is waited for, and ended when it is idle.
// Times are whole microseconds on the caller's clock. Nothing throws; a word about a line that has gone is
// passed over. Source: RFC 9113 6.8 (GOAWAY in two steps), docs/design/clients.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "control.h"
#include "session/front.h"

namespace lupinsill::intake {

using PeerId = std::uint64_t;
using session::Line;

struct Bounds {
  std::size_t peers = 10'000;
  std::size_t callsPerPeer = 32;
  // Calls taken back before their answer: so many at once, and so many a second after that.
  double takenBackFew = 100;
  double takenBackPerSecond = 10;
  Micros askWait = 5'000'000;         // a call without an ask is ended after it
  Micros noticeSpan = 1'000'000;      // between the notice of a drain and the last word on it
  Micros callRefusedAfter = 500'000;  // when a call over the bound may come back
  Micros refusedAfter = 1'000'000;    // when a peer over the bound may come back
};

struct Arrival {
  PeerId peer = 0;
  bool taken = false;
  Micros retryAfter = 0;
};

enum class NotOpened { no, tooManyCalls, unruly };
struct Opened {
  Line line = 0;
  NotOpened why = NotOpened::no;
  Micros retryAfter = 0;  // of one that was not opened
};

// What a player did on its call.
enum class Word { ask, leave, halfClose, reset };
// What the edge does about it.
enum class Step {
  pass,      // nothing
  take,      // hand the ask to the front
  tellLeft,  // tell the front that the player left
  tellGone,  // tell the front that the player vanished: it may come back with its key
  refuse,    // the word has no place here: end the call as the protocol does for a wrong message
  over,      // end the call; the front knows nothing of it
};
struct Heard {
  Step step = Step::pass;
  bool unruly = false;    // besides: end the whole peer
  bool tellGone = false;  // besides, of a word refused: the front has the call and has to hear
};

// What the director says on a call.
enum class Tell { playing, throttled, terminated, error, rung, ended };
enum class Send { no, andStay, andEnd };

// What is due by time.
struct Due {
  enum class What {
    notice,    // tell the peer that it should open no more calls here
    lastWord,  // tell it which calls were taken: later ones were not
    endPeer,   // it is idle and has been told: close it
    endCall    // its own deadline has passed
  } what;
  PeerId peer = 0;
  Line line = 0;
  bool tellGone = false;  // of a call that the front has
};

struct Figures {
  std::uint64_t taken = 0, refused = 0, calls = 0, callsRefused = 0, unruly = 0, wrongWords = 0;
  std::uint64_t secondAnswers = 0;  // stays 0 on a sound build
  std::uint64_t deadlines = 0;
  std::size_t peers = 0, open = 0;
};

class Desk {
 public:
  explicit Desk(const Bounds& bounds) : bounds_(bounds) {}
  void setBounds(const Bounds& bounds) { bounds_ = bounds; }

  // ---- peers ----
  Arrival arrive(Micros now);
  // Its connection is gone: the lines that the front has to hear of.
  std::vector<Line> depart(PeerId peer);

  // ---- calls ----
  // `timeout`: of the call as a whole, where its protocol has one.
  Opened open(Micros now, PeerId peer, std::optional<Micros> timeout);
  Heard word(Micros now, Line line, Word word);
  // The front would not have the ask: nothing of it was taken.
  void refused(Line line);
  // Whether this may be sent, and whether the call ends with it.
  Send tell(Line line, Tell tell);
  // What is left of the call's own deadline.
  std::optional<Micros> timeLeft(Micros now, Line line) const;

  // ---- the director as a whole ----
  void drain(bool on);
  bool draining() const { return draining_; }
  void tick(Micros now, std::vector<Due>& due);
  Figures figures() const;

 private:
  enum class State { opened, asked, plays };
  enum class Told { nothing, notice, lastWord, ended };
  struct Peer {
    std::set<Line> calls;
    double takenBack = 0;  // in a bucket that empties
    Micros emptiedAt = 0;
    Told told = Told::nothing;
    Micros toldAt = 0;
    bool unruly = false;
  };
  struct Call {
    PeerId peer = 0;
    State state = State::opened;
    Micros until = 0;
    std::optional<Micros> deadline;
  };
  void end(Line line);
  bool takeBack(Micros now, Peer& peer);

  Bounds bounds_;
  bool draining_ = false;
  bool telling_ = false;  // somebody may have been told of a drain
  PeerId nextPeer_ = 0;
  Line nextLine_ = 0;
  std::map<PeerId, Peer> peers_;
  std::map<Line, Call> calls_;
  std::set<std::pair<Micros, Line>> untils_;
  Figures figures_;
};

}  // namespace lupinsill::intake
