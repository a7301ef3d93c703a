// The directors of a day: processes of their own, started from this same program on loopback, killed, stopped
// and started again by the script. They die with the lab, however it ends.
// Errors: std::runtime_error where a director does not come up.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "audit/record.h"
#include "lab/day.h"

namespace lupinsill::lab {

struct Place {  // of a director
  int run = 0;  // counts its starts
  pid_t pid = 0;
  int zone = 0;
  int players = 0;  // port, 0 while it is down
  int admin = 0;
  int grpc = 0;  // where it is asked for
  Micros stoppedAt = -1;
  std::string folder;
};

class Processes {
 public:
  Processes(const Day& day, std::string folder, std::vector<std::string> extraArguments, bool grpc = false);
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  void start(int place);
  // Reads the ports of those that have come up since.
  void look();
  // From now on each starts on the ports that it has, as in service.
  void keepPorts();
  // The places of those that ended by themselves since; they may be started again.
  std::vector<int> ended();
  void kill(int place);
  void kill(int place, Micros now, audit::Record& record);
  void stop(int place, Micros now);  // SIGSTOP
  void go(int place, Micros now, audit::Record& record);
  // Ends all of them in order; false where one did not end by itself within five seconds.
  bool end();
  const std::vector<Place>& places() const { return places_; }
  std::string listFile() const { return folder_ + "/nodes.xml"; }
  double cpuSeconds() const { return cpuSeconds_; }

 private:
  void writeSettings(int place);
  void reap(pid_t pid);
  bool grpc_;
  const Day& day_;
  std::string folder_;
  std::vector<std::string> extra_;
  std::vector<Place> places_;
  double cpuSeconds_ = 0;
};

}  // namespace lupinsill::lab
