"""Streams are taken up at another software version than began them, after a loss
of all routers beside an outage of the store.  See claim.txt."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "stand-ins-2"))
import world as w

LEAD_S = 10.0       # until the routers know each other
DOWN_S = 4.5        # for_s of platform_down, with lapse, in the site file
KILL_S = 4.3        # all routers are killed so long after the outage began
RESTART_S = 0.4     # a process that was killed starts again so much later
BACK_S = 1.4        # entries that lapsed come back so long after the outage
PAUSE_S = 1.0       # before a requester takes a stream up
STREAMS = 20
EVENTS = 90
GAP_MS = 100
DEADLINE_MS = 12000
# Requesters abandon a stream after a gap of 2 s, four times the objective or
# eight times the pause, whichever is longest.
LATENCY_MS = 600
GAP_OBJECTIVE_MS = 300
ABANDON_S = max(2.0, 4 * LATENCY_MS / 1000, 8 * GAP_OBJECTIVE_MS / 1000)

CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r-review", "host": "h.example", "path_prefix": "/review/",
         "kind": "streaming", "timeout_ms": DEADLINE_MS,
         "target_latency_ms": LATENCY_MS, "priority": 0, "service": "llm",
         "max_attempts": 2, "public": False, "session_affinity": True,
         "stream_resume": True, "target_gap_ms": GAP_OBJECTIVE_MS}],
    "services": [{"name": "llm", "health_path": "/health",
                  "max_connections": 360, "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kv_capacity": 721508,
                             "kv_token_bytes": 327680,
                             "link_mbps": 1100000.0, "moves": False,
                             "backups": False, "stride": 7, "most": 2,
                             "pin_ms": 4000.0, "hold_ms": 2000.0,
                             "handle_ttl_s": 5.0, "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "hule930", "api_keys": [w.World.KEY], "priority": 1}],
}


class Stream:
    """A requester's stream, over its tries."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.events = []        # id, data
        self.first = None       # status of the first try
        self.taken_up = None    # status of the second try
        self.goes_on = False

    def on_event(self, event, data):
        self.events.append((event, data))

    def fields(self):
        return {"X-Model": "m", "X-Token-Usage": "1300,600",
                "X-Prompt-Prefix": "5c1e%02x:800,91bd%02x:410,e44%05x:90" % (
                    self.number % 3, self.number % 7, self.number)}

    async def run(self, router, other):
        begun = time.monotonic()
        request = self.world.new_id()
        answer = await w.Caller(self.world, router).stream(
            "/review/%d" % self.number, request, self.fields(), self.on_event,
            DEADLINE_MS, ABANDON_S)
        self.first = answer.status if self.events else 0
        if answer.whole or not self.events:
            return
        await asyncio.sleep(PAUSE_S)
        left = DEADLINE_MS - int((time.monotonic() - begun) * 1000)
        fields = self.fields()
        fields["Last-Event-Id"] = str(self.events[-1][0])
        fields["Resumes"] = request
        had = len(self.events)
        answer = await w.Caller(self.world, other).stream(
            "/review/%d" % self.number, self.world.new_id(), fields,
            self.on_event, left, ABANDON_S)
        self.taken_up = answer.status
        self.goes_on = len(self.events) > had


async def case(world, trouble):
    store = world.store
    await store.start(world.store_port)
    store.put("config", "main", CONFIG)
    for n in range(4):
        server = w.Server(world, "m%d" % n, "llm", "riga-" + "abca"[n],
                          slots=64, first_ms=50, events=EVENTS, gap_ms=GAP_MS,
                          version="v1" if n < 3 else "v2")
        world.servers.append(server)
    old, new = world.servers[:3], world.servers[3]
    for server in old:
        await server.start()
        server.register()
    for n in range(2):
        router = w.Router(world, "front-riga-%s-1" % "ab"[n],
                          "riga-" + "ab"[n])
        world.routers.append(router)
        await router.start()
    for router in world.routers:
        await router.wait_until_ready()
    await asyncio.sleep(LEAD_S)

    streams = [Stream(world, n) for n in range(STREAMS)]
    first, second = world.routers
    tasks = [asyncio.create_task(
        s.run(*((first, second) if s.number % 2 else (second, first))))
        for s in streams]
    await asyncio.sleep(1.0)
    begun = time.monotonic()

    async def at(seconds):
        await asyncio.sleep(max(0, begun + seconds - time.monotonic()))

    if trouble:
        world.record.write("the store is down")
        store.set_down(True)
    await new.start()
    await at(w.HEARTBEAT_S * w.MISSED_HEARTBEATS)
    if trouble:
        world.record.write("the servers' entries lapse")
        for server in old:
            store.remove("servers", server.id)
    await at(KILL_S)
    if trouble:
        world.record.write("all routers are killed")
        for router in world.routers:
            router.process.kill()
        for router in world.routers:
            await router.process.wait()
    await at(DOWN_S)
    world.record.write("the store is back, a server of version v2 registers")
    store.set_down(False)
    new.register()
    await at(KILL_S + RESTART_S)
    if trouble:
        world.record.write("the routers start again")
        for router in world.routers:
            await router.start()
    for n, server in enumerate(old):
        await at(DOWN_S + BACK_S + n * 0.2)
        if trouble:
            world.record.write("the entry of %s is back" % server.id)
            server.register()
    await asyncio.gather(*tasks)

    taken_up = [s for s in streams if s.taken_up is not None]
    mixed = [s for s in streams
             if len(set(d.split(" ")[1] for _, d in s.events)) > 1]
    text = ("%d of %d streams were taken up again (statuses %s), %d go on; %d "
            "hold events of two software versions (2 are allowed)" % (
                len(taken_up), len(streams),
                sorted(set(s.taken_up for s in taken_up)),
                sum(s.goes_on for s in taken_up), len(mixed)))
    world.record.write(text)
    print(text)
    if trouble and not taken_up:
        raise w.CannotRun("no stream was taken up")
    return len(mixed) <= 2


w.run(case)
