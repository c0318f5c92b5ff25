"""Requests that omit a stage which another stage needs."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
import kit  # noqa: E402

SECONDS, PER_SECOND = 12, 4


def config():
    return {
        "version": 7,
        "routes": [kit.route(
            "r-screen", "/screen/", "streaming", "pool", 20000, 2700,
            priority=1, attempts=2, session_affinity=True,
            stream_resumption=True, gap_target_ms=500,
            stages=[{"service": "board", "after": [], "bytes": 8000},
                    {"service": "feed", "after": [0], "bytes": 60000}])],
        "services": [kit.engine_service("pool"),
                     kit.stage_service("board", 8, 240.0, 26.0),
                     kit.stage_service("feed", 22, 240.0, 9.4)],
        "limits": kit.LIMITS, "tenants": kit.tenants(kit.KEY),
    }


class StageServer(kit.Server):
    def __init__(self, asked, call_ms, item_ms, *args, **kw):
        super().__init__(*args, **kw)
        self.asked, self.call_ms, self.item_ms = asked, call_ms, item_ms
        self.lock, self.waiting = asyncio.Lock(), 0

    async def handle(self, message, reader, writer):
        await kit.read_body(reader, message)
        if message.first.startswith("POST /fulmarstep/stage-free"):
            writer.write(kit.answer_bytes(200))
            return
        wrong = self.misdirected(message)
        if wrong:
            writer.write(wrong)
            return
        if self.waiting > 2:
            writer.write(kit.answer_bytes(503, [("X-Not-Executed", "1")]))
            return
        items = json.loads(message.body)["items"]
        self.waiting += 1
        async with self.lock:
            await asyncio.sleep((self.call_ms + self.item_ms * len(items)) / 1e3)
        self.waiting -= 1
        for item in items:
            self.asked.append(item)
            self.record(f"{self.id} works on {json.dumps(item)}")
        out = [{"handle": f"{self.address}/{random.getrandbits(44):011x}"}
               for _ in items]
        writer.write(kit.answer_bytes(
            200, [("X-Server-Load", f"0,{self.waiting},1")],
            json.dumps({"items": out}).encode()))
        await writer.drain()


class ModelServer(kit.Server):
    async def handle(self, message, reader, writer):
        await kit.read_body(reader, message)
        wrong = self.misdirected(message)
        if wrong:
            writer.write(wrong)
            return
        name = message.header("X-Request-Id")
        self.record(f"{self.id} runs {name}")
        await asyncio.sleep(0.2)
        text = "".join(f"id: {i}\ndata: t{i}\n\n" for i in range(1, 6)).encode()
        writer.write(kit.answer_bytes(
            200, [("X-Request-Id", name), ("X-Server-Signature", "s." + self.id),
                  ("Content-Type", "text/event-stream")], text))
        await writer.drain()


async def case(record, trouble):
    rng = random.Random(8)
    site = kit.Site(record)
    broken, asked, keys = [], [], {}
    try:
        await site.start(config())
        zones = ["hall-a", "hall-b", "hall-c"]
        for i, zone in enumerate(zones):
            for service, call_ms, item_ms in (("board", 240, 26), ("feed", 240, 9.4)):
                await StageServer(asked, call_ms, item_ms, site.store, record,
                                  service, f"i-{service}{i}", zone, slots=1).start()
            await ModelServer(site.store, record, "pool", f"i-md{i}", zone).start()
        await site.start_nodes()
        served = 0

        async def client(name, pieces):
            nonlocal served
            keys[name] = name[:12]
            record(f"client {name}: sent with X-Pieces {pieces}, X-Piece-Key {keys[name]}")
            reply = await kit.send(site.nodes[0].front, "POST", "/screen/a", [
                ("Host", "pule25.example"), ("X-Request-Id", name),
                ("X-Model", "m"), ("X-Token-Counts", "600,40"),
                ("X-Prompt-Prefix", f"5c1e07a2:200,{name[:8]}:400"),
                ("X-Pieces", pieces), ("X-Piece-Key", keys[name]),
                ("X-Deadline-Remaining-Milliseconds", "20000"),
                ("Authorization", "Bearer " + kit.KEY)], b"prompt", 21)
            served += reply.status == 200 and reply.complete
            record(f"client {name}: {reply.status} "
                   f"{'whole' if reply.complete else reply.why}")

        clients, count, end = [], 0, record.now() + SECONDS
        while record.now() < end:
            count += 1
            pieces = "0,2" if trouble and count % 3 == 0 else "1,2"
            clients.append(asyncio.create_task(client(kit.new_id(rng), pieces)))
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*clients)
        if served < len(clients) / 2:
            raise kit.CannotRun("less than half of the requests were served")
        for item in asked:
            if item["id"] not in keys:
                broken.append(f"UNASKED: piece of an unknown request {item}")
            elif "key" in item and item["key"] != keys[item["id"]]:
                broken.append(f"UNASKED: piece {item['piece']} of stage "
                              f"{item['stage']} of {item['id']} was asked for with "
                              f"the key '{item['key']}' instead of '{keys[item['id']]}'")
        print(f"sent {len(clients)}, served {served}, pieces {len(asked)}, "
              f"with another key {len(broken)}")
        record(f"sent {len(clients)}, served {served}, pieces {len(asked)}, "
               f"with another key {len(broken)}")
    finally:
        await site.end()
    return broken


kit.main(case, __file__)
