// Bundle roll-out: operator commands, and distribution by deltas between nodes.
#include "bundle_cmd.h"
#include "bundle_func.h"
#include "peer_codec.h"
#include "rollout_func.h"
#include "rollout_service.h"
#include "signature_func.h"

using namespace fulmar;
using namespace std::chrono_literals;

static const SigningKey &operatorKey() {
  static const SigningKey Key = makeSigningKey();
  return Key;
}

/// \return A signed bundle with 20 pools; \p Weight is the weight of its only
/// organisation.
static SignedBundle versionOf(std::uint64_t Version, int Weight = 1,
                              const SigningKey &Key = operatorKey()) {
  std::string Text = R"({"organisations": [ {"name": "o", "weight": )" +
                     std::to_string(Weight) +
                     R"(, "pipelines": []} ], "pools": [)";
  for (int I = 0; I < 20; ++I)
    Text += std::string(I ? "," : "") + R"({"kind": "stage", "name": "p)" +
            std::to_string(I) + "\"}";
  Diagnostics Wrong;
  BundleItems Items = parseBundleSource(Text + "]}", Wrong);
  REQUIRE(Wrong.empty());
  return sealBundle(std::move(Items), Version, "op", Key.PrivateHex,
                    "weight " + std::to_string(Weight), 1);
}

static Rollout node() {
  Rollout R;
  R.OperatorKeys = {"op:" + operatorKey().PublicHex};
  return R;
}

static std::uint64_t version(const Rollout &R) {
  return R.InForce.Seal.Version;
}

SCENARIO("a node applies only signed bundles of a higher version") {
  Rollout R = node();
  RolloutActions Out;
  rolloutFromKv(R, versionOf(5), {}, Out);
  REQUIRE(version(R) == 5);
  SECTION("a lower version from a restored key-value service is ignored") {
    rolloutFromKv(R, versionOf(4, 9), {}, Out);
    CHECK(version(R) == 5);
    CHECK(R.Counts.Lower == 1);
  }
  SECTION("the same version with different content is a fork, not an update") {
    rolloutFromKv(R, versionOf(5, 9), {}, Out);
    CHECK(R.Counts.Forks == 1);
    CHECK(Out.size() == 1);
  }
  SECTION("a bundle signed by an unknown key is refused") {
    rolloutFromKv(R, versionOf(6, 9, makeSigningKey()), {}, Out);
    CHECK(version(R) == 5);
    CHECK(R.Counts.BadSeal == 1);
  }
  SECTION("content that does not match its seal is refused") {
    SignedBundle Bad = versionOf(6, 9);
    Bad.Items.erase("pools/p3");
    rolloutFromKv(R, Bad, {}, Out);
    CHECK(version(R) == 5);
    CHECK(R.Counts.BadContent == 1);
  }
}

SCENARIO("peers distribute changes as deltas") {
  Rollout A = node(), B = node();
  RolloutActions Out;
  rolloutFromKv(A, versionOf(1, 1), {}, Out);
  rolloutFromKv(B, versionOf(1, 1), {}, Out);
  Out.clear();
  std::vector<std::string> Peers = {"b"};
  rolloutFromKv(A, versionOf(2, 2), Peers, Out);
  // A notifies B by a fetch that carries its version; B fetches the difference.
  REQUIRE(std::get<FetchBundleAction>(Out.back()).Node == "b");
  RolloutActions Asked;
  rolloutVersionSeen(B, "a", 2, shortRoot(A.InForce.Seal.Root), TimePoint{},
                     Asked);
  REQUIRE(std::get<FetchBundleAction>(Asked.back()).Node == "a");
  rolloutHandleFetch(A, "b", version(B), B.InForce.Seal.Root, Out);
  const SendDeltaAction Sent = std::get<SendDeltaAction>(Out.back());
  THEN("a change of one item is sent as one item") {
    CHECK(Sent.Delta.Changed.size() == 1);
    CHECK(encodePeer({"a", 1, 1, 0, 2, 0, Sent.Delta}, "k").size() < 500);
  }
  THEN("the delta brings the peer to the same content") {
    RolloutActions Next;
    rolloutHandleDelta(B, Sent.Delta, {}, TimePoint{}, "a", Next);
    CHECK(version(B) == 2);
    CHECK(B.InForce.Seal.Root == A.InForce.Seal.Root);
  }
  GIVEN("a peer that missed some versions") {
    rolloutFromKv(A, versionOf(3, 3), {}, Out);
    rolloutFromKv(A, versionOf(4, 4), {}, Out);
    RolloutActions Next;
    rolloutVersionSeen(B, "a", 4, shortRoot(A.InForce.Seal.Root), TimePoint{},
                       Next);
    REQUIRE(std::get<FetchBundleAction>(Next[0]).Node == "a");
    rolloutHandleFetch(A, "b", version(B), B.InForce.Seal.Root, Next);
    rolloutHandleDelta(B, std::get<SendDeltaAction>(Next[1]).Delta, {},
                       TimePoint{}, "a", Next);
    THEN("one fetch brings it up to date, by a delta") {
      CHECK(version(B) == 4);
      CHECK(A.Counts.WholeSent == 0);
    }
  }
  GIVEN("a node that starts while the key-value service is down") {
    Rollout C = node();
    RolloutActions Next;
    rolloutVersionSeen(C, "a", 2, 0, TimePoint{}, Next);
    rolloutHandleFetch(A, "c", 0, Digest{}, Next);
    rolloutHandleDelta(C, std::get<SendDeltaAction>(Next[1]).Delta, {},
                       TimePoint{}, "a", Next);
    THEN("it receives the whole bundle from a peer") {
      CHECK(version(C) == 2);
      CHECK(A.Counts.WholeSent == 1);
    }
  }
  GIVEN("a damaged delta") {
    BundleDelta Bad = Sent.Delta;
    Bad.Changed.begin()->second += " ";
    RolloutActions Next;
    rolloutHandleDelta(B, Bad, {}, TimePoint{}, "a", Next);
    THEN("it is not applied, and the node fetches again") {
      CHECK(version(B) == 1);
      CHECK(std::holds_alternative<FetchBundleAction>(Next[0]));
    }
  }
}

TEST_CASE("with lost, duplicated and reordered deltas, versions only rise, "
          "and converge (property)") {
  CHECK(rc::check("monotonic", [](std::uint64_t Seed) {
    Random Rng(Seed);
    std::vector<Rollout> Nodes(6, node());
    std::vector<std::uint64_t> Highest(6, 0);
    std::vector<std::pair<std::size_t, std::pair<std::size_t, RolloutAction>>>
        Wire;
    std::uint64_t Accepted = 0;
    TimePoint Now{};
    std::vector<std::string> Names = {"0", "1", "2", "3", "4", "5"};
    auto Perform = [&](std::size_t From, const RolloutActions &Out) {
      for (const RolloutAction &A : Out) {
        if (const auto *Send = std::get_if<SendDeltaAction>(&A))
          Wire.push_back({std::stoul(Send->Node), {From, A}});
        else if (const auto *Fetch = std::get_if<FetchBundleAction>(&A))
          Wire.push_back({std::stoul(Fetch->Node), {From, A}});
      }
    };
    auto Deliver = [&](std::size_t To, std::size_t From,
                       const RolloutAction &A) {
      RolloutActions Out;
      if (const auto *Send = std::get_if<SendDeltaAction>(&A))
        rolloutHandleDelta(Nodes[To], Send->Delta, Names, Now, Names[From],
                           Out);
      else
        rolloutHandleFetch(Nodes[To], Names[From], version(Nodes[From]),
                           Nodes[From].InForce.Seal.Root, Out);
      Perform(To, Out);
      RC_ASSERT(version(Nodes[To]) >= Highest[To]);
      Highest[To] = version(Nodes[To]);
    };
    auto Gossip = [&](std::size_t To, std::size_t From) {
      RolloutActions Out;
      rolloutVersionSeen(Nodes[To], Names[From], version(Nodes[From]),
                         shortRoot(Nodes[From].InForce.Seal.Root), Now, Out);
      Perform(To, Out);
    };
    for (int Step = 0; Step < 60; ++Step) {
      Now += 100ms;
      if (randomIndex(Rng, 4) == 0) {
        RolloutActions Out;
        ++Accepted;
        rolloutFromKv(Nodes[0], versionOf(Accepted, Step + 1), Names, Out);
        Perform(0, Out);
      }
      for (int I = 0; I < 4 && !Wire.empty(); ++I) {
        std::size_t Pick = randomIndex(Rng, Wire.size());
        auto [To, What] = Wire[Pick];
        if (randomIndex(Rng, 4) != 0)
          Wire.erase(Wire.begin() + static_cast<std::ptrdiff_t>(Pick));
        if (randomIndex(Rng, 3) != 0)
          Deliver(To, What.first, What.second);
      }
      Gossip(randomIndex(Rng, 6), randomIndex(Rng, 6));
    }
    for (int Round = 0; Round < 30; ++Round) {
      Now += 1s;
      for (std::size_t To = 0; To < 6; ++To)
        Gossip(To, randomIndex(Rng, 6));
      auto Sent = std::move(Wire);
      Wire.clear();
      for (auto &[To, What] : Sent)
        Deliver(To, What.first, What.second);
    }
    for (const Rollout &R : Nodes)
      RC_ASSERT(version(R) == Accepted);
  }));
}

/// Mock of the key-value service that commands use.
struct MockKv : BlockingKv {
  MAKE_MOCK2(get, KvStatus(const std::string &, KvEntry &), override);
  MAKE_MOCK3(cas,
             KvStatus(const std::string &, const std::string &, std::uint64_t),
             override);
};

SCENARIO("an operator accepts a bundle") {
  using trompeloeil::_;
  MockKv Kv;
  SignedBundle Before = versionOf(3), Next = versionOf(4, 2);
  KvEntry Old{encodeBundle(Before), 17};
  std::vector<std::string> Keys = {"op:" + operatorKey().PublicHex};
  SECTION("it is written with compare-and-swap on the index that was read") {
    REQUIRE_CALL(Kv, get(BundleKey, _))
        .LR_SIDE_EFFECT(_2 = Old)
        .RETURN(KvStatus::Ok);
    REQUIRE_CALL(Kv, cas(BundleKey, _, 17u)).RETURN(KvStatus::Ok);
    CHECK(acceptBundle(Kv, Next, Keys, CommandMode::Execute).Code ==
          ResultCode::Complete);
  }
  SECTION("a test run returns the same result and writes nothing") {
    REQUIRE_CALL(Kv, get(BundleKey, _))
        .LR_SIDE_EFFECT(_2 = Old)
        .RETURN(KvStatus::Ok);
    FORBID_CALL(Kv, cas(_, _, _));
    CHECK(acceptBundle(Kv, Next, Keys, CommandMode::Test).Code ==
          ResultCode::Complete);
  }
  SECTION("a conflict names the operator of the accepted bundle") {
    KvEntry Theirs{encodeBundle(versionOf(4, 77)), 18};
    REQUIRE_CALL(Kv, get(BundleKey, _))
        .LR_SIDE_EFFECT(_2 = Theirs)
        .RETURN(KvStatus::Ok);
    CommandResult R = acceptBundle(Kv, Next, Keys, CommandMode::Execute);
    CHECK(R.Code == ResultCode::BundleConflict);
    CHECK_THAT(R.Message, Catch::Contains("signed by op: \"weight 77\""));
  }
  SECTION("the response is lost after the write took effect") {
    // Symptom: an operator gets a conflict with their own write. Sequence: the
    // write takes effect, its response is lost, the command reads again. Cause:
    // the command did not recognise its own write.
    KvEntry Ours{encodeBundle(Next), 18};
    trompeloeil::sequence Steps;
    REQUIRE_CALL(Kv, get(_, _))
        .IN_SEQUENCE(Steps)
        .LR_SIDE_EFFECT(_2 = Old)
        .RETURN(KvStatus::Ok);
    REQUIRE_CALL(Kv, cas(_, _, _)).IN_SEQUENCE(Steps).RETURN(KvStatus::Unknown);
    REQUIRE_CALL(Kv, get(_, _))
        .IN_SEQUENCE(Steps)
        .LR_SIDE_EFFECT(_2 = Ours)
        .RETURN(KvStatus::Ok);
    CHECK(acceptBundle(Kv, Next, Keys, CommandMode::Execute).Code ==
          ResultCode::Complete);
  }
  SECTION("an unknown signature is refused before anything is read") {
    FORBID_CALL(Kv, get(_, _));
    CHECK(acceptBundle(Kv, versionOf(4, 2, makeSigningKey()), Keys,
                       CommandMode::Execute)
              .Code == ResultCode::SignatureInvalid);
  }
  SECTION("the service is down") {
    ALLOW_CALL(Kv, get(_, _)).RETURN(KvStatus::Unavailable);
    CHECK_THROWS_AS(acceptBundle(Kv, Next, Keys, CommandMode::Execute), Error);
  }
}

SCENARIO("few nodes of each failure domain watch") {
  std::vector<std::string> Nodes;
  for (int I = 0; I < 250; ++I)
    Nodes.push_back("n" + std::to_string(I));
  std::size_t Watchers = 0;
  for (const std::string &Node : Nodes)
    Watchers += isWatcher(Nodes, Node, 2);
  CHECK(Watchers == 2);
}
