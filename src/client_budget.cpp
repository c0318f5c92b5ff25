/// \file client_budget.cpp Limits what clients make a process hold.
#include "client_budget.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <utility>

#include "client_budget_func.h"
#include "log_func.h"

namespace fulmar {

/// A request that began less than this ago, or whose client read less than this
/// ago, is not given up for want of memory.
static constexpr Duration MinHoldTime = std::chrono::seconds(1);
/// Share of the machine's memory for what clients make this process hold.
static constexpr double MemoryShare = 0.3;
/// Share of the machine's memory for connections, apart from requests.
static constexpr double ConnectionMemoryShare = 0.25;
/// Memory of a connection: its receive buffer in the kernel, and its state.
static constexpr double ConnectionBytes = 20.0 * 1024;
/// Share of the clients' memory that large bodies may take, so that small
/// requests fit beside them.
static constexpr double LargeBodyShare = 0.75;
/// Clients with this much memory have a large body.
static constexpr std::size_t LargeHold = 2 * SmallBodyBytes;
/// Descriptors that the platform reserves for files.
static constexpr std::int64_t FileDescriptors = 200;
/// Descriptors of a process for its log, its event loop, its own ports and the
/// key-value service.
static constexpr std::int64_t OwnDescriptors = 48;
/// One in this many descriptors is for large messages of other nodes.
static constexpr std::int64_t PeerDescriptorRatio = 12;
static constexpr std::int64_t MinConnections = 8;
/// Interval at which clients that do not read are looked for.
static constexpr Duration TickPeriod = std::chrono::milliseconds(250);
/// Memory that clients have given up is returned to the system once it is this
/// much, bytes.
static constexpr std::size_t TrimBytes = std::size_t{8} << 20;
/// Interval of log lines about clients that were closed.
static constexpr Duration LogPeriod = std::chrono::seconds(1);

/// \return Order in which connections are closed for want of them, 0 first;
/// nothing for one that is left alone.
static std::optional<int> closingRank(const ClientHold &Hold, TimePoint Now) {
  bool Lately = Now - Hold.Since < MinHoldTime;
  switch (Hold.Phase) {
  case ClientPhase::Connected:
    return 0;
  case ClientPhase::Idle:
    return 1;
  case ClientPhase::Receiving:
  case ClientPhase::Unread:
    return Lately ? std::nullopt : std::optional<int>(2);
  case ClientPhase::Serving:
  case ClientPhase::Closing:
  case ClientPhase::Count:
  case ClientPhase::Invalid:
    break;
  }
  return std::nullopt;
}

/// \return How much memory a connection has occupied for how long, in byte
/// seconds; zero for one that is left alone.
static double byteSeconds(const ClientHold &Hold, TimePoint Now) {
  bool Slow =
      Hold.Phase == ClientPhase::Receiving || Hold.Phase == ClientPhase::Unread;
  if (!Slow || Now - Hold.Since < MinHoldTime)
    return 0;
  return static_cast<double>(Hold.Bytes) * toMs(Now - Hold.Since) / 1e3;
}

static std::optional<std::size_t> leastUsed(std::span<const ClientHold> Holds,
                                            std::optional<std::size_t> Except,
                                            TimePoint Now) {
  std::optional<std::size_t> Best;
  std::pair<int, TimePoint> BestOrder;
  for (std::size_t I = 0; I < Holds.size(); ++I) {
    std::optional<int> Rank = closingRank(Holds[I], Now);
    if (!Rank || I == Except)
      continue;
    std::pair<int, TimePoint> Order{*Rank, Holds[I].Since};
    if (Best && BestOrder <= Order)
      continue;
    Best = I;
    BestOrder = Order;
  }
  return Best;
}

static std::optional<std::size_t> largestHold(std::span<const ClientHold> Holds,
                                              std::optional<std::size_t> Except,
                                              TimePoint Now) {
  std::optional<std::size_t> Best;
  double Most = 0;
  for (std::size_t I = 0; I < Holds.size(); ++I) {
    double Held = byteSeconds(Holds[I], Now);
    if (Held <= Most || I == Except)
      continue;
    Best = I;
    Most = Held;
  }
  return Best;
}

std::optional<std::size_t> clientToClose(std::span<const ClientHold> Holds,
                                         ClientShortage Shortage,
                                         std::optional<std::size_t> Except,
                                         TimePoint Now) {
  return Shortage == ClientShortage::Connections
             ? leastUsed(Holds, Except, Now)
             : largestHold(Holds, Except, Now);
}

std::size_t largeBodyRoom(const ClientLimits &Limits) {
  return static_cast<std::size_t>(static_cast<double>(Limits.Bytes) *
                                  LargeBodyShare);
}

std::int64_t socketsOf(std::int64_t Stated, std::int64_t OfProcess) {
  if (Stated <= 0)
    return OfProcess;
  return std::min(OfProcess, Stated - FileDescriptors);
}

ClientLimits clientLimitsFor(double MemoryMb, std::int64_t Sockets) {
  constexpr double BytesPerMb = 1024 * 1024;
  double Memory = MemoryMb * BytesPerMb;
  std::int64_t Peers = std::max(MinConnections, Sockets / PeerDescriptorRatio);
  // Each client in progress needs a connection to an upstream as well.
  std::int64_t ByDescriptors = (Sockets - OwnDescriptors - Peers) / 2;
  auto ByMemory = static_cast<std::int64_t>(Memory * ConnectionMemoryShare /
                                            ConnectionBytes);
  ClientLimits Limits;
  Limits.Bytes = static_cast<std::size_t>(Memory * MemoryShare);
  Limits.Connections = static_cast<std::size_t>(
      std::max(MinConnections, std::min(ByDescriptors, ByMemory)));
  Limits.PeerConnections = static_cast<std::size_t>(Peers);
  return Limits;
}

/// \return Descriptors that this process may have open.
static std::int64_t descriptorsOfProcess() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0 ||
      Limit.rlim_cur > static_cast<rlim_t>(INT32_MAX))
    return INT32_MAX;
  return static_cast<std::int64_t>(Limit.rlim_cur);
}

ClientLimits clientLimitsOf(const Settings &S) {
  return clientLimitsFor(static_cast<double>(S.MemoryMb),
                         socketsOf(S.FileDescriptors, descriptorsOfProcess()));
}

BudgetCharge::BudgetCharge(BudgetCharge &&Other) noexcept
    : Budget(std::exchange(Other.Budget, nullptr)),
      Bytes(std::exchange(Other.Bytes, 0)) {}

BudgetCharge &BudgetCharge::operator=(BudgetCharge &&Other) noexcept {
  std::swap(Budget, Other.Budget);
  std::swap(Bytes, Other.Bytes);
  return *this;
}

BudgetCharge::~BudgetCharge() {
  if (Budget)
    Budget->Total -= Bytes;
}

ClientBudget::ClientBudget(TimerService &T, const ClientLimits &L)
    : Timers(T), Limits(L) {
  Tick = Timers.every(TickPeriod, [this] { relieve(); });
}

ClientBudget::~ClientBudget() { Timers.cancel(Tick); }

bool ClientBudget::open(BudgetedClient &Client) {
  while (Holds.size() >= Limits.Connections) {
    if (!closeOne(ClientShortage::Connections, std::nullopt)) {
      ++Counts.Refused;
      return false;
    }
  }
  Client.BudgetSlot = Holds.size();
  Holds.push_back({ClientPhase::Connected, 0, Timers.now()});
  Clients.push_back(&Client);
  return true;
}

void ClientBudget::close(const BudgetedClient &Client) {
  std::size_t Slot = Client.BudgetSlot;
  update(Client, {ClientPhase::Closing, 0, Timers.now()});
  Holds[Slot] = Holds.back();
  Clients[Slot] = Clients.back();
  Clients[Slot]->BudgetSlot = Slot;
  Holds.pop_back();
  Clients.pop_back();
}

void ClientBudget::update(const BudgetedClient &Client,
                          const ClientHold &Hold) {
  ClientHold &Kept = Holds[Client.BudgetSlot];
  Total += Hold.Bytes - Kept.Bytes;
  Peak = std::max(Peak, Total);
  Large += Hold.Bytes > LargeHold ? 1 : 0;
  Large -= Kept.Bytes > LargeHold ? 1 : 0;
  Kept = Hold;
}

/// Closes the connection that gives way first.
/// \return Whether there was one.
bool ClientBudget::closeOne(ClientShortage Shortage,
                            std::optional<std::size_t> Except) {
  auto Chosen = clientToClose(Holds, Shortage, Except, Timers.now());
  if (!Chosen)
    return false;
  switch (Holds[*Chosen].Phase) {
  case ClientPhase::Receiving:
    ++Counts.Slow;
    break;
  case ClientPhase::Unread:
    ++Counts.Unread;
    break;
  default:
    ++Counts.Idle;
    break;
  }
  // It is not chosen again, whatever it does.
  Holds[*Chosen].Phase = ClientPhase::Closing;
  Clients[*Chosen]->endForShortage(Shortage);
  return true;
}

bool ClientBudget::fits(const BudgetedClient &Client) {
  while (Total > Limits.Bytes) {
    if (!closeOne(ClientShortage::Memory, Client.BudgetSlot))
      return false;
  }
  return true;
}

bool ClientBudget::fitsLarge(const BudgetedClient &Client, std::size_t Bytes) {
  std::size_t Room = largeBodyRoom(Limits);
  while (Total + Bytes > Room) {
    if (closeOne(ClientShortage::Memory, Client.BudgetSlot))
      continue;
    // A single body that the configuration allows is always received.
    bool Alone = Large == (Holds[Client.BudgetSlot].Bytes > LargeHold ? 1 : 0);
    return Alone;
  }
  return true;
}

std::optional<BudgetCharge> ClientBudget::charge(std::size_t Bytes) {
  bool Small = Bytes <= SmallBodyBytes;
  if ((!Small && crowded()) || Total + Bytes > Limits.Bytes)
    return std::nullopt;
  Total += Bytes;
  return BudgetCharge(*this, Bytes);
}

bool ClientBudget::crowded() const { return Total > largeBodyRoom(Limits); }

void ClientBudget::freeDescriptor() {
  ++Counts.NoDescriptor;
  // accept() fails for want of a descriptor also when nobody waits, so the
  // clients that were accepted last stay.
  auto Chosen = clientToClose(Holds, ClientShortage::Connections, std::nullopt,
                              Timers.now());
  if (Chosen && Timers.now() - Holds[*Chosen].Since >= MinHoldTime)
    closeOne(ClientShortage::Connections, std::nullopt);
}

/// Returns memory to the system after clients have held much. Small blocks that
/// were allocated since would otherwise keep the rest of the heap.
void ClientBudget::trim() {
  Peak = std::max(Peak, Total);
  if (Peak - Total < TrimBytes)
    return;
  ::malloc_trim(0);
  Peak = Total;
}

void ClientBudget::relieve() {
  while (Total > Limits.Bytes &&
         closeOne(ClientShortage::Memory, std::nullopt)) {
  }
  trim();
  if (Counts == Logged || Timers.now() - LoggedAt < LogPeriod)
    return;
  logEvent(LogLevel::Warning, "clients_over_limits",
           {{"idle_closed", Counts.Idle - Logged.Idle},
            {"slow_refused", Counts.Slow - Logged.Slow},
            {"unread_closed", Counts.Unread - Logged.Unread},
            {"bodies_refused", Counts.Bodies - Logged.Bodies},
            {"connections_refused", Counts.Refused - Logged.Refused},
            {"no_descriptor", Counts.NoDescriptor - Logged.NoDescriptor},
            {"peers_dropped", Counts.PeersDropped - Logged.PeersDropped},
            {"connections", Holds.size()},
            {"bytes", Total},
            {"max_connections", Limits.Connections},
            {"max_bytes", Limits.Bytes}});
  Logged = Counts;
  LoggedAt = Timers.now();
}

} // namespace fulmar
