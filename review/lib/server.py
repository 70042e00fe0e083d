"""Stand-in of a server (PROTOCOL.md): registers itself, runs requests on its slots,
and notes each arrival and run. `behave` may replace how it answers a request."""

import asyncio
import hashlib
import time

import wire

BEAT_S = 1.5
QUEUE = 16


def body_of(request_id, path, size=400):
    """The bytes that a server answers a request with."""
    seed = hashlib.sha256((request_id + path).encode()).hexdigest().encode()
    return (seed * (size // len(seed) + 1))[:size]


def seal_of(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:24]


class Request:
    def __init__(self, start, fields, body):
        self.method, self.path = start.split(" ")[:2]
        self.fields, self.body = fields, body
        self.id = wire.field(fields, "x-request-id")


class Server:
    def __init__(self, record, store, name, service, zone, work_s=0.1, slots=4):
        self.record, self.store = record, store
        self.id, self.service, self.zone = name, service, zone
        self.work_s, self.slots, self.busy, self.queued = work_s, slots, 0, 0
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.behave = None  # async fn(server, request, reader, writer) -> bool
        self.arrivals, self.runs = [], []  # (time, request id)
        self.registered = True
        self.connections = set()

    async def start(self, ip):
        self.listener = await asyncio.start_server(self._connection, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % (ip, self.listener.sockets[0].getsockname()[1])
        self.beat()
        self.beats = asyncio.ensure_future(self._beats())

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "capacity": self.slots, "state": self.state,
                "cold_left_ms": 0, "call_seq": self.seq, "born": self.born}

    def beat(self):
        self.seq += 1
        return self.store.put_server("servers/" + self.id, self.entry())

    async def _beats(self):
        while True:
            await asyncio.sleep(BEAT_S)
            if self.registered:
                self.beat()

    def drain(self):
        self.state = "draining"
        return self.beat()

    def unregister(self):
        self.registered = False
        return self.store.delete("servers/" + self.id)

    async def _connection(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                start, fields = await wire.read_head(reader)
                if start is None:
                    return
                body, whole = await wire.read_body(reader, fields)
                if not whole or not await self._serve(Request(start, fields, body), reader, writer):
                    return
        except (wire.Broken, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _serve(self, request, reader, writer):
        if request.path == "/health":
            writer.write(wire.message("HTTP/1.1 200 OK", [("X-Instance-Id", self.id)]))
            return True
        self.arrivals.append((time.monotonic(), request.id))
        expected = wire.field(request.fields, "x-expect-instance")
        if expected and expected != self.id:
            writer.write(wire.message("HTTP/1.1 421 Misdirected Request",
                                      [("X-Instance-Id", self.id)]))
            return True
        if self.busy >= self.slots and self.queued >= QUEUE:
            writer.write(wire.message("HTTP/1.1 503 Service Unavailable",
                                      [("X-Not-Executed", "1"), ("X-Request-Id", request.id)]))
            return True
        self.queued += 1
        while self.busy >= self.slots:
            await asyncio.sleep(0.005)
        self.queued -= 1
        self.busy += 1
        try:
            self.runs.append((time.monotonic(), request.id))
            self.record("run", server=self.id, service=self.service, request=request.id,
                        method=request.method, path=request.path)
            if self.behave:
                return await self.behave(self, request, reader, writer)
            await asyncio.sleep(self.work_s)
            writer.write(self.answer(request))
            await writer.drain()
            return True
        finally:
            self.busy -= 1

    def answer(self, request):
        body = body_of(request.id, request.path)
        return wire.message("HTTP/1.1 200 OK", [("X-Request-Id", request.id),
                                                ("X-Response-Seal", seal_of(request.id, body))], body)

    def exit(self):
        """Ends as a process does: its entry goes, its connections are reset."""
        self.record("server_exits", server=self.id, at_work=self.busy)
        self.unregister()
        self.stop()
        for writer in list(self.connections):
            writer.transport.abort()

    def stop(self):
        self.registered = False
        self.beats.cancel()
        self.listener.close()
