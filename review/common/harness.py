"""Stand-ins for the cases of the review: the platform's store, servers,
requesters and links, all on loopback in one process; the routers run as
processes of their own, started as deploy/system.toml says."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HOST = "127.0.0.1"


def now():
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def line(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


# Ports below the kernel's ephemeral range, so that no outgoing connection
# takes one before its process listens on it.
_next_port = 20000 + os.getpid() * 101 % 10000


def free_port():
    global _next_port
    while True:
        _next_port = 20000 + (_next_port - 20000 + 1) % 10000
        with socket.socket() as probe:
            try:
                probe.bind((HOST, _next_port))
                return _next_port
            except OSError:
                pass


class Message:
    def __init__(self, first, fields):
        self.first = first
        self.fields = fields
        self.body = b""
        self.complete = False

    def field(self, name):
        return self.fields.get(name.lower(), "")

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """The next head, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for text in lines[1:]:
        name, _, value = text.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_request(reader):
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.field("content-length") or 0)
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    message.complete = True
    return message


def reset(writer):
    """Closes the channel with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store, as PROTOCOL.md says."""

    PAGE = 500
    ANSWER_S = 0.004
    HISTORY_S = 20.0

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 100
        self.events = []  # (revision, time, kind, event)
        self.gone = 100  # changes up to this revision are forgotten
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0,
                                                 limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def _event(self, kind, item, deleted):
        self.events.append((self.revision, now(), kind,
                            {"deleted": deleted,
                             "object": json.loads(json.dumps(item))}))
        while self.events and now() - self.events[0][1] > self.HISTORY_S:
            self.gone = self.events.pop(0)[0]
        old, self.changed = self.changed, asyncio.Event()
        old.set()

    def put(self, kind, name, spec):
        items = self.objects.setdefault(kind, {})
        item = items.get(name)
        if item is not None and item["spec"] == spec:
            return item
        self.revision += 1
        if item is None:
            item = {"metadata": {"name": name, "created": self.revision,
                                 "finalizers": [], "deleting": False},
                    "spec": None, "status": None}
            items[name] = item
        item["spec"] = spec
        item["metadata"]["revision"] = self.revision
        self._event(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        self._event(kind, item, True)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await asyncio.sleep(self.ANSWER_S)
                status, body = await self.call(request)
                data = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             f"application/json\r\nStore-Era: 1\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode()
                             + data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def call(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        items = self.objects.get(kind, {})
        body = json.loads(request.body) if request.body else {}
        if method == "GET" and name is not None:
            return (200, items[name]) if name in items else (404, {})
        if method == "GET" and "watch" in options:
            return await self.watch(kind, int(options["watch"]),
                                    int(options.get("wait_ms", 0)))
        if method == "GET":
            names = sorted(n for n in items if n > options.get("after", ""))
            return 200, {"items": [items[n] for n in names[:self.PAGE]],
                         "truncated": len(names) > self.PAGE,
                         "current_rev": self.revision}
        metadata = body.get("metadata", {})
        if method == "POST":
            name = metadata["name"]
            if name in items:
                return 409, items[name]
            return 200, self.put(kind, name, body.get("spec"))
        if name not in items:
            return 404, {}
        wanted = options.get("revision", metadata.get("revision"))
        if wanted is not None \
                and int(wanted) != items[name]["metadata"]["revision"]:
            return 409, items[name]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.put(kind, name, body.get("spec"))

    async def watch(self, kind, since, wait_ms):
        until = now() + min(wait_ms, 30000) / 1000
        while True:
            if since < self.gone or since > self.revision:
                return 410, {}
            events = [e for revision, _, k, e in self.events
                      if k == kind and revision > since]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Link:
    """A proxy in front of PORT.  CUT: nothing passes, in either direction,
    and the channels stay open, as in a partition; what was held up passes when
    it ends.  CUT_FROM does the same for the channels that a router of that
    name has opened, which its first bytes tell.  ALIASES replaces addresses by
    others of the same length, so that a process behind a link is known by the
    link's address."""

    POLL_S = 0.005

    def __init__(self, port, aliases=None, callers=()):
        self.backend = port
        self.aliases = aliases if aliases is not None else {}
        self.callers = callers
        self.cut = False
        self.cut_from = set()
        self.refuses = False  # channels are reset in a cut, not silent
        self.pairs = []
        self.port = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset_some(self, share):
        """Resets SHARE of the channels; returns how many."""
        live = [pair for pair in self.pairs
                if not pair[0].transport.is_closing()]
        chosen = live[:int(len(live) * share)]
        for client, backend, _ in chosen:
            reset(client)
            reset(backend)
        return len(chosen)

    def is_cut(self, caller):
        return self.cut or caller in self.cut_from

    def reset_cut(self):
        """Resets the channels that a cut holds."""
        for pair in self.pairs:
            if self.is_cut(pair[2]):
                reset(pair[0])
                reset(pair[1])

    async def wait(self, caller):
        while self.cut or caller in self.cut_from:
            await asyncio.sleep(self.POLL_S)

    async def serve(self, reader, writer):
        first, caller = b"", None
        if self.callers:
            first = await reader.read(65536)
            for name in self.callers:
                if name.encode() in first:
                    caller = name
        if self.refuses and self.is_cut(caller):
            reset(writer)
            return
        await self.wait(caller)
        try:
            back_reader, back_writer = await asyncio.open_connection(
                HOST, self.backend)
        except OSError:
            reset(writer)
            return
        self.pairs.append((writer, back_writer, caller))
        await asyncio.gather(self.pump(reader, back_writer, caller, first),
                             self.pump(back_reader, writer, caller))

    async def pump(self, reader, writer, caller, data=b""):
        try:
            while True:
                data = data or await reader.read(65536)
                await self.wait(caller)
                if not data:
                    break
                for address, alias in self.aliases.items():
                    data = data.replace(address, alias)
                writer.write(data)
                await writer.drain()
                data = b""
            writer.close()
        except (ConnectionError, OSError):
            reset(writer)


class Server:
    """A server of the platform.  EVENTS and PAUSE_S: of the streams that it
    writes."""

    def __init__(self, name, service, zone, record, version="1.0", slots=64):
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.version = version
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.events = 40
        self.pause_s = 0.05
        self.running = 0
        self.runs = []  # (request id, field values, first event, last event)
        self.on_run = None  # called when a request begins to run
        self.channels = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{HOST}:{self.port}",
                "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": state, "cold_remaining_ms": 0,
                "sequence": 1, "born": self.born}

    def crash(self):
        """Ends as a process that is killed does."""
        self.server.close()
        for writer in list(self.channels):
            reset(writer)

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def head(self, request, status, extra=""):
        return (f"HTTP/1.1 {status} X\r\nX-Request-Id: "
                f"{request.field('x-request-id')}\r\nX-Server-Load: "
                f"{self.running},0,{self.slots}\r\n{extra}")

    async def answer(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if target == "/health":
            writer.write(f"HTTP/1.1 200 X\r\nX-Instance-Id: {self.name}\r\n"
                         f"Content-Length: 0\r\n\r\n".encode())
            return True
        expected = request.field("x-expect-instance")
        if expected and expected != self.name:
            writer.write(self.head(
                request, 421, f"X-Instance-Id: {self.name}\r\n"
                "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
            return True
        self.running += 1
        run = [request.field("x-request-id"), request, 0, 0]
        self.runs.append(run)
        try:
            if self.on_run is not None and self.on_run(request):
                return False
            await self.stream(request, run, writer)
        finally:
            self.running -= 1
            self.record.line(f"server {self.name} ({self.version}) ran "
                             f"{run[0]}: events {run[2]} to {run[3]} of "
                             f"{self.events}")
        return True

    async def stream(self, request, run, writer):
        first = int(request.field("last-event-id") or 0) + 1
        writer.write(self.head(
            request, 200, f"X-Response-Signature: {self.name}.{run[0]}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(first, self.events + 1):
            if writer.transport.is_closing():
                raise ConnectionError
            event = f"id: {number}\ndata: {self.version} {number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            run[2] = run[2] or number
            run[3] = number
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Answer:
    """What a requester has got of an answer."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.complete = False

    def event_ids(self):
        return [int(x) for x in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n",
                                           self.body)]

    def versions(self):
        return set(re.findall(rb"data: (\S+) \d+\n\n", self.body))


class Channel:
    """A requester's channel, kept for many requests."""

    def __init__(self):
        self.reader = None
        self.writer = None

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection(HOST, port)

    def send(self, method, path, host, request_id, fields, body=b""):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
                 f"X-Request-Id: {request_id}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def read(self, answer):
        """Reads an answer into ANSWER, until it is complete or the channel
        ends."""
        head = await read_head(self.reader)
        if head is None:
            return answer
        answer.status = head.status
        answer.fields = head.fields
        try:
            if head.field("transfer-encoding") == "chunked":
                while True:
                    size = int(await self.reader.readuntil(b"\r\n"), 16)
                    part = await self.reader.readexactly(size + 2)
                    answer.body += part[:-2]
                    if size == 0:
                        break
            else:
                answer.body = await self.reader.readexactly(
                    int(head.field("content-length") or 0))
            answer.complete = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()


def render(template, fields):
    """Fills in the template of the settings, as DEPLOY.md says, as far as it
    uses that."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        return value

    def section(match):
        value = find(match.group(1))
        return "" if value is None or value is False else match.group(2)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: "" if find(m.group(1)) is None
                  else str(find(m.group(1))), text)


BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
          "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
          "loss_slack_ms": 200, "config_apply_ms": 2000,
          "downgrade_slack_ms": 250, "outer_ms": 5000, "revoke_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10,
          "budget_slack": 56, "recovery_s": 12, "pass_ms": 120,
          "reuse_window_s": 10, "cap_multiplier": 2}


class Router:
    """A router process, with the settings of a machine of sheetline-tln."""

    def __init__(self, name, zone, store_port, folder, bounds=None):
        with open(os.path.join(ROOT, "deploy/system.toml"),
                  encoding="utf-8") as file:
            role = dict(re.findall(r'^(\w+) = "(.*)"$', file.read(), re.M))
        self.run = role["run"].split()
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            template = file.read()
        self.name = name
        self.front = free_port()
        self.ready = free_port()
        # The template takes the first internal port for metrics and the
        # second for the peers.
        self.ports = [free_port(), free_port()]
        self.process = None
        self.settings = os.path.join(folder, f"{name}.ini")
        self.log_path = os.path.join(folder, f"{name}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, {
                "node": name, "zone": zone, "ip": HOST,
                "listen": {"front": f"{HOST}:{self.front}",
                           "ready": f"{HOST}:{self.ready}"},
                "internal_ports": self.ports, "heartbeat_ms": 1200,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                           "max_fds": 4100, "link_mbps": 1000.0},
                "bounds": {**BOUNDS, **(bounds or {})},
                "platform": {"address": f"{HOST}:{store_port}"}}))

    @property
    def peers(self):
        return self.ports[1]

    async def start(self):
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.run, cwd=ROOT, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", "/"), "LANG": "C",
                     "CRANBERRYSTILE_CONFIG": self.settings})

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            channel = Channel()
            await channel.connect(self.ready)
            channel.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(channel.read(Answer()), 1)
            channel.close()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        try:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        except ProcessLookupError:
            pass
        await self.process.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


async def until(condition, seconds):
    """Polls CONDITION, a coroutine function or a function."""
    end = now() + seconds
    while now() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return True
        await asyncio.sleep(0.05)
    return False


class CannotRun(Exception):
    pass


def main(case, folder):
    """Runs the coroutine function CASE (record, temporary folder, trouble),
    which returns whether the rule was broken, and exits as run.sh has to."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="cranberrystile-review-")
    routers = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        try:
            return await asyncio.wait_for(
                case(record, temporary, trouble, routers), 110)
        finally:
            for router in routers:
                await router.end()

    status = 2
    try:
        record.line(f"trouble: {'yes' if trouble else 'no'}")
        status = 1 if asyncio.run(run()) else 0
    except CannotRun as error:
        record.line(f"the case could not run: {error}")
    except Exception as error:  # pylint: disable=broad-except
        record.line(f"the case could not run: {error!r}")
    record.line(f"exit {status}")
    if os.environ.get("KEEP_LOGS"):
        print(temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(status)
