"""A configuration takes away the only tenant with its keys."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
import kit  # noqa: E402

SECONDS, PER_SECOND, REVOKED_AT = 18, 10, 4.0


def config(version, tenants):
    return {
        "version": version,
        "routes": [kit.route("r-confirm", "/confirm/", "non_idempotent",
                             "shift-api", 1500, 150)],
        "services": [kit.plain_service("shift-api")],
        "limits": kit.LIMITS, "tenants": tenants,
    }


async def case(record, trouble):
    rng = random.Random(7)
    site = kit.Site(record, nodes=3)
    broken = []
    try:
        await site.start(config(7, kit.tenants(kit.KEY)))
        servers = [kit.PlainServer(site.store, record, "shift-api", f"i-sa{i}",
                                   zone, slots=6)
                   for i, zone in enumerate(["hall-a", "hall-b", "hall-c"])]
        for server in servers:
            await server.start()
        await site.start_nodes()
        sent, answers = {}, {}

        async def client(name, node):
            sent[name] = record.now()
            reply = await kit.send(node.front, "POST", "/confirm/shift", [
                ("Host", "pule25.example"), ("X-Request-Id", name),
                ("X-Deadline-Remaining-Milliseconds", "1500"),
                ("Authorization", "Bearer " + kit.KEY)], b"shift 4711", 2.5)
            answers[name] = reply.status
            record(f"client {name} at {node.name}: {reply.status} {reply.why}")

        clients, acked = [], None
        start = record.now()
        while record.now() < start + SECONDS:
            if acked is None and record.now() >= start + REVOKED_AT:
                # Without the trouble the tenant keeps an entry without keys.
                site.configure(config(12, [] if trouble else kit.tenants()))
                acked = record.now()
                record("operator: version 12 takes the tenant's key away, acked")
            clients.append(asyncio.create_task(
                client(kit.new_id(rng), rng.choice(site.nodes))))
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*clients)
        bound = acked + kit.BOUNDS["revoke_ms"] / 1e3
        late = [n for n in sent if sent[n] > bound]
        ran = {n for s in servers for n in s.runs}
        before = [n for n in sent if sent[n] < acked - 0.1]
        if sum(n in ran for n in before) < len(before) / 2:
            raise kit.CannotRun("the key didn't work before")
        for name in late:
            if name in ran:
                broken.append(f"CONFIG: request {name}, sent "
                              f"{sent[name] - acked:.2f} s after the ack, ran; "
                              f"answered {answers[name]}")
        print(f"sent {len(sent)}, later than revoke_ms {len(late)}, of these "
              f"run {len(broken)}")
        record(f"sent {len(sent)}, later than revoke_ms {len(late)}, of these "
               f"run {len(broken)}")
    finally:
        await site.end()
    return broken


kit.main(case, __file__)
