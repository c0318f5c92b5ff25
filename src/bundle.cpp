/// \file bundle.cpp Parsing and validating bundles.
#include <algorithm>
#include <set>

#include "bundle_func.h"
#include "json_func.h"
#include "result_type.h"
#include "signature_func.h"
#include "table/bundle_fields.h"

namespace fulmar {

/// Maximum number of items in one section; bounds the memory that a malformed
/// file can make a node use.
static constexpr std::size_t MaxItemsOfSection = 10000;
/// Maximum number of stages in a pipeline.
static constexpr std::size_t MaxStages = 16;

static const std::vector<std::string_view> SectionNames = {
    "organisations", "models",    "adapters", "drained_domains",
    "pools",         "pipelines", "shares"};

/// A parsed object together with the JSON it was read from, which gives the
/// line numbers for error messages.
template <typename Spec> struct Located {
  Spec Part;          ///< The parsed object.
  const Json *Source; ///< Its JSON object in the bundle source.
};

/// All objects read from a bundle source, before references between them are
/// checked.
struct BundleDraft {
  std::vector<Located<OrganisationSpec>> Organisations;   ///< In file order.
  std::vector<Located<ModelSpec>> Models;                 ///< In file order.
  std::vector<Located<AdapterSpec>> Adapters;             ///< In file order.
  std::vector<Located<DrainedDomainSpec>> DrainedDomains; ///< In file order.
  std::vector<Located<PoolSpec>> Pools;                   ///< In file order.
  std::vector<Located<PipelineSpec>> Pipelines;           ///< In file order.
  ShareSpec Shares; ///< The `shares` object.
};

static void readStages(const Json &Object, PipelineSpec &Out,
                       FieldCheck &Check) {
  const Json *List = Object.find("stages");
  if (!List || List->Kind != JsonKind::List || List->Items.empty() ||
      List->Items.size() > MaxStages)
    return Check.report(List ? List->Line : Object.Line, "stages",
                        "expected a list of 1 to " + std::to_string(MaxStages) +
                            " stages");
  std::set<std::string> Names;
  for (std::size_t I = 0; I < List->Items.size(); ++I) {
    FieldCheck Inner{Check.Errors, Check.Path + "/stages/" + std::to_string(I)};
    StageSpec Stage;
    readFields<StageSpec>(List->Items[I], StageTable, Stage, Inner);
    if (!Names.insert(Stage.Name).second)
      Inner.report(List->Items[I].Line, "name",
                   "\"" + Stage.Name + "\" is used twice in this pipeline");
    Out.Stages.push_back(std::move(Stage));
  }
}

static void readPart(const Json &Object, OrganisationSpec &Out,
                     FieldCheck &Check) {
  readFields<OrganisationSpec>(Object, OrganisationTable, Out, Check);
}
static void readPart(const Json &Object, ModelSpec &Out, FieldCheck &Check) {
  readFields<ModelSpec>(Object, ModelTable, Out, Check);
}
static void readPart(const Json &Object, AdapterSpec &Out, FieldCheck &Check) {
  readFields<AdapterSpec>(Object, AdapterTable, Out, Check);
}

static void readPart(const Json &Object, DrainedDomainSpec &Out,
                     FieldCheck &Check) {
  readFields<DrainedDomainSpec>(Object, DrainedDomainTable, Out, Check);
}
static void readPart(const Json &Object, PoolSpec &Out, FieldCheck &Check) {
  readFields<PoolSpec>(Object, PoolTable, Out, Check);
}
static void readPart(const Json &Object, PipelineSpec &Out, FieldCheck &Check) {
  readFields<PipelineSpec>(Object, PipelineTable, Out, Check, {"stages"});
  if (Object.Kind == JsonKind::Object)
    readStages(Object, Out, Check);
}

/// \return Whether \p Name has only letters, digits, `.`, `_` and `-`. Names
/// become parts of keys, metric labels and log lines.
static bool isValidName(const std::string &Name) {
  return Name.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                "0123456789._-") == std::string::npos;
}

/// Reads one section: a list of objects that each have a unique name.
template <typename Spec>
static void readSection(const Json &Root, std::string_view Section,
                        std::vector<Located<Spec>> &Out, Diagnostics &Errors) {
  const Json *List = Root.find(Section);
  if (!List)
    return;
  FieldCheck Top{Errors, ""};
  if (List->Kind != JsonKind::List || List->Items.size() > MaxItemsOfSection)
    return Top.report(List->Line, Section,
                      "expected a list of at most " +
                          std::to_string(MaxItemsOfSection) + " objects");
  std::set<std::string> Names;
  for (const Json &Item : List->Items) {
    FieldCheck Check{Errors, std::string(Section) + "/" + Item.text("name")};
    Spec Part;
    readPart(Item, Part, Check);
    if (!Part.Name.empty() && !Names.insert(Part.Name).second)
      Check.report(Item.Line, "name", "duplicate name in this bundle");
    if (!isValidName(Part.Name))
      Check.report(Item.Line, "name",
                   "only letters, digits, `.`, `_` and `-` are allowed");
    Out.push_back({std::move(Part), &Item});
  }
}

/// Reports an error if no object in \p Parts is called \p Name, and suggests
/// the most similar name.
/// \param Source the JSON object that holds the reference.
/// \param FieldName its field with the reference.
/// \param What the kind of object referred to, for the error message.
template <typename Spec>
static void checkReference(const std::vector<Located<Spec>> &Parts,
                           const std::string &Name, const Json *Source,
                           std::string_view FieldName, std::string_view What,
                           FieldCheck &Check) {
  std::vector<std::string_view> Known;
  for (const Located<Spec> &Part : Parts) {
    if (Part.Part.Name == Name)
      return;
    Known.push_back(Part.Part.Name);
  }
  const Json *Field = Source->find(FieldName);
  std::string Message = "no " + std::string(What) + " \"" + Name + "\"";
  std::string_view Nearest = nearestName(Name, Known);
  if (!Nearest.empty())
    Message += "; did you mean \"" + std::string(Nearest) + "\"?";
  Check.report(Field ? Field->Line : Source->Line, FieldName, Message);
}

static void checkPipeline(const BundleDraft &Draft,
                          const Located<PipelineSpec> &Pipeline,
                          Diagnostics &Errors) {
  const Json *Stages = Pipeline.Source->find("stages");
  for (std::size_t I = 0; I < Pipeline.Part.Stages.size(); ++I) {
    const StageSpec &Stage = Pipeline.Part.Stages[I];
    const Json *Source = &Stages->Items[I];
    FieldCheck Check{Errors, "pipelines/" + Pipeline.Part.Name + "/stages/" +
                                 std::to_string(I)};
    checkReference(Draft.Pools, Stage.Pool, Source, "pool", "pool", Check);
    if (!Stage.Adapter.empty())
      checkReference(Draft.Adapters, Stage.Adapter, Source, "adapter",
                     "adapter", Check);
    if (Stage.TimeoutMs > Pipeline.Part.DeadlineMs)
      Check.report(Source->Line, "timeout_ms",
                   std::to_string(Stage.TimeoutMs) +
                       " is above the pipeline's deadline_ms of " +
                       std::to_string(Pipeline.Part.DeadlineMs));
  }
}

static void crossCheck(const BundleDraft &Draft, Diagnostics &Errors) {
  for (const auto &Adapter : Draft.Adapters) {
    FieldCheck Check{Errors, "adapters/" + Adapter.Part.Name};
    checkReference(Draft.Models, Adapter.Part.Model, Adapter.Source, "model",
                   "model", Check);
  }
  for (const auto &Pool : Draft.Pools) {
    FieldCheck Check{Errors, "pools/" + Pool.Part.Name};
    if (Pool.Part.Kind == PoolKind::Engine)
      checkReference(Draft.Models, Pool.Part.Model, Pool.Source, "model",
                     "model", Check);
    if (Pool.Part.StartLimit > Pool.Part.MaxLimit)
      Check.report(Pool.Source->Line, "start_limit",
                   "is above max_limit of " +
                       std::to_string(Pool.Part.MaxLimit));
  }
  for (const auto &Pipeline : Draft.Pipelines)
    checkPipeline(Draft, Pipeline, Errors);
  for (const auto &Organisation : Draft.Organisations) {
    FieldCheck Check{Errors, "organisations/" + Organisation.Part.Name};
    for (const std::string &Name : Organisation.Part.Pipelines)
      checkReference(Draft.Pipelines, Name, Organisation.Source, "pipelines",
                     "pipeline", Check);
  }
}

static BundleDraft readDraft(const Json &Root, Diagnostics &Errors) {
  BundleDraft Draft;
  FieldCheck Top{Errors, ""};
  if (Root.Kind != JsonKind::Object) {
    Top.report(Root.Line, "", "expected an object");
    return Draft;
  }
  for (const auto &[Name, Value] : Root.Members) {
    if (std::find(SectionNames.begin(), SectionNames.end(), Name) ==
        SectionNames.end())
      Top.unknown(Value.Line, Name, SectionNames);
  }
  readSection(Root, "organisations", Draft.Organisations, Errors);
  readSection(Root, "models", Draft.Models, Errors);
  readSection(Root, "adapters", Draft.Adapters, Errors);
  readSection(Root, "drained_domains", Draft.DrainedDomains, Errors);
  readSection(Root, "pools", Draft.Pools, Errors);
  readSection(Root, "pipelines", Draft.Pipelines, Errors);
  if (const Json *Shares = Root.find("shares")) {
    FieldCheck Check{Errors, "shares"};
    readFields<ShareSpec>(*Shares, ShareTable, Draft.Shares, Check);
  }
  crossCheck(Draft, Errors);
  return Draft;
}

BundleItems parseBundleSource(std::string_view Text, Diagnostics &Errors) {
  BundleItems Items;
  std::optional<Json> Root = parseJson(Text, JsonDialect::WithComments, Errors);
  if (!Root)
    return Items;
  readDraft(*Root, Errors);
  std::stable_sort(
      Errors.begin(), Errors.end(),
      [](const Diagnostic &A, const Diagnostic &B) { return A.Line < B.Line; });
  if (!Errors.empty())
    return Items;
  for (const auto &[Section, Value] : Root->Members) {
    if (Section == "shares") {
      Items["shares/"] = makeItem("shares/", writeJson(Value));
      continue;
    }
    for (const Json &Item : Value.Items) {
      std::string Key = Section + "/" + Item.text("name");
      Items[Key] = makeItem(Key, writeJson(Item));
    }
  }
  return Items;
}

/// Joins the items into one JSON object of the form of a bundle source.
static Json joinItems(const BundleItems &Items) {
  Json Root;
  Root.Kind = JsonKind::Object;
  Diagnostics Errors;
  for (const auto &[Key, Item] : Items) {
    std::string Section = Key.substr(0, Key.find('/'));
    std::optional<Json> Value =
        parseJson(Item.Json, JsonDialect::Strict, Errors);
    if (!Value)
      throw Error(ResultCode::BundleInvalid, "item is not JSON: " + Key);
    if (Section == "shares") {
      Root.set(Section, std::move(*Value));
      continue;
    }
    // Items are sorted by key, so the items of a section are adjacent.
    if (Root.Members.empty() || Root.Members.back().first != Section)
      Root.set(Section, Json());
    Root.Members.back().second.push(std::move(*Value));
  }
  return Root;
}

template <typename Spec>
static std::vector<Spec> sortedParts(std::vector<Located<Spec>> &Draft) {
  std::vector<Spec> Out;
  Out.reserve(Draft.size());
  for (Located<Spec> &Part : Draft)
    Out.push_back(std::move(Part.Part));
  std::sort(Out.begin(), Out.end(),
            [](const Spec &A, const Spec &B) { return A.Name < B.Name; });
  return Out;
}

BundlePtr buildBundle(const BundleItems &Items, std::uint64_t Version) {
  Json Root = joinItems(Items);
  Diagnostics Errors;
  BundleDraft Draft = readDraft(Root, Errors);
  if (!Errors.empty())
    throw Error(ResultCode::BundleInvalid, formatDiagnostics("bundle", Errors));
  auto Out = std::make_shared<Bundle>();
  Out->Version = Version;
  Out->Organisations = sortedParts(Draft.Organisations);
  Out->Models = sortedParts(Draft.Models);
  Out->Adapters = sortedParts(Draft.Adapters);
  Out->DrainedDomains = sortedParts(Draft.DrainedDomains);
  Out->Pools = sortedParts(Draft.Pools);
  Out->Pipelines = sortedParts(Draft.Pipelines);
  Out->Shares = Draft.Shares;
  return Out;
}

std::string bundleMarkdown() {
  return "# Fields of a bundle\n\nWritten by `fulmarstep help bundle` from "
         "`src/table/bundle_fields.h`; a test keeps both the same.\nThe file "
         "is JSON with comments, checked with `fulmarstep bundle check "
         "--file FILE`.\n\n## organisations\n\n" +
         fieldsMarkdown<OrganisationSpec>(OrganisationTable) +
         "\n## models\n\n" + fieldsMarkdown<ModelSpec>(ModelTable) +
         "\n## adapters\n\n" + fieldsMarkdown<AdapterSpec>(AdapterTable) +
         "\n## drained_domains\n\n" +
         fieldsMarkdown<DrainedDomainSpec>(DrainedDomainTable) +
         "\n## pools\n\n" + fieldsMarkdown<PoolSpec>(PoolTable) +
         "\n## pipelines\n\nBesides these fields, `stages` is a list of 1 to " +
         std::to_string(MaxStages) + " stages.\n\n" +
         fieldsMarkdown<PipelineSpec>(PipelineTable) + "\n### stages\n\n" +
         fieldsMarkdown<StageSpec>(StageTable) + "\n## shares\n\n" +
         fieldsMarkdown<ShareSpec>(ShareTable);
}

} // namespace fulmar
