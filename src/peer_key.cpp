/// \file peer_key.cpp The secret that all nodes share.
#include "peer_key.h"

#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "signature_func.h"

namespace fulmar {

static const std::string KeyName = "fulmarstep/peer-key";
/// Pause before a failed call is repeated, and how much it is spread.
static constexpr Duration RetryPause = std::chrono::milliseconds(100);
static constexpr Duration RetrySpread = std::chrono::milliseconds(300);

void PeerKeyService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Tree = &Services.find<KvTree>(service::Kv);
  Store = &Services.find<KvStore>(service::Kv);
  read();
}

void PeerKeyService::read() {
  Tree->range(KeyName, [this](const KvItems &Found) {
    if (Found.Status != KvStatus::Ok) {
      if (Failures++ == 0)
        logEvent(LogLevel::Warning, "peer_key_unreadable",
                 {{"why", Found.Why}});
      return readLater();
    }
    if (Found.Items.empty())
      return create();
    Services.find<PeerService>(service::Peers)
        .join(Found.Items.front().Value, Found.Revision);
    Services.find<MemberService>(service::Members).join(Found.Revision);
    logEvent(LogLevel::Info, "peers_joined", {{"incarnation", Found.Revision}});
  });
}

void PeerKeyService::readLater() {
  Duration Pause = RetryPause + fromMs(toMs(RetrySpread) * randomUnit(Rng));
  Timers->after(Pause, [this] { read(); });
}

void PeerKeyService::create() {
  // Whatever the answer to the write is, the key that is there is the right
  // one: several nodes may try at once, and an answer may be lost.
  Store->cas(KeyName, makeSigningKey().PrivateHex, 0, [this](KvStatus Status) {
    if (Status == KvStatus::Ok || Status == KvStatus::Conflict)
      return read();
    readLater();
  });
}

} // namespace fulmar
