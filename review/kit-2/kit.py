"""Stand-ins of the platform for the cases of the second review.

One Python process holds the store, the servers (runners) and the clients; the
nodes are processes of their own, started with the command and the settings
template of the deploy file. Everything listens on loopback addresses.
"""
import asyncio
import base64
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2

# Figures of the sheet of avstamning-prod.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000,
    "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "outer_bound_ms": 5000, "strict_revocation": True, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "budget_extra_retries": 56, "recovery_s": 12, "pass_ms": 120,
    "reuse_window_s": 10, "ttl_max_s": 5,
}
LIMITS = {
    "max_header_bytes": 16384, "max_body_bytes": 1048576,
    "header_timeout_ms": 5000, "idle_timeout_ms": 15000,
}


KEY = "9dnn2ctnfzs989anu6ws"


def plain_service(name):
    """A service of the configuration, without stages."""
    return {"name": name, "health_check_path": "/health",
            "connection_limit": 110, "protocol": "h1", "tls": False}


def stage_service(name, batch=16, call_ms=240.0, item_ms=13.0):
    """A service that works on pieces."""
    return dict(plain_service(name), connection_limit=370, pieces={
        "slots": 1, "queue": 2, "batch": batch, "call_ms": call_ms,
        "item_ms": item_ms, "headroom_mb": 9.6, "handle_s": 4.0,
        "link_mbps": 10000})


def engine_service(name):
    """A service of model runners."""
    return dict(plain_service(name), connection_limit=370, engine={
        "slots": 64, "kv_cache_tokens": 489173, "kv_token_bytes": 18432,
        "link_mbps": 370000.0, "moves": True, "backups": True, "stride": 6,
        "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
        "models": [{"name": "m"}]})


def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
    return dict({"name": name, "host": "pule25.example", "prefix": prefix,
                 "kind": kind, "timeout_ms": timeout_ms,
                 "target_latency_ms": target_ms, "priority": 2,
                 "service": service, "attempts": 1, "stages": [],
                 "public": False, "session_affinity": False}, **more)


def tenants(*keys):
    return [{"name": "bozi300", "api_keys": list(keys), "priority": 1}]


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(count):
    """Returns ports that are free for TCP and UDP. They lie below those that
    the system gives to outgoing channels, which could take them meanwhile."""
    held, ports = [], []
    for port in random.sample(range(15000, 32000), 4000):
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            break
    for one in held:
        one.close()
    if len(ports) < count:
        raise CannotRun("no free ports")
    return ports


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.zero = time.monotonic()

    def now(self):
        return time.monotonic() - self.zero

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# --- HTTP -------------------------------------------------------------------

class Message:
    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns a message without its body; None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, message):
    if "chunked" in message.header("Transfer-Encoding").lower():
        message.body = await read_chunks(reader)
    else:
        size = int(message.header("Content-Length", "0") or 0)
        message.body = await reader.readexactly(size) if size else b""


def answer_bytes(status, headers=(), body=b"", phrase="OK"):
    head = f"HTTP/1.1 {status} {phrase}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


# --- The platform's store ---------------------------------------------------

class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.last_lease = 0, 0
        self.changed = asyncio.Event()
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        if isinstance(value, str):
            value = value.encode()
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, key, {
            "key": key, "revision": self.revision, "deleted": True}))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, end in self.leases.items() if end[1] <= now]:
                self.drop_lease(lease)

    def drop_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                await read_body(reader, message)
                method, target, _ = message.first.split(" ")
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                body = json.loads(message.body) if message.body else {}
                status, out = await self.call(method, parts.path, query, body)
                writer.write(answer_bytes(
                    status, [("Content-Type", "application/json")],
                    json.dumps(out).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def call(self, method, path, query, body):
        name = path.removeprefix("/fulmarstep/")
        if name == "kv-key":
            item = self.items.get(query.get("key"))
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if name == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = [k for k in keys if k > query.get("after", "")]
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "at": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.txn(body)
        if name == "kv-lease":
            self.last_lease += 1
            ttl = max(1000, int(body["ttl_ms"]))
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name.startswith("kv-lease-end/"):
            self.drop_lease(int(name.split("/")[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1e3
        while True:
            events = [item for rev, key, item in self.history
                      if rev > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                at = events[-1]["revision"] if events else self.revision
                return 200, {"events": events, "at": at}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        failed = []
        for row in body.get("expected_revision", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                failed.append(item or {"key": row["key"], "revision": 0})
        if failed:
            return 412, {"items": failed}
        puts, removed = body.get("puts", []), body.get("remove", [])
        for key in [p["key"] for p in puts] + list(removed):
            if key.startswith("op/") or key.startswith("servers/"):
                return 403, {}
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        for p in puts:
            self.put(p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
        for key in removed:
            self.remove(key)
        return 200, {"revision": self.revision}


# --- Servers ----------------------------------------------------------------

class Server:
    """One runner. Subclasses answer requests in `handle`."""

    def __init__(self, store, record, service, name, zone="hall-a", slots=64,
                 version="1"):
        self.store, self.record = store, record
        self.service, self.id, self.zone = service, name, zone
        self.slots, self.version, self.state = slots, version, "ready"
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.writers, self.listed = set(), True

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.accept, "127.0.0.1", port,
                                                   backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.register()
        self.beat = asyncio.create_task(self.heartbeat())

    def register(self):
        self.sequence += 1
        self.store.put("servers/" + self.id, json.dumps({
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born}))

    async def heartbeat(self):
        while self.listed:
            await asyncio.sleep(1.2)
            if self.listed:
                self.register()

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                if await self.handle(message, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def misdirected(self, message):
        """Returns the answer to a request that names another instance."""
        expected = message.header("X-Expected-Instance")
        if expected and expected != self.id:
            return answer_bytes(421, self.echo(message), b"", "Misdirected Request")
        return None

    def echo(self, message):
        name = message.header("X-Request-Id")
        return [("X-Request-Id", name)] if name else []

    async def handle(self, message, reader, writer):
        raise NotImplementedError


class PlainServer(Server):
    """Runs requests for `work_ms` and counts the runs of each id."""

    def __init__(self, *args, work_ms=30.0, **kw):
        super().__init__(*args, **kw)
        self.work_ms, self.runs = work_ms, {}

    async def handle(self, message, reader, writer):
        await read_body(reader, message)
        wrong = self.misdirected(message)
        if wrong:
            writer.write(wrong)
            return True
        name = message.header("X-Request-Id")
        self.runs.setdefault(name, []).append(message)
        self.record(f"{self.id} runs {name}: {message.first}, X-Tenant "
                    f"'{message.header('X-Tenant')}'")
        await asyncio.sleep(self.work_ms / 1e3)
        writer.write(answer_bytes(
            200, self.echo(message) + [("X-Server-Signature", "s." + self.id)],
            b"answer to " + name.encode()))
        await writer.drain()
        return True


# --- Nodes ------------------------------------------------------------------

def fill(template, fields):
    """Fills in a settings template, as DEPLOY.md tells."""
    def find(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value, ok = scope, True
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    ok = False
                    break
            if ok:
                return value
        return None

    def render(text, scopes, last=True):
        out, at = "", 0
        for mark in iter(lambda: re.compile(r"\{\{([#^]?)([^}|]+)(\|json)?\}\}").search(text, at), None):
            out += text[at:mark.start()]
            kind, name, as_json = mark.group(1), mark.group(2), mark.group(3)
            at = mark.end()
            if kind:
                close = "{{/" + name + "}}"
                stop = text.index(close, at)
                inner = text[at:stop]
                at = stop + len(close)
                value = find(name, scopes)
                if kind == "^":
                    out += render(inner, scopes) if not value else ""
                elif isinstance(value, list):
                    for i, one in enumerate(value):
                        out += render(inner, scopes + [one], i + 1 == len(value))
                elif value not in (None, False):
                    out += render(inner, scopes + ([value] if isinstance(value, dict) else []))
            elif name == ",":
                out += "" if last else ","
            else:
                value = find(name, scopes)
                if as_json:
                    out += json.dumps(value)
                elif value is not None:
                    out += ",".join(map(str, value)) if isinstance(value, list) else str(value)
        return out + text[at:]

    return render(template, [fields])


def end_with_parent():
    """Has the system kill a process when the script that started it is gone."""
    set_death_signal = 1
    ctypes.CDLL(None).prctl(set_death_signal, signal.SIGKILL)


class Node:
    """One process of the system."""

    def __init__(self, number, zone, folder, kv_address, ports):
        self.name = f"front-{zone}-{number}"
        self.zone, self.folder, self.kv = zone, folder, kv_address
        self.front, self.ready, self.control, self.directory, self.metrics = ports
        self.process = None

    def settings(self, seeds):
        at = lambda port: f"127.0.0.1:{port}"
        return {
            "node": self.name, "zone": self.zone, "region": "se-north",
            "listen_addresses": {
                "frontend": at(self.front), "ready": at(self.ready),
                "control_plane": at(self.control),
                "directory": at(self.directory)},
            "internal_port_range": [self.metrics, self.metrics],
            "seed_nodes": seeds, "bounds": BOUNDS,
            "limits": {"memory_mb": 260, "file_descriptors": 4100,
                       "cpu_share": 0.25, "link_mbps": 1000.0},
            "platform": {"address": self.kv},
        }

    async def start(self, seeds):
        deploy = open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8").read()
        run = re.search(r'^run = "(.*)"$', deploy, re.M).group(1).split(" ")
        template = re.search(r'^template = "(.*)"$', deploy, re.M).group(1)
        text = fill(open(os.path.join(ROOT, template), encoding="utf-8").read(),
                    self.settings(seeds))
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        words = [path if w == "/etc/fulmarstep/node.conf" else w for w in run]
        program = os.path.join(ROOT, words[0])
        if not os.path.exists(program):
            raise CannotRun("the program isn't built: " + words[0])
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            program, *words[1:], cwd=ROOT, stdout=log, stderr=log,
            preexec_fn=end_with_parent)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if not self.process or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /fulmarstep/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head.first.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


class Site:
    """The store and the nodes of a case."""

    def __init__(self, record, nodes=1):
        self.record, self.count = record, nodes
        self.folder = tempfile.mkdtemp(prefix="fulmar-review-")
        self.store = Store(record)
        self.nodes = []

    async def start(self, config):
        await self.store.start()
        self.configure(config)
        ports = free_ports(5 * self.count)
        zones = ["hall-a", "hall-b", "hall-c"]
        for i in range(self.count):
            self.nodes.append(Node(i + 1, zones[i % 3], self.folder,
                                   f"127.0.0.1:{self.store.port}",
                                   ports[5 * i:5 * i + 5]))

    async def start_nodes(self):
        seeds = [f"127.0.0.1:{n.control}" for n in self.nodes[:3]]
        for node in self.nodes:
            await node.start(seeds)
        for _ in range(200):
            ready = [await n.is_ready() for n in self.nodes]
            if all(ready):
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the nodes aren't ready")

    def configure(self, config):
        self.store.put("op/config", json.dumps(config))

    async def end(self):
        for node in self.nodes:
            await node.end()
        shutil.rmtree(self.folder, ignore_errors=True)


# --- Clients ----------------------------------------------------------------

class Reply:
    """What a client has received; status 0: no complete answer."""

    def __init__(self):
        self.status, self.headers, self.body = 0, Message("", []), b""
        self.complete, self.why = False, ""


def new_id(rng):
    return "%016x" % rng.getrandbits(64)


async def receive(reader, reply):
    head = await read_head(reader)
    if head is None:
        reply.why = "closed"
        return
    reply.status, reply.headers = int(head.first.split(" ")[1]), head
    if "chunked" in head.header("Transfer-Encoding").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                break
            reply.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif head.header("Content-Length"):
        reply.body = await reader.readexactly(int(head.header("Content-Length")))
    else:
        reply.body = await reader.read()
    reply.complete = True


async def send(port, method, path, headers, body=b"", timeout=5.0, keep=0.0):
    """Sends one request on a channel of its own, which the client keeps open
    for `keep` s after the answer."""
    reply = Reply()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), 1.0)
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in headers)
        if body or method in ("POST", "PUT"):
            head += f"Content-Length: {len(body)}\r\n"
        writer.write((head + "\r\n").encode() + body)
        await asyncio.wait_for(receive(reader, reply), timeout)
        await asyncio.sleep(keep)
    except asyncio.TimeoutError:
        reply.why = "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        reply.why = type(error).__name__
    if writer is not None:
        writer.close()
    return reply


def main(case, file):
    """Runs a case; prints its verdict and ends with its exit code."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(file)), "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble {'on' if trouble else 'off'}")

    async def play():
        loop = asyncio.get_running_loop()
        # Channels that end with the case are no errors.
        loop.set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, trouble), 110)

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # Never a broken rule.
        record(f"could not run: {type(error).__name__} {error}")
        print("could not run:", type(error).__name__, error)
        sys.exit(CANNOT_RUN)
    record(f"rule broken: {len(broken)}")
    for line in broken[:20]:
        record("  " + line)
        print(line)
    print("rule broken" if broken else "rule held", f"({len(broken)})")
    sys.exit(BROKEN if broken else HOLDS)
