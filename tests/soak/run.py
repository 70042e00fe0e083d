"""One request's time at one target."""

import time

# Faults that end a request without the target's whole and proper answer.
BREAKING = ("errors", "reset", "lost", "cut", "reset_within", "foreign", "unproved")


class Run:
    def __init__(self, target, fault, sender):
        self.target, self.fault, self.sender = target, fault, sender
        self.turn = sender.turn  # its place among the runs of the connection
        self.framing = None  # of its answer
        self.began, self.ended = time.monotonic(), None

    def broken(self):
        """The target broke off, so that its caller can't have an answer."""
        return self.fault in BREAKING or not self.target.alive

    def cut_off(self, since):
        """The connection was, by its link or by the copy of an answer before."""
        spoiled = self.sender.spoiled
        return self.sender.link.hit_at >= since or (spoiled is not None and spoiled < self.turn)

    def __str__(self):
        link = "" if not self.sender.link.hit_at else ", link hit"
        spoiled = "" if self.sender.spoiled is None else ", copy of %d" % self.sender.spoiled
        return "%s (in %s, fault %s, request %d of its connection%s%s)" % (
            self.target.name, self.framing, self.fault, self.turn, link, spoiled)

    def at_work(self, at):
        return self.began <= at and (self.ended is None or self.ended >= at)
