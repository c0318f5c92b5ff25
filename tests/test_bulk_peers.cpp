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
    CHECK_FALSE(bulkPeerToClose(Peers, 100, Now));
    CHECK(bulkPeerAdmitted(Peers, /*Known=*/false));
    THEN("messages of one more are not read, of a node they are") {
      Accept(false);
      CHECK_FALSE(bulkPeerAdmitted(Peers, /*Known=*/false));
      CHECK(bulkPeerAdmitted(Peers, /*Known=*/true));
    }
    THEN("a further one replaces the least recently used") {
      Peers[1].LastUsed = Now;
      Accept(false);
      CHECK(bulkPeerToClose(Peers, 100, Now) == 2);
    }
    THEN("while all were used lately, the new one is closed") {
      for (auto &[Fd, Peer] : Peers)
        Peer.LastUsed = Now - 500ms;
      Accept(false);
      Now -= 1s;
      CHECK(bulkPeerToClose(Peers, 100, Now) == 3);
    }
    THEN("those of nodes are not closed for it") {
      Peers[3] = {"10.0.0.1", true, TimePoint{}};
      LastFd = 3;
      Accept(false);
      CHECK(bulkPeerToClose(Peers, 100, Now) == 1);
    }
  }
  GIVEN("as many of nodes as there may be") {
    for (int I = 0; I < 5; ++I)
      Accept(true);
    CHECK_FALSE(bulkPeerToClose(Peers, 5, Now));
    THEN("the least recently used of too many is closed") {
      Peers[1].LastUsed = Now;
      Accept(true);
      CHECK(bulkPeerToClose(Peers, 5, Now) == 2);
    }
    THEN("one of an unknown sender is closed first") {
      Accept(false);
      CHECK(bulkPeerToClose(Peers, 5, Now) == 6);
    }
  }
}
