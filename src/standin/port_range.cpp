/// \file port_range.cpp Ports that no other process of ours uses.
#include "standin/port_range.h"

#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

#include "http_server.h"
#include "result_type.h"

namespace fulmar {

/// Everybody may lock a file that another user made.
static constexpr mode_t LockMode = 0666;

/// \return The file that locks the range that begins at \p First.
static std::string lockPath(int First) {
  std::string Name = "fulmarstep-ports-" + std::to_string(First);
  return std::filesystem::temp_directory_path() / Name;
}

PortRange::PortRange() {
  for (int Port = FirstRangePort; Port < EndRangePort; Port += PortsOfRange) {
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
  static PortRange Mine;
  static int Next = 0;
  TimerService Timers;
  EventLoop Loop(Timers);
  std::vector<int> Ports;
  for (int Tries = 0; Ports.size() < Count && Tries < PortsOfRange; ++Tries) {
    int Port = Mine.first() + Next++ % PortsOfRange;
    try {
      HttpServer Probe(Loop, Host, Port, 1, [](const HttpExchangePtr &) {});
      Ports.push_back(Port);
    } catch (const Error &) {
      // Taken by somebody else; the next one will do.
    }
  }
  if (Ports.size() < Count)
    throw Error(ResultCode::ListenFailed, "no free ports on " + Host);
  return Ports;
}

} // namespace fulmar
