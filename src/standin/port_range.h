/// \file standin/port_range.h Ports that no other process of ours uses.
#ifndef FULMARSTEP_STANDIN_PORT_RANGE_H
#define FULMARSTEP_STANDIN_PORT_RANGE_H

#include <cstddef>
#include <string>
#include <vector>

namespace fulmar {

/// Ranges lie between these ports. Below them `scripts/soak` chooses its ports;
/// above them the other scripts have fixed ones. Ports of outgoing connections
/// begin at 32768 on Linux, and any process that connects may get one of those.
inline constexpr int FirstRangePort = 12000;
inline constexpr int EndRangePort = 19000;
/// Ports of one range: more than the nodes and stand-ins of one test listen on.
inline constexpr int PortsOfRange = 100;

/// Some ports in a row, held for as long as this object lives.
///
/// Processes that choose ports by themselves take the same ones now and then.
/// One sees a node that never answers, because another process listens on its
/// port. The range is locked by a file, which the system lets go when the
/// process ends in any way.
class PortRange {
public:
  /// Takes a range that nobody holds.
  /// \throws Error when all are held.
  PortRange();
  PortRange(const PortRange &) = delete;
  PortRange &operator=(const PortRange &) = delete;
  ~PortRange();

  /// \return The lowest port of the range.
  int first() const { return First; }

private:
  int First = 0;
  int LockFile = -1; ///< Open while the range is held.
};

/// Finds ports of this process's range that nobody listens on now.
std::vector<int> freePorts(const std::string &Host, std::size_t Count);

} // namespace fulmar

#endif
