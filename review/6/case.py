"""A stage server answers a stage-run call twice; the second answer arrives
where the answer to the next call on that channel is expected."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
import kit  # noqa: E402

STAGE_SERVERS, MODEL_SERVERS = 6, 3
PER_SECOND, SECONDS = 12, 70
# The entry `garble`, `extra late`, of the site's list: share 0.6 of the
# servers send a second answer to 0.03 of their calls, for 5 s.
SHARE, PART, EPISODE, PAUSE = 0.6, 0.03, 5.0, 1.0
CALL_MS, ITEM_MS = 240.0, 13.0


def config():
    return {
        "version": 7,
        "routes": [kit.route(
            "r-draft", "/draft/", "streaming", "pool", 15000, 2200, priority=0,
            session_affinity=True, stream_resumption=False, gap_target_ms=500,
            stages=[{"service": "portal", "after": [], "bytes": 8000}])],
        "services": [kit.engine_service("pool"),
                     kit.stage_service("portal", 16, CALL_MS, ITEM_MS)],
        "limits": kit.LIMITS, "tenants": kit.tenants(kit.KEY),
    }


class World:
    def __init__(self, record):
        self.record = record
        self.owner = {}      # handle -> (request id, stage, piece)
        self.faulty = set()  # servers that are faulty now
        self.garbled = 0
        self.runs = {}       # request id -> handles that its run was given
        self.foreign = []


class StageServer(kit.Server):
    """Works on one call at a time."""

    def __init__(self, world, *args, **kw):
        super().__init__(*args, **kw)
        self.world, self.lock, self.waiting = world, asyncio.Lock(), 0
        self.calls = random.randrange(int(1 / PART))
        self.late = {}  # channel -> second answer that is still to come

    async def handle(self, message, reader, writer):
        await kit.read_body(reader, message)
        if writer in self.late:
            again = self.late.pop(writer)
            writer.write(again)
            await writer.drain()
            self.world.garbled += 1
            self.record(f"{self.id} sends a second answer where that to "
                        f"{message.first.split(' ')[1]} is expected: "
                        f"{again[again.index(b'{'):].decode()}")
        if message.first.startswith("POST /fulmarstep/stage-free"):
            writer.write(kit.answer_bytes(200, self.echo(message)))
            await writer.drain()
            return
        wrong = self.misdirected(message)
        if wrong:
            writer.write(wrong)
            return
        if self.waiting > 2:
            writer.write(kit.answer_bytes(
                503, self.echo(message) + [("X-Not-Executed", "1")]))
            return
        items = json.loads(message.body)["items"]
        self.waiting += 1
        async with self.lock:
            await asyncio.sleep((CALL_MS + ITEM_MS * len(items)) / 1e3)
        self.waiting -= 1
        out = []
        for item in items:
            handle = f"{self.address}/{random.getrandbits(44):011x}"
            self.world.owner[handle] = (item["id"], item["stage"], item["piece"])
            out.append({"handle": handle})
            self.record(f"{self.id} made {handle} for request {item['id']}, "
                        f"stage {item['stage']}, piece {item['piece']}")
        answer = kit.answer_bytes(
            200, self.echo(message) + [
                ("Content-Type", "application/json"),
                ("X-Server-Load", f"0,{self.waiting},1")],
            json.dumps({"items": out}).encode())
        writer.write(answer)
        await writer.drain()
        if self.id in self.world.faulty:
            self.calls += 1
            if self.calls >= 1 / PART:
                self.calls = 0
                self.late[writer] = answer


class ModelServer(kit.Server):
    def __init__(self, world, *args, **kw):
        super().__init__(*args, **kw)
        self.world = world

    async def handle(self, message, reader, writer):
        await kit.read_body(reader, message)
        wrong = self.misdirected(message)
        if wrong:
            writer.write(wrong)
            return
        name = message.header("X-Request-Id")
        inputs = [h.strip() for h in message.header("X-Inputs").split(",") if h.strip()]
        self.world.runs[name] = inputs
        self.record(f"{self.id} runs {name} with inputs {inputs}")
        for handle in inputs:
            owner = self.world.owner.get(handle, ("nobody", 0, 0))
            if owner[0] != name:
                self.world.foreign.append((name, handle, owner[0]))
                self.record(f"{self.id} was given for request {name} an input "
                            f"of request {owner[0]}")
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Request-Id: {name}\r\nX-Server-Signature: s.{self.id}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n")
        writer.write(head.encode())
        await asyncio.sleep(0.4)
        for event in range(1, 9):
            text = f"id: {event}\ndata: {','.join(inputs)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(0.06)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def case(record, trouble):
    rng = random.Random(20261207)
    world = World(record)
    site = kit.Site(record)
    broken = []
    try:
        await site.start(config())
        zones = ["rec-a", "rec-b", "for-a"]
        stages = [StageServer(world, site.store, record, "portal", f"i-st{i}",
                              zones[i % 3], slots=1) for i in range(STAGE_SERVERS)]
        models = [ModelServer(world, site.store, record, "pool", f"i-md{i}",
                              zones[i % 3]) for i in range(MODEL_SERVERS)]
        for server in stages + models:
            await server.start()
        await site.start_nodes()
        node = site.nodes[0]
        sent, served = {}, 0

        async def client(name):
            nonlocal served
            reply = await kit.send(node.front, "POST", "/draft/a", [
                ("Host", "pule25.example"), ("X-Request-Id", name),
                ("X-Model", "m"), ("X-Token-Counts", "628,49"),
                ("X-Prompt-Prefix", f"5c1e07a2:198,{name[:8]}:430"),
                ("X-Pieces", "1"), ("X-Piece-Key", name[:12]),
                ("X-Deadline-Remaining-Milliseconds", "15000"),
                ("Authorization", "Bearer " + kit.KEY)],
                b"prompt", 16)
            served += reply.status == 200 and reply.complete
            record(f"client {name}: {reply.status} "
                   f"{'whole' if reply.complete else reply.why}")
            if reply.status == 200 and reply.complete:
                for handle in set(reply.body.decode().replace("\n", " ").split()):
                    owner = world.owner.get(handle)
                    if owner and owner[0] != name:
                        broken.append(f"MIXED: the client of {name} got an answer "
                                      f"made from an input of {owner[0]}")

        async def faults():
            count = max(1, int(SHARE * STAGE_SERVERS))
            while trouble:
                world.faulty = {s.id for s in rng.sample(stages, count)}
                record(f"garble, extra late, at {sorted(world.faulty)}")
                await asyncio.sleep(EPISODE)
                world.faulty = set()
                record("garble ends")
                await asyncio.sleep(PAUSE)

        troubles = asyncio.create_task(faults())
        clients = []
        end = record.now() + SECONDS
        while record.now() < end:
            name = kit.new_id(rng)
            record(f"client {name}: sent")
            clients.append(asyncio.create_task(client(name)))
            await asyncio.sleep(rng.uniform(0.5, 1.5) / PER_SECOND)
        await asyncio.gather(*clients)
        troubles.cancel()
        record(f"sent {len(clients)}, served {served}, second answers "
               f"{world.garbled}, runs with a foreign input {len(world.foreign)}")
        print(f"sent {len(clients)}, served {served}, second answers "
              f"{world.garbled}, runs with a foreign input {len(world.foreign)}")
        for name, handle, owner in world.foreign:
            broken.append(f"MIXED: request {name} was run with the input {handle} "
                          f"of request {owner}")
        if served < len(clients) / 2:
            raise kit.CannotRun("less than half of the requests were served")
    finally:
        await site.end()
    return broken


kit.main(case, __file__)
