"""What a target says of itself in its answers: that it leaves, how many requests a
second it takes, and when to come back. Notes which node it has told, and judges what
reaches it afterwards."""

import collections
import time

DRAIN_S = 2.0  # a node that was told sends nothing that came later than this after
TOLD_S = 0.5  # a node counts as told that long after the answer
SETTLE_S = 3.0  # a limit holds from then on
WINDOW_S = 4.0  # over any such time
REFUSED_MAX = 2  # requests of a node before the time that it was told to wait


class Statement:
    def __init__(self, world, target):
        self.world, self.target = world, target
        self.leaving = False
        self.limit, self.limit_at = None, 0.0
        self.wait_s = 0  # with each refusal
        self.refuse_share = 0.0
        self.told_leaving, self.told_limit = {}, {}  # (node, incarnation) to time
        self.told_wait = {}  # to (time, seconds, arrivals)
        self.arrivals = collections.deque()  # (time, node key)

    def name_limit(self, limit):
        self.limit, self.limit_at = limit, time.monotonic()
        self.told_limit, self.arrivals = {}, collections.deque()

    def fields(self):
        """The fields of an answer."""
        out = {}
        if self.leaving:
            out["Server-Leaving"] = "1"
        if self.limit is not None:
            out["Server-Limit"] = "%g" % self.limit
        return out

    def refusal(self):
        """The fields of a 503 that says when to come back."""
        return dict(self.fields(), **{"Retry-After": str(self.wait_s)})

    def told(self, request_id, fields):
        """A whole answer was sent: its node counts as told what the fields say."""
        key, now = self._key(request_id), time.monotonic()
        if "Server-Leaving" in fields:
            self.told_leaving.setdefault(key, now)
        if "Server-Limit" in fields:
            self.told_limit.setdefault(key, now)
        if "Retry-After" in fields:
            self.told_wait[key] = [now, int(fields["Retry-After"]), 0]

    def _heard(self, told, key):
        """Returns when a node was told; an answer that its link held back tells nothing."""
        if key in told and not self.target.relay.calm_between(told[key], told[key] + TOLD_S):
            del told[key]
        return told.get(key)

    def refuses(self):
        return self.wait_s and self.world.rng.random() < self.refuse_share

    def _key(self, request_id):
        request = self.world.requests.get(request_id)
        return (request.node.name, request.incarnation) if request else None

    def arrived(self, request):
        now, key = time.monotonic(), (request.node.name, request.incarnation)
        self._judge_leaving(request, key, now)
        self._judge_wait(request, key, now)
        self._judge_limit(request, key, now)

    def _judge_leaving(self, request, key, now):
        told = self._heard(self.told_leaving, key)
        if told and request.sent > told + DRAIN_S and request.node.calm_for(now - told):
            self.world.report("DRAIN", "%s got %s %.1f s after it had told %s that it leaves"
                              % (self.target.name, request.id, now - told, key[0]))

    def _judge_wait(self, request, key, now):
        told = self.told_wait.get(key)
        if not told or not told[0] + TOLD_S < now < told[0] + told[1]:
            return
        if not self.target.relay.calm_between(told[0], now):
            return
        told[2] += 1
        if told[2] > REFUSED_MAX and request.node.calm_for(now - told[0]):
            self.world.report("BUDGET", "%s got %s from %s, %.1f s after it had said to wait %d s"
                              % (self.target.name, request.id, key[0], now - told[0], told[1]))

    def _judge_limit(self, request, key, now):
        if self.limit is None or now < self.limit_at + SETTLE_S:
            return
        told = self._heard(self.told_limit, key)
        if not told or now < told + TOLD_S or not request.node.calm_for(WINDOW_S + SETTLE_S):
            return
        if not self.target.relay.calm_between(now - WINDOW_S - SETTLE_S, now):
            return
        self.arrivals.append(now)
        while self.arrivals[0] < now - WINDOW_S:
            self.arrivals.popleft()
        if len(self.arrivals) > 1.5 * self.limit * WINDOW_S + 5 and self.world.on_time():
            self.world.report("LIMIT", "%s named %g a second and got %d in %g s"
                              % (self.target.name, self.limit, len(self.arrivals), WINDOW_S))
