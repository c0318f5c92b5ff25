/// \file peer_service.h Sends and receives messages between nodes.
#ifndef FULMARSTEP_PEER_SERVICE_H
#define FULMARSTEP_PEER_SERVICE_H

#include <array>
#include <functional>
#include <optional>
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

/// Message counts, for metrics and for docs/CAPACITY.md.
struct PeerCounts {
  std::uint64_t SentMessages = 0;     ///< Messages sent.
  std::uint64_t SentBytes = 0;        ///< Payload bytes sent.
  std::uint64_t Received = 0;         ///< Messages accepted.
  std::uint64_t ReceivedBytes = 0;    ///< Payload bytes accepted.
  std::uint64_t RejectedMessages = 0; ///< Damaged, without a valid key, or own.
  std::uint64_t Replayed = 0;         ///< Received before.
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

  /// Sets a function that is called for every accepted message, before the
  /// handler of its body.
  void onAny(AnyHandler Fn) { Any = std::move(Fn); }

  /// Sets the secret and the incarnation of this process where the settings do
  /// not hold them. Until there is a secret, nothing is sent or accepted.
  void join(std::string Secret, std::uint64_t Inc);

  /// Encodes and authenticates a message that is carried by other means.
  /// \return Empty while there is no secret.
  std::string seal(PeerBody Body);
  /// Authenticates and decodes a message made by seal().
  /// \return Nothing if it is not authentic, or was received before.
  std::optional<PeerMessage> open(std::string_view Bytes);

  /// Sends a message to an address.
  void send(const HostPort &To, PeerBody Body);
  /// Sends a message to a node; dropped if membership does not know the node.
  void sendTo(const std::string &Node, PeerBody Body);

  /// Sets the version and hash of the bundle in force that every message
  /// carries.
  void announceBundle(std::uint64_t Version, std::uint64_t RootHash);

  /// Sets the digest of the nodes known here that every message carries.
  void announceMembers(std::uint64_t Digest) { Views.Own = Digest; }
  /// \return Whether the other nodes know the same nodes.
  bool membersAgree() const { return viewsAgree(Views, Timers.now()); }
  /// \return The fleet's time, as this node knows it.
  const FleetClock &clock() const { return Clock; }
  /// \return The message counts so far.
  const PeerCounts &counts() const { return Counts; }

private:
  void receive(std::string_view Bytes);
  bool knowsHost(const std::string &Host) const;
  std::string encode(PeerBody Body, std::uint64_t Sequence);

  Kernel &Services;                ///< Finds other services.
  TimerService &Timers;            ///< Clock and timers.
  const Settings &Config;          ///< Keys and addresses.
  std::string Key;                 ///< Secret shared by all nodes.
  std::uint64_t Incarnation = 0;   ///< Of this process.
  std::uint64_t LastSequence = 0;  ///< Of the last message sent.
  std::uint64_t LastSealed = 0;    ///< Of the last message by seal().
  std::uint64_t BundleVersion = 0; ///< Of the bundle in force here.
  std::uint64_t BundleRoot = 0;    ///< First bytes of its content hash.
  std::array<AnyHandler, std::variant_size_v<PeerBody>> Handlers; ///< By body.
  AnyHandler Any; ///< Called for every message.
  std::unordered_map<std::string, PeerWindow> Windows; ///< By sender.
  std::unordered_map<std::string, PeerWindow>
      SealedWindows; ///< By sender, of messages by seal().
  FleetClock Clock;  ///< Fleet time.
  MemberViews Views; ///< What peers know.
  PeerCounts Counts; ///< For metrics.
  std::unique_ptr<DatagramSocket> Datagrams; ///< Small messages.
  std::unique_ptr<BulkTransport> Bulk;       ///< Large messages.
};

} // namespace fulmar

#endif
