"""Another writer leaves some large entries that can't be read; then a server leaves."""

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
PAUSE_S = 4.0  # between the entries and the leaving: over stable_ms
AFTER_S = 14.0
ENTRIES = 4
ENTRY_BYTES = 1048576  # value_bytes
CALLERS = 2  # to each gateway


async def caller(w, gateway, results, until):
    connection = None
    while time.monotonic() < until:
        connection = connection or await client.connect(gateway.ip, gateway.front)
        result = await client.send(w.record, connection, HOST, "POST", "/pay/1", b"x" * 100)
        results[result.id] = result
        if result.status is None or client.wire.field(result.fields, "connection") == "close":
            connection.close()
            connection = None
        await asyncio.sleep(0.1)
    if connection:
        connection.close()


async def play(w):
    for i in range(4):
        await w.add_server("i-%d" % i, "checkout", ZONES[i % 3])
    w.store.put("op/config", config(5, [("r-pay", "/pay/", "unsafe", "checkout")], ["checkout"]))
    await w.add_gateways(ZONES)
    await asyncio.sleep(1.0)
    results = {}
    until = time.monotonic() + CALM_S + PAUSE_S + AFTER_S
    callers = [asyncio.ensure_future(caller(w, g, results, until))
               for g in w.gateways for _ in range(CALLERS)]
    await asyncio.sleep(CALM_S)
    if world.trouble():
        for i in range(ENTRIES):
            w.store.put("servers/export-%d" % i, b"\x00\xff" * (ENTRY_BYTES // 2))
            w.record("entry_written", key="servers/export-%d" % i, bytes=ENTRY_BYTES)
    await asyncio.sleep(PAUSE_S)
    leaving = w.servers[0]
    acked = leaving.drain()
    w.record("draining_acknowledged", server=leaving.id)
    await asyncio.gather(*callers)

    drain_s = BOUNDS["drain_ms"] / 1000.0
    late = [(at, request) for at, request in leaving.arrivals if at > acked + drain_s]
    sent_late = [r for r in results.values() if r.sent > acked + drain_s]
    for at, request in late:
        w.record("late_arrival", server=leaving.id, request=request,
                 after_ack_s=round(at - acked, 3))
    print("%d requests sent later than %g s after the acknowledgement; %d reached the leaving "
          "server, the last %.1f s after it"
          % (len(sent_late), drain_s, len(late), late[-1][0] - acked if late else 0))
    return ["DRAIN: %d requests reached %s later than %g s after its leaving was acknowledged"
            % (len(late), leaving.id, drain_s)] if late else []


world.run(play)
