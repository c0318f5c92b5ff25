/// \file port_range.cpp Ports reserved for one process.
#include "standin/port_range.h"

#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

#include "http_server.h"
#include "result_type.h"

namespace fulmar {

/// All users may open the lock file, whoever created it.
static constexpr mode_t LockMode = 0666;

/// \return Path of the lock file of the range that begins at \p First.
static std::string lockPath(int First) {
  std::string Name = "fulmarstep-ports-" + std::to_string(First);
  return std::filesystem::temp_directory_path() / Name;
}

PortRange::PortRange() {
  for (int Port = FirstRangePort; Port < EndRangePort; Port += PortsPerRange) {
    int File =
        ::open(lockPath(Port).c_str(), O_CREAT | O_RDWR | O_CLOEXEC, LockMode);
    if (File < 0)
      continue;
    if (::flock(File, LOCK_EX | LOCK_NB) == 0) {
      First = Port;
      LockFile = File;
      return;
    }
    ::close(File);
  }
  throw Error(ResultCode::ListenFailed, "all ranges of ports are held");
}

PortRange::~PortRange() { ::close(LockFile); }

std::vector<int> freePorts(const std::string &Host, std::size_t Count) {
  static PortRange Range;
  static int Next = 0;
  TimerService Timers;
  EventLoop Loop(Timers);
  std::vector<int> Ports;
  for (int Tries = 0; Ports.size() < Count && Tries < PortsPerRange; ++Tries) {
    int Port = Range.first() + Next++ % PortsPerRange;
    try {
      HttpServer Probe(Loop, Host, Port, 1, [](const HttpExchangePtr &) {});
      Ports.push_back(Port);
    } catch (const Error &) {
      // Another process listens on this port; try the next one.
    }
  }
  if (Ports.size() < Count)
    throw Error(ResultCode::ListenFailed, "no free ports on " + Host);
  return Ports;
}

} // namespace fulmar
