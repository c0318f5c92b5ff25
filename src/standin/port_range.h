/// \file standin/port_range.h Ports reserved for one process.
#ifndef FULMARSTEP_STANDIN_PORT_RANGE_H
#define FULMARSTEP_STANDIN_PORT_RANGE_H

#include <cstddef>
#include <string>
#include <vector>

namespace fulmar {

/// Bounds of all ranges. `scripts/soak` takes its ports below the first bound;
/// the other scripts use fixed ports above the second. Ephemeral ports begin at
/// 32768 on Linux, and any outgoing connection may get one of those.
inline constexpr int FirstRangePort = 12000;
inline constexpr int EndRangePort = 19000;
/// Number of ports in a range: more than the nodes and stand-ins of one test
/// listen on.
inline constexpr int PortsPerRange = 100;

/// Reserves a range of consecutive ports for the lifetime of this object.
///
/// Processes that each pick free ports independently sometimes pick the same
/// ones; a node then appears never to respond, because another process listens
/// on its port. A lock on a file reserves the range. The operating system
/// releases the lock however the process ends.
class PortRange {
public:
  /// Reserves the first range that no process holds.
  /// \throws Error when all ranges are held.
  PortRange();
  PortRange(const PortRange &) = delete;
  PortRange &operator=(const PortRange &) = delete;
  ~PortRange();

  /// \return The lowest port of the range.
  int first() const { return First; }

private:
  int First = 0;     ///< Lowest port of the range.
  int LockFile = -1; ///< Descriptor of the lock file; open while held.
};

/// Finds \p Count ports of this process's range on which no process listens.
/// \throws Error when the range has too few.
std::vector<int> freePorts(const std::string &Host, std::size_t Count);

} // namespace fulmar

#endif
