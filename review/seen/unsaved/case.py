"""A router that was cut off from the store for some seconds saves nothing for
seconds after the cut; when it is killed then, its streams can't go on."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(
    os.path.dirname(FOLDER)), "common"))
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

CUT_S = 4.2
KILL_AFTER_S = 0.6  # after the end of the cut
PER_S = 8  # new streams at the router that is killed


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
    # Two software versions serve side by side, each at two servers.
    for name, version in (("i-old0", "1.0"), ("i-old1", "1.0"),
                          ("i-new0", "2.0"), ("i-new1", "2.0")):
        server = Server(name, "cranberry-pool", "tln-a", record, version)
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
    others, last = routers[:2], routers[2]

    requesters, tasks = [], []

    async def begin_for(seconds, port):
        end = now() + seconds
        while now() < end:
            requester = Requester(record)
            requesters.append(requester)
            tasks.append(asyncio.create_task(requester.begin(port)))
            await asyncio.sleep(1 / PER_S)

    if trouble:
        record.line(f"{last.name} is cut off from the store")
        link.cut = True
        link.reset_cut()
    await begin_for(CUT_S, last.front)
    if trouble:
        link.cut = False
        record.line(f"the cut ends after {CUT_S} s")
    await asyncio.sleep(KILL_AFTER_S)
    running = [r for r, t in zip(requesters, tasks) if not t.done()]
    last.signal(signal.SIGKILL)
    record.line(f"{last.name} is killed while {len(running)} streams run")
    await last.process.wait()
    restart = asyncio.create_task(last.start())
    await asyncio.sleep(0.1)

    # New streams at the other machines begin as ever, and these are in touch
    # all the time; the requesters whose channels broke come to them as well.
    fresh = [Requester(record) for _ in range(12)]
    again = [r for r in running if r.first.event_ids()
             and not r.first.complete]
    begin = [asyncio.create_task(r.begin(others[n % 2].front))
             for n, r in enumerate(fresh)]
    await asyncio.gather(*tasks)
    await asyncio.gather(*[r.take_up(others[n % 2].front)
                           for n, r in enumerate(again)])
    await asyncio.gather(*begin, restart)
    new = sum(r.first.status == 200 for r in fresh) / len(fresh)
    went_on = sum(r.second.status == 200 and len(r.second.event_ids()) > 0
                  for r in again)
    share = went_on / max(len(again), 1)
    record.line(f"{went_on} of {len(again)} streams that were taken up went "
                f"on (share {share:.2f}); of {len(fresh)} new streams the "
                f"share {new:.2f} began (under half of that breaks the rule)")
    if len(again) < 12:
        raise CannotRun("fewer than 12 streams were taken up")
    return share < new / 2


main(case, FOLDER)
