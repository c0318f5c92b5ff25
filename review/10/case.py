"""A client hides a request in the body of another one, whose method is CONNECT."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
import kit  # noqa: E402

COUNT = 20


def config():
    return {
        "version": 7,
        "routes": [kit.route("r-confirm", "/confirm/", "non_idempotent",
                             "shift-api", 1500, 150)],
        "services": [kit.plain_service("shift-api")],
        "limits": kit.LIMITS, "tenants": kit.tenants(kit.KEY),
    }


def headers(name):
    return [("Host", "pule25.example"), ("X-Request-Id", name),
            ("X-Deadline-Remaining-Milliseconds", "1500"),
            ("Authorization", "Bearer " + kit.KEY)]


async def case(record, trouble):
    rng = random.Random(9)
    site = kit.Site(record)
    broken, sent = [], {}
    try:
        await site.start(config())
        servers = [kit.PlainServer(site.store, record, "shift-api", f"i-sa{i}",
                                   zone, slots=6)
                   for i, zone in enumerate(["hall-a", "hall-b", "hall-c"])]
        for server in servers:
            await server.start()
        await site.start_nodes()
        for _ in range(COUNT):
            name, hidden = kit.new_id(rng), kit.new_id(rng)
            body = ("POST /confirm/shift HTTP/1.1\r\n"
                    + "".join(f"{n}: {v}\r\n" for n, v in headers(hidden))
                    + "Content-Length: 10\r\n\r\nshift 4711").encode()
            method = "CONNECT" if trouble else "POST"
            sent[name] = body
            record(f"client {name}: sends {method} with a body of {len(body)} "
                   f"bytes, in which {hidden} is hidden")
            reply = await kit.send(site.nodes[0].front, method, "/confirm/form",
                                   headers(name), body, 2.5, keep=0.5)
            record(f"client {name}: {reply.status} {reply.why}")
        for server in servers:
            for name, runs in server.runs.items():
                for message in runs:
                    record(f"{server.id} ran {name}: {message.first}, body of "
                           f"{len(message.body)} bytes")
                    if name not in sent:
                        broken.append(f"UNASKED: {server.id} ran {name}, which "
                                      f"no client sent: {message.first}")
        ran = sum(len(s.runs) for s in servers)
        print(f"sent {COUNT}, run {ran}, of these not sent {len(broken)}")
        record(f"sent {COUNT}, run {ran}, of these not sent {len(broken)}")
        if not trouble and ran < COUNT:
            raise kit.CannotRun("a request wasn't run")
    finally:
        await site.end()
    return broken


kit.main(case, __file__)
