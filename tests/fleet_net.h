/// \file fleet_net.h Membership of a large fleet in virtual time.
#ifndef FULMARSTEP_TESTS_FLEET_NET_H
#define FULMARSTEP_TESTS_FLEET_NET_H

#include "member_func.h"

namespace fulmar {

/// Many memberships and the network between them, in steps of a few ms: events
/// one by one would take the square of the fleet.
struct FleetNet {
  static constexpr Duration Step = std::chrono::milliseconds(5);
  TimePoint Now{std::chrono::seconds(1)};
  Random Rng;
  std::vector<Membership> Nodes;
  std::vector<bool> Up;
  std::vector<HostPort> Entered; ///< As the key-value service lists them.
  std::deque<std::pair<std::size_t, MemberMessage>> Wire; ///< On the way.
  std::uint64_t Messages = 0;                             ///< Sent.
  std::uint64_t Beliefs = 0;                              ///< In them.

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

  /// Node \p I starts and joins those that have entered before.
  void join(std::size_t I) {
    std::uint64_t Incarnation = Nodes[I].Self.Incarnation + (1 << 16);
    Nodes[I] = fresh(I);
    Up[I] = true;
    memberSeeds(Nodes[I], Entered);
    HostPort Address{"10.0.0.1", static_cast<int>(I) + 1};
    if (std::find(Entered.begin(), Entered.end(), Address) == Entered.end())
      Entered.push_back(Address);
    MemberActions Out;
    memberJoin(Nodes[I], Incarnation, Now, Out);
    perform(Out);
  }

  /// All of some nodes join within \p Time.
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

  /// Node \p I is ready.
  void makeFit(std::size_t I) {
    MemberActions Out;
    memberFitness(Nodes[I], /*Fit=*/true, /*CanRead=*/true, Out);
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
      memberReceived(Nodes[To], Message, Now, Out);
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
      Beliefs += Send->Message.Updates.size();
      auto To = static_cast<std::size_t>(Send->To.Port - 1);
      // One in a hundred is lost.
      if (To < Nodes.size() && randomUnit(Rng) > 0.01)
        Wire.emplace_back(To, Send->Message);
    }
  }

  /// \return The part of all pairs of running nodes in which one knows the
  /// other as sound.
  double sound() const {
    double Pairs = 0;
    double Good = 0;
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (!Up[I])
        continue;
      for (std::size_t Of = 0; Of < Nodes.size(); ++Of) {
        if (!Up[Of] || Of == I)
          continue;
        ++Pairs;
        auto Found = Nodes[I].Members.find(name(Of));
        Good += Found != Nodes[I].Members.end() &&
                        memberServes(Found->second.Info.State) &&
                        memberSound(Found->second.Info)
                    ? 1
                    : 0;
      }
    }
    return Good / Pairs;
  }
};

} // namespace fulmar

#endif
