"""Clients that hold connections to one node open and use them until the node has
closed them, whatever the directory says; some of their requests take long."""

import asyncio

from caller import Caller
from node import GRACE_S

CONNECTIONS = 4
SLEEPERS = 12  # more, used once and then left open for some time
AHEAD_S = 0.7  # they begin so long before the node is told to stop
LONG_S = (0.5, 4.5)  # work that takes a large part of the grace time
LONG_DEADLINE_S = 6.0
IDLE_S = 0.8  # longest pause on an open connection


class Holder:
    def __init__(self, world, node):
        self.world, self.node = world, node
        self.incarnation = node.incarnation

    def _draw(self):
        rng = self.world.rng
        long_path = "/%d" % int(1000 * rng.uniform(*LONG_S))
        return rng.choices(
            (("safe", "/list/1", "GET", 3.0), ("unsafe", "/pay/1", "POST", 3.0),
             ("safe", "/longget" + long_path, "GET", LONG_DEADLINE_S),
             ("unsafe", "/longpay" + long_path, "POST", LONG_DEADLINE_S)),
            (4, 4, 1, 1))[0]

    async def _send(self, caller, connection):
        """Returns the connection if it stays open."""
        kind, path, method, deadline_s = self._draw()
        body = b"x" * self.world.rng.randrange(0, 3000) if method == "POST" else b""
        request = caller.new_request(kind, path, method, body, self.node, deadline_s)
        request.held = True
        kept = await caller.exchange(request, connection, deadline_s + 2.0)
        return connection if kept else None

    async def _hold(self, caller):
        """One connection; a new one for as long as the node takes new ones."""
        connection = None
        try:
            while self.node.incarnation == self.incarnation:
                connection = connection or await caller.connect(self.node.address)
                connection = await self._send(caller, connection)
                pause_s = self.world.rng.choice((0.0, 0.05, IDLE_S))
                await asyncio.sleep(self.world.rng.uniform(0, pause_s))
        finally:
            if connection:
                connection[1].close()

    async def _sleep(self, caller):
        """An open connection that is used again at some time of the stop."""
        connection = await caller.connect(self.node.address)
        kept = await caller.exchange(
            caller.new_request("safe", "/list/1", "GET", b"", self.node, 3.0), connection, 5.0)
        try:
            await asyncio.sleep(AHEAD_S + self.world.rng.uniform(0, GRACE_S))
            if kept:
                await self._send(caller, connection)
        finally:
            connection[1].close()

    async def run(self):
        parts = [self._hold] * CONNECTIONS + [self._sleep] * SLEEPERS
        await asyncio.gather(
            *[part(Caller(self.world, self.node.zone)) for part in parts],
            return_exceptions=True)  # the node takes no new connections any more
