"""The platform's store moves: the settings name its new address, SIGHUP tells of it,
and the old address is closed ten seconds later."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import client
import world
from world import BOUNDS, HOST, config

ZONES = ["z1", "z2", "z3"]
CALM_S = 5.0
OVERLAP_S = 10.0  # both addresses serve
SETTLE_S = 4.0  # over stable_ms, after the old address is closed
AFTER_S = 8.0


async def caller(w, gateway, results, until):
    connection = None
    while time.monotonic() < until:
        connection = connection or await client.connect(gateway.ip, gateway.front)
        result = await client.send(w.record, connection, HOST, "POST", "/pay/1", b"x" * 100)
        results.append(result)
        if result.status is None or client.wire.field(result.fields, "connection") == "close":
            connection.close()
            connection = None
        await asyncio.sleep(0.1)
    if connection:
        connection.close()


async def play(w):
    services = ["checkout-old", "checkout-new"]
    for i, service in enumerate(services * 2):
        await w.add_server("i-%d" % i, service, ZONES[i % 3])
    w.store.put("op/config", config(5, [("r-pay", "/pay/", "unsafe", "checkout-old")], services))
    await w.add_gateways(ZONES)
    await asyncio.sleep(1.0)
    results = []
    until = time.monotonic() + CALM_S + OVERLAP_S + SETTLE_S + AFTER_S
    callers = [asyncio.ensure_future(caller(w, g, results, until)) for g in w.gateways]
    await asyncio.sleep(CALM_S)
    if world.trouble():
        for gateway in w.gateways:
            port = await w.store.listen(w.net + "3", gateway.name + " at the new address")
            gateway.settings["platform"]["address"] = "%s3:%d" % (w.net, port)
            gateway.write_settings()
            gateway.signal(signal.SIGHUP)
    await asyncio.sleep(OVERLAP_S)
    if world.trouble():
        w.store.turned_away = {g.name: "reset" for g in w.gateways}
        w.record("old_address_closed")
    await asyncio.sleep(SETTLE_S)
    acked = w.store.put("op/config", config(
        9, [("r-pay", "/pay/", "unsafe", "checkout-new")], services))
    w.record("config_acknowledged", version=9)
    await asyncio.gather(*callers)

    old = {request for s in w.servers if s.service == "checkout-old" for _, request in s.runs}
    late = [r for r in results if r.sent > acked + BOUNDS["config_ms"] / 1000.0]
    stale = [r for r in late if r.id in old]
    print("sent over %d ms after the acknowledgement: %d payments; run by the old service %d"
          % (BOUNDS["config_ms"], len(late), len(stale)))
    return ["CONFIG: %d payments were run by the old service" % len(stale)] if stale else []


world.run(play)
