/// \file crowd.cpp Many clients at once that do not behave.
#include "crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace fulmar {

/// The crowd has done its work when nothing could be sent or received for this
/// long.
static constexpr Duration SettleTime = std::chrono::milliseconds(1500);
/// A crowd that is still busy after this long is left as it is.
static constexpr Duration MaxRun = std::chrono::seconds(60);
/// Bytes that one client sends before the next one has its turn.
static constexpr std::size_t TurnBytes = std::size_t{256} << 10;

CrowdPart crowdPart(std::string Bytes, std::size_t Times) {
  return {std::make_shared<const std::string>(std::move(Bytes)), Times};
}

static sockaddr_in socketAddress(const std::string &Host, int Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Host.c_str(), &Out.sin_addr);
  return Out;
}

Crowd::Crowd(EventLoop &L, CrowdPlan P)
    : Loop(L), Plan(std::move(P)), Clients(Plan.Clients) {}

Crowd::~Crowd() { leave(); }

void Crowd::leave() {
  Loop.timers().cancel(Drip);
  for (Client &C : Clients) {
    if (C.Fd >= 0)
      ::close(C.Fd);
    C.Fd = -1;
  }
}

std::size_t Crowd::open() const {
  std::size_t Count = 0;
  for (const Client &C : Clients)
    Count += C.Fd >= 0 ? 1 : 0;
  return Count;
}

bool Crowd::connect(Client &C) const {
  C.Begun = true;
  C.Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (!Plan.Source.empty()) {
    sockaddr_in From = socketAddress(Plan.Source, 0);
    ::bind(C.Fd, reinterpret_cast<sockaddr *>(&From), sizeof(From));
  }
  HostPort To = parseHostPort(Plan.Address).value();
  sockaddr_in Address = socketAddress(To.Host, To.Port);
  if (::connect(C.Fd, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) == 0 ||
      errno == EINPROGRESS)
    return true;
  ::close(C.Fd);
  C.Fd = -1;
  return false;
}

/// \return Whether bytes were sent.
bool Crowd::send(Client &C, std::size_t Parts) const {
  std::size_t Sent = 0;
  Parts = std::min(Parts, Plan.Parts.size());
  while (C.Fd >= 0 && C.Part < Parts && Sent < TurnBytes) {
    const CrowdPart &Part = Plan.Parts[C.Part];
    ssize_t Size = ::send(C.Fd, Part.Bytes->data() + C.Offset,
                          Part.Bytes->size() - C.Offset, MSG_NOSIGNAL);
    if (Size < 0 && (errno == EAGAIN || errno == ENOTCONN))
      break;
    if (Size < 0) {
      ::close(C.Fd);
      C.Fd = -1;
      break;
    }
    Sent += static_cast<std::size_t>(Size);
    C.Offset += static_cast<std::size_t>(Size);
    if (C.Offset < Part.Bytes->size())
      continue;
    C.Offset = 0;
    if (++C.Round < Part.Times)
      continue;
    C.Round = 0;
    ++C.Part;
  }
  return Sent > 0;
}

/// Notices that the other side has closed.
/// \return Whether bytes were received.
bool Crowd::receive(Client &C) const {
  if (C.Fd < 0 || !Plan.Reads)
    return false;
  char Buffer[16384];
  ssize_t Size = ::recv(C.Fd, Buffer, sizeof(Buffer), 0);
  if (Size > 0)
    return true;
  if (Size == 0 || (errno != EAGAIN && errno != ENOTCONN)) {
    ::close(C.Fd);
    C.Fd = -1;
  }
  return false;
}

void Crowd::drip() {
  Drip = Loop.timers().every(std::chrono::milliseconds(100), [this] {
    for (const Client &C : Clients) {
      if (C.Fd >= 0)
        (void)::send(C.Fd, "b", 1, MSG_NOSIGNAL);
    }
  });
}

void Crowd::run(std::size_t Parts) {
  for (Client &C : Clients) {
    if (!C.Begun)
      connect(C);
  }
  TimePoint Start = EventLoop::clock();
  TimePoint Moved = Start;
  TimerId Tick =
      Loop.timers().every(std::chrono::milliseconds(2), [] { /* wakes */ });
  while (EventLoop::clock() - Moved < SettleTime &&
         EventLoop::clock() - Start < MaxRun) {
    for (Client &C : Clients) {
      bool Sent = send(C, Parts);
      bool Received = receive(C);
      if (Sent || Received)
        Moved = EventLoop::clock();
    }
    Loop.runOnce();
  }
  Loop.timers().cancel(Tick);
}

} // namespace fulmar
