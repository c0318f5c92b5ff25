/// \file node_process.cpp A node as a process of its own, and what it uses.
#include "node_process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fulmar {

static std::string readAll(const std::filesystem::path &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

NodeProcess::NodeProcess(const std::string &Subcommand,
                         const std::string &Settings, int MaxDescriptors) {
  std::string Pattern =
      std::filesystem::temp_directory_path() / "fulmarstep-crowd-XXXXXX";
  if (!::mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot make a directory");
  Dir = Pattern;
  std::string File = Dir / "node.json";
  std::string Log = Dir / "node.log";
  std::ofstream(File) << Settings;
  const char *Named = std::getenv("FULMARSTEP");
  std::string Program = Named ? Named : FULMARSTEP_PROGRAM;
  Pid = ::fork();
  if (Pid < 0)
    throw std::runtime_error("cannot start a process");
  if (Pid > 0)
    return;
  // It must not outlive a test that is ended from outside.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  rlimit Limit{static_cast<rlim_t>(MaxDescriptors),
               static_cast<rlim_t>(MaxDescriptors)};
  ::setrlimit(RLIMIT_NOFILE, &Limit);
  int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ::dup2(Out, STDOUT_FILENO);
  ::dup2(Out, STDERR_FILENO);
  constexpr unsigned FirstOther = 3;
  ::close_range(FirstOther, ~0U, 0);
  ::execl(Program.c_str(), Program.c_str(), Subcommand.c_str(), "--settings",
          File.c_str(), nullptr);
  ::_exit(127);
}

NodeProcess::~NodeProcess() {
  if (Pid > 0) {
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Dir, Ignored);
}

bool NodeProcess::alive() {
  if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = -1;
  return Pid > 0;
}

double NodeProcess::statusMb(const std::string &Field) const {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
  std::string Word;
  constexpr double KbPerMb = 1024;
  while (In >> Word) {
    double Kb = 0;
    if (Word == Field && In >> Kb)
      return Kb / KbPerMb;
  }
  throw std::runtime_error("the process is gone");
}

int NodeProcess::descriptors() const {
  std::filesystem::directory_iterator Open("/proc/" + std::to_string(Pid) +
                                           "/fd");
  return static_cast<int>(
      std::distance(std::filesystem::begin(Open), std::filesystem::end(Open)));
}

std::string NodeProcess::log() const { return readAll(Dir / "node.log"); }

void raiseDescriptorLimit() {
  rlimit Limit{};
  ::getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &Limit);
}

} // namespace fulmar
