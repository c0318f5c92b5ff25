// The ledger grants each request id at most once across nodes.
#include "ledger_world.h"

using namespace fulmar;
using namespace std::chrono_literals;

SCENARIO("an id is claimed through several nodes") {
  LedgerWorld W(3, 1);
  GIVEN("the same id sent to three nodes at the same time") {
    for (std::size_t N = 0; N < 3; ++N)
      W.request(N, "a");
    W.run(3s);
    THEN("one runs, and the others are refused as in progress") {
      int Executed = 0, InProgress = 0;
      for (const SimulatedRequest &T : W.Requests) {
        Executed += T.Executed;
        InProgress += T.Verdict == ClaimVerdict::InProgress;
      }
      CHECK(Executed == 1);
      CHECK(InProgress == 2);
    }
  }
  GIVEN("an id that has completed") {
    std::size_t First = W.request(0, "a");
    W.run(1s);
    W.record(First);
    W.run(1s);
    WHEN("it is sent again to another node") {
      std::size_t Again = W.request(1, "a");
      W.run(1s);
      THEN("that node refuses it as completed") {
        CHECK(W.Requests[Again].Verdict == ClaimVerdict::Completed);
      }
    }
    WHEN("it is sent again after its entry has expired") {
      W.run(std::chrono::milliseconds(W.Nodes[0].RetentionMs) + 1min);
      std::size_t Again = W.request(1, "a");
      W.run(1s);
      THEN("it counts as new") { CHECK(W.Requests[Again].Executed); }
    }
  }
  GIVEN("many claims at once") {
    for (int I = 0; I < 200; ++I)
      W.request(static_cast<std::size_t>(I) % 3, "id" + std::to_string(I));
    W.run(5s);
    THEN("all are granted, many in each write") {
      for (const SimulatedRequest &T : W.Requests)
        CHECK(T.Executed);
      CHECK(W.Writes < 60);
    }
  }
}

SCENARIO("a write takes effect and its answer is lost") {
  // Symptom: a caller is refused for good, or a request runs twice. Sequence:
  // the claim is written, the response is lost, the node reads the head again.
  // Cause: a node takes its own claim for another's, or an unknown outcome for
  // a failure.
  LedgerWorld W(1, 2);
  W.OutageAfterWrite = true;
  W.request(0, "a");
  W.run(20ms);
  REQUIRE(W.Writes == 1);
  W.Outage = W.OutageAfterWrite = false;
  W.run(1900ms);
  THEN("the node finds its own claim by its nonce") {
    CHECK(W.Requests[0].Executed);
    CHECK(W.Nodes[0].Counts.Unknown == 1);
    CHECK(W.Writes == 1);
  }
}

SCENARIO("a claim is written, and its caller is told that it was not run") {
  // Symptom: an id is refused for good although it never ran. Sequence: the
  // claim takes effect, its response is lost, an outage begins, the caller is
  // told "not run" and retries later. Cause: the claim is not released.
  LedgerWorld W(2, 3);
  W.OutageAfterWrite = true;
  std::size_t First = W.request(0, "a", 400ms);
  W.run(2s);
  REQUIRE(W.Writes == 1);
  REQUIRE_FALSE(W.Requests[First].Executed);
  REQUIRE(W.Requests[First].Ended);
  WHEN("it is retried on the same node during the outage") {
    std::size_t Again = W.request(0, "a", 400ms);
    W.run(1s);
    THEN("it is refused as being released") {
      CHECK(W.Requests[Again].Verdict == ClaimVerdict::Releasing);
    }
  }
  WHEN("it is retried on another node after the outage") {
    W.Outage = W.OutageAfterWrite = false;
    W.run(10s);
    std::size_t Again = W.request(1, "a");
    W.run(3s);
    THEN("it runs, once") {
      CHECK(W.Requests[Again].Executed);
      CHECK(W.maxExecutions() == 1);
    }
  }
}

SCENARIO("an outage from the start leaves no claims to release") {
  LedgerWorld W(1, 4);
  W.Outage = true;
  for (int I = 0; I < 20; ++I)
    W.request(0, "id" + std::to_string(I), 300ms);
  W.run(2s);
  THEN("claims that were never written need no release") {
    for (const SimulatedRequest &T : W.Requests)
      CHECK(T.Ended);
    CHECK(W.Nodes[0].Local.empty());
    CHECK(W.Nodes[0].Releasing.empty());
  }
}

SCENARIO("a node refuses a claim according to a stale head") {
  // Symptom: an id that was released, or has completed, is refused as in
  // progress by one node, for good. Sequence: the node reads the head while the
  // claim stands, another node writes the outcome, the id is sent to the first
  // node again. Cause: a refusal needs no write, and only a write detected that
  // the head had changed.
  LedgerWorld W(2, 6);
  W.Nodes[0].Nodes = {"n0"};
  W.Nodes[1].Nodes = {"n1"};
  std::size_t First = W.request(0, "a");
  W.run(200ms);
  std::size_t Early = W.request(1, "a");
  W.run(200ms);
  REQUIRE(W.Requests[Early].Verdict == ClaimVerdict::InProgress);
  W.record(First);
  W.run(2s);
  std::size_t Again = W.request(1, "a");
  W.run(1s);
  CHECK(W.Requests[Again].Verdict == ClaimVerdict::Completed);
}

SCENARIO("a full head is moved into segments") {
  LedgerWorld W(2, 5);
  for (Ledger &L : W.Nodes)
    L.MaxHeadEntries = 4;
  for (int I = 0; I < 300; ++I) {
    W.request(static_cast<std::size_t>(I) % 2, "id" + std::to_string(I), 20s);
    W.run(100ms);
  }
  REQUIRE(W.Segments.size() > 16);
  THEN("older ids are still known, also to a restarted writer") {
    W.restart(0, 77);
    for (int I = 0; I < 300; I += 7)
      W.request(0, "id" + std::to_string(I), 20s);
    W.run(25s);
    CHECK(W.maxExecutions() == 1);
  }
}

SCENARIO("a slow writer delivers a claim after its release") {
  LedgerHead Head;
  std::map<std::uint64_t, std::vector<LedgerEntry>> None;
  bool Changed = false;
  LedgerEntry Claim{
      {1, 2}, 7, 1, LedgerState::Claimed, 1000, ResultCode::Invalid};
  LedgerEntry Release = Claim;
  Release.State = LedgerState::Released;
  applyOp(Head, None, Release, 10, Changed);
  THEN("the claim is not granted, and that of the next attempt is") {
    CHECK(applyOp(Head, None, Claim, 10, Changed).Verdict ==
          LedgerVerdict::Withdrawn);
    LedgerEntry Next = Claim;
    Next.Nonce = 8;
    CHECK(applyOp(Head, None, Next, 10, Changed).Verdict ==
          LedgerVerdict::Granted);
    CHECK(applyOp(Head, None, Claim, 10, Changed).Verdict ==
          LedgerVerdict::InProgress);
  }
}

TEST_CASE("whatever is lost, delayed or paused, an id runs at most once, and "
          "what was not run can run later") {
  CHECK(rc::check("at most once", [](std::uint64_t Seed) {
    LedgerWorld W(3, Seed);
    for (Ledger &L : W.Nodes)
      L.MaxHeadEntries = 3;
    W.ResponseLossRate = 0.2;
    W.MessageLossRate = 0.2;
    W.MaxDelayMs = 30;
    for (int Step = 0; Step < 40; ++Step) {
      auto Node = randomIndex(W.Rng, 3);
      switch (randomIndex(W.Rng, 8)) {
      case 0:
        W.PausedUntil[Node] =
            W.Now + std::chrono::milliseconds(randomIndex(W.Rng, 4000));
        break;
      case 1:
        W.Outage = !W.Outage;
        break;
      case 2:
        W.restart(Node, W.Rng());
        break;
      default:
        W.request(Node, "id" + std::to_string(randomIndex(W.Rng, 6)),
                  std::chrono::milliseconds(200 + randomIndex(W.Rng, 1500)));
      }
      W.run(std::chrono::milliseconds(randomIndex(W.Rng, 400)));
    }
    RC_ASSERT(W.maxExecutions() <= 1);
    // After recovery a new id must be served.
    W.Outage = false;
    W.ResponseLossRate = W.MessageLossRate = 0;
    W.PausedUntil.assign(3, {});
    W.run(std::chrono::seconds(20));
    std::size_t Fresh = W.request(0, "fresh", std::chrono::seconds(5));
    W.run(std::chrono::seconds(6));
    RC_ASSERT(W.Requests[Fresh].Executed);
    RC_ASSERT(W.maxExecutions() <= 1);
  }));
}
