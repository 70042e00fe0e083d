"""Another writer leaves one large entry whose fields repeat among those of the servers."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import client
import world
from world import HOST, config

ZONES = ["z1", "z1", "z2", "z2", "z3", "z3"]
CALM_S = 5.0
AFTER_S = 20.0
EVERY_S = 0.25  # to each gateway
TIMEOUT_MS = 3000  # of the route
DEADLINE_MS = 6000  # of the clients
SLACK_S = 0.5
COUNT_MIN = 8  # "Eight or more of them"; the rule's other sentence names no count
FIELDS = 50000


def repeated():
    """Many fields, then the last one again as often: 1,000,007 bytes of JSON."""
    fields = ['"%05x":0,' % i for i in range(FIELDS)]
    return ("{" + "".join(fields) + fields[-1] * FIELDS + '"a":0}').encode()


async def pay(w, gateway, results):
    try:
        connection = await client.connect(gateway.ip, gateway.front)
    except (OSError, asyncio.TimeoutError):
        return
    result = await client.send(w.record, connection, HOST, "POST", "/pay/1", b"x" * 100,
                               DEADLINE_MS, wait_s=TIMEOUT_MS / 1000.0 + SLACK_S)
    result.gateway = gateway.name
    results.append(result)
    connection.close()


async def load(w, results, until):
    tasks = []
    while time.monotonic() < until:
        tasks += [asyncio.ensure_future(pay(w, g, results)) for g in w.gateways]
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(*tasks)


async def play(w):
    for i in range(6):
        await w.add_server("i-%d" % i, "checkout", "z%d" % (i % 3 + 1), 0.2, slots=8)
    w.store.put("op/config", config(5, [
        ("r-pay", "/pay/", "unsafe", "checkout", TIMEOUT_MS)], ["checkout"]))
    await w.add_gateways(ZONES)
    await asyncio.sleep(1.0)
    results = []
    running = asyncio.ensure_future(load(w, results, time.monotonic() + CALM_S + AFTER_S))
    await asyncio.sleep(CALM_S)
    if world.trouble():
        entry = repeated()
        w.store.put("servers/i-other", entry)
        w.record("entry_written", key="servers/i-other", bytes=len(entry))
    await running

    timeout_s = TIMEOUT_MS / 1000.0
    unanswered = [r for r in results if r.ended - r.sent >= timeout_s]
    silent = [r for r in unanswered if r.error == "silent"]
    served = sum(1 for r in results if r.own)
    hung = sorted({r.gateway for r in silent})
    w.record("summary", requests=len(results), served=served, unanswered=len(unanswered),
             silent=len(silent), gateways=hung)
    print("%d payments, %d served; unanswered at the route's time-out %d, of these without an "
          "answer %g s later %d, at %d of %d gateways"
          % (len(results), served, len(unanswered), SLACK_S, len(silent), len(hung),
             len(w.gateways)))
    if len(unanswered) >= COUNT_MIN and len(silent) > len(unanswered) / 2:
        return ["CONFIG: of %d requests that were unanswered at their route's time-out, %d had no "
                "answer %g s later" % (len(unanswered), len(silent), SLACK_S)]
    return []


world.run(play)
