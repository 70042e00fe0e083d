"""The traffic of a sheet, as a process of its own, so that it takes no time from the
servers. Prints one JSON line for each request: id, kind, when it was sent and ended, how."""

import asyncio
import json
import random
import sys
import time


async def read_answer(reader):
    """Reads one answer; its body is not kept. Returns (status, the connection goes on)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict((l.split(":", 1)[0].lower(), l.split(":", 1)[1].strip()) for l in lines[1:] if l)
    status = int(lines[0].split(" ")[1])
    if "content-length" not in fields:  # only answers without an end have none here
        while await reader.read(1 << 20):
            pass
        raise ValueError("no end")
    await reader.readexactly(int(fields["content-length"]))
    return status, fields.get("connection", "").lower() != "close"


async def watch_lag():
    """Tells how late this process itself was."""
    worst = 0.0
    try:
        while True:
            begin = time.monotonic()
            await asyncio.sleep(0.05)
            worst = max(worst, time.monotonic() - begin - 0.05)
    finally:
        print(json.dumps({"lag_s": worst}), flush=True)


async def request(world, kind, n):
    request_id = "%s-%05d" % (kind["name"], n)
    begin = time.monotonic()
    out = {"id": request_id, "kind": kind["name"], "sent": begin, "how": "silent"}
    writer = None
    try:
        async def exchange():
            nonlocal writer
            kept = world["kept"] if kind["kept"] else []
            reader, writer = kept.pop() if kept else await asyncio.open_connection(
                world["ip"], world["port"], limit=1 << 22)
            body = b"x" * kind["body"]
            writer.write((
                "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                "Content-Length: %d\r\n\r\n" % (kind["method"], kind["path"], world["host"],
                                                request_id, kind["deadline_ms"], len(body))
            ).encode() + body)
            status, goes_on = await read_answer(reader)
            out["how"] = str(status)
            if kind["kept"] and goes_on:
                world["kept"].append((reader, writer))
                writer = None
        await asyncio.wait_for(exchange(), kind["deadline_ms"] / 1000)
    except asyncio.TimeoutError:
        out["how"] = "silent"  # the client leaves at its deadline
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
        out["how"] = "closed"
    finally:
        if writer:
            writer.close()
    out["ended"] = time.monotonic()
    print(json.dumps(out), flush=True)


async def main(world):
    rng = random.Random(world["seed"])
    ends = time.monotonic() + world["seconds"]
    world["kept"] = []
    tasks, n = set(), 0
    lag = asyncio.ensure_future(watch_lag())
    rate = sum(kind["per_s"] for kind in world["kinds"])
    while time.monotonic() < ends:
        await asyncio.sleep(rng.expovariate(rate))
        n += 1
        kind = rng.choices(world["kinds"], [k["per_s"] for k in world["kinds"]])[0]
        task = asyncio.ensure_future(request(world, kind, n))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
    lag.cancel()
    await asyncio.wait([lag])


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
