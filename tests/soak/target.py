"""Targets as stand-ins. Each runs in the soak's process, notes what it ran, and
plays faults: failures, hangs, slowness, resets after the work and within answers, cut,
spoiled, foreign and additional answers, also late ones."""

import asyncio
import base64
import hashlib
import json
import time

import wire
from answer import Answer
from relay import Relay
from sender import Sender
from statement import Statement

BEAT_S = 1.5
QUEUE = 16
LINGER_S = 6.0  # a leaving target goes on serving for so long
LATE_S = (0.2, 5.0)  # after its leaving a write from before may be executed
BODY_BYTES = 2400  # at most
DOWNLOAD_BYTES = 20_000  # at least


def seal_of(request_id):
    return hashlib.sha256(b"seal" + request_id.encode()).hexdigest()[:24]


def body_of(request_id, path):
    """The only right body of an answer to this request."""
    word = hashlib.sha256(request_id.encode()).hexdigest().encode()
    drawn = int(word[:4], 16)
    size = DOWNLOAD_BYTES + 4 * drawn if "/export/" in path else 1 + drawn % BODY_BYTES
    return (word * (size // len(word) + 1))[:size]


class Target:
    def __init__(self, world, name, service, zone, slots=4, work_s=0.08):
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.writes = 0
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.fault = None  # one of the kinds in FAULTS
        self.share = 1.0  # of requests that the fault hits
        self.framing = None  # of all answers
        self.stutters = False  # each answer is written in pieces
        self.leaving_at = None  # when the store took "draining"
        self.leaving_known = False  # the nodes have read it
        self.says = Statement(world, self)
        self.relay = Relay(world.rng)
        self.served = 0
        self.has_successor = False  # another instance has its id
        self.alive = True
        self.server = None
        self.writers = set()
        self.reserved = None  # its port; kept when it has crashed
        self.port = 0

    FAULTS = ("errors", "hang", "slow", "reset", "lost", "cut", "reset_within", "foreign",
              "twice", "informational", "old", "unproved")

    async def start(self, reserved=None):
        """Listens; reserved: the port of a target that has crashed."""
        self.reserved = reserved or wire.reserve("127.0.0.1")
        self.port = self.reserved.getsockname()[1]
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        await self.relay.start(self.port, self.server.sockets[0].getsockname()[1])
        self.beat_task = asyncio.ensure_future(self._beat())

    def entry(self, state):
        self.writes += 1
        return json.dumps(
            {
                "service": self.service,
                "address": "127.0.0.1:%d" % self.port,
                "zone": self.zone,
                "version": "v1",
                "capacity": self.slots,
                "state": state,
                "cold_left_ms": 0,
                "call_seq": self.writes,
                "born": self.born,
            }
        )

    async def _beat(self):
        while self.alive:
            known = self.world.store.items.get("servers/" + self.name)
            if not known or self._differs(known, self._state()):
                self.write_entry()
            await asyncio.sleep(BEAT_S)

    def _state(self):
        return "draining" if self.leaving_at else "ready"

    def write_entry(self):
        self.world.store.put("servers/" + self.name, self.entry(self._state()))

    def _differs(self, known, state):
        texts = base64.b64decode(known["value"]), self.entry(state)
        one, other = ({**json.loads(text), "call_seq": 0} for text in texts)
        return one != other

    async def leave(self):
        """Reports that it drains, serves on for a while, and ends. Its last write before
        may be executed after that."""
        before = self.entry("ready")
        while not self.world.store.put("servers/" + self.name, self.entry("draining")):
            await asyncio.sleep(0.3)
        self.leaving_at = time.monotonic()
        if self.world.rng.random() < 0.5:
            delay_s = self.world.rng.uniform(*LATE_S)
            asyncio.get_running_loop().call_later(
                delay_s, self.world.store.put, "servers/" + self.name, before
            )
        await asyncio.sleep(LINGER_S)
        while self.world.work.get(self.name):
            await asyncio.sleep(0.1)
        await self.crash()

    def note_leaving_is_known(self, known_s):
        """Called before the store goes away: nodes had the time to read it."""
        if self.leaving_at:
            age = time.monotonic() - self.leaving_at
            self.leaving_known |= age >= known_s and self.world.store.calm_for(age + 3.0)

    async def crash(self, forget=True):
        self.alive = False
        self.beat_task.cancel()
        self.server.close()
        self.relay.close()
        for writer in list(self.writers):
            wire.reset(writer)
        if forget:
            while not self.world.store.delete("servers/" + self.name):
                await asyncio.sleep(0.3)

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        sender = None
        try:
            while self.alive:
                start, fields = await wire.read_head(reader)
                body = await wire.read_body(reader, fields)
                sender = sender or self._sender(writer)
                if not await self._serve(start, fields, body, reader, sender):
                    return
        except (wire.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _sender(self, writer):
        link = self.relay.links.get(writer.get_extra_info("peername")[1])
        if not link:
            raise wire.Broken("reset by the relay")
        return Sender(self.world.rng, writer, link, self)

    async def _send(self, sender, status, fields, body=b""):
        """Returns if the connection stays open."""
        answer = Answer(self.world.rng, status, fields, body)
        await sender.send(answer)
        return not answer.closes

    async def _serve(self, start, fields, body, reader, sender):
        method, path = start.split(" ")[:2]
        request_id = fields.get("x-request-id", "")
        sender.turn += 1
        base = {"X-Request-Id": request_id, "X-Instance-Id": self.name}
        if fields.get("x-expect-instance", self.name) != self.name:
            return await self._send(sender, 421, base)
        if not request_id:
            return await self._send(sender, 400, {"X-Not-Executed": "1"})
        self.world.arrived(self, request_id, path, fields)
        if self.says.refuses():
            told = dict(base, **self.says.refusal())
            keeps = await self._send(sender, 503, dict(told, **{"X-Not-Executed": "1"}))
            self.says.told(request_id, told)
            return keeps
        if self.waiting >= QUEUE:
            return await self._send(sender, 503, dict(base, **{"X-Not-Executed": "1"}))
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.world.work[self.name] = self.world.work.get(self.name, 0) + 1
        try:
            return await self._run(method, path, request_id, fields, body, base, reader, sender)
        finally:
            self.world.work[self.name] -= 1
            self.free.release()

    async def _run(self, method, path, request_id, fields, body, base, reader, sender):
        fault = self.fault if self.world.rng.random() < self.share else None
        self.served += 1
        run = self.world.ran(self, request_id, method, path, body, fault, sender)
        try:
            return await self._work(path, request_id, fields, base, reader, run)
        finally:
            run.ended = time.monotonic()

    async def _work(self, path, request_id, fields, base, reader, run):
        fault, sender = run.fault, run.sender
        left_s = int(fields.get("x-deadline-ms", "10000")) / 1000
        work_s = self.work_s * self.world.rng.uniform(0.5, 1.5)
        if path.startswith("/long"):  # the path names the milliseconds
            work_s = int(path.rsplit("/", 1)[1]) / 1000
        if fault == "errors":
            proved = dict(base, **{"X-Response-Seal": seal_of(request_id)})
            return await self._send(sender, 500, proved)
        if fault == "reset":
            wire.reset(sender.writer)
            return False
        if fault == "hang":
            work_s = left_s
        elif fault == "slow":
            work_s *= 8
        gone = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([gone], timeout=min(work_s, left_s))
        if done:  # the caller left, or sent what it may not
            gone.exception()
            return False
        gone.cancel()
        await asyncio.wait([gone])
        whole = body_of(request_id, path)
        told = self.says.fields()
        base = dict(base, **told)
        proved = dict(base, **{"X-Response-Seal": seal_of(request_id)})
        if work_s >= left_s:
            await self._send(sender, 504, proved)
            return False
        if fault == "lost":
            wire.reset(sender.writer)
            return False
        if fault == "foreign":
            return await self._send(
                sender, 200, dict(proved, **{"X-Request-Id": "f" * 16}), b"foreign")
        if fault == "unproved":
            return await self._send(sender, 200, base, whole)
        old = fault == "old"
        answer = Answer(self.world.rng, 200, proved, whole, None if old else self.framing,
                        old, fault == "informational")
        run.framing = answer.framing
        # Without a length, an end in order is the end of the answer.
        if fault in ("cut", "reset_within"):
            await sender.cut(answer, fault == "cut" and answer.framing != "connection")
            return False
        if fault == "twice" and not answer.closes:
            self.world.tasks.add(await sender.send_twice(answer))
        else:
            await sender.send(answer)
        self.says.told(request_id, told)
        return not answer.closes
