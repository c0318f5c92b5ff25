/// \file history.cpp Checks a history against the service's guarantees.
#include "bench/history_func.h"

#include "result_func.h"

namespace fulmar {

static constexpr std::size_t MaxDetails = 10;

/// The part of the history that belongs to one request id.
struct IdHistory {
  std::vector<const CallerEvent *> Tries;         ///< Tries by the caller.
  std::vector<const ExecutionEvent *> Executions; ///< Executions at upstreams.
};

static void addViolation(Violations &V, std::size_t &Count,
                         const std::string &What, const std::string &Id) {
  ++Count;
  if (V.Details.size() < MaxDetails)
    V.Details.push_back(What + ": request " + Id);
}

static ResultFamily familyOf(const CallerEvent &E) {
  return static_cast<ResultFamily>(E.Code / 1000);
}

static void checkEffects(const std::string &Id, const IdHistory &All,
                         Violations &V) {
  std::map<std::string, int> Effects;
  for (const ExecutionEvent *E : All.Executions) {
    if (!E->Idempotent)
      ++Effects[E->Stage];
  }
  for (const auto &[Stage, Count] : Effects) {
    if (Count > 1)
      addViolation(V, V.Doubled, "stage " + Stage + " ran twice", Id);
  }
}

/// \return Whether \p At lies within a try that was not answered "not run".
static bool withinOtherTry(const IdHistory &All, TimePoint At) {
  for (const CallerEvent *Try : All.Tries) {
    if (Try->Code != 0 && familyOf(*Try) == ResultFamily::NotRun)
      continue;
    // A try without an answer may still be running.
    bool Open = Try->Code == 0 || Try->Answered == TimePoint{};
    if (At >= Try->Sent && (Open || At <= Try->Answered))
      return true;
  }
  return false;
}

static void checkNotRun(const std::string &Id, const IdHistory &All,
                        Violations &V) {
  bool SaidNotRun = false;
  for (const CallerEvent *Try : All.Tries)
    SaidNotRun |= Try->Code != 0 && familyOf(*Try) == ResultFamily::NotRun;
  if (!SaidNotRun)
    return;
  for (const ExecutionEvent *E : All.Executions) {
    if (withinOtherTry(All, E->At))
      continue;
    addViolation(V, V.FalseNotRun, "told not run, ran " + E->Stage, Id);
    return;
  }
}

static bool effectHappened(const IdHistory &All) {
  for (const ExecutionEvent *E : All.Executions) {
    if (!E->Idempotent)
      return true;
  }
  return false;
}

static void checkTry(const CallerEvent &Try, const IdHistory &All, bool OnlyTry,
                     Violations &V) {
  if (Try.Left)
    return;
  if (Try.Code == 0) {
    if (!Try.NodeLost)
      addViolation(V, V.Lost, "no answer", Try.RequestId);
    return;
  }
  bool Complete = Try.Code == resultNumber(ResultCode::Complete);
  if (Complete && Try.Output != Try.Expected)
    addViolation(V, V.Misdelivered, "answer is not its own or not whole",
                 Try.RequestId);
  bool Effect = effectHappened(All);
  if (OnlyTry && familyOf(Try) == ResultFamily::Failed && Effect)
    addViolation(V, V.FalseFailed, "told failed, effect happened",
                 Try.RequestId);
}

/// Pipelines with a non-idempotent stage, as seen in the executions.
static std::map<std::string, bool> effectPipelines(const History &H) {
  std::map<std::string, std::string> PipelineOf;
  for (const CallerEvent &Try : H.Callers)
    PipelineOf[Try.RequestId] = Try.Pipeline;
  std::map<std::string, bool> Out;
  for (const ExecutionEvent &E : H.Executions) {
    auto Found = PipelineOf.find(E.RequestId);
    if (!E.Idempotent && Found != PipelineOf.end())
      Out[Found->second] = true;
  }
  return Out;
}

static void checkLeaving(const History &H, Violations &V) {
  for (const LeavingEvent &Mark : H.Leaving) {
    for (const ExecutionEvent &E : H.Executions) {
      if (E.Upstream == Mark.Upstream && E.At > Mark.At + LeavingGrace)
        addViolation(V, V.AfterLeaving, "new work to leaving " + E.Upstream,
                     E.RequestId);
    }
  }
}

Violations checkHistory(const History &H) {
  std::map<std::string, IdHistory> ById;
  for (const CallerEvent &Try : H.Callers)
    ById[Try.RequestId].Tries.push_back(&Try);
  for (const ExecutionEvent &E : H.Executions)
    ById[E.RequestId].Executions.push_back(&E);
  std::map<std::string, bool> HasEffect = effectPipelines(H);
  Violations V;
  for (const auto &[Id, All] : ById) {
    checkEffects(Id, All, V);
    checkNotRun(Id, All, V);
    bool OnlyTry = All.Tries.size() == 1;
    for (const CallerEvent *Try : All.Tries) {
      checkTry(*Try, All, OnlyTry, V);
      bool Complete = Try->Code == resultNumber(ResultCode::Complete);
      if (Complete && HasEffect[Try->Pipeline] && !effectHappened(All))
        addViolation(V, V.FalseComplete, "told complete, effect missing", Id);
    }
  }
  checkLeaving(H, V);
  return V;
}

std::string formatViolations(const Violations &V) {
  auto Pair = [](const char *Name, std::size_t Count) {
    return std::string(Name) + "=" + std::to_string(Count) + " ";
  };
  return Pair("lost", V.Lost) + Pair("doubled", V.Doubled) +
         Pair("misdelivered", V.Misdelivered) +
         Pair("false_not_run", V.FalseNotRun) +
         Pair("false_failed", V.FalseFailed) +
         Pair("false_complete", V.FalseComplete) +
         Pair("after_leaving", V.AfterLeaving);
}

} // namespace fulmar
