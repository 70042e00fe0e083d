"""Callers on slow links: each asks for a download, reads it slowly, and sends safe requests
behind it until it has read that the connection closes. Draws of their own: those of the
faults stay."""

import asyncio
import random
import socket
import time

import wire
from caller import Caller, Request
from target import body_of

CALLERS = 6  # of a node that is about to stop
PAUSE_S = 1.0  # between two others, on average
RECEIVE_BUFFER = 32 * 1024
READ_S = (2.0, 5.5)  # until a download is read, from its sending
STEP_S = 0.05  # between two reads
SEND_S = 0.4  # between two requests
BEHIND = 12  # requests behind a download, at most
DEADLINE_S = 6.5  # that each request names
BEGIN_S = 0.5  # such callers begin over so long a time


class Slow:
    def __init__(self, world):
        self.world = world
        self.rng = random.Random("slow %d" % world.args.seed)

    def _request(self, node, kind, path, behind):
        request_id = "%016x" % self.rng.getrandbits(64)
        request = Request(request_id, kind, node, DEADLINE_S)
        request.path, request.method, request.body = path, "GET", b""
        request.behind = behind
        return request

    async def _send(self, sock, request):
        fields = {"Host": "h.example", "X-Request-Id": request.id,
                  "X-Deadline-Ms": str(int(DEADLINE_S * 1000))}
        if self.world.organisations:
            fields.update(self.world.organisations.fields(request))
            fields.pop("Connection", None)
        request.sent, request.incarnation = time.monotonic(), request.node.incarnation
        self.world.requests[request.id] = request
        data = wire.message("GET %s HTTP/1.1" % request.path, fields)
        await asyncio.get_running_loop().sock_sendall(sock, data)

    async def _send_behind(self, sock, node, requests):
        for _ in range(BEHIND):
            await asyncio.sleep(SEND_S)
            request = self._request(node, "safe", "/list/1", True)
            requests.append(request)
            await self._send(sock, request)

    async def _pump(self, sock, reader, download):
        """Feeds a reader at the rate that ends the download in time."""
        loop, total = asyncio.get_running_loop(), 0
        size = len(body_of(download.id, download.path))
        read_s = self.rng.uniform(*READ_S)
        try:
            while True:
                await asyncio.sleep(STEP_S)
                due = int(size * (time.monotonic() - download.sent) / read_s) - total
                got = await loop.sock_recv(sock, max(due, 1))
                if not got:
                    break
                reader.feed_data(got)
                total += len(got)
        except OSError:
            pass
        reader.feed_eof()

    async def _read(self, caller, requests, reader):
        """Reads answers in order. Returns how many requests are done, and what happens to
        the others."""
        done = 0
        while done < len(requests):
            request = requests[done]
            try:
                kept = await asyncio.wait_for(caller.read(request, reader), DEADLINE_S + 2.0)
            except asyncio.TimeoutError:
                return done, "silent"
            except (wire.Broken, OSError):
                return done, "closed"
            request.ended = time.monotonic()
            self.world.check(request)
            done += 1
            if not kept:
                break
            if done == len(requests):  # the next one may not be sent yet
                await asyncio.sleep(2 * SEND_S)
        return done, "unread"

    async def _play(self, node):
        caller, reader = Caller(self.world, node.zone), asyncio.StreamReader(limit=1 << 20)
        requests = [self._request(node, "download", "/export/1", False)]
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        tasks = []
        try:
            ip, port = node.address.split(":")
            await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
            await self._send(sock, requests[0])
            tasks = [asyncio.ensure_future(self._pump(sock, reader, requests[0])),
                     asyncio.ensure_future(self._send_behind(sock, node, requests))]
            done, rest = await self._read(caller, requests, reader)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            sock.close()
        for request in requests[done:]:
            request.end, request.ended = rest, time.monotonic()
            self.world.check(request)

    async def _play_later(self, node, delay_s):
        await asyncio.sleep(delay_s)
        try:
            await self._play(node)
        except OSError:
            pass  # the node takes no new connections any more

    async def hold(self, node):
        """Several at one node."""
        await asyncio.gather(*[self._play_later(node, self.rng.uniform(0, BEGIN_S))
                               for _ in range(CALLERS)])

    async def run(self):
        """One after the other, at any node."""
        tasks = set()
        while time.monotonic() < self.world.ends:
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_S))
            nodes = [n for n in self.world.nodes if n.running() and not n.paused]
            if nodes:
                tasks.add(asyncio.ensure_future(self._play_later(self.rng.choice(nodes), 0)))
        if tasks:
            await asyncio.wait(tasks, timeout=2 * DEADLINE_S)
