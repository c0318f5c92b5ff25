// Tests of connections for large messages between nodes.
#include <catch2/catch.hpp>

#include "bulk_peers.h"

using namespace fulmar;
using namespace std::chrono_literals;

// Guards against connections of anybody that hold memory and descriptors.
SCENARIO("many connections for large messages") {
  BulkPeers Peers;
  TimePoint Now{100s};
  int LastFd = 0;
  auto Accept = [&](bool Known) {
    Peers[++LastFd] = {Known ? "10.0.0.1" : "10.9.9.9", Known, Now};
    Now += 1s;
  };
  GIVEN("few of unknown senders") {
    Accept(false);
    Accept(false);
    CHECK_FALSE(bulkPeerToClose(Peers, 100));
    THEN("a further one replaces the least recently used") {
      Peers[1].LastUsed = Now;
      Accept(false);
      CHECK(bulkPeerToClose(Peers, 100) == 2);
    }
    THEN("those of nodes are not closed for it") {
      Peers[3] = {"10.0.0.1", true, TimePoint{}};
      LastFd = 3;
      Accept(false);
      CHECK(bulkPeerToClose(Peers, 100) == 1);
    }
  }
  GIVEN("as many of nodes as there may be") {
    for (int I = 0; I < 5; ++I)
      Accept(true);
    CHECK_FALSE(bulkPeerToClose(Peers, 5));
    THEN("the least recently used of too many is closed") {
      Peers[1].LastUsed = Now;
      Accept(true);
      CHECK(bulkPeerToClose(Peers, 5) == 2);
    }
    THEN("one of an unknown sender is closed first") {
      Accept(false);
      CHECK(bulkPeerToClose(Peers, 5) == 6);
    }
  }
}
