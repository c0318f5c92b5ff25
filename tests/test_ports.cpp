// Guards against port conflicts between test processes. Tests took their ports
// by process id alone, from a range that overlapped the fixed ports of scripts:
// a process with an id of 165 modulo 200 listened on 28500 and up, another test
// started a node on 28503, and the node never answered ("not in force
// everywhere" after 30 s). Occupying one of the node's ports by hand reproduces
// the failure.
#include "standin/port_range.h"

#include <cstdlib>
#include <filesystem>
#include <set>

using namespace fulmar;

/// The lowest fixed port of a script (`scripts/streams`).
static constexpr int FirstScriptPort = 19000;

/// A folder of its own for the lock files, so that no other process can take a
/// range that was released.
struct OwnLockFolder {
  std::string Before = std::filesystem::temp_directory_path();
  std::string Path = Before + "/fulmarstep-locks-XXXXXX";

  OwnLockFolder() {
    REQUIRE(::mkdtemp(Path.data()) != nullptr);
    ::setenv("TMPDIR", Path.c_str(), /*overwrite=*/1);
  }
  ~OwnLockFolder() {
    ::setenv("TMPDIR", Before.c_str(), /*overwrite=*/1);
    std::filesystem::remove_all(Path);
  }
  OwnLockFolder(const OwnLockFolder &) = delete;
  OwnLockFolder &operator=(const OwnLockFolder &) = delete;
};

SCENARIO("port ranges that are in use at the same time do not overlap") {
  GIVEN("two reserved ranges") {
    PortRange One;
    PortRange Other;
    THEN("they do not overlap") {
      CHECK(std::abs(One.first() - Other.first()) >= PortsPerRange);
    }
    THEN("neither overlaps the fixed ports of scripts") {
      CHECK(One.first() + PortsPerRange <= FirstScriptPort);
      CHECK(Other.first() + PortsPerRange <= FirstScriptPort);
    }
    WHEN("free ports are requested besides") {
      std::vector<int> Ports = freePorts("127.0.0.1", 10);
      THEN("they are distinct and outside both reserved ranges") {
        CHECK(std::set<int>(Ports.begin(), Ports.end()).size() == 10);
        for (int Port : Ports) {
          CHECK((Port < One.first() || Port >= One.first() + PortsPerRange));
          CHECK(
              (Port < Other.first() || Port >= Other.first() + PortsPerRange));
        }
      }
    }
  }
  GIVEN("a released range") {
    OwnLockFolder Folder;
    int Before = PortRange().first();
    THEN("the next reservation gets it") {
      CHECK(PortRange().first() == Before);
    }
  }
}
