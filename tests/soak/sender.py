"""A target's side of one connection: writes answers at once or piece by piece, cuts them,
and repeats them late."""

import asyncio
import contextlib
import time

import wire

PAUSE_S = 0.05  # longest between two pieces
LONG_PAUSE_S = 0.3  # the same, of a target that stutters
LATE_S = 0.5  # longest until a piece of a second copy
NEXT_S = 1.0  # longest wait for the next answer on the connection
CUT_S = (0.0, 0.02, 0.4, 2.0)  # longest until the reset of a cut answer


class Sender:
    def __init__(self, rng, writer, link, target):
        self.rng, self.writer, self.link = rng, writer, link
        self.target = target
        self.turn = 0  # of the run in progress
        self.answering = False  # an answer is being written
        self.spoiled = None  # the first turn whose second copy is on the connection
        # Held by an answer in which a copy would pass for a part of its body.
        self.closed_body = asyncio.Lock()

    async def _write(self, pieces, pause_s):
        """A write that fails half-way must not look like an end."""
        try:
            for i, piece in enumerate(pieces):
                if i and pause_s:
                    await asyncio.sleep(self.rng.uniform(0, pause_s))
                self.writer.write(piece)
                await self.writer.drain()
        except BaseException:
            wire.reset(self.writer)
            raise

    def _drawn(self, pieces):
        """The pieces, or all of them in one, and the longest pause between them."""
        if self.target.stutters:
            return pieces, LONG_PAUSE_S
        if self.rng.random() < 0.5:
            return [b"".join(pieces)], 0.0
        return pieces, self.rng.choice((0.0, PAUSE_S))

    async def send(self, answer, behind=b""):
        """Writes a whole answer, and other bytes with its end."""
        pieces, pause_s = self._drawn([answer.before + answer.pieces[0]] + answer.pieces[1:])
        pieces = pieces[:-1] + [pieces[-1] + behind]
        chunks = answer.framing == "chunks"
        async with contextlib.nullcontext() if chunks else self.closed_body:
            self.answering = True
            await self._write(pieces, pause_s)
            self.answering = False

    async def cut(self, answer, in_order):
        """Writes a part and closes the connection, in order or with a reset."""
        size = self.rng.randrange(1, len(answer) + (not in_order))
        await self._write(*self._drawn(answer.cut(size)))
        if not in_order:
            await asyncio.sleep(self.rng.uniform(0, self.rng.choice(CUT_S)))
            wire.reset(self.writer)

    async def send_twice(self, answer):
        """Writes an answer; a copy of it, whole or cut, follows behind or later."""
        whole = self.rng.random() < 0.5
        pieces = answer.pieces if whole else answer.cut(self.rng.randrange(1, len(answer)))
        pieces, _ = self._drawn(pieces)
        at_once = self.rng.random() < 0.4
        if self.spoiled is None:
            self.spoiled = self.turn
        await self.send(answer, pieces[0] if at_once else b"")
        return asyncio.ensure_future(self._repeat(pieces[1:] if at_once else pieces))

    async def _next_answer(self):
        """Waits until the next request is being answered, but not for long."""
        ends = time.monotonic() + NEXT_S
        while not self.answering and time.monotonic() < ends:
            await asyncio.sleep(PAUSE_S / 5)

    async def _repeat(self, pieces):
        resets = self.rng.random() < 0.1
        if self.rng.random() < 0.5:
            await self._next_answer()
        try:
            for piece in pieces:
                await asyncio.sleep(self.rng.uniform(0, self.rng.choice((PAUSE_S, LATE_S))))
                async with self.closed_body:
                    await self._write([piece], 0.0)
            if resets:
                self.link.hit()
                wire.reset(self.writer)
        except OSError:
            pass
