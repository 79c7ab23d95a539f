"""A block is forgotten when all routers are killed.  See claim.txt."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "stand-ins-2"))
import world as w

DOWN_S = 2.0        # a server is back after some seconds
CRASH_AFTER_MS = 20
STALE_S = 3.0       # age of what the store returns with allow_stale
RESTART_S = 0.5     # a process that was killed starts again so much later
PAUSE_S = 0.9       # between two times that the request comes
LEAD_S = 10.0       # until the routers know each other
BEFORE = 6
AFTER = 6

CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r-look", "host": "h.example", "path_prefix": "/look/",
         "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 300,
         "priority": 2, "service": "app", "max_attempts": 2, "public": False,
         "session_affinity": False},
        {"name": "r-book", "host": "h.example", "path_prefix": "/book/",
         "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 300,
         "priority": 2, "service": "app", "max_attempts": 1, "public": False,
         "session_affinity": False}],
    "services": [{"name": "app", "health_path": "/health",
                  "max_connections": 96, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "hule930", "api_keys": [w.World.KEY], "priority": 1}],
}


async def bring_back(world, server, old_id):
    """After a crash: the entry lapses, the server is back with a new id."""
    async def lapse():
        await asyncio.sleep(w.HEARTBEAT_S * w.MISSED_HEARTBEATS)
        world.store.remove("servers", old_id)
    asyncio.create_task(lapse())
    await asyncio.sleep(DOWN_S)
    await server.start()
    server.register()


async def case(world, trouble):
    ending = []     # ids of the requests that end servers
    booked = []     # time, status of sound requests

    def ended(server, server_id):
        if not world.over:
            asyncio.create_task(bring_back(world, server, server_id))

    world.over = False
    world.on_server_ended = ended
    world.store.stale_s = STALE_S
    await world.store.start(world.store_port)
    world.store.put("config", "main", CONFIG)
    for n in range(4):
        server = w.Server(world, "s%d" % n, "app", "riga-" + "abca"[n],
                          slots=6, work_ms=60, crash_on="ends-servers",
                          crash_after_ms=CRASH_AFTER_MS)
        world.servers.append(server)
        await server.start()
        server.register()
    for n in range(2):
        router = w.Router(world, "front-riga-%s-1" % "ab"[n],
                          "riga-" + "ab"[n])
        world.routers.append(router)
        await router.start()
    for router in world.routers:
        await router.wait_until_ready()

    async def book(router, n):
        caller = w.Caller(world, router)
        answer = await caller.send("POST", "/book/%d" % n, b"order %d" % n)
        booked.append((time.monotonic(), answer.status))
        caller.close()

    async def sound_traffic():
        n = 0
        while not world.over:
            n += 1
            asyncio.create_task(book(world.routers[n % 2], n))
            await asyncio.sleep(0.02)

    async def end_a_server(router):
        request = world.new_id()
        ending.append(request)
        caller = w.Caller(world, router)
        await caller.send("POST", "/book/1", b"order ends-servers", request)
        caller.close()

    async def end_servers():
        """The request comes at each router."""
        await asyncio.gather(*[end_a_server(r) for r in world.routers])

    traffic = asyncio.create_task(sound_traffic())
    await asyncio.sleep(LEAD_S)
    for n in range(BEFORE):
        await end_a_server(world.routers[n % 2])
        await asyncio.sleep(PAUSE_S)
        if world.store.kinds.get("blockedparts"):
            break
    if not world.store.kinds.get("blockedparts"):
        raise w.CannotRun("the request was not blocked at first")
    crashes = sorted(e["t"] for e in world.events if e["event"] == "crash")
    if trouble:
        world.record.write("all routers are killed")
        for router in world.routers:
            router.process.kill()
        for router in world.routers:
            await router.process.wait()
        await asyncio.sleep(RESTART_S)
        for router in world.routers:
            await router.start()
        for router in world.routers:
            await router.wait_until_ready()
        world.record.write("all routers are ready again")
    await asyncio.sleep(max(w.CONTACT_S + 1,
                            crashes[2] + w.CONTACT_S + 0.5 - time.monotonic()))
    in_touch_at = time.monotonic()
    world.record.write("all routers are in touch")
    for _ in range(AFTER):
        await end_servers()
        await asyncio.sleep(PAUSE_S)
    world.over = True
    await traffic
    await asyncio.sleep(1)

    late = [e for e in world.events if e["event"] == "arrive"
            and e["id"] in ending and e["t"] > in_touch_at]
    lost = sum(status != 200 for t, status in booked if t > in_touch_at)
    text = ("a request that ends servers came %d times; third crash at %.1f s; "
            "later than contact_ms after it, with all routers in touch, %d "
            "reached a server (3 are allowed); %d bookings of others were lost"
            % (len(ending), crashes[2] - world.record.start, len(late), lost))
    world.record.write(text)
    print(text)
    return len(late) <= 3


w.run(case)
