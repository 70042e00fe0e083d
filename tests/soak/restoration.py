"""The store comes back from a copy: a scene around it, and what has to hold
then. What the operator and the servers had written since, they write again
within about two seconds, or at their next beat."""

import asyncio
import time

from target import BEAT_S, Target

KNOWN_S = 2.2  # until nodes have read of a leaving, before the store goes away
POLL_S = 2.2  # until the nodes' waiting calls are answered and made anew
COPY_MARGIN_S = 0.2  # the copy is so much older than the scene
AWAY_S = (0.05, 0.15, 1.5)  # so short that no other node begins to read, or longer
OPERATOR_S = (0.2, 2.0)
EXPIRES_S = 3 * BEAT_S  # a server that is silent for so long is removed
USED_S = 6.0  # calm of the store in which a new instance gets work
GIVE_UP_S = 14.0
APART_S = 7.0  # of two restorations


class Restoration:
    def __init__(self, world, rng):
        self.world, self.rng, self.store = world, rng, world.store

    async def run(self):
        begun = time.monotonic()
        if begun < self.world.restored_at + APART_S:
            return
        self.world.restored_at = begun
        leaving = await self._leaves() if self.rng.random() < 0.8 else None
        await self.world.move(self.rng)
        for target in [t for t in self.world.targets if t.alive]:
            target.write_entry()  # the copy is older than what the nodes have read of
        await asyncio.sleep((KNOWN_S if leaving else POLL_S) + self.rng.uniform(0, 1.0))
        for target in self.world.targets:
            target.note_leaving_is_known(KNOWN_S)
        self.world.config_back_at = float("inf")
        await self.store.restore(begun - COPY_MARGIN_S, self.rng.choice(AWAY_S))
        self.world.count["leaving known at a restoration"] += sum(
            t.leaving_known and t.alive for t in self.world.targets)
        if self.rng.random() < 0.4:
            await self._catch_up()
        self.world.tasks.add(asyncio.ensure_future(self._expire()))
        self.world.tasks.add(asyncio.ensure_future(self._old_id()))
        await self._operator()

    async def _leaves(self):
        target = self.world.pick_target(self.rng, ("list", "pay"))
        await self.world.add_target(target.service, target.zone)
        self.world.tasks.add(asyncio.ensure_future(target.leave()))
        while not target.leaving_at:
            await asyncio.sleep(0.05)
        return target

    async def _catch_up(self):
        """Until the nodes get through, the others write so much that revisions which
        the nodes have read of are given out again."""
        nodes = self.world.nodes
        self.store.refused = {n.name: "reset" for n in nodes}
        last = self.store.rev + self.store.lost_revisions + self.rng.randrange(0, 20)
        await self.world.move(self.rng, wait_s=0.0)
        while self.store.rev < last:
            for target in [t for t in self.world.targets if t.alive]:
                target.write_entry()
        if self.rng.random() < 0.5:
            self.world.configure_again()
        print("lost revisions are given out again, version %d" % self.world.version, flush=True)
        await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        self.store.refused = {}
        self.store.disturbed_at = time.monotonic()

    async def _operator(self):
        await asyncio.sleep(self.rng.uniform(*OPERATOR_S))
        while not self.world.configure_again():
            await asyncio.sleep(0.3)

    async def _expire(self):
        """Entries of servers that had gone are in the copy again."""
        await asyncio.sleep(EXPIRES_S)
        alive = {"servers/" + t.name for t in self.world.targets if t.alive}
        for key in [k for k in self.store.items if k.startswith("servers/t") and k not in alive]:
            while not self.store.delete(key):
                await asyncio.sleep(0.3)

    async def _old_id(self):
        """A new instance under the id of a server that has gone gets work, though
        the revisions of the id's last entries are given out again."""
        gone = [t for t in self.world.targets
                if not (t.alive or t.has_successor) and t.service in ("list", "pay")]
        if not gone:
            return
        old = gone[-1]
        old.has_successor = True
        again = Target(self.world, old.name, old.service, old.zone, old.slots)
        await again.start()
        self.world.targets.append(again)
        calm_since = begun = time.monotonic()
        while time.monotonic() - begun < GIVE_UP_S and again.alive and not again.leaving_at:
            await asyncio.sleep(0.1)
            if again.served:
                self.world.count["old id used"] += 1
                return
            if not self.store.calm_for(0.2) or again.fault:
                calm_since = time.monotonic()
            if time.monotonic() - calm_since > USED_S and self.world.loading:
                self.world.report(
                    "UNUSED", "%s, a new instance under an old id, got nothing in %.1f s" % (
                        again.name, USED_S))
                return
