"""Streams that their replica preempts for a while, at a machine whose settings file changes."""

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
EVENT_S, EVENT_TOKENS, PROMPT_TOKENS = 0.035, 46, 1000
HUP_AT, STOP_AT, APPLY_S = 4.0, 8.0, 2.0
# A client abandons a stream after a gap of 2 s: the longest of 2 s, 4 x 400 ms and 8 x 120 ms.
CLIENT_GAP_S = 2.0

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


class PreemptingReplica(kit.ModelReplica):
    """A replica with little memory. When it runs out, the newest request is preempted, in the middle of
    its stream, and goes on when there is room again."""

    memory = 8_400
    held = None

    def fits(self, key):
        """Whether a request is among the oldest ones that fit into the memory."""
        used = 0
        for other, tokens in self.held.items():
            used += tokens
            if used > self.memory:
                return False
            if other == key:
                return True
        return False

    async def run(self, request, writer):
        if self.held is None:
            self.held = {}
        self.begin(request)
        rid = request.headers.get("request-id", "")
        key = object()
        self.held[key] = PROMPT_TOKENS
        headers = self.common(request) + [
            ("Server-Stamp", self.stamp(request)), ("Weight-Versions", self.version),
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        try:
            for number in range(1, self.events(request) + 1):
                await asyncio.sleep(EVENT_S)
                paused = self.record.now()
                while not self.fits(key):
                    await asyncio.sleep(0.01)
                gap = self.record.now() - paused
                if gap > 0.1:
                    self.record.write(f"preempted {rid} at {self.name} for {gap:.2f} s before event {number}")
                self.held[key] += EVENT_TOKENS
                event = f"id: {number}\ndata: {rid}-{number}\n\n".encode()
                if number == 1:
                    writer.write(kit.head_bytes("HTTP/1.1 200 OK", headers))
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.write(f"finished  {rid} at {self.name}")
        finally:
            del self.held[key]


async def main(world):
    record = world.record
    zones = ["gloshaugen-hall", "elgeseter-hall", "heimdal-hall"]
    replicas = [PreemptingReplica(record, world.store, "patter-models", f"model-{i}", zones[i % 3],
                                  "coach", slots=8) for i in range(9)]
    await world.open([zones[i % 3] for i in range(4)], CONFIG, replicas)
    begun, requests, told = record.now(), [], None
    signalled = world.nodes[0]

    async def stream():
        rid = f"{random.randrange(1 << 64):016x}"
        node = random.choice(world.nodes)
        count = min(179, max(4, round(random.lognormvariate(3.0, 0.8))))
        request = {"id": rid, "node": node, "sent": record.now(), "events": 0, "count": count,
                   "last": record.now(), "status": None}
        requests.append(request)
        headers = [("Host", HOST), ("Request-Id", rid), ("Deadline-Ms", "12000"),
                   ("Token-Count", f"{PROMPT_TOKENS},{count}"), ("Model", "coach"),
                   ("Prompt-Prefix", f"{rid}:{PROMPT_TOKENS}")]
        record.write(f"sent      {rid} to {node.name}, {count} events")

        def piece(data):
            request["events"] += data.count(b"id: ")
            request["last"] = record.now()
        try:
            status, _, _ = await kit.call(node.ip, 8144, "POST", ROUTE + rid, headers, b"", 13, piece)
            request["status"] = status
            end = f"answered {status}"
        except kit.CALL_ERRORS as e:
            end = f"cut off: {type(e).__name__}"
        request["ended"] = record.now()
        request["complete"] = request["events"] == count and request["status"] == 200
        record.write(f"ended     {rid} {end}, {request['events']} of {count} events, "
                     f"{request['ended'] - request['last']:.2f} s after the last")

    async def trouble():
        nonlocal told
        await asyncio.sleep(HUP_AT)
        told = record.now()
        signalled.send(signal.SIGHUP)

    troubled = asyncio.ensure_future(trouble()) if world.trouble else None
    streams = []
    while record.now() < begun + STOP_AT:
        streams.append(asyncio.ensure_future(stream()))
        await asyncio.sleep(random.expovariate(50))
    await asyncio.gather(*streams)
    if troubled:
        await troubled
    runs = {rid for replica in replicas for _, rid, _ in replica.runs}
    cut = [r for r in requests if not r["complete"] and r["status"] in (None, 200) and r["id"] in runs]
    lost = []
    for request in cut:
        gap = request["ended"] - request["last"]
        if (told is not None and request["node"] is signalled and request["ended"] > told
                and request["sent"] <= told + APPLY_S and gap < CLIENT_GAP_S):
            lost.append(request)
            record.write(f"LOST      {request['id']} sent {request['sent'] - told:+.2f} s and cut off "
                         f"{request['ended'] - told:.2f} s after SIGHUP, {gap:.2f} s after its last event")
    done = sum(r["complete"] for r in requests)
    text = f"streams {len(requests)}, complete {done}, cut off {len(cut)}, lost against the rule {len(lost)}"
    record.write(text)
    print(text)
    if done < len(requests) // 2:
        raise kit.CannotRun("too few streams were served")
    return bool(lost)


kit.play(main, FOLDER)
