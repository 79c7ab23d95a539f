"""A router that is cut off goes on with streams of a software version of which
it has not heard, at a server of another version."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from harness import (HOST, Answer, CannotRun, Channel, Link, Router, Server,
                     Store, free_port, main, now, until)  # noqa: E402

DESIRED_STATE = {
    "version": 7,
    "routes": [{"name": "order-confirm", "host": "desk.example",
                "path_prefix": "/order-confirm/", "kind": "streaming",
                "timeout_ms": 12000, "target_latency_ms": 600, "priority": 0,
                "service": "cranberry-pool", "max_attempts": 2, "public": False,
                "session_affinity": True, "stream_resume": True,
                "target_gap_ms": 300}],
    "services": [{"name": "cranberry-pool", "health_path": "/health",
                  "max_connections": 370, "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kv_capacity": 573899,
                             "kv_token_bytes": 327680,
                             "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "yard", "api_keys": ["key-1"], "priority": 1}]}

STREAMS = 40
RESET_SHARE = 0.5  # of the requesters' channels


class Requester:
    def __init__(self, number, record):
        self.number = number
        self.record = record
        self.id = f"a{number:04d}"
        self.retry_id = f"b{number:04d}"
        self.sent_at = 0
        self.first = Answer()
        self.second = None

    def fields(self, deadline_ms):
        return {"X-Model": "m", "X-Token-Usage": "1460,400",
                "X-Prompt-Prefix":
                f"5c1e07a2:800,{0x1000 + self.number:x}:400,"
                f"{0x9000 + self.number:x}:260",
                "X-Deadline": deadline_ms, "X-Key": "key-1"}

    async def request(self, port, request_id, fields, answer):
        channel = Channel()
        try:
            await channel.connect(port)
            channel.send("POST", "/order-confirm/q", "desk.example", request_id,
                         fields, b"question")
            await channel.read(answer)
        except OSError:
            pass
        ids = answer.event_ids()
        self.record.line(
            f"requester {request_id}: status {answer.status}, events "
            f"{ids[0] if ids else '-'} to {ids[-1] if ids else '-'}, "
            f"{'complete' if answer.complete else 'cut'}")
        channel.close()

    async def begin(self, port):
        self.sent_at = now()
        await self.request(port, self.id, self.fields(12000), self.first)

    async def take_up(self, port):
        """Goes on after a broken channel, as PROTOCOL.md says: at another
        daemon, on a new channel."""
        left = int(12000 - (now() - self.sent_at) * 1000)
        fields = self.fields(left)
        fields["Last-Event-Id"] = self.first.event_ids()[-1]
        fields["Resumes"] = self.id
        self.second = Answer()
        await self.request(port, self.retry_id, fields, self.second)


def set_cut(store_links, peer_links, name, cut):
    """Cuts the second machine off from the store and from all other machines
    of the system; requesters and servers still reach it."""
    store_links[1].cut = cut
    peer_links[1].cut = cut
    for link in peer_links:
        link.cut_from = {name} if cut else set()


async def case(record, folder, trouble, routers):
    store = Store(record)
    await store.start()
    store.put("config", "main", DESIRED_STATE)
    servers = []
    for number in range(2):
        server = Server(f"i-old{number}", "cranberry-pool", "tln-a", record, "1.0")
        await server.start()
        store.put("servers", server.name, server.entry())
        servers.append(server)

    # Each router reaches the store, and is reached by the others, through a
    # link of its own; the links' addresses stand for the routers'.
    names = ["front-tln-a-1", "front-tln-a-2", "front-tln-a-3"]
    aliases = {}
    store_links, peer_links = [], []
    for name in names:
        link = Link(store.port, aliases)
        await link.start()
        store_links.append(link)
        router = Router(name, "tln-a", link.port, folder)
        routers.append(router)
        peer_link = Link(router.peers, aliases, names)
        port = free_port()
        await peer_link.start(port)
        peer_links.append(peer_link)
        aliases[f"{HOST}:{router.peers}".encode()] = f"{HOST}:{port}".encode()
    first, second, _ = routers
    for router in routers:
        await router.start()
    for router in routers:
        if not await until(router.is_ready, 10):
            raise CannotRun("a router is not ready")
    # A quiet start: each router serves a stream; then the directory has been
    # read, and the routers are connected.
    await asyncio.gather(*[Requester(9000 + n, record).begin(router.front)
                           for n, router in enumerate(routers)])
    await asyncio.sleep(6)
    # The requesters' channels to the first router.
    entry = Link(first.front)
    await entry.start()

    cut_at = now()
    if trouble:
        record.line(f"{second.name} is cut off from the store and from the "
                    "other routers")
        set_cut(store_links, peer_links, second.name, True)
    await asyncio.sleep(1)
    record.line("a release begins: a server of version 2.0 starts")
    new = Server("i-new0", "cranberry-pool", "tln-a", record, "2.0")
    await new.start()
    store.put("servers", new.name, new.entry())
    await asyncio.sleep(0.5)

    requesters = [Requester(number, record) for number in range(STREAMS)]
    tasks = []
    for requester in requesters:
        tasks.append(asyncio.create_task(requester.begin(entry.port)))
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.8)
    count = entry.reset_some(RESET_SHARE)
    record.line(f"{count} channels of requesters to {first.name} are reset")
    await asyncio.sleep(0.05)
    record.line(f"{second.name} is "
                f"{'ready' if await second.is_ready() else 'not ready'}")
    again = []
    for requester, task in zip(requesters, tasks):
        if task.done() and not requester.first.complete \
                and requester.first.event_ids():
            again.append(asyncio.create_task(
                requester.take_up(second.front)))
    await asyncio.gather(*tasks, *again)
    if trouble:
        record.line(f"the cut has lasted {now() - cut_at:.1f} s and ends")
        set_cut(store_links, peer_links, second.name, False)

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
    went_on = sum(r.second is not None and r.second.status == 200
                  for r in requesters)
    record.line(f"{len(again)} streams were taken up, {went_on} went on, "
                f"{mixed} hold events of two versions (at most 2 allowed)")
    return mixed > 2


main(case, FOLDER)
