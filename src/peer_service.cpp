/// \file peer_service.cpp Sends and receives messages between nodes.
#include "peer_service.h"

#include <algorithm>

#include "client_budget.h"
#include "loop_service.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_codec.h"

namespace fulmar {

/// Datagrams up to this size in bytes pass ordinary networks unfragmented.
static constexpr std::size_t MaxDatagramBytes = 1400;

PeerService::PeerService(Kernel &K, const Settings &S, std::uint64_t Inc)
    : Services(K), Timers(K.find<TimerService>(service::Timers)), Config(S),
      Key(S.PeerKey), Incarnation(Inc) {
  EventLoop &Loop = K.find<LoopService>(service::Loop).Loop;
  Clock.Started = Timers.now();
  HostPort Local{Config.Host, static_cast<int>(Config.PeerPort)};
  auto Receive = [this](std::string_view Bytes) { receive(Bytes); };
  Datagrams = std::make_unique<DatagramSocket>(Loop, Local, Receive);
  Bulk = std::make_unique<BulkTransport>(
      Loop, Timers, Local, K.find<ClientBudget>(service::Clients),
      [this](const std::string &Host) { return knowsHost(Host); }, Receive);
}

void PeerService::start() {}

/// \return Whether another node is known at an IP address.
bool PeerService::knowsHost(const std::string &Host) const {
  const Membership &Fleet =
      Services.find<MemberService>(service::Members).state();
  for (const auto &[Id, Member] : Fleet.Members) {
    if (Member.Info.Host == Host)
      return true;
  }
  return std::any_of(
      Fleet.Seeds.begin(), Fleet.Seeds.end(),
      [&Host](const HostPort &Seed) { return Seed.Host == Host; });
}

void PeerService::stop() {
  Bulk.reset();
  Datagrams.reset();
}

void PeerService::join(std::string Secret, std::uint64_t Inc) {
  Key = std::move(Secret);
  Incarnation = Inc;
}

void PeerService::announceBundle(std::uint64_t Version,
                                 std::uint64_t RootHash) {
  BundleVersion = Version;
  BundleRoot = RootHash;
}

std::string PeerService::seal(PeerBody Body) {
  if (Key.empty())
    return {};
  return encode(std::move(Body), ++LastSealed);
}

std::optional<PeerMessage> PeerService::open(std::string_view Bytes) {
  auto Message = decodePeer(Bytes, Key, Config.PreviousPeerKey);
  if (!Message || Message->Sender == Config.NodeId)
    return std::nullopt;
  if (!windowAccept(SealedWindows[Message->Sender], Message->Incarnation,
                    Message->Sequence))
    return std::nullopt;
  return Message;
}

std::string PeerService::encode(PeerBody Body, std::uint64_t Sequence) {
  PeerMessage Message;
  Message.Sender = Config.NodeId;
  Message.Incarnation = Incarnation;
  Message.Sequence = Sequence;
  Message.SentMs = EventLoop::wallClock();
  Message.MemberDigest = Views.Own;
  Message.FleetTime = fleetTime(Clock, Timers.now());
  Message.BundleVersion = BundleVersion;
  Message.BundleRoot = BundleRoot;
  Message.Body = std::move(Body);
  return encodePeer(Message, Key);
}

void PeerService::send(const HostPort &To, PeerBody Body) {
  if (Key.empty() || !Datagrams)
    return;
  std::string Bytes = encode(std::move(Body), ++LastSequence);
  ++Counts.SentMessages;
  Counts.SentBytes += Bytes.size();
  if (Bytes.size() <= MaxDatagramBytes)
    Datagrams->send(To, Bytes);
  else
    Bulk->send(To, Bytes);
}

void PeerService::sendTo(const std::string &Node, PeerBody Body) {
  const MemberInfo *Info =
      Services.find<MemberService>(service::Members).info(Node);
  if (Info)
    send({Info->Host, Info->PeerPort}, std::move(Body));
}

void PeerService::receive(std::string_view Bytes) {
  if (Key.empty())
    return;
  auto Message = decodePeer(Bytes, Key, Config.PreviousPeerKey);
  if (!Message || Message->Sender == Config.NodeId) {
    ++Counts.RejectedMessages;
    return;
  }
  // A replayed message carries a valid authentication code although whoever
  // replays it has no key: without the window, anybody on the network could
  // repeat "this node is leaving". The age of a message is not checked: the
  // wall clock of either side may jump, and a node whose clock stepped could
  // neither send nor receive until it steps back.
  if (!windowAccept(Windows[Message->Sender], Message->Incarnation,
                    Message->Sequence)) {
    ++Counts.Replayed;
    return;
  }
  Views.Others[Message->Sender] = {Message->MemberDigest, Timers.now()};
  fleetTimeAdvance(Clock, Message->FleetTime, Timers.now());
  ++Counts.Received;
  Counts.ReceivedBytes += Bytes.size();
  if (Any)
    Any(*Message);
  const AnyHandler &Handler = Handlers[Message->Body.index()];
  if (Handler)
    Handler(*Message);
}

} // namespace fulmar
