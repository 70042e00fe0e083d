"""The promise of planned work: a request that a node has read whole gets a whole
answer, of a target or a refusal. Judged at the end, when the nodes' logs, which
have a line for each request that was read, are complete."""

import collections
import os
import re

from node import GRACE_S

NEAR_S = 3.0  # unplanned disruption so long before a request excuses it
LIMIT_SHARE = 0.95  # of its time; then its deadline was reached
ROUTE_LIMIT_S = {"/long": 7.0, "/export": 7.0}  # time-outs of routes, others 4 s
LAST_SIXTH_S = GRACE_S * 5 / 6  # work that lasts until then may be cut ...
EARLY_S = 3.0  # ... if it was sent no later than this after the SIGTERM
SLACK_S = 0.25  # a request that was not read may cross a close for so long
OWN_FAILURES = (500, 502, 504)
REQUEST_LINE = re.compile(r'"request":"([0-9a-f]{16})"')


class LostCheck:
    def __init__(self, world):
        self.world = world
        self.lines = {}  # (node, request id) to its line
        self.excused = collections.Counter()

    def run(self):
        for node in self.world.nodes:
            with open(os.path.join(self.world.folder, node.name + ".log"), errors="replace") as log:
                for line in log:
                    found = REQUEST_LINE.search(line)
                    if found:
                        self.lines[node.name, found.group(1)] = line.strip()
        for request in self.world.requests.values():
            self._judge(request)

    def _judge(self, request):
        node, runs = request.node, self.world.runs.get(request.id, [])
        if request.ended is None or not self._unanswered(request, runs):
            return
        arrivals = self.world.arrivals.get(request.id, [])
        line = self.lines.get((node.name, request.id))
        if not arrivals and not line and request.ended - request.sent < SLACK_S:
            self.excused["crossed a close" if request.crossed else "sent after a close"] += 1
            return
        if request.behind and not arrivals:
            self.excused["behind a close"] += 1
            return
        excuse = self._excuse(request, runs)
        if excuse:
            self.excused[excuse] += 1
            return
        self.world.report("LOST", self._describe(request, runs, arrivals, line))

    def _describe(self, request, runs, arrivals, line):
        node = request.node
        form = "%s at %s (%s, %s) ended %s: sent %s, ended %s; SIGTERM %s; SIGHUP %s; %s; log: %s"
        return form % (
            request.id, node.name, request.path, "held" if request.held else "plain", request.end,
            self._clock(request.sent), self._clock(request.ended),
            [self._clock(at) for at in node.stops.get(request.incarnation, [])],
            [self._clock(at) for at in node.hangups if abs(at - request.sent) < GRACE_S],
            "arrived at %s, ran at %s" % (
                ["%s %s" % (t.name, self._clock(at)) for at, t in arrivals],
                ["%s %s to %s, fault %s" % (r.target.name, self._clock(r.began),
                 self._clock(r.ended), r.fault) for r in runs]),
            line)

    def _clock(self, at):
        return at and "%.3f" % (at - self.world.begun)

    def _unanswered(self, request, runs):
        if request.end == "closed":
            return True
        # An answer of the node's own in the place of one that was being made.
        stopped = [at for at in request.node.stops.get(request.incarnation, [])
                   if at < request.ended]
        own = request.end in OWN_FAILURES and not request.sealed
        return own and stopped and any(r.at_work(request.ended - 0.05) for r in runs)

    def _excuse(self, request, runs):
        """Returns why the pages allow this end, or None."""
        if not request.node.only_planned(request.sent - NEAR_S, request.ended):
            return "kill or pause"
        if runs and all(r.broken() for r in runs):
            return "target broke off"
        if runs and all(r.broken() or r.cut_off(request.sent) for r in runs):
            return "link broke off"
        limits = [s for path, s in ROUTE_LIMIT_S.items() if request.path.startswith(path)]
        limit_s = min([request.deadline_s] + (limits or [4.0]))
        if request.ended - request.sent >= limit_s * LIMIT_SHARE:
            return "time reached"
        stops = request.node.stops.get(request.incarnation)
        if stops and request.sent <= stops[0] + EARLY_S and any(
            r.at_work(stops[0] + LAST_SIXTH_S) for r in runs
        ):
            return "at work in the last sixth"
        return None
