/// \file bundle_type.h What operators declare: the parts of a bundle.
#ifndef FULMARSTEP_BUNDLE_TYPE_H
#define FULMARSTEP_BUNDLE_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar {

/// How an organisation shares capacity with the others.
enum class OrganisationGroup {
  Established, ///< Shares by its weight.
  New,         ///< Shares what is set aside for newly taken over ones.
  Count,       ///< Number of groups.
  Invalid,     ///< Not a group.
};

/// How soon the callers of a pipeline need an answer.
enum class PipelineClass {
  Interactive, ///< Somebody waits for it; goes ahead of batch.
  Batch,       ///< Goes when there is room, and is never starved.
  Count,       ///< Number of classes.
  Invalid,     ///< Not a class.
};

/// What kind of upstream a pool holds, hence which protocol it speaks.
enum class PoolKind {
  Stage,   ///< Encoder, retriever or reranker: HTTP and JSON.
  Engine,  ///< Model engine: completions with streaming.
  Plain,   ///< Plain service: HTTP and JSON, calls perhaps not repeatable.
  Count,   ///< Number of kinds.
  Invalid, ///< Not a kind.
};

/// An organisation and what it may use.
struct OrganisationSpec {
  std::string Name;  ///< Unique.
  double Weight = 1; ///< Share within its group.
  OrganisationGroup Group = OrganisationGroup::Established; ///< Its group.
  double RateLimit = 0;               ///< Requests/s of the fleet; 0: none.
  double Burst = 10;                  ///< Requests let through at once.
  std::vector<std::string> Pipelines; ///< Pipelines that it may use.
};

/// A model that engines serve.
struct ModelSpec {
  std::string Name;    ///< Unique.
  std::string Version; ///< Weights' version.
};

/// An adapter on top of a model.
struct AdapterSpec {
  std::string Name;  ///< Unique.
  std::string Model; ///< The model it belongs to.
};

/// A failure domain whose upstreams get nothing new, for as long as it stands
/// in the bundle. What they work on ends there.
struct DrainedDomainSpec {
  std::string Name;   ///< Of the failure domain, as the host list has it.
  std::string Reason; ///< For other operators.
};

/// A pool of upstreams that are interchangeable.
struct PoolSpec {
  std::string Name;                ///< Unique; hosts name it in the host list.
  PoolKind Kind = PoolKind::Stage; ///< Protocol.
  std::string Model;               ///< For engines: the model they serve.
  std::string Path = "/v1/stage";  ///< For stages and services: HTTP path.
  std::int64_t StartLimit = 4;     ///< Calls at once to an upstream at first.
  std::int64_t MaxLimit = 64;      ///< Calls at once to an upstream at most.
  std::int64_t QueueLimit = 10000; ///< Calls waiting on one node at most.
};

/// One stage of a pipeline.
struct StageSpec {
  std::string Name;              ///< Unique in its pipeline.
  std::string Pool;              ///< Pool that runs it.
  std::string Adapter;           ///< For engines, an adapter; may be empty.
  bool Idempotent = true;        ///< Whether it may run more than once.
  std::int64_t TimeoutMs = 2000; ///< Longest single attempt.
  double CostMs = 5;             ///< Expected busy time, until measured.
  std::int64_t MaxTokens = 64;   ///< For engines: tokens at most.
};

/// A chain of stages under one deadline.
struct PipelineSpec {
  std::string Name;                                 ///< Unique.
  PipelineClass Class = PipelineClass::Interactive; ///< Urgency.
  std::int64_t DeadlineMs = 8000; ///< Default, and longest that may be asked.
  double RetryRatio = 0.1;        ///< Extra attempts for each fresh one.
  bool Hedge = true;              ///< Whether a slow attempt is doubled.
  std::vector<StageSpec> Stages;  ///< In order; the last gives the answer.

  /// \return Whether no stage may run twice.
  bool idempotent() const {
    for (const StageSpec &Stage : Stages) {
      if (!Stage.Idempotent)
        return false;
    }
    return true;
  }
};

/// How capacity is shared when there is not enough.
struct ShareSpec {
  double NewOrganisations = 0.3; ///< Of each pool, for the New group at most.
  double Batch = 0.2;            ///< Of each pool, for batch at least.
};

} // namespace fulmar

#endif
