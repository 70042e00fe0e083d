"""Stand-in of clients: one request, how it ended, and the connection if it may be
kept."""

import asyncio
import itertools
import time

import wire
from server import body_of, seal_of

numbers = itertools.count(1)


class Result:
    def __init__(self, request_id, path):
        self.id, self.path = request_id, path
        self.sent = time.monotonic()
        self.ended = None
        self.status = None  # None: the connection ended without an answer
        self.fields, self.body, self.complete = [], b"", False
        self.own = None  # a success: the server's whole body under its seal
        self.error = None
        self.kept = False  # sent on a connection that was used before
        self.to = None

    def describe(self):
        return {"request": self.id, "path": self.path, "to": self.to, "status": self.status,
                "complete": self.complete, "own": self.own, "bytes": len(self.body),
                "took_ms": int((self.ended - self.sent) * 1000), "error": self.error}


class Connection:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.used = 0

    def close(self):
        self.writer.close()


async def connect(ip, port):
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(ip, port, limit=1 << 20), 1.0)
    return Connection(reader, writer)


def new_id(prefix="c"):
    return "%s%015x" % (prefix, next(numbers))


async def send(record, connection, host, method, path, body=b"", deadline_ms=3000, extra=(),
               size=400, wait_s=None):
    """Sends one request on a connection and reads its answer."""
    result = Result(new_id(), path)
    result.kept = connection.used > 0
    result.to = "%s:%d" % connection.writer.get_extra_info("peername")
    record("sent", request=result.id, to=result.to, method=method, path=path)
    connection.used += 1
    fields = [("Host", host), ("X-Request-Id", result.id),
              ("X-Deadline-Ms", str(deadline_ms))] + list(extra)
    try:
        connection.writer.write(wire.message("%s %s HTTP/1.1" % (method, path), fields, body,
                                             length=bool(body) or method == "POST"))
        await asyncio.wait_for(_read(result, connection, size),
                               wait_s or deadline_ms / 1000.0 + 1.0)
    except asyncio.TimeoutError:
        result.error = "silent"
    except (wire.Broken, OSError) as error:
        result.error = "closed: %s" % error
    result.ended = time.monotonic()
    record("answered", **result.describe())
    return result


async def _read(result, connection, size):
    start, fields = await wire.read_head(connection.reader)
    if start is None:
        raise wire.Broken("end of stream before an answer")
    result.fields, result.status = fields, int(start.split(" ")[1])
    result.body, result.complete = await wire.read_body(connection.reader, fields, to_end=True)
    if 200 <= result.status < 300:
        seal = wire.field(fields, "x-response-seal")
        whole = body_of(result.id, result.path, size)
        result.own = seal == seal_of(result.id, whole) and result.body == whole


async def ask(ip, port, target):
    """One question on a connection of its own: returns its status, or None."""
    try:
        connection = await connect(ip, port)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        connection.writer.write(wire.message("GET %s HTTP/1.1" % target, [("Host", ip)]))
        start, _ = await asyncio.wait_for(wire.read_head(connection.reader), 1.0)
        return int(start.split(" ")[1]) if start else None
    except (wire.Broken, OSError, asyncio.TimeoutError):
        return None
    finally:
        connection.close()
