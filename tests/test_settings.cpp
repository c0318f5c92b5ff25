// Tests of settings and bundle files: parsing, validation, error messages.
#include "bench/demo.h"
#include "bundle_func.h"
#include "json_func.h"
#include "settings_func.h"

using namespace fulmar;

static const char *const ValidSettings = R"({
  // a comment
  "node_id": "n1", "failure_domain": "fd1",
  "kv_address": "127.0.0.1:8500", "host_list_address": "127.0.0.1:8501",
  "operator_token": "0123456789", "peer_key": "0123456789abcdef"
})";

static std::string settingsErrors(std::string_view Text) {
  Diagnostics Errors;
  parseSettings(Text, Errors);
  return formatDiagnostics("node.json", Errors);
}

static std::string bundleErrors(std::string_view Text) {
  Diagnostics Errors;
  parseBundleSource(Text, Errors);
  return formatDiagnostics("b.json", Errors);
}

SCENARIO("settings files are parsed and validated") {
  GIVEN("a valid file with comments") {
    Diagnostics Errors;
    Settings S = parseSettings(ValidSettings, Errors);
    THEN("it is parsed, and omitted settings have their defaults") {
      CHECK(Errors.empty());
      CHECK(S.NodeId == "n1");
      CHECK(S.EntryTtlMs == 3000);
    }
  }
  GIVEN("the examples of both deployments") {
    for (const char *Name : {"avstamning", "turno-certo"})
      CHECK_NOTHROW(loadSettings(std::string(SOURCE_DIR "/examples/") + Name +
                                 "-node.json"));
  }
  GIVEN("a file with several errors") {
    std::string Text = ValidSettings;
    Text.replace(Text.find("\"n1\""), 4,
                 "\"n1\",\n  \"entry_tl_ms\": 5,\n"
                 "  \"entry_count\": 99");
    Text.replace(Text.find("127.0.0.1:8500"), 14, "localhost");
    std::string Out = settingsErrors(Text);
    THEN("all are reported, with line, value, range and suggested name") {
      CHECK_THAT(Out, Catch::Contains("node.json:4: entry_tl_ms: unknown name; "
                                      "did you mean `entry_ttl_ms`?"));
      CHECK_THAT(Out,
                 Catch::Contains("node.json:5: entry_count: 99 is not "
                                 "allowed; allowed: whole numbers 1 to 16"));
      CHECK_THAT(Out, Catch::Contains("expected IP:PORT"));
    }
  }
  GIVEN("a duplicate key") {
    THEN("it is rejected with its line number") {
      CHECK_THAT(settingsErrors("{\n\"node_id\": \"a\",\n\"node_id\": \"b\"}"),
                 Catch::Contains("node.json:3") &&
                     Catch::Contains("Duplicate key"));
    }
  }
  GIVEN("text that is not JSON, or is nested too deeply") {
    THEN("an error is reported without a crash") {
      CHECK_FALSE(settingsErrors("{").empty());
      CHECK_FALSE(settingsErrors("").empty());
      CHECK_THAT(settingsErrors(std::string(5000, '[')),
                 Catch::Contains("nested deeper"));
    }
  }
  THEN("the reference page matches the table") {
    CHECK(readFile(SOURCE_DIR "/docs/SETTINGS.md") == settingsMarkdown());
  }
}

SCENARIO("bundle files are parsed and validated") {
  GIVEN("the examples of both deployments") {
    for (const char *Name : {"avstamning", "turno-certo"}) {
      std::string Path =
          std::string(SOURCE_DIR "/examples/") + Name + "-bundle.json";
      BundleItems Items = loadBundleItems(Path);
      THEN(std::string(Name) + " is valid, with a non-idempotent pipeline") {
        BundlePtr B = buildBundle(Items, 7);
        CHECK(B->Version == 7);
        CHECK(B->Organisations.size() == 5);
        CHECK(std::any_of(B->Pipelines.begin(), B->Pipelines.end(),
                          [](const auto &P) { return !P.idempotent(); }));
      }
    }
  }
  GIVEN("a pipeline with an unknown pool and an organisation with an "
        "unknown pipeline") {
    std::string Out = bundleErrors(R"({
      "organisations": [ { "name": "a", "pipelines": ["pp"] } ],
      "pools": [ { "name": "encoders", "kind": "stage" } ],
      "pipelines": [
        { "name": "p",
          "stages": [ { "name": "s", "pool": "encoder" } ] } ]
    })");
    THEN("both are rejected with their line numbers") {
      CHECK_THAT(Out, Catch::Contains("b.json:6: pipelines/p/stages/0/pool: no "
                                      "pool \"encoder\"; did you mean "
                                      "\"encoders\"?"));
      CHECK_THAT(Out, Catch::Contains("b.json:2: organisations/a/pipelines: no "
                                      "pipeline \"pp\""));
    }
  }
  GIVEN("an unknown model, an invalid kind and a name with a quote") {
    std::string Out = bundleErrors(R"({
      "pools": [ { "name": "e", "kind": "engine", "model": "m" },
                 { "name": "x", "kind": "box" },
                 { "name": "q\"", "kind": "stage" } ]
    })");
    THEN("all are rejected") {
      CHECK_THAT(Out, Catch::Contains("no model \"m\""));
      CHECK_THAT(Out,
                 Catch::Contains("expected one of: stage, engine, service"));
      CHECK_THAT(Out, Catch::Contains("only letters, digits"));
    }
  }
  THEN("the reference page matches the tables") {
    CHECK(readFile(SOURCE_DIR "/docs/BUNDLE.md") == bundleMarkdown());
  }
}
