/// \file bundle_type.h Objects that operators declare in a bundle.
#ifndef FULMARSTEP_BUNDLE_TYPE_H
#define FULMARSTEP_BUNDLE_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar {

/// How an organisation shares capacity with the others.
enum class OrganisationGroup {
  Established, ///< Has a share by its weight.
  New,         ///< Shares the capacity reserved for organisations that
               ///< were taken over recently.
  Count,       ///< Number of groups.
  Invalid,     ///< Not a group.
};

/// How urgently the callers of a pipeline need a response.
enum class PipelineClass {
  Interactive, ///< A user waits for the response; has priority over batch.
  Batch,       ///< Runs on spare capacity, with a guaranteed minimum share.
  Count,       ///< Number of classes.
  Invalid,     ///< Not a class.
};

/// Kind of the upstreams in a pool, which determines their protocol.
enum class PoolKind {
  Stage,   ///< Encoder, retriever or reranker: HTTP and JSON.
  Engine,  ///< Model engine: completions API with streaming.
  Plain,   ///< Other service: HTTP and JSON; calls may not be idempotent.
  Count,   ///< Number of kinds.
  Invalid, ///< Not a kind.
};

/// An organisation: its share of capacity, rate limit and pipelines.
struct OrganisationSpec {
  std::string Name;  ///< Unique among organisations.
  double Weight = 1; ///< Relative share of capacity within its group.
  OrganisationGroup Group = OrganisationGroup::Established; ///< Group.
  double RateLimit = 0; ///< Requests/s over all nodes; 0: unlimited.
  double Burst = 10;    ///< Requests admitted at once (bucket size).
  std::vector<std::string> Pipelines; ///< Pipelines that it may use.
};

/// A model that engines serve.
struct ModelSpec {
  std::string Name;    ///< Unique among models.
  std::string Version; ///< Version of the weights.
};

/// An adapter for a model.
struct AdapterSpec {
  std::string Name;  ///< Unique among adapters.
  std::string Model; ///< Name of the model that it adapts.
};

/// A failure domain whose upstreams are sent no new calls while it is listed in
/// the bundle. Calls in flight complete there.
struct DrainedDomainSpec {
  std::string Name;   ///< Failure domain, spelled as in the host list.
  std::string Reason; ///< Why it is drained, for other operators.
};

/// A pool of interchangeable upstreams.
struct PoolSpec {
  std::string Name;                ///< Unique; the host list refers to it.
  PoolKind Kind = PoolKind::Stage; ///< Kind of its upstreams.
  std::string Model;               ///< For engines: name of the served model.
  std::string Path = "/v1/stage";  ///< For stages and services: HTTP path.
  std::int64_t StartLimit = 4;     ///< Initial concurrency limit per upstream.
  std::int64_t MaxLimit = 64;      ///< Maximum concurrency limit per upstream.
  std::int64_t QueueLimit = 10000; ///< Maximum queue depth on one node, calls.
};

/// One stage of a pipeline.
struct StageSpec {
  std::string Name;              ///< Unique within its pipeline.
  std::string Pool;              ///< Name of the pool that runs it.
  std::string Adapter;           ///< For engines: adapter name, or empty.
  bool Idempotent = true;        ///< Whether it may run more than once.
  std::int64_t TimeoutMs = 2000; ///< Timeout of one attempt, ms.
  double CostMs = 5;             ///< Initial estimate of busy time, ms.
  std::int64_t MaxTokens = 64;   ///< For engines: maximum output tokens.
};

/// A chain of stages under one deadline.
struct PipelineSpec {
  std::string Name;                                 ///< Unique among pipelines.
  PipelineClass Class = PipelineClass::Interactive; ///< Urgency.
  std::int64_t DeadlineMs = 8000; ///< Default and maximum deadline, ms.
  double RetryRatio = 0.1;        ///< Retries and hedges per first attempt.
  bool Hedge = true;              ///< Whether slow attempts are hedged.
  std::vector<StageSpec> Stages;  ///< In order; the last gives the response.

  /// \return Whether all stages are idempotent.
  bool idempotent() const {
    for (const StageSpec &Stage : Stages) {
      if (!Stage.Idempotent)
        return false;
    }
    return true;
  }
};

/// How capacity is shared under overload.
struct ShareSpec {
  double NewOrganisations = 0.3; ///< Maximum fraction of a pool for group New.
  double Batch = 0.2; ///< Minimum fraction of a pool for class Batch.
};

} // namespace fulmar

#endif
