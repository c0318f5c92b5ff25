/// \file request_base.h A request in progress.
#ifndef FULMARSTEP_REQUEST_BASE_H
#define FULMARSTEP_REQUEST_BASE_H

#include "bundle_base.h"
#include "request_type.h"

namespace fulmar {

/// One call of a stage to one upstream.
struct Attempt {
  AttemptId Id;            ///< Local name.
  RequestSerial Request;   ///< For whom.
  std::size_t Stage = 0;   ///< Index in the pipeline.
  std::string Pool;        ///< Name of the pool.
  UpstreamId Upstream;     ///< Where to.
  std::string Address;     ///< IP:PORT.
  TimePoint Started{};     ///< When it was handed to the I/O layer.
  bool MaySent = false;    ///< A byte may have reached the upstream.
  bool Hedge = false;      ///< A second attempt beside a slow one.
  std::int64_t Tokens = 0; ///< Tokens received.
  QueuedCall Call;         ///< As it was charged in the queue.
};

/// A request in progress on this node.
struct Request {
  RequestSerial Serial; ///< Local name.
  RequestInput Input;   ///< What was asked.
  BundlePtr Under;      ///< Bundle that it began under, and ends under.
  const PipelineSpec *Pipeline = nullptr;         ///< In that bundle.
  const OrganisationSpec *Organisation = nullptr; ///< In that bundle.
  OrganisationId Payer; ///< Local name of the organisation.
  RequestPhase Phase = RequestPhase::Queued; ///< Where it stands.
  TimePoint Arrived{};                       ///< When it was submitted.
  TimePoint Deadline{};                      ///< When its answer is due.

  bool ClaimAsked = false; ///< It asked for that claim.
  std::size_t Stage = 0;   ///< Index of the current stage.
  std::string Payload;     ///< Input of the current stage.
  TimePoint StageReady{};  ///< When the current stage was first queued.

  std::vector<AttemptId> Live;   ///< Attempts in progress.
  std::vector<UpstreamId> Tried; ///< Upstreams of the current stage.
  AttemptId Chosen;              ///< Attempt whose tokens the caller gets.
  bool StageMaySent = false;     ///< A byte of the current stage may be out.
  bool AnyMaySent = false;       ///< A byte of any stage may be out.
  bool EffectDone = false;       ///< A non-idempotent stage has completed.
  std::vector<StageRun> Ran;     ///< Stages sent so far.
  TimePoint FirstToken{};        ///< When the first token was passed on.
  TimePoint LastToken{};         ///< When the latest token was passed on.
  std::int64_t TokensOut = 0;    ///< Tokens passed on.

  /// \return The current stage.
  const StageSpec &stage() const { return Pipeline->Stages[Stage]; }
  /// \return Whether the current stage is the last.
  bool lastStage() const { return Stage + 1 == Pipeline->Stages.size(); }
};

} // namespace fulmar

#endif
