/// \file bundle_fields.h The tables of a bundle's fields.
#ifndef FULMARSTEP_TABLE_BUNDLE_FIELDS_H
#define FULMARSTEP_TABLE_BUNDLE_FIELDS_H

#include "bundle_type.h"
#include "core/enum_names.h"
#include "field_base.h"

namespace fulmar {

inline constexpr EnumNames<OrganisationGroup> OrganisationGroupNames = {
    "established", "new"};
inline constexpr EnumNames<PipelineClass> PipelineClassNames = {"interactive",
                                                                "batch"};
inline constexpr EnumNames<PoolKind> PoolKindNames = {"stage", "engine",
                                                      "service"};

/// Sets \p Out to the enumerator called \p Name.
template <typename Enum>
bool assignByName(Enum &Out, const EnumNames<Enum> &Names,
                  std::string_view Name) {
  std::optional<Enum> Value = valueIn<Enum>(Names, Name);
  if (Value)
    Out = *Value;
  return Value.has_value();
}

inline const EnumField<OrganisationSpec> GroupField = {
    [](OrganisationSpec &Out, std::string_view Name) {
      return assignByName(Out.Group, OrganisationGroupNames, Name);
    },
    [](const OrganisationSpec &O) {
      return nameIn(OrganisationGroupNames, O.Group);
    },
    "established, new"};

inline const EnumField<PipelineSpec> ClassField = {
    [](PipelineSpec &Out, std::string_view Name) {
      return assignByName(Out.Class, PipelineClassNames, Name);
    },
    [](const PipelineSpec &P) { return nameIn(PipelineClassNames, P.Class); },
    "interactive, batch"};

inline const EnumField<PoolSpec> KindField = {
    [](PoolSpec &Out, std::string_view Name) {
      return assignByName(Out.Kind, PoolKindNames, Name);
    },
    [](const PoolSpec &P) { return nameIn(PoolKindNames, P.Kind); },
    "stage, engine, service"};

inline const Field<OrganisationSpec> OrganisationTable[] = {
    {"name", &OrganisationSpec::Name, "", 1, 64, FieldPresence::Required,
     "Unique name, as callers send it."},
    {"weight", &OrganisationSpec::Weight, "", 0.01, 1000,
     FieldPresence::Optional, "Share of capacity within its group."},
    {"group", GroupField, "", 0, 0, FieldPresence::Optional,
     "Newly taken over organisations share what is set aside for them."},
    {"rate_limit", &OrganisationSpec::RateLimit, "requests/s", 0, 1e6,
     FieldPresence::Optional, "Limit over the whole fleet; 0 sets none."},
    {"burst", &OrganisationSpec::Burst, "requests", 1, 1e6,
     FieldPresence::Optional,
     "Requests that may come at once within the limit."},
    {"pipelines", &OrganisationSpec::Pipelines, "", 0, 64,
     FieldPresence::Required, "Pipelines that it may use."},
};

inline const Field<ModelSpec> ModelTable[] = {
    {"name", &ModelSpec::Name, "", 1, 64, FieldPresence::Required,
     "Unique name."},
    {"version", &ModelSpec::Version, "", 0, 64, FieldPresence::Optional,
     "Version of its weights."},
};

inline const Field<AdapterSpec> AdapterTable[] = {
    {"name", &AdapterSpec::Name, "", 1, 64, FieldPresence::Required,
     "Unique name."},
    {"model", &AdapterSpec::Model, "", 1, 64, FieldPresence::Required,
     "Model that it belongs to."},
};

inline const Field<DrainedDomainSpec> DrainedDomainTable[] = {
    {"name", &DrainedDomainSpec::Name, "", 1, 64, FieldPresence::Required,
     "Failure domain whose upstreams get nothing new; what they work on ends "
     "there. Named as in the host list."},
    {"reason", &DrainedDomainSpec::Reason, "", 0, 256, FieldPresence::Optional,
     "Why, for other operators."},
};

inline const Field<PoolSpec> PoolTable[] = {
    {"name", &PoolSpec::Name, "", 1, 64, FieldPresence::Required,
     "Unique name; the host list says which host belongs to which pool."},
    {"kind", KindField, "", 0, 0, FieldPresence::Required,
     "Protocol of its upstreams."},
    {"model", &PoolSpec::Model, "", 1, 64, FieldPresence::Optional,
     "For engines: the model they serve."},
    {"path", &PoolSpec::Path, "", 1, 256, FieldPresence::Optional,
     "For stages and services: the HTTP path to call."},
    {"start_limit", &PoolSpec::StartLimit, "calls", 1, 4096,
     FieldPresence::Optional, "Calls at once to one upstream at first."},
    {"max_limit", &PoolSpec::MaxLimit, "calls", 1, 4096,
     FieldPresence::Optional, "Calls at once to one upstream at most."},
    {"queue_limit", &PoolSpec::QueueLimit, "calls", 1, 1e6,
     FieldPresence::Optional, "Calls queued on one node at most."},
};

inline const Field<StageSpec> StageTable[] = {
    {"name", &StageSpec::Name, "", 1, 64, FieldPresence::Required,
     "Unique in its pipeline."},
    {"pool", &StageSpec::Pool, "", 1, 64, FieldPresence::Required,
     "Pool that runs it."},
    {"adapter", &StageSpec::Adapter, "", 0, 64, FieldPresence::Optional,
     "For engines: the adapter to use."},
    {"idempotent", &StageSpec::Idempotent, "", 0, 1, FieldPresence::Optional,
     "Whether running it twice does no harm."},
    {"timeout_ms", &StageSpec::TimeoutMs, "ms", 1, 600000,
     FieldPresence::Optional, "Longest single attempt."},
    {"cost_ms", &StageSpec::CostMs, "ms", 0.01, 600000, FieldPresence::Optional,
     "Expected busy time, used until it has been measured."},
    {"max_tokens", &StageSpec::MaxTokens, "tokens", 1, 100000,
     FieldPresence::Optional, "For engines: tokens at most."},
};

inline const Field<PipelineSpec> PipelineTable[] = {
    {"name", &PipelineSpec::Name, "", 1, 64, FieldPresence::Required,
     "Unique name, as callers send it."},
    {"class", ClassField, "", 0, 0, FieldPresence::Optional,
     "Interactive requests take precedence over batch requests."},
    {"deadline_ms", &PipelineSpec::DeadlineMs, "ms", 1, 600000,
     FieldPresence::Optional,
     "Deadline over all stages; callers may ask for less."},
    {"retry_ratio", &PipelineSpec::RetryRatio, "", 0, 1,
     FieldPresence::Optional, "Extra attempts allowed for each first attempt."},
    {"hedge", &PipelineSpec::Hedge, "", 0, 1, FieldPresence::Optional,
     "Whether a slow idempotent attempt is doubled, within the retry ratio."},
};

inline const Field<ShareSpec> ShareTable[] = {
    {"new_organisations", &ShareSpec::NewOrganisations, "", 0.01, 0.99,
     FieldPresence::Optional,
     "Share of a busy pool for newly taken over organisations together."},
    {"batch", &ShareSpec::Batch, "", 0.01, 0.99, FieldPresence::Optional,
     "Share of a busy pool that batch keeps when interactive could fill it."},
};

} // namespace fulmar

#endif
