"""Stand-in for a server (plain service or model server), one process each.

Usage: server.py '{"id": ..., "port": ..., ...}'

Prints one line of JSON for each event (time, event, request id, path) on
standard output.  Reads one line of JSON for each change of its settings on
standard input.  Settings:

  id, port       its id, and the port at 127.0.0.1
  slots          figure in X-Server-Load
  work_ms        time that a request takes; /work-N/ in its path: N ms
  first_ms       streams: time to the first event
  events, gap_ms streams: number of events, and the time between them
  crash_on       a request with this word in its body or path ends the process
                 when it begins to run
  crash_after_ms so much after it begins
  refuse         answer 503 with X-Not-Executed; refuse_after: Retry-After
  limit          value of Server-Limit in answers, or null
  leaving        answers carry Server-Leaving: 1
"""

import asyncio
import json
import os
import re
import struct
import socket
import sys
import time

S = {"slots": 8, "work_ms": 20, "first_ms": 20, "events": 10, "gap_ms": 50,
     "crash_on": "", "crash_after_ms": 0, "refuse": False, "refuse_after": None,
     "limit": None, "leaving": False}
S.update(json.loads(sys.argv[1]))
running = 0
connections = set()
listener_fd = -1
crash_at_once = b"" if S["crash_after_ms"] else S["crash_on"].encode()


def tell(event, request="", path="", at=None):
    at = time.monotonic() if at is None else at
    line = json.dumps({"t": at, "event": event, "server": S["id"],
                       "id": request, "path": path})
    os.write(1, (line + "\n").encode())


def crash(connection):
    """Ends the process as a crash does: its connections are reset at once."""
    at = time.monotonic()
    os.close(listener_fd)
    os.close(connection.fd)
    for other in connections:
        if other is not connection:
            os.close(other.fd)
    request, path = connection.running
    if connection.arrived:
        tell("arrive", request, path, connection.arrived)
    tell("crash", request, path, at)
    os._exit(1)


class Connection(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport = transport
        self.buffer = b""
        self.task = None
        self.running = ("", "")
        self.arrived = 0  # of a request that ends the process at once
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Reset when the process closes it by its descriptor.
        self.fd = sock.fileno()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
        connections.add(self)

    def connection_lost(self, error):
        connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data):
        # One that ends the process does so before anything else is done.
        if crash_at_once and crash_at_once in data and self.task is None:
            self.crash_now(data)
        self.buffer += data
        while self.task is None and self.take_request():
            pass

    def crash_now(self, data):
        head = data.split(b"\r\n\r\n")[0]
        expected = b"\r\nX-Expect-Instance: " + S["id"].encode() + b"\r\n"
        if expected not in head + b"\r\n":
            return
        at = time.monotonic()
        text = head.decode("latin-1")
        request = re.search("(?i)\r\nx-request-id: *([^\r]*)", text).group(1)
        self.running = (request, text.split(" ")[1])
        self.arrived = at
        crash(self)

    def take_request(self):
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return False
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        head = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            head[name.lower()] = value.strip()
        length = int(head.get("content-length", "0"))
        if len(self.buffer) < end + 4 + length:
            return False
        body = self.buffer[end + 4:end + 4 + length]
        self.buffer = self.buffer[end + 4 + length:]
        self.serve(method, path, head, body)
        return True

    def answer(self, status, fields, body):
        text = "HTTP/1.1 %s\r\n" % status
        for name, value in fields.items():
            text += "%s: %s\r\n" % (name, value)
        text += "Content-Length: %d\r\n\r\n" % len(body)
        self.transport.write(text.encode() + body)

    def own_fields(self, request):
        fields = {"X-Request-Id": request,
                  "X-Server-Load": "%d,0,%d" % (running, S["slots"])}
        if S["leaving"]:
            fields["Server-Leaving"] = "1"
        if S["limit"] is not None:
            fields["Server-Limit"] = str(S["limit"])
        return fields

    def serve(self, method, path, head, body):
        request = head.get("x-request-id", "")
        if path == "/health":
            self.answer("200 OK", {"X-Instance-Id": S["id"]}, b"")
            return
        expected = head.get("x-expect-instance", S["id"])
        if expected != S["id"]:
            tell("misdirected", request, path)
            self.answer("421 Misdirected Request",
                        {"X-Request-Id": request, "X-Instance-Id": S["id"]}, b"")
            return
        tell("arrive", request, path)
        if not request:
            self.answer("400 Bad Request", {"X-Not-Executed": "1"}, b"")
            return
        if S["refuse"]:
            fields = self.own_fields(request)
            fields["X-Not-Executed"] = "1"
            if S["refuse_after"] is not None:
                fields["Retry-After"] = str(S["refuse_after"])
            tell("refused", request, path)
            self.answer("503 Service Unavailable", fields, b"")
            return
        word = S["crash_on"].encode()
        if word and (word in body or word in path.encode()):
            self.running = (request, path)
            asyncio.get_running_loop().call_later(
                S["crash_after_ms"] / 1000, crash, self)
            return
        stream = head.get("x-token-usage") is not None
        coroutine = self.stream if stream else self.work
        self.task = asyncio.get_running_loop().create_task(
            coroutine(request, path, head, body))

    async def work(self, request, path, head, body):
        global running
        running += 1
        try:
            tell("run", request, path)
            given = re.search("/work-([0-9]+)/", path)
            work_ms = int(given.group(1)) if given else S["work_ms"]
            await asyncio.sleep(work_ms / 1000)
            fields = self.own_fields(request)
            fields["X-Response-Signature"] = "sig." + S["id"]
            self.answer("200 OK", fields,
                        ("%s done by %s\n" % (request, S["id"])).encode())
            tell("done", request, path)
        finally:
            running -= 1
            self.task = None
        while self.task is None and self.take_request():
            pass

    async def stream(self, request, path, head, body):
        global running
        running += 1
        try:
            first = int(head.get("last-event-id", "0")) + 1
            await asyncio.sleep(S["first_ms"] / 1000)
            tell("run", request, path)
            fields = self.own_fields(request)
            fields["X-Response-Signature"] = "sig." + S["id"]
            fields["Content-Type"] = "text/event-stream"
            fields["Transfer-Encoding"] = "chunked"
            text = "HTTP/1.1 200 OK\r\n"
            for name, value in fields.items():
                text += "%s: %s\r\n" % (name, value)
            self.transport.write((text + "\r\n").encode())
            for n in range(first, S["events"] + 1):
                event = ("id: %d\ndata: %s %s\n\n"
                         % (n, S["id"], S.get("version", ""))).encode()
                self.transport.write(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(S["gap_ms"] / 1000)
            self.transport.write(b"0\r\n\r\n")
            tell("done", request, path)
        finally:
            running -= 1
            self.task = None
        while self.task is None and self.take_request():
            pass


async def read_settings(reader):
    while True:
        line = await reader.readline()
        if not line:
            os._exit(0)  # the script has ended
        S.update(json.loads(line))


async def main():
    global listener_fd
    loop = asyncio.get_running_loop()
    listener = socket.create_server(("127.0.0.1", S["port"]), backlog=256)
    listener_fd = listener.fileno()
    await loop.create_server(Connection, sock=listener)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    tell("start")
    await read_settings(reader)


asyncio.run(main())
