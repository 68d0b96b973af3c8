"""Stand-ins for the cases of the second review: the platform's store, replicas, and clients.

They speak what PROTOCOL.md says, on loopback addresses and the real clock. One Python process holds
all of them; the project's own program runs as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from urllib.parse import unquote

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


# HTTP/1.1 ---------------------------------------------------------------------------------------


class Headers(dict):
    """Header fields by lower-case name."""


async def read_head(reader):
    """Reads a start line and headers. None if the connection was closed before."""
    line = await reader.readline()
    if not line:
        return None
    headers = Headers()
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


async def read_chunked(reader):
    """Yields the chunks of a chunked body. Fails if the body ends early."""
    while True:
        line = await reader.readline()
        if not line:
            raise ConnectionError("the body was cut off")
        size = int(line.split(b";")[0], 16)
        if size == 0:
            await reader.readline()
            return
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        yield data


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunked(reader)])
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def head_bytes(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 400: "Bad Request"}


def response_bytes(status, headers, body=b""):
    headers = list(headers) + [("Content-Length", len(body))]
    return head_bytes(f"HTTP/1.1 {status} {REASONS.get(status, 'X')}", headers) + body


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, self.query = target.partition("?")

    def parameter(self, name, default=""):
        for pair in self.query.split("&"):
            key, _, value = pair.partition("=")
            if key == name:
                return unquote(value)
        return default


class Server:
    """An HTTP/1.1 server that calls `serve(request, writer)` for one request after the other."""

    def __init__(self):
        self.server = None
        self.address = None
        self.writers = set()

    async def bind(self, ip, port=0):
        self.server = await asyncio.start_server(self._connection, ip, port, limit=1 << 26)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                # A sound server drops a request when its connection closes.
                work = asyncio.ensure_future(self.serve(request, writer))
                gone = asyncio.ensure_future(self._closed(reader))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    await asyncio.gather(work, return_exceptions=True)
                    gone.cancel()
                    self.dropped(request)
                    return
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
                if work.result() is False:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def _closed(reader):
        """Waits until the peer has closed its connection."""
        while not reader.at_eof():
            if reader.exception() is not None:
                return
            await asyncio.sleep(0.01)

    def dropped(self, request):
        pass

    async def serve(self, request, writer):
        raise NotImplementedError

    async def close(self):
        if self.server:
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()


# The platform's store ---------------------------------------------------------------------------


class Store(Server):
    """The platform's store. Linearizable; loses nothing that it has acknowledged."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.events = []
        self.next_lease = 5000
        # Set and replaced by a new one at each change.
        self.changed = asyncio.Event()
        # Decides for a transaction: None, or "lost" (done and not answered).
        self.on_txn = lambda body: None
        self.cleaner = None

    async def bind(self, ip, port=0):
        await super().bind(ip, port)
        self.cleaner = asyncio.ensure_future(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (ends, _) in self.leases.items() if ends < now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.apply([], keys)

    async def apply(self, puts, removes):
        """Makes a change and returns its revision."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease,
                    "revision": self.revision, "created": created}
            self.items[key] = item
            self.events.append(item)
        for key in removes:
            if self.items.pop(key, None):
                self.events.append({"key": key, "revision": self.revision, "tombstone": True})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def put(self, key, value, lease=0):
        return await self.apply([(key, json.dumps(value).encode(), lease)], [])

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def serve(self, request, writer):
        status, value = await self.call(request)
        if status is None:
            await asyncio.sleep(3600)
        body = json.dumps(value).encode()
        writer.write(response_bytes(status, [("Content-Type", "application/json")], body))
        await writer.drain()

    async def call(self, request):
        await asyncio.sleep(0.004)
        path = request.path
        if path == "/api/kv-key":
            item = self.items.get(request.parameter("key"))
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, {**item, "store_revision": self.revision}
        if path == "/api/kv-range":
            prefix, after = request.parameter("path_prefix"), request.parameter("after")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page, size = [], 0
            for key in keys:
                size += len(self.items[key]["value"])
                if page and (len(page) >= 500 or size > 1 << 20):
                    break
                page.append(self.items[key])
            return 200, {"items": page, "more_pages": len(page) < len(keys),
                         "store_revision": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(request)
        if path == "/api/kv-txn":
            return await self.txn(json.loads(request.body))
        if path == "/api/kv-lease":
            ttl = json.loads(request.body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/api/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, request):
        prefix, after = request.parameter("path_prefix"), int(request.parameter("after", "0"))
        ends = time.monotonic() + int(request.parameter("wait_ms", "0")) / 1000
        while True:
            found = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            await asyncio.wait({asyncio.ensure_future(self.changed.wait())}, timeout=left)

    async def txn(self, body):
        expected = body.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                there = [self.items[r["key"]] for r in expected if r["key"] in self.items]
                return 412, {"items": there}
        puts = body.get("puts", [])
        if any(p["key"].startswith(("op/", "servers/")) for p in puts):
            return 403, {}
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return 404, {}
        answer = self.on_txn(body)
        puts = [(p["key"], base64.b64decode(p["value"]), p.get("lease", 0)) for p in puts]
        revision = await self.apply(puts, body.get("remove", []))
        return (None, None) if answer == "lost" else (200, {"revision": revision})


# Replicas ---------------------------------------------------------------------------------------


class Replica(Server):
    """A replica of a plain service."""

    def __init__(self, record, store, service, name, zone, slots=6, queue=24, work_s=0.03):
        super().__init__()
        self.record, self.store, self.service = record, store, service
        self.name, self.zone, self.slots, self.queue = name, zone, slots, queue
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.work_s = work_s
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.sequence = 0
        self.runs = []

    def entry(self):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slot_count": self.slots, "state": "ready", "cold_left_ms": 0,
                "sequence": self.sequence}

    async def register(self):
        await self.store.put(f"servers/{self.id}", self.entry())

    def common(self, request):
        return [("Request-Id", request.headers.get("request-id", "")), ("Instance-Id", self.id),
                ("Server-Load", f"{self.running},{self.waiting},{self.slots}"),
                ("Keep-Alive", "timeout=15")]

    def stamp(self, request):
        return f"{self.name}.{request.headers.get('request-id', '')}.{random.randrange(1 << 24):06x}"

    def begin(self, request):
        rid = request.headers.get("request-id", "")
        after = request.headers.get("last-event-id")
        self.runs.append((self.record.now(), rid, after))
        self.record.write(f"run       {rid} at {self.name}" + (f" after {after}" if after else ""))

    async def serve(self, request, writer):
        if request.path == "/health":
            writer.write(response_bytes(200, self.common(request)))
            return None
        if request.path == "/api/report":
            body = json.dumps(self.report()).encode()
            writer.write(response_bytes(200, [("Content-Type", "application/json")], body))
            return None
        expects = request.headers.get("expect-instance")
        if expects and expects != self.id:
            writer.write(response_bytes(421, self.common(request) + [("Not-Executed", "1")]))
            return None
        if request.path == "/api/order":
            return await self.order(request, writer)
        if self.running + self.waiting >= self.slots + self.queue:
            self.record.write(f"shed      {request.headers.get('request-id')} at {self.name}")
            await self.answer(request, writer, 503, [("Not-Executed", "1")])
            return None
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self.run(request, writer)
        finally:
            self.running -= 1
            self.free.release()

    def report(self):
        return {"stage": "both", "models": [], "busy": False, "sequence": self.sequence,
                "num_waiting": self.waiting, "num_running": self.running, "kv_used": 0,
                "kv_total": 100000, "handles": 0}

    async def order(self, request, writer):
        writer.write(response_bytes(400, []))

    async def run(self, request, writer):
        self.begin(request)
        await asyncio.sleep(self.work_s)
        headers = [("Server-Stamp", self.stamp(request))]
        await self.answer(request, writer, 200, headers, b"done " + request.body[:16])
        return None

    async def answer(self, request, writer, status, headers, body=b""):
        writer.write(response_bytes(status, self.common(request) + headers, body))
        await writer.drain()


class ModelReplica(Replica):
    """A replica of a model service: a request brings a stream of events, and may be resumed."""

    def __init__(self, record, store, service, name, zone, model, slots=8, event_s=0.04):
        super().__init__(record, store, service, name, zone, slots)
        self.model, self.event_s, self.version = model, event_s, 1

    def entry(self):
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {**super().entry(), "stage": "both", "models": models}

    def report(self):
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {**super().report(), "models": models}

    async def order(self, request, writer):
        # No version is named in these cases, so that each order holds already.
        writer.write(response_bytes(200, []))

    def events(self, request):
        """The number of events of a request: as its client asked for."""
        return int(request.headers.get("token-count", "0,24").split(",")[1])

    async def run(self, request, writer):
        self.begin(request)
        after = int(request.headers.get("last-event-id", 0))
        headers = self.common(request) + [
            ("Server-Stamp", self.stamp(request)), ("Weight-Versions", self.version),
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        rid = request.headers.get("request-id", "")
        begun, due = False, time.monotonic()
        for number in range(after + 1, self.events(request) + 1):
            due += self.event_s
            await asyncio.sleep(due - time.monotonic())
            event = f"id: {number}\ndata: {rid}-{number}\n\n".encode()
            if not begun:
                writer.write(head_bytes("HTTP/1.1 200 OK", headers))
                begun = True
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if not begun:
            writer.write(head_bytes("HTTP/1.1 200 OK", headers))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.write(f"finished  {rid} at {self.name}")
        return None

    def dropped(self, request):
        self.record.write(f"dropped   {request.headers.get('request-id')} at {self.name}")


# The project's program --------------------------------------------------------------------------


def render(template, fields):
    """Fills in a template as DEPLOY.md describes."""
    def find(scopes, path):
        for scope in reversed(scopes):
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill(part, scopes):
        def replace(match):
            kind, name, inner = match.groups()
            value = find(scopes, name)
            if kind == "^":
                return "" if value else fill(inner, scopes)
            return fill(inner, scopes) if value else ""
        part = section.sub(replace, part)
        return re.sub(r"\{\{([^}]+)\}\}", lambda m: text(find(scopes, m.group(1))), part)

    return fill(template, [fields])


class Node:
    """One process of the role `entry` of the deploy file."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.ports = {"front": 8144, "ready_addr": 8140, "control": 8146, "directory": 8143}
        self.process = None
        self.starts = 0
        self.log = None

    def settings(self):
        world = self.world
        listen = {name: f"{self.ip}:{port}" for name, port in self.ports.items()}
        bounds = {"config_apply_ms": 2000, "drain_ms": 2000, "status_s": 120, "lease_ms": 3000,
                  "grace_s": 8}
        return {
            "node_name": self.name, "ip": self.ip, "zone": self.zone, "listen": listen,
            "seed_nodes": [f"{n.ip}:8146" for n in world.nodes[:3]], "data_dir": None,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "provider": {"address": "%s:%d" % world.store.address, "value_bytes": 1048576,
                         "history_s": 20},
            "bounds": bounds,
        }

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = render(file.read(), self.settings())
        path = os.path.join(self.world.temp, f"{self.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        self.starts += 1
        self.log = os.path.join(self.world.temp, f"{self.name}-{self.starts}.log")
        environment = {"PATH": os.environ.get("PATH", ""), "MULBERRYCOURSE_BOOT": path}
        with open(self.log, "wb") as out:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=out, stderr=out)
        self.world.record.write(f"start     {self.name} as process {self.process.pid}")

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.record.write(f"signal    {signal.Signals(number).name} to {self.name}")

    def log_text(self):
        if not self.log:
            return ""
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return file.read()

    async def ready(self):
        try:
            status, _, _ = await call(self.ip, self.ports["ready_addr"], "GET", "/api/ready", timeout=1)
        except (OSError, asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_ready(self, seconds=20):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if await self.ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")


class CannotRun(Exception):
    """The case can't be played."""


class World:
    """The processes and stand-ins of one case, and its temporary folder."""

    def __init__(self, folder, trouble):
        self.folder, self.trouble = folder, trouble
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="mulberry-review-")
        # An own part of the loopback network, so that fixed ports are free.
        self.net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.store = Store(self.record)
        self.nodes = []
        self.replicas = []

    async def open(self, zones, config, replicas):
        """Starts the store, the replicas and one node for each zone given, and waits for them."""
        if not os.path.exists(os.path.join(ROOT, "target", "release", "mulberry-platform")):
            raise CannotRun("target/release/mulberry-platform is not built")
        await self.store.bind(f"{self.net}.250")
        await self.store.put("op/config", config)
        for index, replica in enumerate(replicas):
            await replica.bind(f"{self.net}.{100 + index}")
            await replica.register()
        self.replicas = replicas
        self.nodes = [Node(self, f"front-{zone}-{i + 1}", zone, f"{self.net}.{i + 1}")
                      for i, zone in enumerate(zones)]
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()

    async def close(self, keep_logs=True):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for server in self.replicas + [self.store]:
            await server.close()
        if self.store.cleaner:
            self.store.cleaner.cancel()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


# Clients ----------------------------------------------------------------------------------------


async def call(ip, port, method, target, headers=(), body=b"", timeout=5, on_piece=None):
    """One request on a new connection. Returns status, headers and body; fails if the connection ends
    before the whole answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 26)
        try:
            fields = list(headers) + [("Content-Length", len(body))]
            if not any(name == "Host" for name, _ in fields):
                fields.insert(0, ("Host", f"{ip}:{port}"))
            writer.write(head_bytes(f"{method} {target} HTTP/1.1", fields) + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            first, got = head
            status = int(first.split(" ")[1])
            if on_piece and "chunked" in got.get("transfer-encoding", ""):
                async for piece in read_chunked(reader):
                    on_piece(piece)
                return status, got, b""
            return status, got, await read_body(reader, got)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


CALL_ERRORS = (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError)


def play(main, folder):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder, trouble)
        status = 2
        try:
            broken = await asyncio.wait_for(main(world), 110)
            world.record.write("RESULT    " + ("broken" if broken else "held"))
            status = 1 if broken else 0
        except Exception as e:  # noqa: BLE001
            world.record.write(f"RESULT    could not run: {e!r}")
            print("could not run:", repr(e))
        finally:
            await world.close()
        # All processes have ended. Open connections of the stand-ins end with this one.
        sys.stdout.flush()
        os._exit(status)

    asyncio.run(run())
