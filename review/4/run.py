"""A valid configuration whose new route has a name of 50 characters."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import client
import world
from world import BOUNDS, HOST, config

ZONES = ["z1", "z2", "z3"]
CALM_S = 5.0
AFTER_S = 12.0
LONG_NAME = "entry-payment-spring-half-marathon-2027-early-bird"
SHORT_NAME = "entry-payment-early-bird"
MOVED = "/pay/"  # from checkout-old to checkout-new
ADDED = "/pay-early/"
DROPPED = "/list/"


async def caller(w, gateway, results, until):
    connection = None
    while time.monotonic() < until:
        for method, prefix in (("POST", MOVED), ("POST", ADDED), ("GET", DROPPED)):
            connection = connection or await client.connect(gateway.ip, gateway.front)
            body = b"x" * 100 if method == "POST" else b""
            result = await client.send(w.record, connection, HOST, method, prefix + "1", body)
            result.gateway, result.prefix = gateway.name, prefix
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
    w.store.put("op/config", config(5, [
        ("r-pay", MOVED, "unsafe", "checkout-old"),
        ("r-list", DROPPED, "safe", "checkout-old")], services))
    await w.add_gateways(ZONES)
    await asyncio.sleep(1.0)
    results = []
    until = time.monotonic() + CALM_S + AFTER_S
    callers = [asyncio.ensure_future(caller(w, g, results, until)) for g in w.gateways]
    await asyncio.sleep(CALM_S)
    name = LONG_NAME if world.trouble() else SHORT_NAME
    acked = w.store.put("op/config", config(9, [
        ("r-pay", MOVED, "unsafe", "checkout-new"),
        (name, ADDED, "unsafe", "checkout-new")], services))
    w.record("config_acknowledged", version=9, route=name, bytes_of_name=len(name))
    await asyncio.gather(*callers)

    old = {request for s in w.servers if s.service == "checkout-old" for _, request in s.runs}
    late = [r for r in results if r.sent > acked + BOUNDS["config_ms"] / 1000.0]
    moved = [r for r in late if r.prefix == MOVED and r.id in old]
    added = [r for r in late if r.prefix == ADDED and r.status == 404]
    dropped = [r for r in late if r.prefix == DROPPED and r.id in old]
    w.record("summary", requests=len(results), sent_late=len(late), run_by_old_service=len(moved),
             refused_404=len(added), run_on_dropped_route=len(dropped))
    print("sent over %d ms after the acknowledgement: %d requests; payments run by the old "
          "service %d, 404 on the added route %d, run on the dropped route %d"
          % (BOUNDS["config_ms"], len(late), len(moved), len(added), len(dropped)))
    found = []
    if moved or added or dropped:
        found.append("CONFIG: %d requests were handled as only version 5 allows"
                     % (len(moved) + len(added) + len(dropped)))
    return found


world.run(play)
