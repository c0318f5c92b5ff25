/// \file batch_world.h A pool of stage upstreams in virtual time, for tests.
#ifndef FULMARSTEP_TESTS_BATCH_WORLD_H
#define FULMARSTEP_TESTS_BATCH_WORLD_H

#include <map>
#include <set>

#include "batch_func.h"

namespace fulmar {

/// A pool with simulated upstreams, in virtual time.
struct PoolWorld {
  BatchPool P;
  TimePoint Now{std::chrono::seconds(100)};
  std::map<std::uint64_t, std::pair<TimePoint, SendBatchAction>> Running;
  std::map<std::uint64_t, TimePoint> TimeoutAt; ///< Of calls.
  std::map<std::uint64_t, BatchResult> Answers;
  std::set<std::uint64_t> Read;
  std::set<std::string> Freed;
  std::vector<SendBatchAction> Sent;
  std::map<std::string, double> Slow; ///< Factor of the call time, by instance.
  std::set<std::string> Paused; ///< Instances that answer nothing meanwhile.
  bool Full = false;            ///< Upstreams refuse calls as full.
  bool NoSpace = false;         ///< Upstreams have no space for results.
  Fingerprint Deadly;           ///< Crashes upstreams; 0: none does.
  std::map<Fingerprint, int> Crashes; ///< Crashed calls, by content.
  int OtherCalls = 0;                 ///< Of other nodes, as upstreams report.
  int LastHandle = 0;

  explicit PoolWorld(int Upstreams, BatchSpec Spec = ledgerSpec()) {
    P.Name = "pool";
    P.Spec = Spec;
    P.Allowance = {0.2, 50, std::chrono::seconds(10), 1};
    list(Upstreams);
  }

  /// Typical limits: 24 pieces a call, 240 ms a call and 8.6 ms a piece.
  static BatchSpec ledgerSpec() {
    BatchSpec Spec;
    Spec.MaxPieces = 24;
    Spec.CallTime = std::chrono::milliseconds(240);
    Spec.PieceTime = Duration(8600);
    Spec.ResultSpaceBytes = 2.6e6;
    Spec.ResultLifetime = std::chrono::seconds(4);
    return Spec;
  }

  void list(int Upstreams) {
    std::vector<UpstreamEntry> Listed;
    for (int I = 0; I < Upstreams; ++I) {
      UpstreamEntry E;
      E.Instance = "i" + std::to_string(I);
      E.Address = "a" + std::to_string(I);
      E.FailureDomain = "z" + std::to_string(I % 3);
      Listed.push_back(E);
    }
    BatchActions Out;
    batchSetUpstreams(P, Listed);
    batchDispatch(P, Now, Out);
    perform(Out);
  }

  void perform(const BatchActions &Out) {
    for (const BatchAction &Action : Out) {
      if (const auto *Send = std::get_if<SendBatchAction>(&Action)) {
        Sent.push_back(*Send);
        double Factor = Slow.count(Send->Upstream.Instance)
                            ? Slow[Send->Upstream.Instance]
                            : 1;
        Duration Took =
            Full ? Duration(std::chrono::milliseconds(2))
                 : fromMs(toMs(batchCallTime(
                              P.Spec, static_cast<int>(Send->Items.size()))) *
                          Factor);
        Running[Send->Call.Value] = {Now + Took, *Send};
        TimeoutAt[Send->Call.Value] = Now + Send->Timeout;
      } else if (const auto *Answer = std::get_if<AnswerBatchAction>(&Action)) {
        Answers[Answer->Request.Value] = Answer->Result;
      } else if (const auto *Told = std::get_if<InputsReadAction>(&Action)) {
        Read.insert(Told->Request.Value);
      } else if (!std::holds_alternative<SilentBatchAction>(Action)) {
        Freed.insert(std::get<FreeBatchAction>(Action).Handle);
      }
    }
  }

  BatchRequest makeBatchRequest(int Pieces, int Priority = 0) const {
    BatchRequest Request;
    Request.RequestId = "r";
    Request.Pieces = Pieces;
    Request.Priority = Priority;
    Request.ResultBytes = 60e3;
    Request.Due = std::chrono::milliseconds(1500);
    Request.Deadline = std::chrono::seconds(6);
    return Request;
  }

  std::uint64_t ask(const BatchRequest &Request) {
    BatchActions Out;
    BatchRequestId Id = batchSubmit(P, Request, Now, Out);
    perform(Out);
    return Id.Value;
  }

  /// Advances the time in steps of 10 ms.
  void pass(Duration Time) {
    TimePoint End = Now + Time;
    while (Now < End) {
      Now += std::chrono::milliseconds(10);
      std::vector<std::uint64_t> Done;
      std::vector<std::uint64_t> TimedOut;
      for (const auto &[Id, Call] : Running) {
        if (!Paused.count(Call.second.Upstream.Instance)) {
          if (Call.first <= Now)
            Done.push_back(Id);
        } else if (TimeoutAt.at(Id) <= Now) {
          TimedOut.push_back(Id);
        }
      }
      for (std::uint64_t Id : Done)
        finish(Id);
      for (std::uint64_t Id : TimedOut)
        lose(Id);
      BatchActions Out;
      batchTick(P, Now, Out);
      perform(Out);
    }
  }

  /// Ends a call without a response.
  void lose(std::uint64_t Id) {
    Running.erase(Id);
    BatchActions Out;
    batchCallEnded(P, BatchCallId{Id}, BatchCallResult(), Now, Out);
    perform(Out);
  }

  void finish(std::uint64_t Id) {
    SendBatchAction Call = Running.at(Id).second;
    Running.erase(Id);
    BatchCallResult Result;
    Result.Answered = !Full;
    Result.Effect =
        Full ? AttemptEffect::SaidNotRun : AttemptEffect::MayHaveRun;
    Result.Load = UpstreamLoad{OtherCalls, 0, 1};
    std::set<Fingerprint> Contents;
    for (const BatchItem &Item : Call.Items)
      Contents.insert(Item.Content);
    Result.Crashed = Deadly != Fingerprint{} && Contents.count(Deadly) > 0;
    Result.Answered = Result.Answered && !Result.Crashed;
    for (Fingerprint Content : Contents)
      Crashes[Content] += Result.Crashed ? 1 : 0;
    for (std::size_t I = 0; I < Call.Items.size(); ++I) {
      std::string Handle = Call.Address + "/" + std::to_string(++LastHandle);
      Result.Pieces.push_back(NoSpace ? PieceResult{PieceEnd::NoSpace, ""}
                                      : PieceResult{PieceEnd::Done, Handle});
    }
    BatchActions Out;
    batchCallEnded(P, BatchCallId{Id}, Result, Now, Out);
    perform(Out);
  }

  /// Frees the results of all completed batch requests.
  void freeAll() {
    for (auto &[Id, Result] : Answers) {
      BatchActions Out;
      batchFree(P, Result.Handles, Now, Out);
      Result.Handles.clear();
      perform(Out);
    }
  }
};

} // namespace fulmar

#endif
