"""Batch jobs of routes that were just added, while one machine stands still."""

import base64
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import (BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Closed, Deployment, Replica, Scorer, http,
                      main, scorer, scorer_route)

HOST = "rollouts.example"
MODEL = "m0"
GROUPS, SIZE = 13, 4  # as in the site file
EVENTS, PAUSE_S = 10, 0.02
NEW_ROUTES = 6
FREEZE_S = 4.0  # node_freeze of the site file
SETTLE_S = 15.0


class Engine(Replica):
    """A model replica that completes whatever it is sent."""

    def __init__(self, *args, arrivals, **named):
        self.arrivals = arrivals
        super().__init__(*args, **named)

    def run(self, wire, method, path, headers, body, echo):
        self.arrivals.append(headers["request-id"])
        self.record(f"replica {self.id} begins {headers['request-id']}")
        self.stream(wire, headers, echo, EVENTS, PAUSE_S)
        self.record(f"replica {self.id} has finished {headers['request-id']}")


def config(version, count):
    routes = [{"name": f"r-rollout-{i}", "host": HOST, "path_prefix": f"/draft{i}/",
               "route_type": "rollout", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
               "service": "models", "max_attempts": 3, "session_affinity": True, "resumable": True,
               "result_deadline_ms": 7500, "retention_s": 40} for i in range(count)]
    services = [{"name": name, "health_path": "/health", "max_conns": 140, "protocol": "h1",
                 "tls": False} for name in ("models", "shop")]
    return {"version": version, "routes": routes + [scorer_route(HOST, "shop")],
            "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def job(route):
    items = []
    for group in range(GROUPS):
        for index in range(SIZE):
            item = f"5{route}{group:02x}{index:02x}0000000000"
            items.append({
                "id": item, "scorer": scorer(item, HOST),
                "path": f"/draft{route}/{group}/{index}",
                "headers": {"Model": MODEL, "Token-Count": f"1016,{EVENTS}",
                            "Prompt-Prefix": f"{route}{group + 1:x}:1000,{group * 100 + index:x}:16"},
                "body": base64.b64encode(b"prompt").decode(), "tokens": 1016 + EVENTS,
                "group": f"g{route}-{group}"})
    return {"step": 0, "model": MODEL, "min_version": 1, "desired": 11, "items": items}


def submit(nodes, record, route):
    job_id = f"10b{route:013x}"
    body = json.dumps(job(route)).encode()
    for node in nodes * 3:
        try:
            answer = http(node.listen["front"], "POST", f"/draft{route}/{job_id}",
                          {"Host": HOST, "Request-Id": job_id, "Content-Type": "application/json"},
                          body, timeout=5)
        except (OSError, Closed) as error:
            record(f"job {job_id} at {node.name}: {error!r}")
            continue
        record(f"job {job_id} of route {route} at {node.name}: {answer.status}")
        if answer.status == 202:
            return job_id
    return None


def read(node, job_id, after):
    try:
        answer = http(node.listen["front"], "GET", f"/api/lots/{job_id}?after={after}",
                      {"Host": HOST, "Wait-Ms": "300"}, timeout=2)
    except (OSError, Closed):
        return []
    if answer.status != 200 or not answer.complete:
        return []
    return json.loads(answer.body)["results"]


def source(node):
    """The machine that the last change of the configuration came from, by the node's log. None if
    the node watches the store itself."""
    for line in reversed(node.log_lines("event=routes_received")):
        return dict(word.split("=", 1) for word in line.split() if "=" in word)["from"]
    return None


def case(record, deployments):
    deployment = Deployment(nodes=7, zones=("z-a", "z-b", "z-c"))
    deployments.append(deployment)
    store, nodes, arrivals = deployment.store, deployment.nodes, []
    store.put("op/config", config(1, 1))
    for i in range(9):
        Engine(deployment.ip(100 + i), store, "models", f"z-{'abc'[i % 3]}", 8, record, MODEL,
               arrivals=arrivals)
    for i in range(3):
        Scorer(deployment.ip(120 + i), store, "shop", f"z-{'abc'[i]}", 6, record)
    if not deployment.start():
        record("the nodes are not ready")
        return COULD_NOT_RUN
    time.sleep(2)
    # A change of the configuration shows which machines have it from which.
    store.put("op/config", config(2, 1))
    time.sleep(3)
    sources = {node.name: source(node) for node in nodes}
    record(f"who has the configuration from whom: {sources}")
    asked = list(sources.values())
    watchers = [node for node in nodes if sources[node.name] is None]
    frozen = max(watchers, key=lambda node: asked.count(node.listen["control"]))
    others = [node for node in nodes if node is not frozen]
    if TROUBLE:
        record(f"{frozen.name} stands still for {FREEZE_S} s")
        frozen.process.send_signal(signal.SIGSTOP)
    thaw_at = time.monotonic() + FREEZE_S
    time.sleep(0.3)
    store.put("op/config", config(4, 1 + NEW_ROUTES))
    record(f"the store has acknowledged configuration 4, with {NEW_ROUTES} more routes")
    time.sleep(0.05)
    # The trainers of the new routes submit at a machine that has the new configuration.
    jobs = {route: submit([n for n in watchers if n is not frozen], record, route)
            for route in range(1, 1 + NEW_ROUTES)}
    if None in jobs.values():
        record("a job was not accepted")
        return COULD_NOT_RUN
    end, results = time.monotonic() + SETTLE_S, {route: [] for route in jobs}
    while time.monotonic() < end and any(len(r) < GROUPS * SIZE for r in results.values()):
        if TROUBLE and time.monotonic() >= thaw_at:
            frozen.process.send_signal(signal.SIGCONT)
            record(f"{frozen.name} goes on")
            thaw_at = float("inf")
        for route, job_id in jobs.items():
            results[route] += read(others[-1], job_id, len(results[route]))
    if TROUBLE and thaw_at != float("inf"):
        time.sleep(max(0.0, thaw_at - time.monotonic()))
        frozen.process.send_signal(signal.SIGCONT)
        record(f"{frozen.name} goes on")

    dead = 0
    for route, listed in results.items():
        states = [result["state"] for result in listed]
        ran = sum(1 for item in job(route)["items"] if item["id"] in arrivals)
        owner = [n.name for n in nodes if n.log_lines(f"event=job_started job={jobs[route]}")]
        record(f"job {jobs[route]}: {states.count('completed')} completed and {states.count('dead')} "
               f"dead of {GROUPS * SIZE}; {ran} items ever reached a replica; run by {owner}")
        dead += states.count("dead")
    record(f"{dead} items are listed as dead; no replica answered 422 or 500, no retention has "
           "passed, and every route and job is open")
    return BROKEN if dead else HELD


main(HERE, case)
