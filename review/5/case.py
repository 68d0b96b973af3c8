"""Streams that clients hold at a machine that is stopped as planned."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit-2"))
import kit  # noqa: E402

HOST = "tienda.example"
ROUTE = "/patter/"
EVENT_S = 0.05
GRACE_S = 8.0
TERM_AT, STOP_AT = 4.0, 9.0

CONFIG = {
    "version": 1,
    "routes": [{"name": "r-patter", "host": HOST, "path_prefix": ROUTE, "route_type": "streaming",
                "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
                "service": "patter-models", "max_attempts": 3}],
    "services": [{"name": "patter-models", "health_path": "/health", "max_conns": 140,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


async def main(world):
    record = world.record
    zones = ["gloshaugen-hall", "elgeseter-hall", "heimdal-hall"]
    replicas = [kit.ModelReplica(record, world.store, "patter-models", f"model-{i}", zones[i % 3],
                                 "coach", slots=8, event_s=EVENT_S) for i in range(9)]
    await world.open(zones, CONFIG, replicas)
    fronts = {f"{node.ip}:8144": node for node in world.nodes}
    stopped = world.nodes[0]
    begun = record.now()
    requests = []
    terminated = None

    async def resolve(zone):
        """Asks up to three nodes for addresses, a second for each."""
        for node in random.sample(world.nodes, 3):
            try:
                target = f"/api/resolve?name={HOST}&region=trondheim&zone={zone}"
                status, _, body = await kit.call(node.ip, 8143, "GET", target, timeout=1)
                value = kit.json.loads(body) if status == 200 else {}
                if value.get("addresses"):
                    return value["addresses"], min(value["ttl_s"], 5)
            except kit.CALL_ERRORS:
                pass
        return None, None

    async def stream(address, count):
        rid = f"{random.randrange(1 << 64):016x}"
        node = fronts[address]
        request = {"id": rid, "node": node, "sent": record.now(), "length": count * EVENT_S,
                   "events": 0, "status": None}
        requests.append(request)
        headers = [("Host", HOST), ("Request-Id", rid), ("Deadline-Ms", "12000"),
                   ("Token-Count", f"100,{count}"), ("Model", "coach"), ("Prompt-Prefix", f"{rid}:100")]
        record.write(f"sent      {rid} to {node.name}, {count} events")

        def piece(data):
            request["events"] += data.count(b"id: ")
        try:
            status, _, _ = await kit.call(node.ip, 8144, "POST", ROUTE + rid, headers, b"", 13, piece)
            request["status"] = status
            end = f"answered {status}, {request['events']} of {count} events"
        except kit.CALL_ERRORS as e:
            end = f"cut off: {type(e).__name__} {e}, {request['events']} of {count} events"
        request["ended"] = record.now()
        request["complete"] = request["events"] == count and request["status"] == 200
        record.write(f"ended     {rid} {end}")

    async def client(index):
        """Keeps an answer for its time to live, some clients three times as long."""
        await asyncio.sleep(random.random())
        zone, factor = zones[index % 3], 3 if index % 2 else 1
        addresses, until, streams = None, 0, []
        while record.now() < begun + STOP_AT:
            if record.now() >= until:
                found, ttl = await resolve(zone)
                if found:
                    addresses, until = found, record.now() + ttl * factor
            if addresses:
                # 1 to 4 s, as texts have it.
                count = random.randint(20, 80)
                streams.append(asyncio.ensure_future(stream(random.choice(addresses), count)))
            await asyncio.sleep(random.uniform(1.0, 2.0))
        await asyncio.gather(*streams)

    async def late_client(index):
        """Has its answer from just before the signal, keeps it three times as long, and uses it
        2.55 s after the signal for a stream of 3.85 s, which would end after 6.4 s."""
        await asyncio.sleep(begun + TERM_AT - 0.1 - record.now())
        addresses, ttl = await resolve(zones[index % 3])
        if addresses is None:
            return
        kept_until = record.now() + 3 * ttl
        await asyncio.sleep(begun + TERM_AT + 2.55 - record.now())
        if record.now() < kept_until:
            await stream(random.choice(addresses), 77)

    async def trouble():
        nonlocal terminated
        await asyncio.sleep(TERM_AT)
        terminated = record.now()
        stopped.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(stopped.process.wait(), GRACE_S)
            record.write(f"exit      {stopped.name} {record.now() - terminated:.2f} s after SIGTERM, "
                         f"with {stopped.process.returncode}")
        except asyncio.TimeoutError:
            stopped.send(signal.SIGKILL)

    troubled = asyncio.ensure_future(trouble()) if world.trouble else None
    await asyncio.gather(*[client(i) for i in range(12)], *[late_client(i) for i in range(18)])
    if troubled:
        await troubled
    runs = {rid for replica in replicas for _, rid, _ in replica.runs}
    lost = []
    for request in requests:
        if request["complete"] or request["id"] not in runs or request["status"] not in (None, 200):
            continue
        if terminated is None or request["node"] is not stopped:
            lost.append(request)
            continue
        sent, ends = request["sent"] - terminated, request["sent"] + request["length"] - terminated
        if sent > GRACE_S + 1 or request["ended"] < terminated:
            continue
        # Its replica would have been at work in the last sixth of the grace period.
        excused = sent <= 3.0 and ends + 0.1 >= GRACE_S * 5 / 6
        verdict = "excused" if excused else "LOST"
        record.write(f"{verdict:9} {request['id']} sent {sent:.2f} s after SIGTERM, its replica would "
                     f"have ended {ends:.2f} s after it, cut off at {request['ended'] - terminated:.2f} s")
        if not excused:
            lost.append(request)
    done = sum(r["complete"] for r in requests)
    text = f"streams {len(requests)}, complete {done}, lost against the rule {len(lost)}"
    record.write(text)
    print(text)
    if done < len(requests) // 2:
        raise kit.CannotRun("too few streams were served")
    # "a process has read a whole request and the connection ends": more than a stray one.
    return len(lost) > 0


kit.play(main, FOLDER)
