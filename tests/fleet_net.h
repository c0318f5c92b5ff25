/// \file fleet_net.h Simulates the membership of a large fleet in virtual time.
#ifndef FULMARSTEP_TESTS_FLEET_NET_H
#define FULMARSTEP_TESTS_FLEET_NET_H

#include "member_func.h"

namespace fulmar {

/// Many memberships and the network between them. Time advances in steps of a
/// few ms: to process single events would take time in proportion to the square
/// of the fleet size.
struct FleetNet {
  static constexpr Duration Step = std::chrono::milliseconds(5);
  TimePoint Now{std::chrono::seconds(1)};
  Random Rng;
  std::vector<Membership> Nodes;
  std::vector<bool> Up;
  std::vector<HostPort>
      ListedAddresses; ///< Node addresses in the key-value service.
  std::deque<std::pair<std::size_t, MemberMessage>> Wire; ///< In flight.
  std::uint64_t Messages = 0;                             ///< Messages sent.
  std::uint64_t EntriesSent = 0; ///< Member entries sent in them.

  FleetNet(std::size_t Count, std::uint64_t Seed) : Rng(Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      Nodes.push_back(fresh(I));
      Up.push_back(false);
    }
  }

  static std::string name(std::size_t I) {
    return std::string("n").append(std::to_string(I));
  }

  Membership fresh(std::size_t I) {
    Membership M;
    M.Self.Id = name(I);
    M.Self.Host = "10.0.0.1";
    M.Self.PeerPort = static_cast<int>(I) + 1;
    M.Self.FailureDomain = std::string("z").append(std::to_string(I % 5));
    M.Self.Strength = I % 20 == 0 ? 400 : 40;
    M.Self.Unfit = true;
    M.Period = std::chrono::milliseconds(400);
    M.Timeout = std::chrono::milliseconds(120);
    M.Rng.seed(Rng());
    M.NextPeriod = Now;
    return M;
  }

  /// Starts node \p I; it joins through the addresses listed so far.
  void join(std::size_t I) {
    std::uint64_t Incarnation = Nodes[I].Self.Incarnation + (1 << 16);
    Nodes[I] = fresh(I);
    Up[I] = true;
    memberSetSeeds(Nodes[I], ListedAddresses);
    HostPort Address{"10.0.0.1", static_cast<int>(I) + 1};
    if (std::find(ListedAddresses.begin(), ListedAddresses.end(), Address) ==
        ListedAddresses.end())
      ListedAddresses.push_back(Address);
    MemberActions Out;
    memberJoin(Nodes[I], Incarnation, Now, Out);
    perform(Out);
  }

  /// Starts the nodes \p Which, spread over \p Time.
  void joinAll(const std::vector<std::size_t> &Which, Duration Time) {
    TimePoint Begin = Now;
    std::size_t Joined = 0;
    while (Joined < Which.size()) {
      double Part = toMs(Now + Step - Begin) / toMs(Time);
      auto Until = std::min(Which.size(),
                            static_cast<std::size_t>(
                                Part * static_cast<double>(Which.size()) + 1));
      for (; Joined < Until; ++Joined)
        join(Which[Joined]);
      step();
    }
  }

  /// Marks node \p I as ready.
  void makeReady(std::size_t I) {
    MemberActions Out;
    memberSetFitness(Nodes[I], {}, Out);
    perform(Out);
  }

  void run(Duration Time) {
    for (TimePoint End = Now + Time; Now < End;)
      step();
  }

  void step() {
    Now += Step;
    auto Arriving = std::exchange(Wire, {});
    for (auto &[To, Message] : Arriving) {
      if (!Up[To])
        continue;
      MemberActions Out;
      memberHandleMessage(Nodes[To], Message, Now, Out);
      perform(Out);
    }
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (!Up[I] || memberNextDue(Nodes[I]) > Now)
        continue;
      MemberActions Out;
      memberTick(Nodes[I], Now, Out);
      perform(Out);
    }
  }

  void perform(const MemberActions &Out) {
    for (const MemberAction &Action : Out) {
      const auto *Send = std::get_if<SendMemberAction>(&Action);
      if (!Send)
        continue;
      ++Messages;
      EntriesSent += Send->Message.Updates.size();
      auto To = static_cast<std::size_t>(Send->To.Port - 1);
      // One message in a hundred is lost.
      if (To < Nodes.size() && randomUnit(Rng) > 0.01)
        Wire.emplace_back(To, Send->Message);
    }
  }

  /// \return The share of all ordered pairs of running nodes in which the first
  /// node knows the second one as healthy.
  double healthyShare() const {
    double Pairs = 0;
    double Healthy = 0;
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (!Up[I])
        continue;
      for (std::size_t Other = 0; Other < Nodes.size(); ++Other) {
        if (!Up[Other] || Other == I)
          continue;
        ++Pairs;
        auto Found = Nodes[I].Members.find(name(Other));
        Healthy += Found != Nodes[I].Members.end() &&
                           memberServes(Found->second.Info.State) &&
                           memberHealthy(Found->second.Info)
                       ? 1
                       : 0;
      }
    }
    return Healthy / Pairs;
  }
};

} // namespace fulmar

#endif
