"""Streams of a host that froze are refused at the other hosts when a second
software version joins meanwhile.  See claim.txt."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "stand-ins-2"))
import world as w

LEAD_S = 10.0       # until the routers know each other
FREEZE_S = 4.0      # for_s of node_freeze in the site file
JOIN_AFTER_S = 1.0  # the first server of the second version joins
STREAMS = 20
EVENTS = 90
GAP_MS = 100
DEADLINE_MS = 12000
# Requesters abandon a stream after a gap of 2 s, four times the objective or
# eight times the pause, whichever is longest.
LATENCY_MS = 600
PAUSE_MS = 300
ABANDON_S = max(2.0, 4 * LATENCY_MS / 1000, 8 * PAUSE_MS / 1000)
JOIN = os.environ.get("JOIN", "1") != "0"

CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r-review", "host": "h.example", "path_prefix": "/review/",
         "kind": "streaming", "timeout_ms": DEADLINE_MS,
         "target_latency_ms": LATENCY_MS, "priority": 0, "service": "llm",
         "max_attempts": 2, "public": False, "session_affinity": True,
         "stream_resume": True, "target_gap_ms": PAUSE_MS}],
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
    await world.store.start(world.store_port)
    world.store.put("config", "main", CONFIG)
    for n in range(4):
        server = w.Server(world, "m%d" % n, "llm", "riga-" + "abca"[n],
                          slots=64, first_ms=50, events=EVENTS, gap_ms=GAP_MS,
                          version="v1" if n < 3 else "v2")
        world.servers.append(server)
        await server.start()
        if n < 3:
            server.register()
    for n in range(3):
        router = w.Router(world, "front-riga-%s-1" % "abc"[n],
                          "riga-" + "abc"[n])
        world.routers.append(router)
        await router.start()
    frozen, other, third = world.routers
    for router in world.routers:
        await router.wait_until_ready()
    await asyncio.sleep(LEAD_S)

    streams = [Stream(world, n) for n in range(STREAMS)]
    tasks = [asyncio.create_task(s.run(frozen, other)) for s in streams]
    await asyncio.sleep(2.0)
    if trouble:
        world.record.write("%s freezes" % frozen.name)
        frozen.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(JOIN_AFTER_S)
    if JOIN:
        world.record.write("a server of version v2 joins")
        world.servers[3].register()
    await asyncio.sleep(ABANDON_S - JOIN_AFTER_S)
    fresh = [Stream(world, 100 + n) for n in range(STREAMS)]
    tasks += [asyncio.create_task(s.run(other, third)) for s in fresh]
    await asyncio.sleep(FREEZE_S - ABANDON_S)
    if trouble:
        frozen.process.send_signal(signal.SIGCONT)
        world.record.write("%s wakes" % frozen.name)
    await asyncio.gather(*tasks)

    taken_up = [s for s in streams if s.taken_up is not None]
    go_on = sum(s.goes_on for s in taken_up)
    begin = sum(s.first == 200 for s in fresh)
    statuses = sorted(set(s.taken_up for s in taken_up))
    text = ("%d of %d streams were taken up again, at a router in touch while "
            "3 servers of their version serve: %d go on (statuses %s); %d of "
            "%d new streams begin there" % (len(taken_up), len(streams), go_on,
                                            statuses, begin, len(fresh)))
    world.record.write(text)
    print(text)
    mixed = [s for s in streams if len(set(
        d.split(" ")[1] for _, d in s.events)) > 1]
    if mixed:
        print("streams of two versions:", len(mixed))
    if len(taken_up) < 12:
        if trouble:
            raise w.CannotRun("fewer than 12 streams were taken up")
        return True
    return go_on / len(taken_up) >= 0.5 * begin / len(fresh)


w.run(case)
