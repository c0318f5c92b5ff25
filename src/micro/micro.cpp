/// \file micro.cpp Micro-benchmarks of decisions on hot paths, at several
/// sizes.
///
/// Without a subcommand it is a Google Benchmark program. `count NAME SIZE N`
/// runs one operation N times and nothing else, to count instructions: the
/// difference between the counts of two values of N excludes the set-up.
/// `list` prints the operations and their sizes.
#include <cstring>
#include <functional>
#include <iostream>
#include <memory>

#include <benchmark/benchmark.h>

#include "bundle_cmd.h"
#include "bundle_func.h"
#include "demand_func.h"
#include "fair_queue_func.h"
#include "ledger_func.h"
#include "member_func.h"
#include "peer_codec.h"
#include "rollout_func.h"
#include "router_func.h"
#include "signature_func.h"
#include "subset_func.h"
#include "upstream_func.h"

using namespace fulmar;

/// An operation that is set up for one size and can be repeated.
using Operation = std::function<void()>;

/// A named operation and the sizes at which it runs.
struct MicroOp {
  const char *Name;               ///< Name on the command line.
  std::vector<std::size_t> Sizes; ///< Values of the size parameter.
  Operation (*Make)(std::size_t); ///< Sets the operation up for a size.
};

static std::string bundleText(std::size_t Organisations) {
  std::string Text =
      R"({"pools": [{"name":"p","kind":"stage","queue_limit":1000},
    {"name":"e","kind":"engine","model":"m"}], "models":[{"name":"m"}],
    "pipelines":[)";
  for (int I = 0; I < 14; ++I)
    Text += std::string(I ? "," : "") + R"({"name":"l)" + std::to_string(I) +
            R"(","stages":[{"name":"a","pool":"p"},{"name":"b","pool":"p"},
            {"name":"c","pool":"p"},{"name":"d","pool":"e","timeout_ms":4000}]})";
  Text += R"(],"organisations":[)";
  for (std::size_t I = 0; I < Organisations; ++I)
    Text +=
        std::string(I ? "," : "") + R"({"name":"o)" + std::to_string(I) +
        R"(","weight":2,"rate_limit":1000000,"burst":1000000,"pipelines":["l0","l1","l2"]})";
  return Text + "]}";
}

static BundleItems bundleItems(std::size_t Organisations) {
  Diagnostics Wrong;
  return parseBundleSource(bundleText(Organisations), Wrong);
}

static std::vector<UpstreamSpec> upstreams(std::size_t Size, const char *Pool) {
  std::vector<UpstreamSpec> Out;
  for (std::size_t I = 0; I < Size; ++I)
    Out.push_back({"10.0." + std::to_string(I / 250) + "." +
                       std::to_string(I % 250) + ":80",
                   Pool, "fd" + std::to_string(I % 8), false});
  return Out;
}

/// A router with a bundle and upstreams of both pools.
struct RouterBench {
  RouterState S;
  TimePoint Now{std::chrono::seconds(1)};
  RouterActions Out;
  std::uint64_t Count = 0;

  RouterBench(std::size_t Upstreams, std::size_t Organisations) {
    S.MaxRequests = 1 << 30;
    activateBundle(S, buildBundle(bundleItems(Organisations), 1), Now, Out);
    std::vector<UpstreamSpec> Listed = upstreams(Upstreams, "p");
    for (UpstreamSpec &Spec : upstreams(Upstreams, "e"))
      Listed.push_back(std::move(Spec));
    hostListChanged(S, Listed, Now, Out);
  }
  RequestInput input() {
    RequestInput Input;
    Input.Id = "r" + std::to_string(++Count);
    Input.Organisation = "o" + std::to_string(Count % 5);
    Input.Pipeline = "l0";
    Input.Input = "some input of a usual length for a statement line";
    return Input;
  }
};

/// A request from admission through four stages to its result.
static Operation completeRequest(std::size_t Size) {
  auto B = std::make_shared<RouterBench>(Size, 300);
  return [B] {
    B->Now += std::chrono::milliseconds(10);
    B->Out.clear();
    submitRequest(B->S, B->input(), B->Now, B->Out);
    for (int Stage = 0; Stage < 4; ++Stage) {
      auto *D = std::get_if<DispatchAction>(&B->Out.back());
      if (!D)
        return;
      AttemptId Id = D->Attempt;
      attemptSent(B->S, Id);
      AttemptResult Result;
      Result.End = AttemptEnd::Answered;
      Result.Output = "answer";
      attemptEnded(B->S, Id, Result, B->Now, B->Out);
    }
  };
}

/// Admission alone, of a request that is refused at once.
static Operation admission(std::size_t Organisations) {
  auto B = std::make_shared<RouterBench>(64, Organisations);
  // All but the first organisation's requests fill the queue.
  for (int I = 0; I < 3000; ++I)
    submitRequest(B->S, B->input(), B->Now, B->Out);
  return [B] {
    B->Out.clear();
    submitRequest(B->S, B->input(), B->Now, B->Out);
  };
}

static Operation choose(std::size_t Size, std::uint64_t Affinity) {
  auto P = std::make_shared<Pool>();
  std::uint32_t LastId = 0;
  updateUpstreams(*P, upstreams(Size, "p"), "fd0", LastId);
  auto Rng = std::make_shared<Random>(1);
  return [P, Rng, Affinity] {
    ChoiceHints Hints{Affinity, nullptr};
    auto Index = chooseUpstream(*P, RouterPolicy(), Hints, *Rng,
                                TimePoint(std::chrono::seconds(1)));
    benchmark::DoNotOptimize(Index);
  };
}

static Operation chooseSampled(std::size_t Size) { return choose(Size, 0); }
static Operation chooseByPrefix(std::size_t Size) { return choose(Size, 77); }

/// Subsets of 200 upstreams when one node leaves and joins again.
static Operation subset(std::size_t Nodes) {
  auto Listed = upstreams(200, "p");
  auto Ids = std::make_shared<std::vector<std::string>>();
  for (std::size_t I = 0; I < Nodes; ++I)
    Ids->push_back("n" + std::to_string(I));
  auto S = std::make_shared<Subset>();
  S->Self = "n0";
  updateSubsetNodes(*S, *Ids);
  return [Listed, Ids, S] {
    std::string RemovedId = Ids->back();
    Ids->pop_back();
    updateSubsetNodes(*S, *Ids);
    benchmark::DoNotOptimize(chooseSubset(*S, Listed, 64));
    Ids->push_back(RemovedId);
    updateSubsetNodes(*S, *Ids);
    benchmark::DoNotOptimize(chooseSubset(*S, Listed, 64));
  };
}

static Operation fairQueue(std::size_t Organisations) {
  auto Q = std::make_shared<FairQueue>();
  auto Serial = std::make_shared<std::uint64_t>(0);
  Q->MaxCalls = 1 << 20;
  auto Push = [Q, Serial, Organisations] {
    QueuedCall Call;
    Call.Request = RequestSerial{++*Serial};
    Call.Organisation =
        OrganisationId{static_cast<std::uint32_t>(*Serial % Organisations)};
    queuePush(*Q, Call);
  };
  for (int I = 0; I < 1000; ++I)
    Push();
  return [Q, Push] {
    Push();
    benchmark::DoNotOptimize(queuePop(*Q));
  };
}

static Operation token(std::size_t Streams) {
  auto B = std::make_shared<RouterBench>(512, 300);
  auto Ids = std::make_shared<std::vector<AttemptId>>();
  for (std::size_t I = 0; I < Streams; ++I) {
    RequestInput Input = B->input();
    Input.Stream = true;
    B->Out.clear();
    submitRequest(B->S, Input, B->Now, B->Out);
    for (int Stage = 0; Stage < 3; ++Stage) {
      AttemptResult Result;
      Result.End = AttemptEnd::Answered;
      attemptEnded(B->S, std::get<DispatchAction>(B->Out.back()).Attempt,
                   Result, B->Now, B->Out);
    }
    Ids->push_back(std::get<DispatchAction>(B->Out.back()).Attempt);
  }
  auto Next = std::make_shared<std::size_t>(0);
  return [B, Ids, Next] {
    B->Out.clear();
    attemptToken(B->S, (*Ids)[++*Next % Ids->size()], "token ", B->Now, B->Out);
  };
}

static MemberInfo memberInfo(std::size_t I) {
  MemberInfo Info;
  Info.Id = "node-" + std::to_string(I);
  Info.Host = "10.0.0.1";
  Info.PeerPort = static_cast<int>(I % 60000) + 1;
  Info.FailureDomain = "fd1";
  Info.Incarnation = 1796235873553;
  return Info;
}

static Operation memberMessage(std::size_t Members) {
  auto M = std::make_shared<Membership>();
  M->Self = memberInfo(0);
  MemberActions Out;
  MemberMessage All;
  All.Kind = MemberMessageKind::List;
  for (std::size_t I = 1; I <= Members; ++I)
    All.Updates.push_back(memberInfo(I));
  memberHandleMessage(*M, All, TimePoint{}, Out);
  M->PendingUpdates.clear();
  MemberMessage Ping;
  Ping.Kind = MemberMessageKind::Ping;
  Ping.Target = M->Self.Id;
  for (std::size_t I = 1; I <= 3; ++I)
    Ping.Updates.push_back(memberInfo(I));
  return [M, Ping] {
    MemberActions Answer;
    memberHandleMessage(*M, Ping, TimePoint{}, Answer);
    benchmark::DoNotOptimize(Answer);
  };
}

static Operation peerMessage(std::size_t Updates) {
  MemberMessage Body;
  Body.Kind = MemberMessageKind::Ping;
  for (std::size_t I = 0; I < Updates; ++I)
    Body.Updates.push_back(memberInfo(I));
  PeerMessage Message{"node-1", 1, 1, 0, 1, 1, Body};
  return [Message] {
    std::string Bytes = encodePeer(Message, "secret-between-nodes");
    benchmark::DoNotOptimize(decodePeer(Bytes, "secret-between-nodes", ""));
  };
}

static Operation bundleDelta(std::size_t Organisations) {
  SigningKey Key = makeSigningKey();
  auto R = std::make_shared<Rollout>();
  R->OperatorKeys = {"op:" + Key.PublicHex};
  auto Initial = std::make_shared<SignedBundle>(
      sealBundle(bundleItems(Organisations), 1, "op", Key.PrivateHex, "", 1));
  RolloutActions Out;
  rolloutFromKv(*R, *Initial, {}, Out);
  return [R, Key] {
    // The next version changes one organisation. The operator seals it in a
    // real rollout; here the cost of sealing is included.
    SignedBundle Next = R->InForce;
    auto Item = Next.Items.lower_bound("organisations/");
    std::uint64_t Version = Next.Seal.Version + 1;
    Item->second =
        makeItem(Item->first, R"({"name":")" + Item->first.substr(14) +
                                  R"(","pipelines":[],"weight":)" +
                                  std::to_string(Version % 90 + 1) + "}");
    BundleDelta Delta =
        diffBundles(R->InForce, sealBundle(std::move(Next.Items), Version, "op",
                                           Key.PrivateHex, "", 1));
    RolloutActions Out;
    rolloutHandleDelta(*R, Delta, {}, TimePoint{}, "peer", Out);
    if (R->InForce.Seal.Version != Version)
      throw std::logic_error("bundle delta was not applied");
  };
}

static Operation ledgerClaimOp(std::size_t Entries) {
  auto Head = std::make_shared<LedgerHead>();
  for (std::size_t I = 0; I < Entries; ++I)
    Head->Entries.push_back(
        {{I, I}, I, 1, LedgerState::Recorded, 1000, ResultCode::Complete});
  return [Head] {
    LedgerHead Next = *Head;
    bool Changed = false;
    LedgerEntry Op{{1 << 30, 5},         5,    1,
                   LedgerState::Claimed, 1000, ResultCode::Invalid};
    applyOp(Next, {}, Op, 1, Changed);
    benchmark::DoNotOptimize(encodeHead(Next));
  };
}

static const std::vector<MicroOp> Operations = {
    {"admission-refused", {5, 50, 300}, admission},
    {"request-4-stages", {10, 100, 1000}, completeRequest},
    {"choice-sampled", {10, 100, 1000, 10000}, chooseSampled},
    {"choice-by-prefix", {10, 64, 1000, 10000}, chooseByPrefix},
    {"fair-queue", {5, 50, 300}, fairQueue},
    {"streamed-token", {10, 100, 400}, token},
    {"member-message", {10, 200, 2000}, memberMessage},
    {"peer-codec", {1, 4, 8}, peerMessage},
    {"bundle-delta", {30, 300}, bundleDelta},
    {"ledger-commit", {51, 512}, ledgerClaimOp},
    {"upstream-subset", {20, 200, 2000}, subset},
};

static int countMode(const std::string &Name, std::size_t Size, long Count) {
  for (const MicroOp &Op : Operations) {
    if (Op.Name != Name)
      continue;
    Operation Run = Op.Make(Size);
    for (long I = 0; I < Count; ++I)
      Run();
    return 0;
  }
  std::cerr << "unknown operation " << Name << "\n";
  return 2;
}

int main(int Argc, char **Argv) {
  if (Argc == 5 && std::strcmp(Argv[1], "count") == 0)
    return countMode(Argv[2], std::stoul(Argv[3]), std::stol(Argv[4]));
  if (Argc == 2 && std::strcmp(Argv[1], "list") == 0) {
    for (const MicroOp &Op : Operations)
      for (std::size_t Size : Op.Sizes)
        std::cout << Op.Name << " " << Size << "\n";
    return 0;
  }
  for (const MicroOp &Op : Operations) {
    for (std::size_t Size : Op.Sizes) {
      std::string Name = std::string(Op.Name) + "/" + std::to_string(Size);
      benchmark::RegisterBenchmark(Name.c_str(),
                                   [&Op, Size](benchmark::State &State) {
                                     Operation Run = Op.Make(Size);
                                     for (auto _ : State)
                                       Run();
                                   });
    }
  }
  benchmark::Initialize(&Argc, Argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
