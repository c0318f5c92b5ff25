/// \file datagram.h A UDP socket on the event loop.
#ifndef FULMARSTEP_DATAGRAM_H
#define FULMARSTEP_DATAGRAM_H

#include <functional>
#include <string_view>

#include "event_loop.h"
#include "settings_func.h"

namespace fulmar {

/// Sends and receives datagrams.
class DatagramSocket {
public:
  using ReceiveFn = std::function<void(std::string_view)>;

  /// \throws Error ListenFailed.
  DatagramSocket(EventLoop &Loop, const HostPort &Local, ReceiveFn Fn);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// Sends one datagram. It may be lost without notice.
  void send(const HostPort &To, std::string_view Bytes);

private:
  void drain();

  EventLoop &Loop; ///< Polls the socket.
  ReceiveFn Fn;    ///< Called for each datagram.
  int Fd = -1;     ///< The socket.
};

} // namespace fulmar

#endif
