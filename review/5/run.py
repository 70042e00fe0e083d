"""A server's write gets no response and is executed seconds later, when the server has
reported that it drains."""

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
LOST_S = 4.0  # how long answers of the store are lost, for some writes
LATE_MIN_S, LATE_MAX_S = 1.0, 6.0  # "late (done 1 to 6 s later)"
DRAIN_AFTER_S = 3.3  # after the end of the disruption: over stable_ms
AFTER_S = 8.0
WORK_S = 0.3
EXIT_S = 2.4  # at least, after the acknowledgement: drain_ms and a little longer
EXIT_AFTER_WRITE_S = 1.0  # and after the late write
EXECUTE_AFTER_S = 4.35  # the earliest, after the end of the disruption
CALLERS = 4  # to each gateway


async def caller(w, gateway, results, until):
    connection = None
    while time.monotonic() < until:
        connection = connection or await client.connect(gateway.ip, gateway.front)
        result = await client.send(w.record, connection, HOST, "POST", "/pay/1", b"x" * 100)
        results[result.id] = result
        if result.status is None or client.wire.field(result.fields, "connection") == "close":
            connection.close()
            connection = None
        await asyncio.sleep(0.05)
    if connection:
        connection.close()


async def execute_late(w, server, entry, written, over):
    """Executes the write just after a heartbeat of the server; returns when."""
    await asyncio.sleep(over + EXECUTE_AFTER_S - time.monotonic())
    seq = server.seq
    while server.seq == seq:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.02)
    late_s = time.monotonic() - written
    assert LATE_MIN_S <= late_s <= LATE_MAX_S
    w.store.put_server("servers/" + server.id, entry)
    w.record("write_executed", server=server.id, late_s=round(late_s, 3))
    return time.monotonic()


async def play(w):
    for i in range(4):
        await w.add_server("i-%d" % i, "checkout", ZONES[i % 3], WORK_S)
    w.store.put("op/config", config(5, [("r-pay", "/pay/", "unsafe", "checkout")], ["checkout"]))
    await w.add_gateways(ZONES)
    await asyncio.sleep(1.0)
    results = {}
    until = time.monotonic() + CALM_S + LOST_S + DRAIN_AFTER_S + AFTER_S
    callers = [asyncio.ensure_future(caller(w, g, results, until))
               for g in w.gateways for _ in range(CALLERS)]
    leaving = w.servers[0]
    await asyncio.sleep(CALM_S + LOST_S - 0.1)
    written = time.monotonic()
    over = written + 0.1  # end of the disruption
    if world.trouble():
        # The last write of this server before the disruption ends gets no response.
        leaving.seq += 1
        entry = leaving.entry()
        w.record("write_unanswered", server=leaving.id, state=leaving.state, call_seq=leaving.seq)
        executed = w.spawn(execute_late(w, leaving, entry, written, over))
    await asyncio.sleep(0.1 + DRAIN_AFTER_S)
    acked = leaving.drain()
    w.record("draining_acknowledged", server=leaving.id, call_seq=leaving.seq)
    exits = acked + EXIT_S
    if world.trouble():
        exits = max(exits, await executed + EXIT_AFTER_WRITE_S)
    await asyncio.sleep(exits - time.monotonic())
    leaving.exit()
    await asyncio.gather(*callers)

    drain_s = BOUNDS["drain_ms"] / 1000.0
    late = [(at, request) for at, request in leaving.arrivals if at > acked + drain_s]
    for at, request in late:
        w.record("late_arrival", server=leaving.id, request=request,
                 after_ack_s=round(at - acked, 3))
    cut = [r for at, r in late if r in results and results[r].own is not True]
    for request in cut:
        w.record("work_lost", request=request, status=results[request].status)
    print("%d requests; %d reached the leaving server later than %g s after the "
          "acknowledgement, from %.1f to %.1f s after it; %d of them were lost by its exit"
          % (len(results), len(late), drain_s, late[0][0] - acked if late else 0,
             late[-1][0] - acked if late else 0, len(cut)))
    return ["DRAIN: %d requests reached %s later than %g s after its leaving was acknowledged"
            % (len(late), leaving.id, drain_s)] if late else []


world.run(play)
