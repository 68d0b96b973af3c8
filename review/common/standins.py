"""Stand-ins for a review case: the platform's store, replicas, clients, and the processes under test.

Only the standard library is used. Everything listens on loopback addresses. The stand-ins do what
PROTOCOL.md says of the platform, of replicas and of clients; a case switches the disruption on.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - START:9.3f} {text}\n")
            self.file.flush()


class Stopped(BaseException):
    """The script has to end. Not an Exception, so that no handler for failed requests takes it."""


class Closed(Exception):
    """The peer has closed the connection."""


class Wire:
    """One HTTP/1.1 connection, read and written by hand."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed()
        self.buffer += data

    def _line(self):
        while b"\r\n" not in self.buffer:
            self._fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def _take(self, count):
        while len(self.buffer) < count:
            self._fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        """Reads a start line and the headers, with lower-case names."""
        first = self._line().decode("latin-1")
        headers = {}
        while True:
            line = self._line().decode("latin-1")
            if not line:
                return first, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def pieces(self, headers):
        """Yields the pieces of a chunked body. Raises Closed if it is cut off."""
        while True:
            size = int(self._line().split(b";")[0], 16)
            piece = self._take(size)
            self._take(2)
            if size == 0:
                return
            yield piece

    def body(self, headers):
        if "chunked" in headers.get("transfer-encoding", ""):
            return b"".join(self.pieces(headers))
        return self._take(int(headers.get("content-length", "0")))

    def send(self, data):
        self.sock.sendall(data)

    def gone(self):
        """Whether the peer has closed the connection."""
        try:
            self.sock.setblocking(False)
            try:
                data = self.sock.recv(65536)
            finally:
                self.sock.setblocking(True)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if not data:
            return True
        self.buffer += data
        return False

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


def message(status, headers, body=b""):
    reason = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
              412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
              503: "Service Unavailable", 504: "Gateway Timeout"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if "Transfer-Encoding" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A listener with a thread for each connection. Subclasses answer requests in `serve`."""

    def __init__(self, ip):
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, 0))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        self.wires = set()
        self.wires_lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            wire = Wire(sock)
            with self.wires_lock:
                self.wires.add(wire)
            threading.Thread(target=self._connection, args=(wire,), daemon=True).start()

    def _connection(self, wire):
        try:
            while True:
                first, headers = wire.head()
                method, path, _ = first.split(" ", 2)
                body = wire.body(headers)
                self.serve(wire, method, path, headers, body)
        except (Closed, OSError, ValueError):
            pass
        finally:
            with self.wires_lock:
                self.wires.discard(wire)
            wire.close()

    def serve(self, wire, method, path, headers, body):
        raise NotImplementedError

    def crash(self):
        """Stops to listen and resets all connections, as a process that is killed."""
        # shutdown() wakes the thread in accept(); close() alone leaves the port open until then.
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.wires_lock:
            wires = list(self.wires)
        for wire in wires:
            try:
                wire.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, ip, latency_s=0.004):
        self.changed = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 77000
        self.latency_s = latency_s
        super().__init__(ip)
        threading.Thread(target=self._expire, daemon=True).start()

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                now = time.monotonic()
                for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._write([], keys)

    def _write(self, puts, removes):
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "created": created,
                    "lease": lease}
            self.items[key] = item
            self.history.append((self.revision, key, item))
        for key in removes:
            if self.items.pop(key, None) is not None:
                tombstone = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append((self.revision, key, tombstone))
        self.changed.notify_all()
        return self.revision

    def put(self, key, value):
        """A write of the operator, a trainer or a replica. Returns once the store has it."""
        with self.changed:
            return self._write([(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)], [])

    def remove(self, key):
        with self.changed:
            self._write([], [key])

    def keys(self, prefix):
        with self.changed:
            return [key for key in self.items if key.startswith(prefix)]

    def value(self, key):
        with self.changed:
            item = self.items.get(key)
            return json.loads(base64.b64decode(item["value"])) if item else None

    def serve(self, wire, method, path, headers, body):
        time.sleep(self.latency_s)
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        status, answer = self.answer(method, url.path, query, json.loads(body) if body else {})
        data = json.dumps(answer).encode()
        wire.send(message(status, {"Content-Type": "application/json"}, data))

    def answer(self, method, path, query, body):
        with self.changed:
            if path == "/api/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"store_revision": self.revision}
                return 200, {**item, "store_revision": self.revision}
            if path == "/api/kv-range":
                prefix, after = query["path_prefix"], query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                page = [self.items[k] for k in keys[:500]]
                return 200, {"items": page, "more_pages": len(keys) > 500,
                             "store_revision": self.revision}
            if path == "/api/kv-watch":
                prefix, after = query["path_prefix"], int(query["after"])
                deadline = time.monotonic() + int(query["wait_ms"]) / 1000
                while True:
                    events = [event for revision, key, event in self.history
                              if revision > after and key.startswith(prefix)]
                    left = deadline - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "store_revision": self.revision}
                    self.changed.wait(left)
            if path == "/api/kv-txn":
                now = {row["key"]: self.items.get(row["key"]) for row in body["expected"]}
                if any((now[row["key"]] or {"revision": 0})["revision"] != row["revision"]
                       for row in body["expected"]):
                    return 412, {"items": [item or {"key": key, "revision": 0}
                                           for key, item in now.items()]}
                if any(put["lease"] and put["lease"] not in self.leases for put in body["puts"]):
                    return 404, {}
                puts = [(put["key"], put["value"], put["lease"]) for put in body["puts"]]
                return 200, {"revision": self._write(puts, body["remove"])}
            if path == "/api/kv-lease":
                self.next_lease += 1
                ttl = body["ttl_ms"]
                self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease": self.next_lease, "ttl_ms": ttl}
            lease = int(path.rsplit("/", 1)[1])
            if path.startswith("/api/kv-keep/"):
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"ttl_ms": ttl}
            self._end_lease(lease)
            return 200, {}


class Replica(Server):
    """A replica, which registers itself in the store. `run` is called for a request that it runs."""

    def __init__(self, ip, store, service, zone, slots, record, model=None):
        self.store, self.service, self.zone, self.slots = store, service, zone, slots
        self.record, self.model = record, model
        self.id = "i-%08x" % random.getrandbits(32)
        self.lock = threading.Lock()
        self.running = 0
        self.version, self.sequence, self.fence, self.loading = 1, 0, 0, False
        self.alive = True
        super().__init__(ip)
        self.register("ready")
        threading.Thread(target=self._beat, daemon=True).start()

    def register(self, state):
        self.state = state
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slot_count": self.slots, "state": state, "cold_left_ms": 0,
                 "sequence": self.sequence}
        if self.model:
            entry["stage"] = "both"
            entry["models"] = [{"name": self.model, "version": self.version, "adapters": []}]
        self.store.put("servers/" + self.id, entry)

    def _beat(self):
        while self.alive:
            time.sleep(1.2)
            if self.alive:
                self.sequence += 0
                self.register(self.state)

    def lose(self, heartbeat_s=1.2):
        """The replica crashes for good: its entry ends after three heartbeats of silence."""
        self.alive = False
        self.crash()

        def expire():
            time.sleep(3 * heartbeat_s)
            self.store.remove("servers/" + self.id)

        threading.Thread(target=expire, daemon=True).start()

    def load(self):
        return f"{self.running},0,{self.slots}"

    def serve(self, wire, method, path, headers, body):
        request = headers.get("request-id")
        echo = {"Request-Id": request} if request else {}
        if headers.get("expect-instance", self.id) != self.id:
            return wire.send(message(421, {**echo, "Not-Executed": "1", "Instance-Id": self.id}))
        if path == "/health":
            return wire.send(message(200, {"Instance-Id": self.id, "Server-Load": self.load()}))
        if path == "/api/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            report = {"stage": "both", "models": models if self.model else [],
                      "busy": self.loading, "sequence": self.sequence, "num_waiting": 0,
                      "num_running": self.running, "kv_used": 0, "kv_total": 90000, "handles": 0}
            return wire.send(message(200, {"Content-Type": "application/json"},
                                     json.dumps(report).encode()))
        if path == "/api/order":
            status = self.order(json.loads(body))
            return wire.send(message(status, {}))
        if not self.admit(wire, headers, echo):
            return None
        try:
            self.run(wire, method, path, headers, body, echo)
        finally:
            with self.lock:
                self.running -= 1

    def admit(self, wire, headers, echo):
        """Takes a slot, or refuses the request because the replica is full."""
        with self.lock:
            if self.running < self.slots:
                self.running += 1
                return True
        self.refuse(wire, headers, echo)
        return False

    def refuse(self, wire, headers, echo):
        wire.send(message(503, {**echo, "Not-Executed": "1", "Server-Load": self.load()}))

    def order(self, order):
        with self.lock:
            if order["fencing_token"] < self.fence:
                return 412
            self.fence = order["fencing_token"]
            if self.loading or order.get("expected", self.sequence) != self.sequence:
                return 409
            if order["version"] <= self.version:
                return 200
            self.loading = True
            self.sequence += 1

        def load():
            time.sleep(0.9)
            with self.lock:
                self.version, self.loading = order["version"], False
            self.register(self.state)

        threading.Thread(target=load, daemon=True).start()
        return 202

    def run(self, wire, method, path, headers, body, echo):
        raise NotImplementedError

    def stream(self, wire, headers, echo, events, pause_s, piece="text"):
        """Answers with a series of events, from the one after Last-Event-Id on."""
        first = int(headers.get("last-event-id", "0")) + 1
        request = headers.get("request-id")
        head = {**echo, "Server-Stamp": f"stamp.{self.id}.{request}",
                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                "Server-Load": self.load()}
        if self.model:
            head["Weight-Versions"] = str(self.version)
        for number in range(first, events + 1):
            time.sleep(pause_s)
            if wire.gone():
                self.record(f"replica {self.id} run {request} dropped before event {number}: "
                            "its connection was closed")
                raise Closed()
            if not self.alive:
                raise Closed()
            event = f"id: {number}\ndata: {piece} {number}\n\n".encode()
            if number == first:
                wire.send(message(200, head))
            wire.send(b"%x\r\n%s\r\n" % (len(event), event))
        if first > events:
            wire.send(message(200, head))
        wire.send(b"0\r\n\r\n")


class Scorer(Replica):
    """A replica of the plain service that the reward calls of items go to."""

    def run(self, wire, method, path, headers, body, echo):
        request = headers["request-id"]
        time.sleep(0.03)
        wire.send(message(200, {**echo, "Server-Stamp": f"stamp.{self.id}.{request}",
                                "Server-Load": self.load()}, b"scored"))


def scorer(item, host):
    """The reward call of an item."""
    return {"id": "5c" + item[2:], "host": host, "path": f"/reward/{item}",
            "body": base64.b64encode(b"reward").decode()}


def scorer_route(host, service):
    return {"name": "r-reward", "host": host, "path_prefix": "/reward/", "route_type": "idempotent",
            "timeout_ms": 3000, "target_latency_ms": 800, "priority": 2, "service": service,
            "max_attempts": 4}


def render(template, fields):
    """Fills in a template of settings as DEPLOY.md describes."""

    def look_up(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                else:
                    value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return json.dumps(value) if isinstance(value, dict) else str(value)

    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill(part, scopes):
        def one(match):
            kind, name, inner = match.groups()
            value = look_up(name, scopes)
            present = value not in (None, False)
            if kind == "^":
                return "" if present else fill(inner, scopes)
            return fill(inner, scopes + [value]) if present else ""

        part = section.sub(one, part)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(look_up(m.group(1), scopes)), part)

    return fill(template, [fields])


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Node:
    """A process of the role `entry`, started with the command of the deploy file."""

    def __init__(self, deployment, index, zone):
        self.deployment, self.zone = deployment, zone
        self.name = f"front-{zone}-{index}"
        self.ip = deployment.ip(10 + index)
        ports = {name: free_port(self.ip) for name in ("front", "ready_addr", "control", "directory")}
        self.listen = {name: f"{self.ip}:{port}" for name, port in ports.items()}
        self.process = None

    def start(self, seeds):
        fields = {
            "node_name": self.name, "node_class": "front", "ip": self.ip, "zone": self.zone,
            "listen": self.listen, "seed_nodes": seeds, "data_dir": None, "heartbeat_ms": 1200,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "bounds": {"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "status_s": 120,
                       "lease_ms": 3000},
            "provider": {"address": self.deployment.store.address, "value_bytes": 1048576,
                         "history_s": 20, "ttl_min_ms": 1000},
        }
        path = os.path.join(self.deployment.folder, self.name + ".ini")
        with open(os.path.join(ROOT, "deploy", "settings.ini"), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        environment = {"MULBERRYCOURSE_BOOT": path, "PATH": os.environ.get("PATH", "")}
        program = os.path.join(ROOT, "target", "release", "mulberry-platform")
        self.process = subprocess.Popen([program, "run"], cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)

    def ready(self):
        try:
            return http(self.listen["ready_addr"], "GET", "/api/ready", {}, timeout=1).status == 200
        except OSError:
            return False

    def log_lines(self, word):
        with open(os.path.join(self.deployment.folder, self.name + ".log"), encoding="utf-8") as file:
            return [line.rstrip() for line in file if word in line]


class Answer:
    """An answer that a client got. `complete` is false if its connection ended before its end."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


def http(address, method, path, headers, body=b"", timeout=15.0, on_piece=None):
    """One request on a new connection. An OSError or Closed means that there was no answer."""
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=min(timeout, 1.0))
    sock.settimeout(timeout)
    wire = Wire(sock)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in {"Host": "platform", **headers}.items()]
        lines.append(f"Content-Length: {len(body)}")
        wire.send(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        try:
            first, head = wire.head()
        except Closed:
            raise OSError("the connection was closed without an answer") from None
        status = int(first.split(" ")[1])
        data = b""
        try:
            if "chunked" in head.get("transfer-encoding", ""):
                for piece in wire.pieces(head):
                    data += piece
                    if on_piece:
                        on_piece(piece)
            else:
                data = wire.body(head)
        except (Closed, OSError, ValueError):
            return Answer(status, head, data, False)
        return Answer(status, head, data, True)
    finally:
        wire.close()


class Deployment:
    """A store and some entry nodes on loopback addresses of their own, in a temporary folder."""

    def __init__(self, nodes, zones=("z-a", "z-b")):
        self.subnet = "127.%d.%d" % (random.randrange(16, 240), random.randrange(1, 250))
        self.folder = tempfile.mkdtemp(prefix="mulberry-review-")
        self.store = Store(self.ip(2))
        self.nodes = [Node(self, i, zones[i % len(zones)]) for i in range(nodes)]

    def ip(self, last):
        return f"{self.subnet}.{last}"

    def start(self):
        seeds = [node.listen["control"] for node in self.nodes[:3]]
        for node in self.nodes:
            node.start(seeds)
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if all(node.ready() for node in self.nodes):
                return True
            time.sleep(0.1)
        return False

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process:
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case):
    """Runs a case, which returns its exit code, and ends all that it has started."""
    record = Record(folder)
    record(f"trouble: {'on' if TROUBLE else 'off'}")
    deployments = []
    code = COULD_NOT_RUN

    def give_up(*_):
        raise Stopped("stopped, or not done within 110 s")

    # Whatever ends the script, the processes that it has started end with it.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(110)
    try:
        code = case(record, deployments)
    except (Exception, Stopped) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}", flush=True)
    finally:
        signal.alarm(0)
        for deployment in deployments:
            deployment.stop()
        record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN",
                COULD_NOT_RUN: "the case could not run"}[code])
        print(f"{os.path.basename(folder)}: exit {code}", flush=True)
        os._exit(code)
