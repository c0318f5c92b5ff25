/// \file ledger_service.cpp Performs the I/O of the ledger.
#include "ledger_service.h"

#include "event_loop.h"
#include "kv_consul.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_codec.h"
#include "peer_service.h"
#include "router_service.h"

namespace fulmar {

static std::string headKey(ShardId Shard) {
  return "fulmarstep/ledger/" + std::to_string(Shard.Value) + "/head";
}

static std::string segmentKey(ShardId Shard, std::uint64_t Name) {
  return "fulmarstep/ledger/" + std::to_string(Shard.Value) + "/" +
         std::to_string(Name);
}

template <typename Fn> void LedgerService::feed(Fn Event) {
  LedgerActions Out;
  Event(Out);
  perform(Out);
}

LedgerService::LedgerService(Kernel &K, Ledger Initial)
    : Services(K), State(std::move(Initial)) {}

void LedgerService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Kv = &Services.find<ConsulKv>(service::Kv);
  Router = &Services.find<RouterService>(service::Router);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  State.Nodes = {State.Self};
  Members->onChange([this] { State.Nodes = Members->ids(); });
  Peers->on<LedgerEntry>(
      [this](const PeerMessage &Message, const LedgerEntry &Op) {
        feed([&](LedgerActions &Out) {
          ledgerPeerOp(State, Message.Sender, Op, Timers->now(),
                       EventLoop::wallClock(), Out);
        });
      });
  Peers->on<LedgerResult>(
      [this](const PeerMessage &, const LedgerResult &Result) {
        feed([&](LedgerActions &Out) {
          ledgerPeerResult(State, Result, Timers->now(), Out);
        });
      });
}

void LedgerService::claim(const ClaimAction &Action) {
  feed([&](LedgerActions &Out) {
    ledgerClaim(State, Action.Request,
                ledgerKey(Action.Organisation, Action.RequestId),
                Action.Deadline, Timers->now(), EventLoop::wallClock(), Out);
  });
}

void LedgerService::release(const ReleaseAction &Action) {
  feed([&](LedgerActions &Out) {
    ledgerRelease(State, Action.Request,
                  ledgerKey(Action.Organisation, Action.RequestId),
                  Timers->now(), EventLoop::wallClock(), Out);
  });
}

void LedgerService::record(const RecordAction &Action) {
  feed([&](LedgerActions &Out) {
    ledgerRecord(State, Action.Request,
                 ledgerKey(Action.Organisation, Action.RequestId), Action.Code,
                 Timers->now(), EventLoop::wallClock(), Out);
  });
}

void LedgerService::perform(const LedgerActions &Actions) {
  for (const LedgerAction &Action : Actions)
    std::visit([this](const auto &A) { performAction(A); }, Action);
  arm();
}

void LedgerService::arm() {
  Timers->cancel(TickTimer);
  auto Due = ledgerNextDue(State);
  if (!Due)
    return;
  Duration Delay = std::max(Duration::zero(), *Due - Timers->now());
  TickTimer = Timers->after(Delay, [this] {
    feed([&](LedgerActions &Out) {
      ledgerTick(State, Timers->now(), EventLoop::wallClock(), Out);
    });
  });
}

void LedgerService::performAction(const ReadHeadAction &Action) {
  ShardId Shard = Action.Shard;
  Kv->get(headKey(Shard), [this, Shard](KvStatus Status, const KvEntry &E) {
    auto Head = decodeHead(E.Value);
    feed([&](LedgerActions &Out) {
      ledgerHeadRead(State, Shard, Head ? Status : KvStatus::Unavailable,
                     Head.value_or(LedgerHead()), E.Index, Timers->now(),
                     EventLoop::wallClock(), Out);
    });
  });
}

void LedgerService::performAction(const ReadSegmentAction &Action) {
  ShardId Shard = Action.Shard;
  std::uint64_t Name = Action.Name;
  Kv->get(segmentKey(Shard, Name),
          [this, Shard, Name](KvStatus Status, const KvEntry &E) {
            auto Entries = decodeSegment(E.Value);
            // A missing segment that a head refers to must not be taken for an
            // empty one: its claims would be granted a second time.
            if (!Entries || E.Index == 0)
              Status = KvStatus::Unavailable;
            feed([&](LedgerActions &Out) {
              ledgerSegmentRead(State, Shard, Name, Status,
                                Entries.value_or(std::vector<LedgerEntry>()),
                                Timers->now(), EventLoop::wallClock(), Out);
            });
          });
}

void LedgerService::performAction(const WriteHeadAction &Action) {
  ShardId Shard = Action.Shard;
  Kv->cas(headKey(Shard), encodeHead(Action.Head), Action.Index,
          [this, Shard](KvStatus Status) {
            feed([&](LedgerActions &Out) {
              ledgerHeadWritten(State, Shard, Status, Timers->now(),
                                EventLoop::wallClock(), Out);
            });
          });
}

void LedgerService::performAction(const WriteSegmentAction &Action) {
  ShardId Shard = Action.Shard;
  Kv->cas(segmentKey(Shard, Action.Name), encodeSegment(Action.Entries), 0,
          [this, Shard](KvStatus Status) {
            feed([&](LedgerActions &Out) {
              ledgerSegmentWritten(State, Shard, Status, Timers->now(),
                                   EventLoop::wallClock(), Out);
            });
          });
}

void LedgerService::performAction(const RemoveSegmentAction &Action) {
  Kv->remove(segmentKey(Action.Shard, Action.Name));
}

void LedgerService::performAction(const SendOpAction &Action) {
  Peers->sendTo(Action.Node, Action.Op);
}

void LedgerService::performAction(const SendResultAction &Action) {
  Peers->sendTo(Action.Node, Action.Result);
}

void LedgerService::performAction(const ClaimDecidedAction &Action) {
  Router->claimDecided(Action.Request, Action.Verdict, Action.EarlierCode);
}

} // namespace fulmar
