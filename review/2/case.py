"""A stream that a router sent to a second version, after the first one had been
saved in the store, is taken up elsewhere at the first."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from harness import (Answer, CannotRun, Channel, Link, Router, Server, Store,
                     main, now, until)  # noqa: E402

DESIRED_STATE = {
    "version": 7,
    "routes": [{"name": "order-confirm", "host": "desk.example",
                "path_prefix": "/order-confirm/", "kind": "streaming",
                "timeout_ms": 12000, "target_latency_ms": 600, "priority": 0,
                "service": "cranberry-pool", "max_attempts": 2,
                "public": False, "session_affinity": True,
                "stream_resume": True, "target_gap_ms": 300}],
    "services": [{"name": "cranberry-pool", "health_path": "/health",
                  "max_connections": 370, "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kv_capacity": 573899,
                             "kv_token_bytes": 327680,
                             "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "yard", "api_keys": ["key-1"], "priority": 1}]}

PER_S = 60  # new streams at the router that is killed, for less than a second
# How long the tokens of a server's requests are delayed while it reads long
# prompts.  A requester waits for 2.4 s (8 x target_gap_ms).
DELAY_S = 1.5
CUT_S = 2.0  # until the kill


class Delayed(Server):
    """A server that reads a long prompt now and then: the tokens of all
    requests that run beside it are delayed."""

    delayed_until = 0.0

    async def stream(self, request, run, writer):
        first = int(request.field("last-event-id") or 0) + 1
        while now() < self.delayed_until:
            await asyncio.sleep(0.02)
            if writer.transport.is_closing():
                raise ConnectionError
        writer.write(self.head(
            request, 200, f"X-Response-Signature: {self.name}.{run[0]}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(first, self.events + 1):
            while now() < self.delayed_until:
                await asyncio.sleep(0.02)
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


class Requester:
    count = 0

    def __init__(self, record):
        Requester.count += 1
        self.number = Requester.count
        self.record = record
        self.id = f"a{self.number:04d}"
        self.retry_id = f"b{self.number:04d}"
        self.sent_at = 0.0
        self.first = Answer()
        self.second = None

    async def request(self, port, request_id, answer, deadline_ms, extra):
        channel = Channel()
        try:
            await channel.connect(port)
            channel.send(
                "POST", "/order-confirm/q", "desk.example", request_id,
                {"X-Model": "m", "X-Token-Usage": "1460,400",
                 "X-Prompt-Prefix":
                 f"5c1e07a2:800,{0x1000 + self.number:x}:400,"
                 f"{0x9000 + self.number:x}:260",
                 "X-Deadline": deadline_ms, "X-Key": "key-1", **extra},
                b"question")
            await channel.read(answer)
        except OSError:
            pass
        channel.close()
        ids = answer.event_ids()
        self.record.line(
            f"requester {request_id}: status {answer.status}, events "
            f"{ids[0] if ids else '-'} to {ids[-1] if ids else '-'}, "
            f"{'complete' if answer.complete else 'cut'}")

    async def begin(self, port):
        self.sent_at = now()
        await self.request(port, self.id, self.first, 12000, {})

    async def take_up(self, port):
        left = int(12000 - (now() - self.sent_at) * 1000)
        self.second = Answer()
        await self.request(port, self.retry_id, self.second, left,
                           {"Last-Event-Id": self.first.event_ids()[-1],
                            "Resumes": self.id})


async def case(record, folder, trouble, routers):
    store = Store(record)
    await store.start()
    store.put("config", "main", DESIRED_STATE)
    servers = []
    for name, version in (("i-old0", "1.0"), ("i-old1", "1.0"),
                          ("i-new0", "2.0"), ("i-new1", "2.0")):
        server = Delayed(name, "cranberry-pool", "tln-a", record, version)
        servers.append(server)
        server.events = 40
        server.pause_s = 0.2  # 8 s
        await server.start()
        store.put("servers", server.name, server.entry())
    link = None
    for name, zone in (("front-tln-a-1", "tln-a"), ("front-tln-a-2", "tln-a"),
                       ("front-mrd-a-1", "mrd-a")):
        link = Link(store.port)
        link.refuses = True
        await link.start()
        router = Router(name, zone, link.port, folder)
        routers.append(router)
        await router.start()
    for router in routers:
        if not await until(router.is_ready, 10):
            raise CannotRun("a router is not ready")
    await asyncio.sleep(6)
    other, last = routers[0], routers[2]

    requesters, tasks = [], []

    async def begin_for(seconds, port):
        end = now() + seconds
        while now() < end:
            requester = Requester(record)
            requesters.append(requester)
            tasks.append(asyncio.create_task(requester.begin(port)))
            await asyncio.sleep(1 / PER_S)

    await begin_for(0.3, last.front)
    servers[0].delayed_until = now() + DELAY_S
    record.line(f"i-old0 reads long prompts for {DELAY_S} s")
    await begin_for(0.55, last.front)
    await asyncio.sleep(0.1)
    if trouble:
        record.line(f"{last.name} is cut off from the store")
        link.cut = True
        link.reset_cut()
    await asyncio.sleep(CUT_S)
    running = [r for r, t in zip(requesters, tasks) if not t.done()]
    last.signal(signal.SIGKILL)
    record.line(f"{last.name} is killed while {len(running)} streams run")
    await last.process.wait()
    link.cut = False
    restart = asyncio.create_task(last.start())
    await asyncio.sleep(0.1)
    again = [r for r in running if r.first.event_ids()
             and not r.first.complete]
    await asyncio.gather(*tasks)
    await asyncio.gather(*[r.take_up(other.front)
                           for r in again])
    await restart
    mixed = 0
    for requester in requesters:
        versions = requester.first.versions()
        if requester.second is not None:
            versions |= requester.second.versions()
        if len(versions) > 1:
            mixed += 1
            record.line(f"mixed: the stream that {requester.id} began and "
                        f"{requester.retry_id} took up holds events of "
                        f"versions {sorted(v.decode() for v in versions)}")
    went_on = sum(r.second.status == 200 for r in again)
    record.line(f"{len(again)} streams were taken up, {went_on} went on, "
                f"{mixed} hold events of two versions (at most 2 allowed)")
    return mixed > 2


main(case, FOLDER)
