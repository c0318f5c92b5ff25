"""A node freezes for a moment while a stage server crashes; the model runners
name a limit, so that nodes lend each other turns."""
import asyncio
import json
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
import kit  # noqa: E402

SECONDS, PER_SECOND = 60, 100
LIMIT = 60  # requests a second that a model runner takes, as it says itself
FREEZE, EVERY, DOWN = 0.8, 2.2, 0.6


def config():
    return {
        "version": 7,
        "routes": [kit.route(
            "r-screen", "/screen/", "streaming", "pool", 20000, 2700,
            priority=1, attempts=2, session_affinity=True,
            stream_resumption=True, gap_target_ms=500,
            stages=[{"service": "board", "after": [], "bytes": 8000},
                    {"service": "feed", "after": [], "bytes": 6000}])],
        "services": [kit.engine_service("pool"),
                     kit.stage_service("board", 16, 40.0, 2.0),
                     kit.stage_service("feed", 24, 240.0, 8.6)],
        "limits": kit.LIMITS, "tenants": kit.tenants(kit.KEY),
    }


class StageServer(kit.Server):
    def __init__(self, made, call_ms, item_ms, *args, **kw):
        super().__init__(*args, **kw)
        self.made, self.call_ms, self.item_ms = made, call_ms, item_ms
        self.lock, self.waiting, self.up = asyncio.Lock(), 0, True

    async def handle(self, message, reader, writer):
        await kit.read_body(reader, message)
        if message.first.startswith("POST /fulmarstep/stage-free"):
            for handle in json.loads(message.body)["handles"]:
                self.made.pop(handle, None)
            writer.write(kit.answer_bytes(200))
            return
        wrong = self.misdirected(message)
        if wrong:
            writer.write(wrong)
            return
        if self.waiting > 2:
            writer.write(kit.answer_bytes(503, [("X-Not-Executed", "1")]))
            return
        items, life = json.loads(message.body)["items"], self.born
        self.waiting += 1
        async with self.lock:
            await asyncio.sleep((self.call_ms + self.item_ms * len(items)) / 1e3)
        self.waiting -= 1
        if life != self.born or not self.up:
            return False
        out = []
        for item in items:
            handle = f"{self.address}/{random.getrandbits(44):011x}"
            self.made[handle] = (item["id"], item["stage"])
            out.append({"handle": handle})
        writer.write(kit.answer_bytes(
            200, [("X-Server-Load", f"0,{self.waiting},1")],
            json.dumps({"items": out}).encode()))
        await writer.drain()

    async def crash(self, down):
        """Ends at once, and starts again under its id."""
        self.record(f"{self.id} crashes")
        self.up, self.listed = False, False
        self.listener.close()
        for writer in list(self.writers):
            kit.reset(writer)
        for handle in [h for h in self.made if h.startswith(self.address + "/")]:
            del self.made[handle]
        await asyncio.sleep(down)
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.sequence, self.up, self.listed = 0, True, True
        self.listener = await asyncio.start_server(self.accept, "127.0.0.1",
                                                   self.port, backlog=512)
        self.register()
        self.beat = asyncio.create_task(self.heartbeat())
        self.record(f"{self.id} has started again")


class ModelServer(kit.Server):
    def __init__(self, made, short, *args, **kw):
        super().__init__(*args, **kw)
        self.made, self.short = made, short

    async def handle(self, message, reader, writer):
        await kit.read_body(reader, message)
        wrong = self.misdirected(message)
        if wrong:
            writer.write(wrong)
            return
        name = message.header("X-Request-Id")
        head = [("X-Request-Id", name), ("Server-Limit", str(LIMIT))]
        inputs = [h for h in message.header("X-Inputs").split(",") if h]
        if not inputs:
            self.record(f"{self.id} gets {name} without inputs")
            writer.write(kit.answer_bytes(400, head + [("X-Not-Executed", "1")]))
            return
        if any(h not in self.made for h in inputs):
            self.record(f"{self.id} gets {name}, an input is gone")
            writer.write(kit.answer_bytes(409, head + [("X-Not-Executed", "1")]))
            return
        stages = sorted({self.made[h][1] for h in inputs})
        self.record(f"{self.id} runs {name} with inputs of stages {stages}")
        if stages != [0, 1]:
            self.short.append(f"MIXED: {self.id} runs {name} with inputs of "
                              f"stages {stages} only")
        text = "".join(f"{n}: {v}\r\n" for n, v in head)
        writer.write(("HTTP/1.1 200 OK\r\n" + text + "X-Server-Signature: s\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        await asyncio.sleep(0.35)
        for event in range(1, 6):
            data = f"id: {event}\ndata: t{event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def case(record, trouble):
    rng = random.Random(10)
    site = kit.Site(record, nodes=3)
    broken, made, short, tasks = [], {}, [], []
    try:
        await site.start(config())
        zones, stages = ["hall-a", "hall-b", "hall-c"], []
        for i in range(4):
            for service, call_ms, item_ms in (("board", 40, 2), ("feed", 240, 8.6)):
                stages.append(StageServer(made, call_ms, item_ms, site.store, record,
                                          service, f"i-{service}{i}", zones[i % 3],
                                          slots=1))
                await stages[-1].start()
        for i in range(3):
            await ModelServer(made, short, site.store, record, "pool", f"i-md{i}",
                              zones[i]).start()
        await site.start_nodes()
        seeds = [f"127.0.0.1:{n.control}" for n in site.nodes]
        count = {}

        async def client(name, node):
            reply = await kit.send(node.front, "POST", "/screen/a", [
                ("Host", "pule25.example"), ("X-Request-Id", name),
                ("X-Model", "m"), ("X-Token-Counts", "600,40"),
                ("X-Prompt-Prefix", f"5c1e07a2:200,{rng.randrange(40):02x}:200,{name[:8]}:200"),
                ("X-Pieces", "1,1"), ("X-Piece-Key", name[:12]),
                ("X-Deadline-Remaining-Milliseconds", "20000"),
                ("Authorization", "Bearer " + kit.KEY)], b"prompt", 21)
            what = reply.status if reply.complete else reply.why
            count[what] = count.get(what, 0) + 1
            record(f"client {name} at {node.name}: {what}")

        async def faults():
            turn = 0
            await asyncio.sleep(4)
            while trouble:
                node, server = site.nodes[turn % 3], rng.choice(stages[::2])
                turn += 1
                record(f"{node.name} freezes")
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(FREEZE - 0.4)
                crash = asyncio.create_task(server.crash(DOWN))
                await asyncio.sleep(0.4)
                node.signal(signal.SIGCONT)
                record(f"{node.name} goes on")
                await crash
                await asyncio.sleep(EVERY - FREEZE)

        async def watch():
            while True:
                await asyncio.sleep(0.1)
                for node in site.nodes:
                    code = node.process.returncode
                    if code is None:
                        continue
                    broken.append(f"crash: the process of {node.name} ended by "
                                  f"itself with {code}")
                    record(broken[-1])
                    await node.start(seeds)

        tasks = [asyncio.create_task(faults()), asyncio.create_task(watch())]
        clients, end = [], record.now() + SECONDS
        while record.now() < end:
            clients.append(asyncio.create_task(
                client(kit.new_id(rng), rng.choice(site.nodes))))
            await asyncio.sleep(rng.uniform(0.5, 1.5) / PER_SECOND)
        await asyncio.wait(clients, timeout=8)
        for task in tasks:
            task.cancel()
        for node in site.nodes:
            node.signal(signal.SIGCONT)
        broken += short
        text = f"sent {len(clients)}, answers {count}, broken {len(broken)}"
        print(text)
        record(text)
        for node in site.nodes:
            for line in open(os.path.join(site.folder, node.name + ".log"),
                             encoding="utf-8", errors="replace"):
                if "ssert" in line:
                    record(f"log of {node.name}: {line.strip()}")
                    print(line.strip())
        if count.get(200, 0) < len(clients) / 2:
            raise kit.CannotRun("less than half of the requests were served")
    finally:
        # Else watch() would start the nodes again.
        for task in tasks:
            task.cancel()
        await site.end()
    return broken


kit.main(case, __file__)
