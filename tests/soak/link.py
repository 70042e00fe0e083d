"""One connection of a gateway to a target, through the target's relay."""

import asyncio

import wire

POLL_S = 0.02
DELAY_S = 0.3
TINY_BYTES, TINY_PIECES = 30, 60  # of what is read at a time
RESET_BYTES = (1, 300, 3000, 200_000)


class Link:
    def __init__(self, relay, gateway, target):
        self.relay, self.rng = relay, relay.rng
        self.gateway, self.target = gateway, target  # (reader, writer) each
        self.hit_at = 0.0  # when a fault last held or reset it
        self.left = None  # bytes to the gateway until it is reset

    async def run(self):
        (gateway_in, gateway_out), (target_in, target_out) = self.gateway, self.target
        try:
            await asyncio.gather(self._pass(gateway_in, target_out, "to_target"),
                                 self._pass(target_in, gateway_out, "to_gateway"))
            gateway_out.close()
            target_out.close()
        except BaseException as error:
            self.reset()
            if not isinstance(error, OSError):
                raise

    def reset(self):
        wire.reset(self.gateway[1])
        wire.reset(self.target[1])

    async def _pass(self, reader, writer, way):
        try:
            while data := await reader.read(1 << 16):
                await self._write(data, writer, way)
        finally:  # its end is held as well
            await self._hold(way)
        writer.write_eof()

    async def _write(self, data, writer, way):
        pieces = 0
        while data:
            await self._hold(way)
            size = len(data)
            if self.relay.kind == "tiny" and pieces < TINY_PIECES:
                size = min(size, self.rng.randrange(1, TINY_BYTES))
            elif self.relay.kind == "delay":
                self.hit()
                await asyncio.sleep(self.rng.uniform(0, DELAY_S))
            elif self.relay.kind == "reset" and way == "to_gateway":
                size = self._until_reset(size)
            writer.write(data[:size])
            await writer.drain()
            data, pieces = data[size:], pieces + 1
            if self.left == 0:
                await asyncio.sleep(self.rng.uniform(0, DELAY_S))
                raise ConnectionResetError
            if data:
                await asyncio.sleep(0)

    def _until_reset(self, size):
        if self.left is None:
            self.left = self.rng.randrange(1, self.rng.choice(RESET_BYTES) + 1)
        size = min(size, self.left)
        self.left -= size
        if not self.left:
            self.hit()
        return size

    async def _hold(self, way):
        while self.relay.kind in (way, "both"):
            self.hit()
            await asyncio.sleep(POLL_S)

    def hit(self):
        self.hit_at = asyncio.get_running_loop().time()
