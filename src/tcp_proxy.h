/// \file tcp_proxy.h A TCP proxy that injects network faults; for soak tests.
#ifndef FULMARSTEP_TCP_PROXY_H
#define FULMARSTEP_TCP_PROXY_H

#include <memory>
#include <string>

#include "event_loop.h"

namespace fulmar {

/// What the proxy does with the bytes of all connections.
enum class ProxyMode {
  Pass,    ///< Forwards them.
  Delay,   ///< Forwards them after a delay.
  OneWay,  ///< Drops the bytes from the target.
  Silent,  ///< Drops all bytes and closes nothing.
  Reset,   ///< Resets a connection as soon as bytes arrive on it.
  Count,   ///< Number of modes.
  Invalid, ///< Not a mode.
};

/// How the connections from one IP address fail, while all others work.
enum class ProxyCut {
  None,    ///< They work.
  Silent,  ///< Open and new connections hang; nothing is acknowledged.
  Reset,   ///< Open connections are reset, new ones hang.
  Refused, ///< Open connections work, new ones are reset.
  Count,   ///< Number of values.
  Invalid, ///< Not a value.
};

/// Forwards connections to one address.
class TcpProxy {
public:
  /// \throws Error ListenFailed.
  TcpProxy(EventLoop &Loop, const std::string &Host, int Port,
           const std::string &Target);
  ~TcpProxy();
  TcpProxy(const TcpProxy &) = delete;
  TcpProxy &operator=(const TcpProxy &) = delete;

  /// \return The bound port, also if it was assigned by the system (port 0).
  int port() const;
  /// Changes the mode. Bytes that were dropped stay lost.
  void setMode(ProxyMode Mode, Duration Delay = Duration::zero());
  /// \return The mode.
  ProxyMode mode() const;
  /// Holds all bytes back while \p Paused; connections are accepted.
  void pause(bool Paused);
  /// Closes all connections and refuses new ones while \p Refused, as the host
  /// of a process that has ended.
  void refuse(bool Refused);
  /// Partitions the host \p Source, an IP address, from the target, or ends
  /// that.
  void cut(const std::string &Source, ProxyCut Cut);
  /// Resets connections in ProxyCut::Refused only after \p Delay, when the
  /// client has seen them established.
  void delayResets(Duration Delay);

  struct Impl; ///< Defined in tcp_proxy.cpp.

private:
  std::unique_ptr<Impl> Data; ///< Hides libevent from this header.
};

} // namespace fulmar

#endif
