"""Stand-ins for the platform's store, the operator and the requesters, and the
processes that a case starts.  Used by the scripts of review/6 and later."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
ROUTER = os.path.join(ROOT, "target", "router", "cranberrystile-router")

# Bounds of a small deployment (sites/bmk-ligumi.toml, sheetline-tln.toml).
CONTACT_S = 3.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3

BAD_RUN = 2


class CannotRun(Exception):
    pass


def free_ports(count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def write(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write("%9.4f %s\n" % (at - self.start, text))

    def close(self):
        self.file.close()


class Store:
    """The platform's metadata store: objects by kind and name, lists, watches,
    conditional writes.  It answers after 4 ms."""

    ANSWER_S = 0.004

    def __init__(self):
        self.stale_s = 0  # age of what calls with allow_stale return
        self.kinds = {}
        self.revision = 100
        self.events = []
        self.times = []
        self.changed = asyncio.Event()
        self.era = 1
        self.first_kept = self.revision
        self.connections = set()
        self.is_down = False

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    # Changes by the operator and the servers.

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        self.revision += 1
        objects[name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created": self.revision if old is None
                         else old["metadata"]["created"],
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        self.note(kind, objects[name], False)
        return objects[name]

    def remove(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old is None:
            return None
        self.revision += 1
        gone = json.loads(json.dumps(old))
        gone["metadata"]["revision"] = self.revision
        self.note(kind, gone, True)
        return gone

    def note(self, kind, item, deleted):
        self.events.append((self.revision, kind,
                            {"deleted": deleted, "object": item}))
        self.times.append((time.monotonic(), self.revision, kind,
                           item["metadata"]["name"],
                           None if deleted else item))
        self.changed.set()
        self.changed = asyncio.Event()

    def earlier(self, kind, age_s):
        """The objects of KIND as they were AGE_S ago, and the revision."""
        objects = {}
        revision = self.first_kept
        for at, number, changed_kind, name, item in self.times:
            if at > time.monotonic() - age_s:
                break
            revision = number
            if changed_kind != kind:
                continue
            objects.pop(name, None)
            if item is not None:
                objects[name] = item
        return objects, revision

    # Calls.

    def set_down(self, is_down):
        """While it is down, channels are reset and no call is answered."""
        self.is_down = is_down
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.is_down:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                head = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, value = line.split(":", 1)
                    head[name.lower()] = value.strip()
                body = await reader.readexactly(
                    int(head.get("content-length", "0")))
                await asyncio.sleep(self.ANSWER_S)
                status, answer = await self.call(method, target, body)
                data = json.dumps(answer).encode()
                writer.write((
                    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    "Store-Era: %d\r\nContent-Length: %d\r\n\r\n"
                    % (status, self.era, len(data))).encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.split("/")[3:]
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else None
        objects = self.kinds.get(kind, {})
        if method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]),
                                        int(query.get("wait_ms", "0")))
            after = query.get("after", "")
            revision = self.revision
            if query.get("allow_stale") == "1":
                objects, revision = self.earlier(kind, self.stale_s)
            names = sorted(n for n in objects if n > after)
            return 200, {"items": [objects[n] for n in names[:500]],
                         "truncated": len(names) > 500,
                         "current_rev": revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "POST":
            data = json.loads(body)
            name = data["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, data.get("spec"))
        if name not in objects:
            return 404, {}
        item = objects[name]
        wanted = query.get("revision")
        if body:
            data = json.loads(body)
            wanted = wanted or data.get("metadata", {}).get("revision")
        if wanted and int(wanted) != item["metadata"]["revision"]:
            return 409, item
        if method == "PUT":
            if item["spec"] == data.get("spec"):
                return 200, item
            return 200, self.put(kind, name, data.get("spec"))
        if method == "DELETE":
            return 200, self.remove(kind, name)
        return 400, {}

    async def watch(self, kind, since, wait_ms):
        if since < self.first_kept or since > self.revision:
            return 410, {}
        ends = time.monotonic() + wait_ms / 1000
        while True:
            found = [e for r, k, e in self.events if r > since and k == kind]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A server process, and its entry in the store."""

    def __init__(self, world, name, service, zone, **settings):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.settings = settings
        self.port = free_ports(1)[0]
        self.process = None
        self.starts = 0
        self.version = settings.pop("version", "v1")

    async def start(self, **changes):
        self.starts += 1
        self.id = "i-%s-%d" % (self.name, self.starts)
        self.settings.update(changes)
        settings = dict(self.settings, id=self.id, port=self.port,
                        version=self.version)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(HERE, "server.py"),
            json.dumps(settings), stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE)
        self.ready = asyncio.get_running_loop().create_future()
        self.born = int(time.time() * 1000)
        asyncio.create_task(self.read_events(self.process, self.id))
        await asyncio.wait_for(self.ready, 10)

    def register(self, state="ready"):
        self.world.store.put("servers", self.id, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": self.version,
            "slots": self.settings.get("slots", 8), "state": state,
            "cold_remaining_ms": 0, "sequence": 1, "born": self.born})

    async def read_events(self, process, server_id):
        while True:
            line = await process.stdout.readline()
            if not line:
                break
            event = json.loads(line)
            if event["event"] == "start":
                self.ready.set_result(None)
            self.world.on_server_event(self, event)
        await process.wait()
        self.world.on_server_ended(self, server_id)

    def change(self, **settings):
        self.process.stdin.write((json.dumps(settings) + "\n").encode())


class Router:
    """A router process, with the settings of the deploy file's template."""

    TEMPLATE = """[host]
name = %(name)s
data_centre = %(zone)s
cpu_share = 0.25
link_mbps = 1000.0
memory_mb = 260

[listen]
callers = 127.0.0.1:%(front)d
readiness = 127.0.0.1:%(ready)d
metrics = 127.0.0.1:%(metrics)d
peers = 127.0.0.1:%(peers)d

[platform]
address = 127.0.0.1:%(store)d
contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform
apply_ms = 2000
drain_ms = 2000
renewal_ms = 1200
contact_ms = 3000

[retry]
ratio = 0.2
slack = 52
window_s = 10

[stop]
grace_s = 8

[regions]
riga-a = riga
riga-b = riga
riga-c = riga
"""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.front, self.ready, self.metrics, self.peers = free_ports(4)
        self.file = os.path.join(world.folder, name + ".ini")
        with open(self.file, "w") as f:
            f.write(self.TEMPLATE % {
                "name": name, "zone": zone, "front": self.front,
                "ready": self.ready, "metrics": self.metrics,
                "peers": self.peers, "store": world.store_port})

    async def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                       if k in os.environ}
        environment["CRANBERRYSTILE_CONFIG"] = self.file
        log = open(os.path.join(self.world.folder, self.name + ".log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            ROUTER, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.started_at = time.monotonic()

    async def wait_until_ready(self, limit_s=15):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return
            except (ConnectionError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("%s isn't ready" % self.name)


class Answer:
    def __init__(self):
        self.status = 0
        self.head = {}
        self.body = b""
        self.whole = False
        self.error = ""


class Caller:
    """A requester with one channel, which it keeps open."""

    def __init__(self, world, router):
        self.world = world
        self.router = router
        self.writer = None

    async def send(self, method, path, body=b"", request=None, deadline_ms=4000,
                   fields=None):
        answer = Answer()
        request = request or self.world.new_id()
        self.world.record.write("sent %s %s %s to %s"
                                % (request, method, path, self.router.name))
        try:
            await asyncio.wait_for(
                self.exchange(method, path, body, request, deadline_ms,
                              fields or {}, answer), deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            answer.error = "no answer"
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
        if answer.error or answer.head.get("connection") == "close":
            self.close()
        self.world.record.write(
            "answered %s %d %s %s" % (request, answer.status,
                                      "whole" if answer.whole else "not whole",
                                      answer.error))
        return answer

    async def exchange(self, method, path, body, request, deadline_ms, fields,
                       answer):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.router.front)
        text = "%s %s HTTP/1.1\r\nHost: h.example\r\n" % (method, path)
        text += "X-Request-Id: %s\r\nX-Deadline: %d\r\n" % (request,
                                                           deadline_ms)
        text += "X-Key: %s\r\n" % self.world.KEY
        for name, value in fields.items():
            text += "%s: %s\r\n" % (name, value)
        if method != "GET":
            text += "Content-Length: %d\r\n" % len(body)
        self.writer.write((text + "\r\n").encode() + body)
        line = await self.reader.readuntil(b"\n")
        answer.status = int(line.split(b" ")[1])
        while True:
            line = (await self.reader.readuntil(b"\n")).decode().strip()
            if not line:
                break
            name, value = line.split(":", 1)
            answer.head[name.lower()] = value.strip()
        if answer.head.get("transfer-encoding") == "chunked":
            while True:
                size = int(await self.reader.readuntil(b"\n"), 16)
                part = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += part[:-2]
        else:
            answer.body = await self.reader.readexactly(
                int(answer.head.get("content-length", "0")))
        answer.whole = True

    async def stream(self, path, request, fields, on_event, deadline_ms,
                     gap_s):
        """A stream of events.  Ends with the last event, or after GAP_S
        without one.  ON_EVENT gets each event's id and data."""
        answer = Answer()
        self.world.record.write("sent %s POST %s %s to %s" % (
            request, path, " ".join("%s=%s" % f for f in fields.items()
                                    if f[0] in ("Last-Event-Id", "Resumes")),
            self.router.name))
        try:
            await asyncio.wait_for(self.read_stream(
                path, request, fields, on_event, deadline_ms, gap_s, answer),
                deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            answer.error = "no event"
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
        self.close()
        self.world.record.write("answered %s %d %s %s" % (
            request, answer.status, "whole" if answer.whole else "not whole",
            answer.error))
        return answer

    async def read_stream(self, path, request, fields, on_event, deadline_ms,
                          gap_s, answer):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.router.front)
        body = b"prompt of " + request.encode()
        text = "POST %s HTTP/1.1\r\nHost: h.example\r\n" % path
        text += "X-Request-Id: %s\r\nX-Deadline: %d\r\nX-Key: %s\r\n" % (
            request, deadline_ms, self.world.KEY)
        for name, value in fields.items():
            text += "%s: %s\r\n" % (name, value)
        text += "Content-Length: %d\r\n\r\n" % len(body)
        self.writer.write(text.encode() + body)

        async def line():
            return await asyncio.wait_for(self.reader.readuntil(b"\n"), gap_s)

        answer.status = int((await line()).split(b" ")[1])
        while True:
            text = (await line()).decode().strip()
            if not text:
                break
            name, value = text.split(":", 1)
            answer.head[name.lower()] = value.strip()
        if answer.status != 200:
            answer.whole = True
            return
        length = answer.head.get("content-length")
        held = b""
        while True:
            if length is not None:
                held = await self.reader.readexactly(int(length))
                size = 0
            else:
                size = int(await line(), 16)
                part = await self.reader.readexactly(size + 2)
                held += part[:-2]
            while b"\n\n" in held:
                event, held = held.split(b"\n\n", 1)
                values = dict(f.split(": ", 1)
                              for f in event.decode().split("\n"))
                on_event(int(values["id"]), values["data"])
            if size == 0:
                answer.whole = not held
                return

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


class World:
    KEY = "n2ctnfzs989anu6wsjnb"

    def __init__(self, folder):
        self.case = folder
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store()
        self.store_port = free_ports(1)[0]
        self.servers = []
        self.routers = []
        self.events = []
        self.count = 0

    def new_id(self):
        self.count += 1
        return "%08x%08x" % (os.getpid() & 0xffffffff, self.count)

    def on_server_event(self, server, event):
        self.events.append(event)
        self.record.write("%s %s at %s %s" % (
            event["event"], event["id"], event["server"], event["path"]),
            event["t"])

    def on_server_ended(self, server, server_id):
        pass

    async def end(self):
        processes = [r.process for r in self.routers] + [
            s.process for s in self.servers]
        for process in processes:
            if process is not None and process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in processes:
            if process is not None:
                await process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case):
    """Runs CASE, a coroutine function that returns whether the rule held."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        # A script that is ended ends what it started.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        world = World(folder)
        try:
            return 0 if await case(world, trouble) else 1
        finally:
            await world.end()

    if not os.access(ROUTER, os.X_OK):
        print("the router is not built")
        sys.exit(BAD_RUN)
    try:
        status = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print("could not run: %r" % error)
        status = BAD_RUN
    sys.exit(status)
