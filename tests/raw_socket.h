/// \file raw_socket.h Plain sockets that say exactly what a test wants said.
#ifndef FULMARSTEP_TESTS_RAW_SOCKET_H
#define FULMARSTEP_TESTS_RAW_SOCKET_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "event_loop.h"

namespace fulmar {

/// Runs a loop until \p Done, or until \p Most has passed.
template <typename Fn>
bool runUntil(EventLoop &Loop, Fn Done,
              Duration Most = std::chrono::seconds(5)) {
  TimePoint End = EventLoop::clock() + Most;
  // The loop sleeps until a timer is due; this keeps it looking at Done.
  TimerId Tick =
      Loop.timers().every(std::chrono::milliseconds(5), [] { /* wakes */ });
  while (!Done() && EventLoop::clock() < End)
    Loop.runOnce();
  Loop.timers().cancel(Tick);
  return Done();
}

/// A client that sends bytes as they are and keeps what comes back.
struct RawClient {
  int Fd = -1;        ///< The socket.
  std::string Got;    ///< Everything received.
  bool Ended = false; ///< The other side has closed.

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
  /// Takes in what has come.
  void take() {
    char Buffer[4096];
    ssize_t Size = 0;
    while (Fd >= 0 && (Size = ::read(Fd, Buffer, sizeof(Buffer))) > 0)
      Got.append(Buffer, static_cast<std::size_t>(Size));
    Ended = Ended || Size == 0 || (Size < 0 && errno != EAGAIN);
  }
};

/// How a RawServer ends a connection after its answer.
enum class RawEnd {
  Keep,    ///< Stays open.
  Close,   ///< Closes in good order.
  Reset,   ///< Resets.
  Count,   ///< Number of ways.
  Invalid, ///< Not a way.
};

/// A server that answers each request with the next of its texts, whatever
/// was asked.
struct RawServer {
  EventLoop &Loop;                   ///< Where it runs.
  int Listener = -1;                 ///< The listening socket.
  int Port = 0;                      ///< Where it listens.
  std::vector<std::string> Answers;  ///< The last one is repeated.
  RawEnd End = RawEnd::Keep;         ///< After each answer.
  std::vector<std::string> Requests; ///< Heads and bodies, as they came.
  std::vector<int> Fds;              ///< Accepted connections.

  RawServer(EventLoop &L, std::vector<std::string> A, RawEnd E)
      : Loop(L), Answers(std::move(A)), End(E) {
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in Local{};
    Local.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &Local.sin_addr);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Local), sizeof(Local)))
      throw std::runtime_error("cannot bind");
    ::listen(Listener, 16);
    socklen_t Size = sizeof(Local);
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Local), &Size);
    Port = ntohs(Local.sin_port);
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
  void accept() {
    int Fd = ::accept(Listener, nullptr, nullptr);
    if (Fd < 0)
      return;
    ::fcntl(Fd, F_SETFL, O_NONBLOCK);
    Fds.push_back(Fd);
    Loop.watchReadable(Fd, [this, Fd] { answer(Fd); });
  }

  void answer(int Fd) {
    char Buffer[65536];
    ssize_t Size = ::read(Fd, Buffer, sizeof(Buffer));
    if (Size <= 0) {
      Loop.unwatch(Fd);
      return;
    }
    Requests.emplace_back(Buffer, static_cast<std::size_t>(Size));
    std::size_t Index = std::min(Requests.size(), Answers.size()) - 1;
    (void)!::write(Fd, Answers[Index].data(), Answers[Index].size());
    if (End == RawEnd::Keep)
      return;
    Loop.unwatch(Fd);
    std::erase(Fds, Fd);
    if (End == RawEnd::Reset) {
      linger Now{1, 0};
      ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    }
    ::close(Fd);
  }
};

} // namespace fulmar

#endif
