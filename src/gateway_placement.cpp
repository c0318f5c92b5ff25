/// \file gateway_placement.cpp Engines that the coordinator of a pool chooses.
///
/// Before an attempt is sent, the coordinator is asked for an engine. What this
/// node knows takes precedence: an engine that is not usable here is not used,
/// and without an answer in time the node chooses itself.
#include <algorithm>
#include <cassert>
#include <utility>

#include "core/hash.h"
#include "engine_placement_service.h"
#include "gateway_service.h"
#include "log_func.h"
#include "upstream_func.h"

namespace fulmar {

/// Most holds of an attempt. The coordinator keeps the same limit; this one
/// holds for a coordinator with another version.
static constexpr int MaxHolds = 2;
/// A hold takes at most this part of the time left until the target.
static constexpr int HoldFraction = 4;
/// Parts of a prompt in an ask. Together with names of a few engines they fit
/// one datagram.
static constexpr std::size_t MaxShares = 24;
/// Longest prompt, in tokens. Clients state the lengths, and sums of them must
/// not overflow.
static constexpr int MaxPromptTokens = 100'000'000;
/// Bits of the number of an attempt in the serial of its placement.
static constexpr int AttemptBits = 16;

/// \return The serial of the placement of an attempt, unique in this node.
static std::uint64_t placementSerial(const ForwardRequest &R,
                                     std::uint64_t Attempt) {
  return R.Serial.Value << AttemptBits |
         (Attempt & ((std::uint64_t{1} << AttemptBits) - 1));
}

/// \return The parts of a request's prompt. Tokens that the client does not
/// assign to a part belong to this request alone.
static std::vector<PromptShare> promptShares(const ForwardRequest &R) {
  std::vector<PromptShare> Shares;
  std::uint64_t Key = 0;
  int Assigned = 0;
  auto Add = [&](const std::string &Id, int Stated) {
    int Tokens = std::clamp(Stated, 0, MaxPromptTokens - Assigned);
    Key = hash64(Id, Key);
    Assigned += Tokens;
    if (Shares.size() < MaxShares)
      Shares.push_back({Key, Tokens});
    else
      Shares.back() = {Key, Shares.back().Tokens + Tokens};
  };
  for (const PromptPart &Part : R.Ask.Prompt)
    Add(Part.Id, Part.Tokens);
  if (Assigned < R.Ask.PromptTokens)
    Add(R.Ask.RequestId, R.Ask.PromptTokens - Assigned);
  return Shares;
}

/// \return The number of tokens of a prompt.
static int tokensOf(const std::vector<PromptShare> &Prompt) {
  int Sum = 0;
  for (const PromptShare &Part : Prompt)
    Sum += Part.Tokens;
  return Sum;
}

/// \return Whether this node sends to some upstream of a pool in turns only.
/// Cold ones do not count: the coordinator never chooses them.
static bool isPaced(const Pool &P) {
  return std::any_of(
      P.Upstreams.begin(), P.Upstreams.end(), [](const Upstream &U) {
        return U.Listed && !U.Cold && U.Pace.Turns.Interval > Duration::zero();
      });
}

/// \return Whether an attempt may be held. A repeat that another node has lent,
/// and a trial of quarantined parts, are granted for a short time only.
static bool mayHold(const ForwardRequest &R) {
  return R.Sends == 0 && R.Trials.empty() && R.Placing.Held < MaxHolds;
}

/// \return What the coordinator has to know of an attempt.
PlacementAsk GatewayService::placementAsk(const ForwardRequest &R,
                                          std::uint64_t Attempt) const {
  TimePoint Now = Timers->now();
  std::uint64_t Session = affinityOf(R);
  PlacementAsk Ask;
  Ask.Serial = placementSerial(R, Attempt);
  Ask.Pool = Placements->partFor(
      R.PoolName, Session == 0 ? hash64(R.Ask.RequestId) : Session);
  Ask.Request.Prompt = promptShares(R);
  Ask.Request.OutputTokens = std::max(0, R.Ask.OutputTokens);
  Ask.Request.GapTarget = R.Route->GapTarget;
  Ask.Request.Priority = R.Priority;
  Ask.Request.Due = R.OnTimeBy - Now;
  Ask.Request.Left = R.Deadline - Now;
  Ask.Request.Version = R.Version;
  Ask.Request.Domain = domainOfFinalInputs(R);
  Ask.Request.AskedBefore = mayHold(R) ? R.Placing.Held : MaxHolds;
  return Ask;
}

/// \return For each upstream of a pool, whether the next attempt of a request
/// may be sent there: those that chooseForAttempt() would choose from.
std::vector<bool>
GatewayService::usableEngines(const ForwardRequest &R, const Pool &P,
                              const ChoiceHints &Hints) const {
  std::set<std::string> Avoided = avoidedVersions(R);
  std::vector<bool> Usable(P.Upstreams.size());
  auto Mark = [&](const RouterPolicy &By, UpstreamPath Worst,
                  const std::set<std::string> *Without) {
    ChoiceHints Strict = Hints;
    Strict.Worst = Worst;
    Strict.Without = Without;
    for (std::size_t I = 0; I < Usable.size(); ++I)
      Usable[I] = upstreamUsable(P.Upstreams[I], By, Strict, Timers->now());
    return std::count(Usable.begin(), Usable.end(), true) > 0;
  };
  auto MarkByPath = [&](const RouterPolicy &By,
                        const std::set<std::string> *Without) {
    return Mark(By, UpstreamPath::Direct, Without) ||
           Mark(By, Hints.Worst, Without);
  };
  bool Any = (!Avoided.empty() && MarkByPath(Policy, &Avoided)) ||
             MarkByPath(Policy, nullptr);
  if (!Any && !R.Version.empty())
    MarkByPath(policyOf(R), nullptr);
  return Usable;
}

/// Asks the coordinator of a request's pool for an engine, if there is one.
/// \return Whether the request waits for the answer or for the end of a hold.
bool GatewayService::requestPlacement(ForwardRequest &R, const Pool &P,
                                      const ChoiceHints &Hints) {
  if (R.Placing.Waits)
    return true;
  bool Own = R.Placing.Decided || !Placements->coordinated(R.PoolName);
  if (Own || isPaced(P))
    return false;
  std::vector<bool> Usable = usableEngines(R, P, Hints);
  if (std::count(Usable.begin(), Usable.end(), true) == 0)
    return false;
  PlacementAsk Ask = placementAsk(R, R.LastAttempt + 1);
  for (std::size_t I = 0; I < Usable.size(); ++I) {
    const Upstream &U = P.Upstreams[I];
    // The coordinator knows the versions and what is listed.
    if (!Usable[I] && U.Listed && !U.Cold && !U.Leaving &&
        hasVersion(U, R.Version))
      Ask.Request.Excluded.push_back(U.Start);
  }
  R.Placing.Waits = true;
  auto Answer = Placements->ask(
      Ask, [this, Serial = R.Serial](const std::optional<Placement> &Late) {
        placementAnswered(Serial, Late);
      });
  if (!Answer)
    return true;
  R.Placing.Waits = false;
  return holdPlacement(R, Answer);
}

/// Goes on with a request whose ask was answered, or was not in time.
void GatewayService::placementAnswered(RequestSerial Serial,
                                       const std::optional<Placement> &Answer) {
  ForwardRequest *R = find(Serial);
  assert(R && R->Placing.Waits && !R->Attempt &&
         "the ask of a request that does not wait is cancelled");
  R->Placing.Waits = false;
  if (!holdPlacement(*R, Answer))
    sendAttempt(Serial);
}

/// Takes the answer of a coordinator.
/// \return Whether the request is held and asks again later.
bool GatewayService::holdPlacement(ForwardRequest &R,
                                   const std::optional<Placement> &Answer) {
  PlacementProgress &Placing = R.Placing;
  Duration Spare = (R.OnTimeBy - Timers->now()) / HoldFraction;
  Duration Hold = Answer ? std::min(Answer->Hold, Spare) : Duration::zero();
  bool Holds =
      Answer && !Answer->Engine && Hold > Duration::zero() && mayHold(R);
  if (!Holds) {
    Placing.Decided = true;
    Placing.Answer = Answer.value_or(Placement());
    return false;
  }
  Placing.Waits = true;
  Placing.Holds = true;
  ++Placing.Held;
  Placing.HeldFor += Hold;
  ++Metrics.PlacementHolds;
  beginWait(R, SendWaitFor::PlacementHold);
  limitWait(R, Hold, [this](ForwardRequest &Held) {
    Held.Placing.Waits = false;
    Held.Placing.Holds = false;
    sendAttempt(Held.Serial);
  });
  return true;
}

/// \return Index of the engine that the coordinator has chosen, if it can be
/// used here.
std::optional<std::size_t>
GatewayService::placedUpstream(const ForwardRequest &R, const Pool &P,
                               const ChoiceHints &Hints) const {
  const std::optional<Incarnation> &Engine = R.Placing.Answer.Engine;
  if (!Engine || isPaced(P))
    return std::nullopt;
  std::vector<bool> Usable = usableEngines(R, P, Hints);
  for (std::size_t I = 0; I < Usable.size(); ++I) {
    if (Usable[I] && P.Upstreams[I].Start == *Engine)
      return I;
  }
  return std::nullopt;
}

/// Records and logs the engine of a request's current attempt.
void GatewayService::placementSent(ForwardRequest &R) {
  ForwardAttempt &A = *R.Attempt;
  PlacementProgress Placing = std::exchange(R.Placing, {});
  // The configuration may have changed since the coordinator was asked.
  if (!Placements->coordinated(R.PoolName))
    return Placements->ended(placementSerial(R, R.LastAttempt));
  PlacementAsk Ask = placementAsk(R, R.LastAttempt);
  A.PlacementSerial = Ask.Serial;
  Placements->sent(Ask, A.Start);
  bool ByCoordinator = Placing.Answer.Engine == A.Start;
  ++(ByCoordinator ? Metrics.PlacedByCoordinator : Metrics.PlacedOwn);
  if (ByCoordinator)
    Metrics.PlacementRead.add(Placing.Answer.ReadMs);
  const Placement &By = Placing.Answer;
  logRoutine("engine_placed",
             {{"id", R.Ask.RequestId},
              {"engine", A.Start.Instance},
              {"tokens", tokensOf(Ask.Request.Prompt)},
              {"read_ms", ByCoordinator ? By.ReadMs : -1.0},
              {"running", ByCoordinator ? By.Running : -1},
              {"again_tokens", ByCoordinator ? By.AgainTokens : -1},
              {"source", ByCoordinator ? "coordinator" : "own"},
              {"hold_ms", toMs(Placing.HeldFor)},
              {"age_ms", ByCoordinator ? toMs(By.Age) : -1.0}});
}

/// Reports the first bytes of an answer. An answer that is not good says
/// nothing about the time in which the engine reads a prompt.
void GatewayService::placementBegan(const ForwardAttempt &A) {
  if (A.PlacementSerial != 0 && A.Good)
    Placements->began(A.PlacementSerial);
}

/// Reports the end of an attempt.
void GatewayService::placementEnded(ForwardAttempt &A) {
  if (std::uint64_t Serial = std::exchange(A.PlacementSerial, 0))
    Placements->ended(Serial);
}

/// Gives back the placement of an attempt that is not made, and stops waiting
/// for it.
void GatewayService::releasePlacement(ForwardRequest &R) {
  PlacementProgress Placing = std::exchange(R.Placing, {});
  if (Placing.Holds)
    dropWait(R);
  if (Placing.Waits || Placing.Decided)
    Placements->ended(placementSerial(R, R.LastAttempt + 1));
}

} // namespace fulmar
