"""The real program as processes, one a node, each with an address of its own in
127/8. Signals only go to processes that were started here."""

import asyncio
import os
import signal
import subprocess
import time

GRACE_S = 6.0
LAG_MAX_S = 0.15  # a check of times is void while the soak itself is late
STARTED_S = 1.0  # until a new process is ready

SETTINGS = """\
name: "{name}"
region: "r"
failure_domain: "{zone}"
caller_listen: "{ip}:{base}"
ready_listen: "{ip}:{ready}"
peer_listen: "{ip}:{peer}"
resolve_listen: "{ip}:{directory}"
operator_listen: "{ip}:{operator}"
load_listen: "{ip}:{load}"
platform: "127.0.0.1:{store}"
fleet_key: "fescuesaddle-soak-fleet-key"
seeds: [{seeds}]
answer_ttl_ms: {ttl_ms}
memory_mb: 260
max_fds: 1024
stop_grace_s: 6
retry_ratio: 0.2
retry_slack: 60
retry_window_s: 10
quota_window_s: 5
quota_overage: 0.1
quota_slack: 20
even_load_nodes: 1
"""


class Node:
    def __init__(self, folder, program, name, zone, ip, base, store, seeds):
        self.folder, self.program = folder, program
        self.name, self.zone, self.ip, self.base = name, zone, ip, base
        self.directory, self.store, self.seeds = base + 3, store, seeds
        self.address = "%s:%d" % (ip, base)
        self.ttl_ms = 2000
        self.process = None
        self.incarnation = 0
        self.expected_end = True  # not running, or told to end
        self.term_at = None
        self.paused = False
        self.disturbed_at = 0.0
        self.unplanned = []  # [begin, end] of each kill and pause
        self.stops = {}  # incarnation to the times of its SIGTERMs
        self.hangups = []  # times of its SIGHUPs
        self.log = open(os.path.join(folder, name + ".log"), "ab")

    def write_settings(self):
        path = os.path.join(self.folder, self.name + ".yaml")
        text = SETTINGS.format(
            name=self.name, zone=self.zone, ip=self.ip, base=self.base,
            ready=self.base + 1, peer=self.base + 2, directory=self.directory,
            operator=self.base + 4, load=self.base + 5, store=self.store,
            seeds=",".join('"%s"' % seed for seed in self.seeds), ttl_ms=self.ttl_ms,
        )
        with open(path + ".new", "w", encoding="ascii") as out:
            out.write(text)
        os.rename(path + ".new", path)
        return path

    def start(self):
        env = {"PATH": os.environ["PATH"], "FESCUESADDLE_NODE_FILE": self.write_settings()}
        self.process = subprocess.Popen([self.program], env=env, stdout=self.log, stderr=self.log)
        self.incarnation += 1
        self.expected_end = False
        self.term_at = None
        self.end_unplanned()
        self.disturb()

    def begin_unplanned(self):
        self.unplanned.append([time.monotonic(), None])

    def end_unplanned(self):
        if self.unplanned and self.unplanned[-1][1] is None:
            self.unplanned[-1][1] = time.monotonic()

    def only_planned(self, begin, end):
        """No kill or pause of this node between two times."""
        return not any(b <= end and (e is None or e >= begin) for b, e in self.unplanned)

    def disturb(self):
        self.disturbed_at = time.monotonic()

    def calm_for(self, seconds):
        return not (self.paused or self.expected_end) and (
            time.monotonic() - self.disturbed_at >= seconds
        )

    def running(self):
        return self.process is not None and self.process.poll() is None

    def activity(self):
        """Tells a process that waits from one that spins."""
        with open("/proc/%d/stat" % self.process.pid, encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        with open("/proc/%d/wchan" % self.process.pid, encoding="ascii") as wchan:
            where = wchan.read()
        return "state %s, processor time %s and %s ticks, in %s" % (
            fields[0], fields[11], fields[12], where)

    def signal(self, number):
        self.disturb()
        if self.running():
            self.process.send_signal(number)

    def kill(self):
        self.expected_end = True
        self.begin_unplanned()
        self.signal(signal.SIGKILL)

    def pause(self):
        self.paused = True
        self.begin_unplanned()
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.paused = False
        self.end_unplanned()
        self.signal(signal.SIGCONT)

    def hang_up(self):
        self.hangups.append(time.monotonic())
        self.signal(signal.SIGHUP)

    def terminate(self):
        self.stops.setdefault(self.incarnation, []).append(time.monotonic())
        self.signal(signal.SIGTERM)

    async def stop(self, report):
        """A planned stop: tells of a process that outlasts its grace time."""
        self.expected_end = True
        self.term_at = time.monotonic()
        self.terminate()
        stood_s = 0.0  # the whole machine, as far as the soak can tell
        while self.running() and time.monotonic() - self.term_at < GRACE_S + 0.5 + stood_s:
            at = time.monotonic()
            await asyncio.sleep(0.05)
            late_s = time.monotonic() - at - 0.05
            stood_s += late_s if late_s > LAG_MAX_S else 0.0
        # One that was paused may have heard of it later.
        if self.running() and self.only_planned(self.term_at, time.monotonic()):
            report("STOP", "%s runs %.1f s after SIGTERM, %s" % (
                self.name, GRACE_S + 0.5, self.activity()))
        if self.running():
            self.process.kill()

    def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()
        self.log.close()
