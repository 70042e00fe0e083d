#!/usr/bin/env python3
"""A randomized soak of the gateway: real processes, stand-ins around them, faults
from outside, and the promises of the pages checked from what callers and targets
see while it runs.

    soak.py PROGRAM --seed N --seconds S [--nodes N] [--only FAULTS] [--organisations]
            [--keep FOLDER]

Exit 0 if every check held. The same seed draws the same faults; processes and
the network keep their own time. Faults between nodes are pauses and kills only:
they gossip directly. The time of day is not changed: that needs privileges.
"""

import argparse
import asyncio
import base64
import collections
import json
import os
import random
import shutil
import socket
import sys
import tempfile
import time

from answer import FRAMINGS
from ahead import Ahead
from caller import LATE_S, Caller
from holder import AHEAD_S, Holder
from lost import LostCheck
from node import GRACE_S, LAG_MAX_S, Node
from organisations import Organisations
from relay import Relay
from restoration import Restoration
from run import Run
from slow import Slow
from store import Store
from target import Target, body_of

ZONES = ("a", "b", "c")
SERVICES = ("list", "pay", "export", "long")
LONG_SLOTS = 12  # of a target whose requests last long
TARGETS_A_ZONE = 2
STABLE_S = 3.0  # of the pages: machines and store without a fault
DRAIN_S = 2.0  # until nobody sends to a leaving target
RESTORED_DRAIN_S = 2.5  # the same, if the store has been restored since
CONFIG_S = 2.0  # until a configuration is in force
BACK_S = 0.25  # a node that has shown a version does not show an older one
CALM_END_S = 8.0  # without faults at the end
CALM_MIN_S = 2.0  # of it, if the faults took longer
SERVED_MIN = 0.9  # of the requests in that calm
NOT_RUN = (408, 421, 429, 503)
RATE = 60  # requests a second
SMALL = 6  # nodes; more are stopped at shorter intervals
PAUSE_SHARE = 0.15  # of the faults are followed by a pause
SPELL_S = 8.0  # of planned work only, or of faults of all kinds
PAUSE_S = 6.0  # twice the time after which a machine counts as calm


class World:
    def __init__(self, args, folder):
        self.args, self.folder = args, folder
        self.rng = random.Random(args.seed)
        self.store = Store(self.rng)
        self.nodes, self.targets, self.callers = [], [], []
        self.requests, self.runs = {}, collections.defaultdict(list)
        self.arrivals = collections.defaultdict(list)  # request id to (time, target)
        self.work, self.found = {}, []
        self.mixed = []  # requests, whose log lines are printed at the end
        self.count = collections.Counter()
        self.version, self.acked = 0, []  # (time, version, service of /moved/)
        self.seen = {}  # (node, incarnation) to (version, time)
        self.loading = False
        self.ends = float("inf")  # of the load
        self.config_back_at = 0.0  # when a restored store had the newest again
        self.restored_at = 0.0
        self.tasks = set()  # running beside the faults
        self.lagged_at = 0.0
        self.names = 0
        self.begun = time.monotonic()
        self.organisations = Organisations(self) if args.organisations else None
        self.slow = Slow(self)

    # Checks

    def report(self, rule, text):
        line = "%7.2f %s: %s" % (time.monotonic() - self.begun, rule, text)
        self.found.append(line)
        print(line, flush=True)

    def on_time(self):
        return time.monotonic() - self.lagged_at > 1.0

    def arrived(self, target, request_id, path, fields):
        request = self.requests.get(request_id)
        if not request:
            self.report("UNASKED", "%s got request %s" % (target.name, request_id))
            return
        self.arrivals[request_id].append((time.monotonic(), target))
        target.says.arrived(request)
        if self.organisations:
            self.organisations.arrived(target, request, fields)
        late = time.monotonic() - (target.leaving_at or time.monotonic())
        known = self.store.calm_for(STABLE_S + late)
        bound = DRAIN_S
        if target.leaving_known:  # a restored store does not make it unknown
            known, bound = True, RESTORED_DRAIN_S
        if (
            late > bound
            and request.sent > target.leaving_at + bound
            and known
            and request.node.calm_for(STABLE_S + late)
        ):
            self.report("DRAIN", "%s got %s %.1f s after it drained" % (target.name, request_id, late))

    def ran(self, target, request_id, method, path, body, fault, sender):
        request = self.requests.get(request_id)
        runs = self.runs[request_id]
        runs.append(Run(target, fault, sender))
        if not request:
            return runs[-1]
        if self.organisations:
            self.organisations.ran(request)
        if (method, path, body) != (request.method, request.path, request.body):
            self.report("UNASKED", "%s ran a changed %s" % (target.name, request_id))
        if request.kind == "unsafe" and len(runs) > 1:
            self.report("TWICE", "%s ran on %s" % (request_id, [r.target.name for r in runs]))
        if request.end in NOT_RUN:
            self.report("REFUSED", "%s ran after its %s" % (request_id, request.end))
        if request.kind == "moved":
            self.check_config(request, target.service)
        allowed = {"/list/": ("list",), "/pay/": ("pay",), "/export/": ("export",),
                   "/longget/": ("long",), "/longpay/": ("long",)}
        for prefix, services in allowed.items():
            if path.startswith(prefix) and target.service not in services:
                self.report("ROUTE", "%s ran %s" % (target.service, path))
        return runs[-1]

    def check_config(self, request, service):
        now = time.monotonic()
        version = max(v for _, v, s in self.acked if s == service)
        key = (request.node.name, request.incarnation)
        due = [v for at, v, _ in self.acked
               if max(at, self.config_back_at) + CONFIG_S < request.sent]
        calm_s = STABLE_S + now - request.sent
        calm = request.node.calm_for(calm_s) and self.store.calm_for(calm_s)
        if due and version < max(due) and calm and self.on_time():
            self.report("CONFIG", "%s shows %d, %d is due" % (request.node.name, version, max(due)))
        known, at = self.seen.get(key, (0, now))
        if version < known and request.sent > at + BACK_S and request.node.calm_for(STABLE_S):
            self.report("CONFIG", "%s went back from %d to %d" % (request.node.name, known, version))
        if version > known:
            self.seen[key] = (version, now)

    def is_due(self, request, at):
        """Returns if what was acknowledged at a time was in force for a request."""
        calm_s = STABLE_S + time.monotonic() - request.sent
        return (at is not None and self.on_time() and request.node.calm_for(calm_s)
                and self.store.calm_for(calm_s)
                and max(at, self.config_back_at) + CONFIG_S < request.sent)

    def check(self, request):
        node, took = request.node, request.ended - request.sent
        self.count["%s %s" % (request.kind, request.end)] += 1
        if request.held and node.term_at and request.sent > node.term_at:
            self.count["after SIGTERM"] += 1
        if request.whole is False:
            self.mixed.append(request)
            form = "%s at %s got %s, not its own whole answer: %d of %d bytes in %s%s; ran on %s"
            self.report("MIXED", form % (
                request.id, node.name, request.end, request.bytes,
                len(body_of(request.id, request.path)), request.framing,
                "" if request.sealed else ", without its seal",
                [str(run) for run in self.runs.get(request.id, [])]))
        if request.end in NOT_RUN and self.runs.get(request.id):
            self.report("REFUSED", "%s got %s and has run" % (request.id, request.end))
        if request.end == 401 and self.organisations:
            self.organisations.check(request)
        elif request.end in (400, 401, 403, 404, 405, 413, 431):
            self.report("DENIED", "%s got %s at %s" % (request.id, request.end, node.name))
        same = node.incarnation == request.incarnation and node.running() and not node.paused
        late = took - request.deadline_s
        if late > LATE_S and same and node.calm_for(took + STABLE_S) and self.on_time():
            self.report("LATE", "%s ended %.2f s late at %s" % (request.id, late, node.name))

    # The world

    def node_at(self, address):
        ip = address.split(":")[0]
        return next(n for n in self.nodes if n.ip == ip)

    def configure(self, moved):
        """Writes a version that sends /moved/ to a service."""
        self.version += self.rng.randrange(1, 5)
        columns = ["name", "host", "prefix", "kind", "service", "timeout_ms",
                   "target_latency_ms", "max_attempts", "priority"]
        rows = [
            ["r-list", "h.example", "/list/", "safe", "list", 4000, 1000, 3, 1],
            ["r-pay", "h.example", "/pay/", "unsafe", "pay", 4000, 1000, 3, 0],
            ["r-export", "h.example", "/export/", "download", "export", 7000, 1500, 2, 2],
            ["r-longget", "h.example", "/longget/", "safe", "long", 7000, 6000, 3, 1],
            ["r-longpay", "h.example", "/longpay/", "unsafe", "long", 7000, 6000, 3, 1],
            ["r-moved", "h.example", "/moved/", "safe", moved, 4000, 1000, 2, 2],
        ]
        value = {
            "version": self.version,
            "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name", "health_path"],
                         "rows": [[s, "/health"] for s in SERVICES]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_ms": 10000, "idle_timeout_ms": 20000},
        }
        if self.organisations:
            self.organisations.extend(value)
        text = json.dumps(value)
        if self.store.put("op/config", text):
            self.acked.append((time.monotonic(), self.version, moved))
            self.config, self.config_back_at = text, 0.0
            if self.organisations:
                self.organisations.acknowledged()
        else:
            self.version -= 1

    def configure_again(self):
        """Writes the newest acknowledged version once more, if it was lost."""
        item = self.store.items.get("op/config")
        same = item and base64.b64decode(item["value"]) == self.config.encode()
        if not same and not self.store.put("op/config", self.config):
            return False
        if self.config_back_at:
            self.config_back_at = time.monotonic()
        return True

    def next_moved(self):
        """Each version moves the route on, so that the service tells it."""
        name = "moved%d" % len(self.acked)
        return name

    async def add_target(self, service, zone):
        self.names += 1
        slots = LONG_SLOTS if service == "long" else 4
        target = Target(self, "t%d" % self.names, service, zone, slots)
        await target.start()
        self.targets.append(target)
        return target

    def take_site(self, base):
        """Addresses that no other soak on this machine uses meanwhile, though it
        may play the same seed."""
        for site in range(self.args.seed, self.args.seed + 250):
            self.site_lock = socket.socket()
            try:
                self.site_lock.bind(("127.1.%d.1" % (site % 250), base + 7))
                return site % 250
            except OSError:
                self.site_lock.close()
        raise RuntimeError("every address is in use")

    async def start(self):
        # Below the ports that the kernel gives to outgoing connections.
        base = 20000 + self.rng.randrange(0, 1500) * 8
        self.tasks.add(asyncio.ensure_future(self.store.copy()))
        for service in SERVICES[:4]:
            for zone in ZONES:
                for _ in range(TARGETS_A_ZONE):
                    await self.add_target(service, zone)
        await self.move(self.rng)
        site = self.take_site(base)
        ips = ["127.%d.%d.%d" % (1 + i % 3, site, 1 + i // 3) for i in range(self.args.nodes)]
        seeds = ["%s:%d" % (ip, base + 2) for ip in ips[:3]]
        for i, ip in enumerate(ips):
            name = "n%d" % i
            port = await self.store.serve(name)
            node = Node(self.folder, os.path.abspath(self.args.program), name, ZONES[i % 3],
                        ip, base, port, seeds)
            node.start()
            self.nodes.append(node)
        for i in range(12):
            self.callers.append(Caller(self, ZONES[i % 3]))

    async def move(self, rng, wait_s=1.5):
        """A new version, and a target for the service that is new with it."""
        service = self.next_moved()
        global SERVICES
        if service not in SERVICES:
            SERVICES = SERVICES + (service,)
            await self.add_target(service, rng.choice(ZONES))
            await asyncio.sleep(wait_s)  # its entry is known before it is used
        self.configure(service)

    async def load(self):
        self.loading = True
        kinds = (("safe", "/list/1", "GET"), ("unsafe", "/pay/1", "POST"),
                 ("download", "/export/1", "GET"), ("moved", "/moved/1", "GET"))
        tasks = set()
        while time.monotonic() < self.ends:
            kind, path, method = self.rng.choices(kinds, (5, 5, 1, 2))[0]
            caller = self.rng.choice(self.callers)
            leave_s = self.rng.uniform(0.01, 0.2) if self.rng.random() < 0.02 else None
            body = b"x" * self.rng.randrange(0, 3000) if method == "POST" else b""
            task = asyncio.ensure_future(caller.send(kind, path, method, body, leave_s=leave_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.rng.expovariate(RATE))
        self.loading = False
        if tasks:
            await asyncio.wait(tasks, timeout=8)

    async def watch(self):
        """Finds processes that end by themselves, and lateness of this one."""
        while time.monotonic() < self.ends:
            at = time.monotonic()
            await asyncio.sleep(0.05)
            if time.monotonic() - at > 0.05 + LAG_MAX_S:
                self.lagged_at = time.monotonic()
            for node in self.nodes:
                if not node.running() and not node.expected_end:
                    self.report("EXIT", "%s ended with %s" % (node.name, node.process.returncode))
                    node.expected_end = True
                    node.start()

    # Faults

    def pick_nodes(self, rng, share):
        up = [n for n in self.nodes if n.running() and not n.expected_end]
        return rng.sample(up, min(len(up), max(1, int(len(self.nodes) * share))))

    async def fault_kill(self, rng):
        nodes = self.pick_nodes(rng, rng.choice((0.1, 0.5, 1.0)))
        for node in nodes:
            node.kill()
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        for node in nodes:
            node.process.wait()
            node.start()

    async def fault_pause(self, rng):
        await self.pause_nodes(rng.choice((0.1, 0.3)), rng.uniform(0.5, 4.0), rng)

    async def pause_nodes(self, share, seconds, rng):
        nodes = self.pick_nodes(rng, share)
        for node in nodes:
            node.pause()
        await asyncio.sleep(seconds)
        for node in nodes:
            node.resume()

    async def stop_node(self, rng, node, again=True):
        """A planned stop under callers that hold on to the node, mixed with other
        planned work, and a start if there is to be one."""
        self.tasks.add(asyncio.ensure_future(Holder(self, node).run()))
        self.tasks.add(asyncio.ensure_future(self.slow.hold(node)))
        await asyncio.sleep(AHEAD_S)
        if node.expected_end:
            return  # another fault has taken it meanwhile
        if rng.random() < 0.3:
            await self.fault_settings(rng)
        if rng.random() < 0.3:
            self.tasks.add(asyncio.ensure_future(self.move(rng)))
        if rng.random() < 0.4:
            node.ttl_ms = rng.choice((1000, 2000, 3000))
            node.write_settings()
            node.hang_up()
            await asyncio.sleep(rng.choice((0.0, 0.002, 0.1)))
        if node.expected_end:
            return  # or during the changes
        if rng.random() < 0.4:
            self.tasks.add(asyncio.ensure_future(self.terminate_later(rng, node, node.incarnation)))
        await node.stop(self.report)
        node.process.wait()
        if again:
            node.start()

    async def terminate_later(self, rng, node, incarnation):
        """A second SIGTERM during the stop."""
        await asyncio.sleep(rng.choice((0.0, 1.0, rng.uniform(0, GRACE_S))))
        if node.incarnation == incarnation and node.running():
            node.terminate()

    async def fault_stop(self, rng):
        stops, pause = [], min(1.0, SMALL / len(self.nodes))
        for node in self.pick_nodes(rng, rng.choice((0.1, 0.4, 0.7))):
            if not node.expected_end and not node.paused:
                stops.append(asyncio.ensure_future(self.stop_node(rng, node)))
            await asyncio.sleep(pause * rng.choice((0.0, rng.uniform(0, 3.0))))
        await asyncio.gather(*stops)

    async def fault_settings(self, rng):
        for node in self.pick_nodes(rng, 0.5):
            node.ttl_ms = rng.choice((1000, 2000, 3000))
            node.write_settings()
            if rng.random() < 0.7 and not node.expected_end:
                node.hang_up()

    async def fault_store(self, rng):
        store, how = self.store, rng.choice(("reset", "silent", "503"))
        what = rng.choice(("down", "refused", "slow", "lost", "compact"))
        if what == "down":
            store.down = how
        elif what == "refused":
            store.refused = {n.name: how for n in self.pick_nodes(rng, 0.5)}
        elif what == "slow":
            store.slow_s = rng.uniform(0.1, 0.5)
        elif what == "lost":
            store.lost = 0.3
        else:
            store.compact()
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        store.down, store.refused, store.slow_s, store.lost = None, {}, 0.0, 0.0
        store.disturbed_at = time.monotonic()

    def pick_target(self, rng, services=SERVICES[:4]):
        up = [t for t in self.targets
              if t.alive and not t.leaving_at and t.service in services]
        return rng.choice(up)

    def pick_targets(self, rng):
        """One target, or all of a service."""
        one = self.pick_target(rng)
        if rng.random() < 0.6:
            return [one]
        return [t for t in self.targets if t.alive and t.service == one.service]

    async def fault_target(self, rng):
        hit = self.pick_targets(rng)
        share = rng.choice((0.1, 0.6, 1.0) if len(hit) == 1 else (0.1, 0.3))
        fault = rng.choice(Target.FAULTS)
        for target in hit:
            target.share, target.fault = share, fault
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        for target in hit:
            target.fault = None

    async def fault_relay(self, rng):
        hit, kind = self.pick_targets(rng), rng.choice(Relay.FAULTS)
        for target in hit:
            target.relay.begin(kind)
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        for target in hit:
            target.relay.end()

    async def fault_stutter(self, rng):
        """All targets answer in pieces, in one framing, and some answers twice."""
        framing = rng.choice(FRAMINGS)
        hit = [t for t in self.targets if t.alive]
        for target in hit:
            target.framing, target.stutters = framing, True
            target.share, target.fault = 0.4, "twice"
        await asyncio.sleep(rng.uniform(2.0, 6.0))
        for target in hit:
            target.framing, target.stutters, target.fault = None, False, None

    async def fault_cut_in_pause(self, rng):
        """Nodes are paused while targets reset answers that have begun."""
        hit = [t for t in self.targets if t.alive and not t.leaving_at and rng.random() < 0.5]
        for target in hit:
            target.share, target.fault = 0.5, "reset_within"
        for _ in range(rng.randrange(1, 4)):
            await asyncio.sleep(rng.uniform(0.2, 0.8))
            await self.pause_nodes(0.5, rng.uniform(0.3, 1.5), rng)
        for target in hit:
            target.fault = None

    async def fault_target_crash(self, rng):
        target = self.pick_target(rng)
        target.has_successor = True
        await target.crash(forget=rng.random() < 0.5)
        await asyncio.sleep(rng.uniform(0.2, 3.0))
        again = Target(self, target.name, target.service, target.zone, target.slots)
        again.born = int(time.time() * 1000)
        if rng.random() < 0.5:
            self.names += 1
            again.name = "t%d" % self.names
            self.store.delete("servers/" + target.name)
        await again.start(target.reserved if rng.random() < 0.3 else None)
        self.targets.append(again)

    async def fault_target_leaves(self, rng):
        target = self.pick_target(rng)
        await self.add_target(target.service, target.zone)
        await asyncio.sleep(1.0)
        await target.leave()

    async def fault_target_says(self, rng):
        """A target tells of itself in its answers, and the store knows nothing."""
        target = self.pick_target(rng)
        what = rng.choice(("limit", "wait", "leaving"))
        if what == "limit":
            target.says.name_limit(rng.choice((0.5, 1, 2, 4)))
            await asyncio.sleep(rng.uniform(8.0, 12.0))
            target.says.limit = None
        elif what == "wait":
            target.says.wait_s, target.says.refuse_share = rng.choice((1, 2, 4)), rng.choice((0.2, 1.0))
            await asyncio.sleep(rng.uniform(2.0, 6.0))
            target.says.wait_s = 0
        else:
            await self.add_target(target.service, target.zone)
            await asyncio.sleep(1.0)
            target.says.leaving = True
            await asyncio.sleep(rng.uniform(4.0, 8.0))
            await target.leave()

    async def fault_unsafe(self, rng):
        """Targets run what may run only once, and give no answer."""
        pay = [t for t in self.targets if t.alive and not t.leaving_at and t.service == "pay"]
        hit = rng.sample(pay, min(len(pay), 3))
        for target in hit:
            target.share, target.fault = 0.3, rng.choice(("lost", "reset", "cut", "reset_within"))
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        for target in hit:
            target.fault = None

    async def fault_restore(self, rng):
        await Restoration(self, rng).run()

    async def fault_junk(self, rng):
        self.store.put("servers/junk", rng.choice(("{", "[]", '{"service":1}', "\xff")))

    async def fault_config(self, rng):
        await self.move(rng)

    async def faults(self, until):
        kinds = [getattr(self, name) for name in sorted(dir(self)) if name.startswith("fault_")]
        # The load draws whenever answers come; the faults are to be the same.
        rng = random.Random("faults %d" % self.args.seed)
        planned = [self.fault_stop, self.fault_settings, self.fault_config, self.fault_target_leaves]
        restoring = [self.fault_restore, self.fault_restore] + planned
        if self.args.only:
            kinds = planned = restoring = [getattr(self, "fault_" + n) for n in self.args.only.split(",")]
        spell, spell_ends = kinds, 0.0
        # In each play: without it no answer tempts a node to repeat a payment.
        tasks = {asyncio.ensure_future(self.guard(self.fault_unsafe, random.Random(rng.random())))}
        while time.monotonic() < until:
            if time.monotonic() > spell_ends:
                spell = rng.choice((kinds, planned, restoring))
                spell_ends = time.monotonic() + SPELL_S
            fault = rng.choice(spell)
            print("%7.2f fault %s" % (time.monotonic() - self.begun, fault.__name__), flush=True)
            self.count[fault.__name__] += 1
            task = asyncio.ensure_future(self.guard(fault, random.Random(rng.random())))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            # Faults come in series; between them some promises can be checked.
            pause = PAUSE_S if rng.random() < PAUSE_SHARE else 0.0
            await asyncio.sleep(pause + rng.uniform(0.2, 1.5))
        if tasks:
            await asyncio.wait(tasks)

    async def guard(self, fault, rng):
        try:
            await fault(rng)
        except Exception as error:  # a fault that fails is a fault of the soak
            self.report("SOAK", "%s: %r" % (fault.__name__, error))

    async def run(self):
        await self.start()
        await asyncio.sleep(4.0)
        ends = time.monotonic() + self.args.seconds
        watch = asyncio.ensure_future(self.watch())
        load = asyncio.ensure_future(self.load())
        ahead = asyncio.ensure_future(asyncio.gather(Ahead(self).run(), self.slow.run()))
        await self.faults(ends - CALM_END_S - 6.0)
        calm = time.monotonic() + 4.0
        self.ends = max(ends, calm + CALM_MIN_S)
        await load
        await ahead
        await watch
        calm_requests = [r for r in self.requests.values()
                         if r.sent > calm and r.end not in ("left", "unread", 401, 429)]
        served = sum(1 for r in calm_requests if r.whole)
        share = served / max(len(calm_requests), 1)
        print("calm end: %d of %d served" % (served, len(calm_requests)))
        if share < SERVED_MIN:
            self.report("SERVED", "%.2f of the requests after the faults" % share)
        await self.stop_all()

    async def stop_all(self):
        up = [n for n in self.nodes if n.running() and not n.expected_end]
        await asyncio.gather(*[self.stop_node(self.rng, n, again=False) for n in up])
        lost = LostCheck(self)
        lost.run()
        for request in self.mixed:
            print(lost.lines.get((request.node.name, request.id)))
        print("unanswered and excused: %s" % dict(lost.excused))
        for caller in self.callers:
            caller.close()
        for target in self.targets:
            if target.alive:
                await target.crash(forget=False)
        self.store.close()
        # What still serves ends here, so that it closes its connection itself.
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--nodes", type=int, default=SMALL)
    parser.add_argument("--only", help="faults to draw, with commas between")
    parser.add_argument("--organisations", action="store_true",
                        help="callers need keys, which change with each version")
    parser.add_argument("--keep", help="folder for settings and logs")
    args = parser.parse_args()
    folder = args.keep or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    world = World(args, folder)
    try:
        asyncio.run(world.run())
    finally:
        for node in world.nodes:
            node.end()
    print(" ".join("%s=%d" % item for item in sorted(world.count.items())))
    print("seed %d: %d requests, %d found" % (args.seed, len(world.requests), len(world.found)))
    if world.found:
        print("logs in %s" % folder)
        return 1
    if not args.keep:
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
