"""A router that is being stopped takes requests later than 3 s after SIGTERM
and cuts their streams before the end of the grace time."""

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

LOSS_SLACK_S = 0.2
TERM_EXCUSE_S = 3.0  # of requests that run into the end of the grace time
GRACE_S = 8.0
# When the requesters send, after SIGTERM: on channels that they have kept, and
# on new ones.
KEPT_AT_S = [3.02 + 0.02 * n for n in range(10)]


class Requester:
    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.channel = Channel()
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.answer = Answer()

    async def ask(self, request_id):
        """Sends a request and reads its answer; keeps the channel."""
        self.answer = Answer()
        number = int(request_id[1:], 10)
        self.sent_at = now()
        self.channel.send(
            "POST", "/order-confirm/q", "desk.example", request_id,
            {"X-Model": "m", "X-Token-Usage": "1460,400",
             "X-Prompt-Prefix": f"5c1e07a2:800,{0x1000 + number:x}:400,"
                                f"{0x9000 + number:x}:260",
             "X-Deadline": 12000, "X-Key": "key-1"}, b"question")
        await self.channel.read(self.answer)
        self.ended_at = now()
        return self.answer


async def keep(requester, router, number):
    """Opens a channel and has a request served on it, which then rests."""
    await requester.channel.connect(router.front)
    answer = await requester.ask(f"k{number}")
    if not answer.complete:
        raise CannotRun("a request before the stop was not served")


async def stop(record, trouble, router, servers, requesters, base):
    """Stops ROUTER as the platform does, while REQUESTERS go on using their
    channels.  Returns the number of lost requests."""
    for server in servers:
        server.pause_s = 0.2  # 30 events in 6 s
    at = now()
    if trouble:
        router.signal(signal.SIGTERM)
        record.line(f"SIGTERM to {router.name}")

    async def send(requester, delay, number):
        await asyncio.sleep(at + delay - now())
        try:
            await requester.ask(f"q{number}")
        except OSError:
            requester.ended_at = now()

    await asyncio.gather(*[send(r, KEPT_AT_S[n], base + n)
                           for n, r in enumerate(requesters)])
    await until(lambda: router.process.returncode is not None,
                at + GRACE_S - now())
    lost = 0
    ran = {run[0]: run for server in servers for run in server.runs}
    for n, requester in enumerate(requesters):
        request_id = f"q{base + n}"
        sent = requester.sent_at - at
        ended = requester.ended_at - at
        run = ran.get(request_id)
        ids = requester.answer.event_ids()
        record.line(
            f"requester {request_id}: sent {sent:.3f} s after, "
            f"{'passed on to a server' if run else 'not passed on'}, status "
            f"{requester.answer.status}, {len(ids)} events, "
            f"{'complete' if requester.answer.complete else 'ended without a complete answer'}"
            f" {ended:.3f} s after")
        if not requester.answer.complete and run is not None \
                and sent > TERM_EXCUSE_S and ended - sent < 12.0 \
                and ended < GRACE_S + 1:
            lost += 1
    return lost


async def case(record, folder, trouble, routers):
    store = Store(record)
    await store.start()
    store.put("config", "main", DESIRED_STATE)
    servers = []
    for number in range(2):
        server = Server(f"i-{number}", "cranberry-pool", "tln-a", record)
        server.events = 30
        server.pause_s = 0.005
        await server.start()
        store.put("servers", server.name, server.entry())
        servers.append(server)
    for name in ("front-tln-a-1", "front-tln-a-2"):
        router = Router(name, "tln-a", store.port, folder)
        routers.append(router)
        await router.start()
    for router in routers:
        if not await until(router.is_ready, 10):
            raise CannotRun("a router is not ready")
    await asyncio.sleep(1)

    lost = 0
    for round_, router in enumerate(routers):
        base = round_ * 100
        for server in servers:
            server.pause_s = 0.005
        requesters = [Requester(f"{base + n}", record)
                      for n in range(len(KEPT_AT_S))]
        for n, requester in enumerate(requesters):
            await keep(requester, router, base + n)
        lost += await stop(record, trouble, router, servers, requesters, base)
        if trouble:
            # The platform starts the process again.
            await router.end()
            await router.start()
            if not await until(router.is_ready, 10):
                raise CannotRun("a router is not ready after its restart")
    record.line(f"{lost} requests were sent later than {TERM_EXCUSE_S} s after "
                "the SIGTERM, passed on to a server, and ended without a "
                "complete answer (none allowed)")
    return lost > 0


main(case, FOLDER)
