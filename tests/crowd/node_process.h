/// \file node_process.h A node as a process of its own, and what it uses.
#ifndef FULMARSTEP_TESTS_CROWD_NODE_PROCESS_H
#define FULMARSTEP_TESTS_CROWD_NODE_PROCESS_H

#include <filesystem>
#include <string>
#include <sys/types.h>

namespace fulmar {

/// A process of the program under test, killed at the end of its scope.
class NodeProcess {
public:
  /// Starts `fulmarstep SUBCOMMAND --settings FILE`, where FILE holds
  /// \p Settings. The program is that of the environment variable FULMARSTEP,
  /// by default the one of this build.
  /// \param MaxDescriptors limit on the descriptors of the process.
  NodeProcess(const std::string &Subcommand, const std::string &Settings,
              int MaxDescriptors);
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  /// \return Whether the process runs.
  bool alive();
  /// \return Largest resident memory so far, MB.
  double peakMemoryMb() const { return statusMb("VmHWM:"); }
  /// \return Resident memory, MB.
  double memoryMb() const { return statusMb("VmRSS:"); }
  /// \return Open descriptors.
  int descriptors() const;
  /// \return Everything that it wrote to standard output and standard error.
  std::string log() const;

private:
  double statusMb(const std::string &Field) const;

  std::filesystem::path Dir; ///< Holds its settings and its log.
  pid_t Pid = -1;            ///< The process; -1 once it has been waited for.
};

/// Raises this process's limit on descriptors as far as it may.
void raiseDescriptorLimit();

} // namespace fulmar

#endif
