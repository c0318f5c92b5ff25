/// \file peer_service.h Sends and receives messages between nodes.
#ifndef FULMARSTEP_PEER_SERVICE_H
#define FULMARSTEP_PEER_SERVICE_H

#include <array>
#include <functional>
#include <unordered_map>

#include "bulk.h"
#include "datagram.h"
#include "fleet_clock.h"
#include "kernel.h"
#include "member_view.h"
#include "peer_type.h"
#include "peer_window.h"
#include "settings_type.h"
#include "timer_base.h"

namespace fulmar {

/// Counts for operators and for docs/CAPACITY.md.
struct PeerCounts {
  std::uint64_t SentMessages = 0;  ///< All.
  std::uint64_t SentBytes = 0;     ///< Payload bytes of them.
  std::uint64_t Received = 0;      ///< Taken in.
  std::uint64_t ReceivedBytes = 0; ///< Payload bytes of them.
  std::uint64_t Strange = 0;       ///< Damaged, or made without a key.
  std::uint64_t Replayed = 0;      ///< Seen before.
};

/// Authenticated messages between nodes: datagrams where they fit, ZeroMQ for
/// the rest.
class PeerService : public Service {
public:
  using AnyHandler = std::function<void(const PeerMessage &)>;

  PeerService(Kernel &K, const Settings &S, std::uint64_t Incarnation);

  void start() override;
  void stop() override;

  /// Subscribes to messages with a body of type \p Body.
  template <typename Body>
  void on(std::function<void(const PeerMessage &, const Body &)> Fn) {
    std::size_t Index = PeerBody(Body()).index();
    Handlers[Index] = [Fn = std::move(Fn)](const PeerMessage &Message) {
      Fn(Message, std::get<Body>(Message.Body));
    };
  }

  /// Called for every message that is taken in, before its handler.
  void onAny(AnyHandler Fn) { Any = std::move(Fn); }

  /// Takes the secret and the incarnation of this process, where they are not
  /// in the settings. Before that, nothing is sent or taken in.
  void join(std::string Secret, std::uint64_t Inc);

  /// Sends to an address.
  void send(const HostPort &To, PeerBody Body);
  /// Sends to a node, if membership knows it.
  void sendTo(const std::string &Node, PeerBody Body);

  /// Sets what every message says of the bundle in force.
  void announceBundle(std::uint64_t Version, std::uint64_t RootHash);

  /// Sets what every message says of the nodes that this one knows.
  void announceMembers(std::uint64_t Digest) { Views.Own = Digest; }
  /// \return Whether the other nodes know the same nodes.
  bool membersAgree() const { return viewsAgree(Views, Timers.now()); }
  /// \return The fleet's time, as this node knows it.
  const FleetClock &clock() const { return Clock; }
  /// \return Counts so far.
  const PeerCounts &counts() const { return Counts; }

private:
  void received(std::string_view Bytes);

  Kernel &Services;                ///< Finds the others.
  TimerService &Timers;            ///< Time.
  const Settings &Config;          ///< Keys and addresses.
  std::string Key;                 ///< Secret shared by all nodes.
  std::uint64_t Incarnation = 0;   ///< Of this process.
  std::uint64_t LastSequence = 0;  ///< Counts messages.
  std::uint64_t BundleVersion = 0; ///< In force here.
  std::uint64_t BundleRoot = 0;    ///< First bytes of its hash.
  std::array<AnyHandler, std::variant_size_v<PeerBody>> Handlers; ///< By body.
  AnyHandler Any;                                      ///< For every message.
  std::unordered_map<std::string, PeerWindow> Windows; ///< By sender.
  FleetClock Clock;                                    ///< Shared by all nodes.
  MemberViews Views;                                   ///< Who knows whom.
  PeerCounts Counts;                                   ///< For operators.
  std::unique_ptr<DatagramSocket> Datagrams;           ///< Small messages.
  std::unique_ptr<BulkTransport> Bulk;                 ///< Large messages.
};

} // namespace fulmar

#endif
