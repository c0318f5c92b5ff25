/// \file test_stream_version.cpp Streams that continue while upstreams of
/// several software versions serve in one pool.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "member_service.h"
#include "node_services.h"

using namespace fulmar;
using platform::RunnerConfig;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Events = 12;

/// \return The versions of the upstreams that wrote the events of a stream.
std::set<std::string> versionsIn(const std::string &Stream) {
  std::set<std::string> Versions;
  for (std::size_t At = Stream.find('@'); At != std::string::npos;
       At = Stream.find('@', At + 1))
    Versions.insert(Stream.substr(At + 1, Stream.find('\n', At) - At - 1));
  return Versions;
}

/// \return The ids of the events of a stream, in order.
std::vector<int> idsIn(const std::string &Stream) {
  std::vector<int> Ids;
  for (std::size_t At = Stream.find("id: "); At != std::string::npos;
       At = Stream.find("id: ", At + 1))
    Ids.push_back(std::stoi(Stream.substr(At + 4)));
  return Ids;
}

/// \return Whether a stream has each event once and in order.
bool isWhole(const std::string &Stream) {
  std::vector<int> Ids = idsIn(Stream);
  if (Ids.size() != Events)
    return false;
  for (int I = 0; I < Events; ++I) {
    if (Ids[static_cast<std::size_t>(I)] != I + 1)
      return false;
  }
  return true;
}

/// A stream over the tries of its client.
struct ClientStream {
  std::string FirstId;                  ///< Id of the first try.
  std::shared_ptr<ClientResult> Latest; ///< Of the latest try.
  std::string Earlier;                  ///< Events of earlier tries.

  std::string text() const { return Earlier + Latest->Stream; }
};

/// Three nodes and a pool of two upstreams at version v1 and four at v2.
struct VersionWorld : GatewayWorld {
  std::vector<ClientStream> Streams;

  explicit VersionWorld(int NodeCount = 3) {
    Attempts = "3";
    TimeoutMs = 5000;
    for (std::string Name : {"old-0", "old-1"})
      addEngine(Name, "v1");
    for (std::string Name : {"new-0", "new-1", "new-2", "new-3"})
      addEngine(Name, "v2");
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
    runUntil(Loop, [&] { return knowEachOther(); });
  }

  platform::StandinRunner &addEngine(const std::string &Name,
                                     const std::string &Version) {
    RunnerConfig Shape{Name, milliseconds(5), Events, milliseconds(30)};
    Shape.Version = Version;
    return addRunner("engine", Shape);
  }

  bool knowEachOther() const {
    for (const auto &Node : Nodes) {
      const auto &Members =
          Node->services().find<MemberService>(service::Members);
      if (Members.size() != Nodes.size())
        return false;
    }
    return true;
  }

  /// Begins streams at a node and waits until each has some events.
  void begin(int Count, std::size_t Node = 0) {
    for (int I = 0; I < Count; ++I) {
      auto Result = send("/stream/x", {}, Node);
      Streams.push_back({"r" + std::to_string(LastId), Result, ""});
    }
    runUntil(Loop, [&] {
      return std::all_of(Streams.begin(), Streams.end(), [](const auto &S) {
        return idsIn(S.Latest->Stream).size() >= 2;
      });
    });
  }

  /// Takes a stream up again at a node, as its client.
  void takeUp(ClientStream &Stream, std::size_t Node, HttpHeaders More = {}) {
    Stream.Earlier = Stream.text();
    More.push_back(
        {"Last-Event-Id", std::to_string(idsIn(Stream.Earlier).back())});
    if (!Stream.FirstId.empty())
      More.push_back({"Resumes", Stream.FirstId});
    Stream.Latest = send("/stream/x", More, Node);
  }

  /// Kills a node, and waits until the streams of its clients have ended.
  void kill(std::size_t Node) {
    Nodes[Node]->halt();
    finish();
  }

  /// Waits until the latest try of each stream has ended.
  void finish() {
    runUntil(Loop, [&] {
      return std::all_of(Streams.begin(), Streams.end(),
                         [](const auto &S) { return S.Latest->Ended; });
    });
  }

  /// \return Streams that have events of more than one version.
  int mixed() const {
    return static_cast<int>(
        std::count_if(Streams.begin(), Streams.end(), [](const auto &S) {
          return versionsIn(S.text()).size() > 1;
        }));
  }

  /// \return Streams that their clients have from the first event to the last.
  int whole() const {
    return static_cast<int>(
        std::count_if(Streams.begin(), Streams.end(),
                      [](const auto &S) { return isWhole(S.text()); }));
  }
};

} // namespace

/// Guards against a stream that goes on, within one answer, at an upstream of
/// another version than the one that began it.
TEST_CASE("a stream is completed in one answer at its first version",
          "[stream-version]") {
  VersionWorld World(1);
  World.begin(18);
  World.Runners["old-0"]->breakOff();
  World.Runners["new-0"]->breakOff();
  World.finish();
  CHECK(World.mixed() == 0);
  CHECK(World.whole() == 18);
}

/// Guards against a stream that its client takes up at another node, and that
/// goes on there at an upstream of another version.
TEST_CASE("a stream is taken up at another node at its first version",
          "[stream-version]") {
  VersionWorld World;
  World.begin(18);
  World.kill(0);
  for (std::size_t I = 0; I < World.Streams.size(); ++I)
    World.takeUp(World.Streams[I], 1 + I % 2);
  World.finish();
  CHECK(World.mixed() == 0);
  CHECK(World.whole() == 18);
}
