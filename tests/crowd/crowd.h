/// \file crowd.h Many clients at once that do not behave.
#ifndef FULMARSTEP_TESTS_CROWD_CROWD_H
#define FULMARSTEP_TESTS_CROWD_CROWD_H

#include <memory>
#include <string>
#include <vector>

#include "event_loop.h"
#include "settings_func.h"

namespace fulmar {

/// Bytes that are sent a number of times, one after the other.
struct CrowdPart {
  std::shared_ptr<const std::string> Bytes; ///< Shared by all clients.
  std::size_t Times = 1;                    ///< How often they are sent.
};

/// What each client of a crowd does.
struct CrowdPlan {
  std::string Address;          ///< Connects there, IP:PORT.
  std::string Source;           ///< From this IP address; empty: any.
  std::size_t Clients = 0;      ///< Number of clients.
  std::vector<CrowdPart> Parts; ///< Sent in order.
  bool Reads = true;            ///< Reads what it is sent.
};

/// \return A part that is sent \p Times times.
CrowdPart crowdPart(std::string Bytes, std::size_t Times = 1);

/// Clients that keep their connections open until they are closed by the other
/// side, or the crowd ends.
class Crowd {
public:
  Crowd(EventLoop &Loop, CrowdPlan Plan);
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Connects the clients and sends until none has anything left that the other
  /// side takes.
  /// \param Parts number of parts that are sent, with those of earlier runs.
  void run(std::size_t Parts = SIZE_MAX);
  /// Sends one byte of each client now and then, until the crowd leaves.
  void drip();
  /// Closes all connections.
  void leave();
  /// \return Connections that are open.
  std::size_t open() const;

private:
  /// One client.
  struct Client {
    int Fd = -1;            ///< The socket; -1: closed.
    bool Begun = false;     ///< It has tried to connect.
    std::size_t Part = 0;   ///< Part that it sends.
    std::size_t Round = 0;  ///< Times that the part was sent.
    std::size_t Offset = 0; ///< Bytes sent in this round.
  };

  bool connect(Client &C) const;
  bool send(Client &C, std::size_t Parts) const;
  bool receive(Client &C) const;

  EventLoop &Loop;             ///< Runs the other side's stand-ins.
  CrowdPlan Plan;              ///< What the clients do.
  std::vector<Client> Clients; ///< All of them.
  TimerId Drip;                ///< Sends a byte of each.
};

} // namespace fulmar

#endif
