"""A small deployment on loopback: the real gateways, the project's stand-in of the
platform's store, and servers that do what a case tells them. Times are the real clock's.
Each case writes what it sent, was answered and what ran to record.txt."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

import wire  # noqa: E402
from store import Store  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "fescuesaddle-gateway")
HOST = "demo.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
          "idle_timeout_ms": 10000}
# Like those of a small deployment.
SETTINGS = """\
name: "{name}"
region: "r"
failure_domain: "{zone}"
caller_listen: "{ip}:{base}"
peer_listen: "{ip}:{peer}"
operator_listen: "{ip}:{operator}"
ready_listen: "{ip}:{ready}"
resolve_listen: "{ip}:{directory}"
load_listen: "{ip}:{load}"
platform: "{store}"
fleet_key: "fescuesaddle-gateway-fleet"
seeds: [{seeds}]
answer_ttl_ms: 2000
memory_mb: {memory_mb}
max_fds: {max_fds}
link_mbps: 1000
stop_grace_s: {grace_s}
retry_ratio: 0.2
retry_slack: 62
retry_window_s: 10
even_load_nodes: 150
first_start: {first}
"""


class Record:
    def __init__(self, folder):
        self.begin = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text, *args):
        line = "%8.3f %s" % (time.monotonic() - self.begin, text % args if args else text)
        self.out.write(line + "\n")
        self.out.flush()


class Server:
    """One server of a service. `behave(server, request)` is an async function that
    returns (status, fields, body), or None if it has answered by itself."""

    def __init__(self, world, name, service, zone="z1", slots=4, work_s=0.05, behave=None):
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.slots, self.work_s, self.behave = slots, work_s, behave
        self.born, self.seq = int(time.time() * 1000), 0
        self.state = "ready"
        self.server, self.port, self.writers = None, 0, set()
        self.alive = True
        self.silent = False  # neither reads nor beats

    async def start(self, port=0, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self._connection, ip, port, limit=1 << 22,
                                                 reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        self.ip = ip
        self.beat()
        self.task = asyncio.ensure_future(self._beats())
        return self

    def entry(self):
        self.seq += 1
        return json.dumps({
            "service": self.service, "address": "%s:%d" % (self.ip, self.port),
            "zone": self.zone, "version": "v1", "capacity": self.slots,
            "state": self.state, "cold_left_ms": 0, "call_seq": self.seq, "born": self.born})

    def beat(self):
        self.world.store.put("servers/" + self.name, self.entry())

    async def _beats(self):
        while self.alive:
            await asyncio.sleep(1.5)
            key = "servers/" + self.name
            if self.alive and not self.silent and key not in self.world.store.items:
                self.beat()

    async def end(self, forget=True):
        self.alive = False
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            wire.reset(writer)
        if forget:
            self.world.store.delete("servers/" + self.name)

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.alive:
                start, fields = await wire.read_head(reader)
                body = await wire.read_body(reader, fields)
                if not await self._serve(start, fields, body, reader, writer):
                    return
        except (wire.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send(self, writer, status, fields, body=b""):
        writer.write(wire.message("HTTP/1.1 %d X" % status, fields, body))
        await writer.drain()

    async def _serve(self, start, fields, body, reader, writer):
        method, path = start.split(" ")[:2]
        request_id = fields.get("x-request-id", "")
        base = {"X-Request-Id": request_id}
        if path == "/health":
            await self.send(writer, 200, {"X-Instance-Id": self.name})
            return True
        if fields.get("x-expect-instance", self.name) != self.name:
            self.world.record("server %s got id=%s for %s: 421", self.name, request_id,
                              fields.get("x-expect-instance"))
            await self.send(writer, 421, base)
            return True
        if not request_id:
            await self.send(writer, 400, dict(base, **{"X-Not-Executed": "1"}))
            return True
        run = Run(self, method, path, request_id, fields, body, reader, writer)
        if self.behave:
            answer = await self.behave(self, run)
            if answer is None:
                return False
            status, more, text = answer
            await self.send(writer, status, dict(base, **more), text)
            return True
        run.begin()
        await asyncio.sleep(self.work_s)
        await self.send(writer, 200, dict(base, **{"X-Response-Seal": seal_of(request_id)}),
                        body_of(request_id))
        return True


class Run:
    def __init__(self, server, method, path, request_id, fields, body, reader, writer):
        self.server, self.method, self.path, self.id = server, method, path, request_id
        self.fields, self.body, self.reader, self.writer = fields, body, reader, writer

    def begin(self):
        self.at = time.monotonic()
        self.server.world.runs.append(self)
        self.server.world.record("server %s (%s) runs id=%s %s %s body=%d", self.server.name,
                                 self.server.service, self.id, self.method, self.path,
                                 len(self.body))


def seal_of(request_id):
    return "seal." + request_id


def body_of(request_id):
    return ("body of %s " % request_id).encode() * 8


class World:
    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temp = tempfile.TemporaryDirectory()
        self.store = Store(random.Random(1))
        self.runs, self.gateways = [], []
        self.children = []  # other processes of a case
        self.version = 0

    def config(self, routes, services, **more):
        self.version += 3
        rcols = ["name", "host", "prefix", "service", "split", "kind", "max_attempts",
                 "timeout_ms", "target_latency_ms", "priority"]
        scols = ["name", "health_path"]
        text = {"version": self.version,
                "routes": {"columns": rcols,
                           "rows": [[r.get(c, HOST if c == "host" else None) for c in rcols]
                                    for r in routes]},
                "services": {"columns": scols, "rows": [[s, "/health"] for s in services]},
                "limits": dict(LIMITS)}
        text.update(more)
        self.store.put("op/config", json.dumps(text))
        self.record("config version %d acknowledged", self.version)

    async def gateway(self, name="g1", zone="z1", ip="127.0.0.1", memory_mb=260, max_fds=4100,
                      grace_s=6, first="true", seeds=None):
        g = Gateway(self, name, zone, ip, memory_mb, max_fds, grace_s, first)
        g.store_port = await self.store.serve(name)
        if seeds:
            g.seeds = seeds
        g.start()
        self.gateways.append(g)
        return g

    async def close(self):
        for child in self.children:
            if child.returncode is None:
                child.kill()
                await child.wait()
        for g in self.gateways:
            g.end()
        self.store.close()
        self.temp.cleanup()


def free_base(ip):
    """A run of free ports."""
    for base in range(21000, 60000, 16):
        try:
            held = []
            for port in range(base, base + 6):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    held.append(s)
                    s.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise RuntimeError("no ports")


class Gateway:
    def __init__(self, world, name, zone, ip, memory_mb, max_fds, grace_s, first):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.memory_mb, self.max_fds, self.grace_s, self.first = memory_mb, max_fds, grace_s, first
        self.base = free_base(ip)
        self.seeds = ["%s:%d" % (ip, self.base + 2)]
        self.log_path = os.path.join(os.environ.get("KEEP_LOGS", world.temp.name), name + ".log")
        self.process = None

    def start(self):
        path = os.path.join(self.world.temp.name, self.name + ".yaml")
        with open(path, "w", encoding="ascii") as out:
            out.write(SETTINGS.format(
                name=self.name, zone=self.zone, ip=self.ip, base=self.base, peer=self.base + 2,
                operator=self.base + 4, ready=self.base + 1, directory=self.base + 3,
                load=self.base + 5, store="127.0.0.1:%d" % self.store_port,
                seeds=",".join('"%s"' % s for s in self.seeds), memory_mb=self.memory_mb,
                max_fds=self.max_fds, grace_s=self.grace_s, first=self.first))
        self.log = open(self.log_path, "ab")
        env = {"PATH": os.environ["PATH"], "FESCUESADDLE_NODE_FILE": path}
        self.process = subprocess.Popen([PROGRAM], env=env, stdout=self.log, stderr=self.log,
                                        cwd=ROOT)
        self.world.record("gateway %s started", self.name)

    async def ready(self, timeout_s=10):
        ends = time.monotonic() + timeout_s
        while time.monotonic() < ends:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.base + 1)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                start, _ = await wire.read_head(reader)
                writer.close()
                if " 200" in start:
                    self.world.record("gateway %s ready", self.name)
                    return True
            except (OSError, wire.Broken):
                pass
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        self.world.record("gateway %s: signal %d", self.name, number)
        self.process.send_signal(number)

    def running(self):
        return self.process.poll() is None

    def end(self):
        if self.process and self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()
            self.log.close()


class Client:
    """One connection of a client."""

    def __init__(self, world, gateway):
        self.world, self.gateway = world, gateway

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.gateway.ip, self.gateway.base, limit=1 << 24)
        return self

    def send(self, request_id, path, method="GET", body=None, deadline_ms=5000, **more):
        fields = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
        fields.update(more)
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        head += "".join("%s: %s\r\n" % f for f in fields.items())
        if body is not None:
            head += "Content-Length: %d\r\n" % len(body)
        self.world.record("client sends id=%s %s %s", request_id, method, path)
        self.writer.write(head.encode() + b"\r\n" + (body or b""))

    async def answer(self, request_id="?", timeout_s=20):
        """Returns (status, fields, body), or None if the connection ended."""
        async def read():
            start, fields = await wire.read_head(self.reader)
            return int(start.split(" ")[1]), fields, await wire.read_body(
                self.reader, fields, to_end=True)
        try:
            got = await asyncio.wait_for(read(), timeout_s)
        except wire.Broken as error:
            self.world.record("client: no answer to id=%s (%s)", request_id, str(error) or "closed")
            return None
        except asyncio.TimeoutError:
            self.world.record("client: no answer to id=%s in %.1f s", request_id, timeout_s)
            return None
        self.world.record("client: answer %d to id=%s (X-Request-Id %s, seal %s, %d bytes)", got[0],
                          request_id, got[1].get("x-request-id"), got[1].get("x-response-seal"),
                          len(got[2]))
        return got

    def close(self):
        self.writer.close()


def main(case, folder):
    """Runs a case: an async function of the world that returns 0, 1 or 2."""
    async def run():
        world = World(folder)
        try:
            code = await asyncio.wait_for(case(world), 110)
        except Exception as error:  # the case could not run
            world.record("error: %r", error)
            print("could not run: %r" % error)
            code = 2
        finally:
            await world.close()
        world.record("exit %d", code)
        return code
    sys.exit(asyncio.run(run()))
