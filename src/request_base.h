/// \file request_base.h A request in progress.
#ifndef FULMARSTEP_REQUEST_BASE_H
#define FULMARSTEP_REQUEST_BASE_H

#include "bundle_base.h"
#include "core/shared_bytes.h"
#include "request_type.h"

namespace fulmar {

/// One call of a stage to one upstream.
struct Attempt {
  AttemptId Id;                 ///< Number, local to this process.
  RequestSerial Request;        ///< Its request.
  std::size_t Stage = 0;        ///< Index of the stage in the pipeline.
  std::string Pool;             ///< Name of the pool.
  UpstreamId Upstream;          ///< Receiver of the call.
  std::string Address;          ///< IP:PORT.
  TimePoint Started{};          ///< When it was passed to the I/O layer.
  bool MayHaveBeenSent = false; ///< A byte may have reached the upstream.
  bool Hedge = false;           ///< Second attempt beside a slow one.
  std::int64_t Tokens = 0;      ///< Tokens received.
  QueuedCall Call;              ///< Call as charged to the queue.
};

/// A request in progress on this node.
struct Request {
  RequestSerial Serial; ///< Number, local to this process.
  RequestInput Input;   ///< Request as received.
  /// Bundle in force at its arrival, used until its end.
  BundlePtr BundleAtStart;
  const PipelineSpec *Pipeline = nullptr;         ///< In BundleAtStart.
  const OrganisationSpec *Organisation = nullptr; ///< In BundleAtStart.
  OrganisationId OwnerId;                    ///< Organisation charged for it.
  RequestPhase Phase = RequestPhase::Queued; ///< Phase.
  TimePoint Arrived{};                       ///< When it was submitted.
  TimePoint Deadline{};                      ///< When its response is due.

  bool ClaimRequested = false; ///< A claim on its id was requested.
  std::size_t Stage = 0;       ///< Index of the current stage.
  SharedBytes Payload;         ///< Input of the current stage.
  TimePoint StageReady{};      ///< When the current stage was first queued.

  /// Attempts of the current stage in progress.
  std::vector<AttemptId> LiveAttempts;
  std::vector<UpstreamId>
      TriedUpstreams;         ///< Upstreams tried for the current stage.
  AttemptId StreamingAttempt; ///< Attempt whose tokens the caller receives; 0:
                              ///< none yet.
  /// A byte of the current stage may have reached an upstream.
  bool StageMaySent = false;
  /// A byte of any stage may have reached an upstream.
  bool AnyMaySent = false;
  bool EffectDone = false;    ///< A non-idempotent stage has completed.
  std::vector<StageRun> Ran;  ///< Stages sent so far.
  TimePoint FirstToken{};     ///< When the first token was sent to the caller.
  TimePoint LastToken{};      ///< When the latest token was sent to the caller.
  std::int64_t TokensOut = 0; ///< Tokens sent to the caller.

  /// \return The current stage.
  const StageSpec &stage() const { return Pipeline->Stages[Stage]; }
  /// \return Whether the current stage is the last.
  bool lastStage() const { return Stage + 1 == Pipeline->Stages.size(); }
};

} // namespace fulmar

#endif
