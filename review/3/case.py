"""A router ends streams because their server is silent for half a second, and
finds only then that they can go on nowhere else."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from harness import (Answer, CannotRun, Channel, Router, Server, Store,
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

STREAMS = 30
GRACE_S = 8.0
# How long the tokens of the running requests are delayed while a long prompt
# is read.  A requester waits for 2.4 s (8 x target_gap_ms).
DELAY_S = 0.8


class Delayed(Server):
    """A server that reads a long prompt now and then: the tokens of all
    requests that run beside it are delayed."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.delayed_until = 0.0

    async def stream(self, request, run, writer):
        first = int(request.field("last-event-id") or 0) + 1
        writer.write(self.head(
            request, 200, f"X-Response-Signature: {self.name}.{run[0]}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(first, self.events + 1):
            while now() < self.delayed_until:
                await asyncio.sleep(0.01)
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
    def __init__(self, number, record):
        self.id = f"q{number:04d}"
        self.number = number
        self.record = record
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.answer = Answer()

    async def ask(self, port):
        channel = Channel()
        await channel.connect(port)
        self.sent_at = now()
        channel.send(
            "POST", "/order-confirm/q", "desk.example", self.id,
            {"X-Model": "m", "X-Token-Usage": "1460,400",
             "X-Prompt-Prefix": f"5c1e07a2:800,{0x1000 + self.number:x}:400,"
                                f"{0x9000 + self.number:x}:260",
             "X-Deadline": 12000, "X-Key": "key-1"}, b"question")
        await channel.read(self.answer)
        self.ended_at = now()
        channel.close()


async def case(record, folder, trouble, routers):
    store = Store(record)
    await store.start()
    store.put("config", "main", DESIRED_STATE)
    servers = []
    # A release is under way: the first server of the new version has started,
    # two old ones still serve.
    for name, version in (("i-old0", "1.0"), ("i-old1", "1.0"),
                          ("i-new0", "2.0")):
        server = Delayed(name, "cranberry-pool", "tln-a", record, version)
        server.pause_s = 0.06
        await server.start()
        store.put("servers", server.name, server.entry())
        servers.append(server)
    new = servers[2]
    for name in ("front-tln-a-1", "front-tln-a-2"):
        router = Router(name, "tln-a", store.port, folder)
        routers.append(router)
        await router.start()
    for router in routers:
        if not await until(router.is_ready, 10):
            raise CannotRun("a router is not ready")
    # Until the routers know each other and share the retry budget.
    await asyncio.sleep(6)

    first = routers[0]
    requesters = [Requester(n, record) for n in range(STREAMS)]
    tasks = [asyncio.create_task(r.ask(first.front)) for r in requesters]
    await asyncio.sleep(0.8)
    term_at = now()
    if trouble:
        first.signal(signal.SIGTERM)
        record.line(f"SIGTERM to {first.name}")
    await asyncio.sleep(0.3)
    if trouble:
        new.delayed_until = now() + DELAY_S
        record.line(f"{new.name} reads a long prompt for {DELAY_S} s")
    await asyncio.gather(*tasks)

    ran = {}
    for server in servers:
        for run in server.runs:
            ran.setdefault(run[0], []).append(server.name)
    lost = 0
    for requester in requesters:
        ids = requester.answer.event_ids()
        record.line(
            f"requester {requester.id}: sent {requester.sent_at - term_at:.3f}"
            f" s after the SIGTERM, run by {ran.get(requester.id)}, status "
            f"{requester.answer.status}, {len(ids)} events, "
            f"{'complete' if requester.answer.complete else 'ended without a complete answer'}"
            f" {requester.ended_at - term_at:.3f} s after")
        if trouble and not requester.answer.complete \
                and requester.id in ran \
                and requester.ended_at - requester.sent_at < 12.0 \
                and 0 <= requester.ended_at - term_at < GRACE_S * 5 / 6:
            lost += 1
    record.line(f"{lost} requests were passed on to a server that worked on, "
                "and ended without a complete answer (none allowed)")
    return lost > 0


main(case, FOLDER)
