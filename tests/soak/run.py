"""One request's time at one target."""

import time

# Faults that end a request without the target's whole and proper answer.
BREAKING = ("errors", "reset", "lost", "cut", "foreign", "unproved")


class Run:
    def __init__(self, target, fault):
        self.target, self.fault = target, fault
        self.began, self.ended = time.monotonic(), None

    def broken(self):
        """The target broke off, so that its caller can't have an answer."""
        return self.fault in BREAKING or not self.target.alive

    def at_work(self, at):
        return self.began <= at and (self.ended is None or self.ended >= at)
