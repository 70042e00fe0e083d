"""What lies between the gateways and one target. It passes bytes, and plays the faults of
a link: late bytes, silence one way or both ways, resets, tiny pieces."""

import asyncio
import time

import wire
from link import Link


class Relay:
    FAULTS = ("delay", "to_target", "to_gateway", "both", "reset", "tiny")

    def __init__(self, rng):
        self.rng = rng
        self.kind = None  # one of FAULTS
        self.troubles = []  # [begin, end] of each fault
        self.links = {}  # port of the connection to the target, to its link

    async def start(self, port, target_port):
        self.target_port = target_port
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", port)

    async def _connection(self, reader, writer):
        try:
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            wire.reset(writer)
            return
        port = target[1].get_extra_info("sockname")[1]
        self.links[port] = link = Link(self, (reader, writer), target)
        try:
            await link.run()
        finally:
            del self.links[port]

    def begin(self, kind):
        self.end()
        self.kind = kind
        self.troubles.append([time.monotonic(), None])

    def end(self):
        if self.kind:
            self.troubles[-1][1] = time.monotonic()
        self.kind = None

    def calm_between(self, begin, end):
        return not any(b <= end and (e is None or e >= begin) for b, e in self.troubles)

    def close(self):
        self.server.close()
        for link in list(self.links.values()):
            link.reset()
