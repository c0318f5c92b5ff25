/// \file raw_socket.h A TCP client and server that send exact bytes.
#ifndef FULMARSTEP_TESTS_RAW_SOCKET_H
#define FULMARSTEP_TESTS_RAW_SOCKET_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <map>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "event_loop.h"

namespace fulmar {

/// Runs a loop until \p Done returns true or \p Timeout has passed.
/// \return Whether \p Done returns true.
template <typename Fn>
bool runUntil(EventLoop &Loop, Fn Done,
              Duration Timeout = std::chrono::seconds(5)) {
  TimePoint End = EventLoop::clock() + Timeout;
  // The loop sleeps until a timer is due; this timer makes it check Done often.
  TimerId Tick =
      Loop.timers().every(std::chrono::milliseconds(5), [] { /* wakes */ });
  while (!Done() && EventLoop::clock() < End)
    Loop.runOnce();
  Loop.timers().cancel(Tick);
  return Done();
}

/// Accepts connections and reads nothing, as a process that is paused.
struct SilentListener {
  int Fd = -1; ///< The listening socket.

  explicit SilentListener(int Port) {
    Fd = ::socket(AF_INET, SOCK_STREAM, 0);
    int On = 1;
    ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Own{};
    Own.sin_family = AF_INET;
    Own.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, "127.0.0.1", &Own.sin_addr);
    constexpr int Backlog = 64;
    if (::bind(Fd, reinterpret_cast<sockaddr *>(&Own), sizeof(Own)) != 0 ||
        ::listen(Fd, Backlog) != 0)
      throw std::runtime_error("cannot listen");
  }
  ~SilentListener() { ::close(Fd); }
  SilentListener(const SilentListener &) = delete;
  SilentListener &operator=(const SilentListener &) = delete;
};

/// Listens on a free port of the loopback address.
/// \param[out] Port that port.
/// \return The socket, which does not block.
inline int listenOnLoopback(int &Port) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  inet_pton(AF_INET, "127.0.0.1", &Local.sin_addr);
  socklen_t Size = sizeof(Local);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Local), Size) != 0)
    throw std::runtime_error("cannot bind");
  ::listen(Fd, 16);
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Local), &Size);
  Port = ntohs(Local.sin_port);
  return Fd;
}

/// A client that sends bytes unchanged and records what it receives.
struct RawClient {
  int Fd = -1;          ///< The socket.
  std::string Received; ///< Everything received.
  bool Ended = false;   ///< The server has closed the connection.

  explicit RawClient(int Port) {
    Fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, "127.0.0.1", &To.sin_addr);
    if (::connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0)
      throw std::runtime_error("cannot connect");
    ::fcntl(Fd, F_SETFL, O_NONBLOCK);
  }
  ~RawClient() { close(); }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;

  void send(const std::string &Bytes) const {
    (void)!::write(Fd, Bytes.data(), Bytes.size());
  }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }
  /// Reads all available bytes.
  void receive() {
    char Buffer[4096];
    ssize_t Size = 0;
    while (Fd >= 0 && (Size = ::read(Fd, Buffer, sizeof(Buffer))) > 0)
      Received.append(Buffer, static_cast<std::size_t>(Size));
    Ended = Ended || Size == 0 || (Size < 0 && errno != EAGAIN);
  }
};

/// What a RawServer does with a connection after a response.
enum class RawCloseMode {
  Keep,    ///< Keeps it open.
  Close,   ///< Closes it in an orderly way.
  Reset,   ///< Resets it.
  Count,   ///< Number of actions.
  Invalid, ///< Not an action.
};

/// Whether a RawServer sends its responses a second time.
enum class RawRepeat {
  Never,        ///< It does not.
  OnConnection, ///< When the next request arrives on the same connection.
  OnServer,     ///< When the next request arrives on any connection.
  Count,        ///< Number of values.
  Invalid,      ///< Not a value.
};

/// A server that responds to each read with the next of its responses, whatever
/// the request.
struct RawServer {
  EventLoop &Loop;   ///< Event loop of the server.
  int Listener = -1; ///< The listening socket.
  int Port = 0;      ///< Port that it listens on.
  std::vector<std::string>
      Responses; ///< Sent in order; the last one is repeated.
  RawCloseMode End = RawCloseMode::Keep; ///< Action after each response.
  RawRepeat Repeat = RawRepeat::Never;   ///< Second copies of the responses.
  std::vector<std::string> Requests;     ///< Heads and bodies, as received.
  std::vector<int> Fds;                  ///< Accepted connections.

  RawServer(EventLoop &L, std::vector<std::string> A, RawCloseMode E)
      : Loop(L), Responses(std::move(A)), End(E) {
    Listener = listenOnLoopback(Port);
    Loop.watchReadable(Listener, [this] { accept(); });
  }
  ~RawServer() {
    Loop.unwatch(Listener);
    ::close(Listener);
    for (int Fd : Fds) {
      Loop.unwatch(Fd);
      ::close(Fd);
    }
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  static constexpr int AnySocket = -1; ///< Key of Late.
  std::map<int, std::string>
      Late; ///< Sent before the next response, by socket.

  void accept() {
    int Fd = ::accept(Listener, nullptr, nullptr);
    if (Fd < 0)
      return;
    Late.erase(Fd);
    ::fcntl(Fd, F_SETFL, O_NONBLOCK);
    Fds.push_back(Fd);
    Loop.watchReadable(Fd, [this, Fd] { respond(Fd); });
  }

  void respond(int Fd) {
    char Buffer[65536];
    ssize_t Size = ::read(Fd, Buffer, sizeof(Buffer));
    if (Size <= 0) {
      Loop.unwatch(Fd);
      return;
    }
    Requests.emplace_back(Buffer, static_cast<std::size_t>(Size));
    std::size_t Index = std::min(Requests.size(), Responses.size()) - 1;
    int Next = Repeat == RawRepeat::OnServer ? AnySocket : Fd;
    std::string Bytes = Late[Next] + Responses[Index];
    if (Repeat != RawRepeat::Never)
      Late[Next] = Responses[Index];
    (void)!::write(Fd, Bytes.data(), Bytes.size());
    if (End == RawCloseMode::Keep)
      return;
    Loop.unwatch(Fd);
    std::erase(Fds, Fd);
    if (End == RawCloseMode::Reset) {
      linger Now{1, 0};
      ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    }
    ::close(Fd);
  }
};

} // namespace fulmar

#endif
