// Settings and bundles: what operators write, and what they are told.
#include "bench/demo.h"
#include "bundle_func.h"
#include "json_func.h"
#include "settings_func.h"

using namespace fulmar;

static const char *const GoodSettings = R"({
  // a comment
  "node_id": "n1", "failure_domain": "fd1",
  "kv_address": "127.0.0.1:8500", "host_list_address": "127.0.0.1:8501",
  "operator_token": "0123456789", "peer_key": "0123456789abcdef"
})";

static std::string problems(std::string_view Text) {
  Diagnostics Wrong;
  parseSettings(Text, Wrong);
  return formatDiagnostics("node.json", Wrong);
}

static std::string bundleProblems(std::string_view Text) {
  Diagnostics Wrong;
  parseBundleSource(Text, Wrong);
  return formatDiagnostics("b.json", Wrong);
}

SCENARIO("an operator writes a node's settings") {
  GIVEN("a good file with comments") {
    Diagnostics Wrong;
    Settings S = parseSettings(GoodSettings, Wrong);
    THEN("it is read, and what is left out has its default") {
      CHECK(Wrong.empty());
      CHECK(S.NodeId == "n1");
      CHECK(S.EntryTtlMs == 3000);
    }
  }
  GIVEN("the examples of both deployments") {
    for (const char *Name : {"avstamning", "turno-certo"})
      CHECK_NOTHROW(loadSettings(std::string(SOURCE_DIR "/examples/") + Name +
                                 "-node.json"));
  }
  GIVEN("a file with several mistakes") {
    std::string Text = GoodSettings;
    Text.replace(Text.find("\"n1\""), 4,
                 "\"n1\",\n  \"entry_tl_ms\": 5,\n"
                 "  \"entry_count\": 99");
    Text.replace(Text.find("127.0.0.1:8500"), 14, "localhost");
    std::string Out = problems(Text);
    THEN("all are named at once, with line, value, range and nearest name") {
      CHECK_THAT(Out, Catch::Contains("node.json:4: entry_tl_ms: unknown name; "
                                      "did you mean `entry_ttl_ms`?"));
      CHECK_THAT(Out,
                 Catch::Contains("node.json:5: entry_count: 99 is not "
                                 "allowed; allowed: whole numbers 1 to 16"));
      CHECK_THAT(Out, Catch::Contains("expected IP:PORT"));
    }
  }
  GIVEN("a key that stands twice") {
    THEN("it is refused with its line") {
      CHECK_THAT(problems("{\n\"node_id\": \"a\",\n\"node_id\": \"b\"}"),
                 Catch::Contains("node.json:3") &&
                     Catch::Contains("Duplicate key"));
    }
  }
  GIVEN("text that is not JSON, or nested without end") {
    THEN("there is an error, not a crash") {
      CHECK_FALSE(problems("{").empty());
      CHECK_FALSE(problems("").empty());
      CHECK_THAT(problems(std::string(5000, '[')),
                 Catch::Contains("nested deeper"));
    }
  }
  THEN("the reference page is what the table says") {
    CHECK(readFile(SOURCE_DIR "/docs/SETTINGS.md") == settingsMarkdown());
  }
}

SCENARIO("an operator writes a bundle") {
  GIVEN("the examples of both deployments") {
    for (const char *Name : {"avstamning", "turno-certo"}) {
      std::string Path =
          std::string(SOURCE_DIR "/examples/") + Name + "-bundle.json";
      BundleItems Items = loadBundleItems(Path);
      THEN(std::string(Name) + " is good, with a non-idempotent pipeline") {
        BundlePtr B = buildBundle(Items, 7);
        CHECK(B->Version == 7);
        CHECK(B->Organisations.size() == 5);
        CHECK(std::any_of(B->Pipelines.begin(), B->Pipelines.end(),
                          [](const auto &P) { return !P.idempotent(); }));
      }
    }
  }
  GIVEN("a pipeline that names a pool, and an organisation that names a "
        "pipeline, which are not there") {
    std::string Out = bundleProblems(R"({
      "organisations": [ { "name": "a", "pipelines": ["pp"] } ],
      "pools": [ { "name": "encoders", "kind": "stage" } ],
      "pipelines": [
        { "name": "p",
          "stages": [ { "name": "s", "pool": "encoder" } ] } ]
    })");
    THEN("both are refused with their lines") {
      CHECK_THAT(Out, Catch::Contains("b.json:6: pipelines/p/stages/0/pool: no "
                                      "pool \"encoder\"; did you mean "
                                      "\"encoders\"?"));
      CHECK_THAT(Out, Catch::Contains("b.json:2: organisations/a/pipelines: no "
                                      "pipeline \"pp\""));
    }
  }
  GIVEN("a model that is missing, a bad kind and a name with a quote") {
    std::string Out = bundleProblems(R"({
      "pools": [ { "name": "e", "kind": "engine", "model": "m" },
                 { "name": "x", "kind": "box" },
                 { "name": "q\"", "kind": "stage" } ]
    })");
    THEN("all are refused") {
      CHECK_THAT(Out, Catch::Contains("no model \"m\""));
      CHECK_THAT(Out,
                 Catch::Contains("expected one of: stage, engine, service"));
      CHECK_THAT(Out, Catch::Contains("only letters, digits"));
    }
  }
  THEN("the reference page is what the tables say") {
    CHECK(readFile(SOURCE_DIR "/docs/BUNDLE.md") == bundleMarkdown());
  }
}
