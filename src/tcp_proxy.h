/// \file tcp_proxy.h A proxy that spoils the connections through it; for soaks.
#ifndef FULMARSTEP_TCP_PROXY_H
#define FULMARSTEP_TCP_PROXY_H

#include <memory>
#include <string>

#include "event_loop.h"

namespace fulmar {

/// What happens to the bytes of all connections.
enum class ProxyMode {
  Pass,    ///< They go on.
  Delay,   ///< They go on a while later.
  OneWay,  ///< Answers are swallowed.
  Silent,  ///< Nothing goes on, and nothing is closed.
  Reset,   ///< Connections are reset as soon as they are used.
  Count,   ///< Number of modes.
  Invalid, ///< Not a mode.
};

/// Passes connections on to one address.
class TcpProxy {
public:
  /// \throws Error ListenFailed.
  TcpProxy(EventLoop &Loop, const std::string &Host, int Port,
           const std::string &Target);
  ~TcpProxy();
  TcpProxy(const TcpProxy &) = delete;
  TcpProxy &operator=(const TcpProxy &) = delete;

  /// \return The port; of use when 0 was asked for.
  int port() const;
  /// Changes what happens. What was swallowed or held stays lost.
  void setMode(ProxyMode Mode, Duration Delay = Duration::zero());

  struct Impl; ///< Defined in the adapter.

private:
  std::unique_ptr<Impl> Data; ///< Keeps libevent out of this header.
};

} // namespace fulmar

#endif
