"""The project's program, started as deploy/system.toml says, one process a machine
with a loopback address of its own. Signals go only to processes started here."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DEPLOY = os.path.join(ROOT, "deploy", "system.toml")
RESTART_S = 0.5
# Ports of a machine, from its first one on; the template names one more.
READY, FRONT, DIRECTORY, CONTROL, PEERS, PORTS = 0, 1, 2, 3, 4, 8
METRICS_PORT = 9464


def free_base(ips):
    """Returns a first port from which on the ports are free at all addresses."""
    for _ in range(100):
        base = random.randrange(20000, 30000, PORTS)
        if all(is_free(ip, port) for ip in ips for port in [METRICS_PORT, *range(base, base + PORTS)]):
            return base
    raise RuntimeError("no free ports")


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def deploy_value(name):
    """A text value of the role in the deploy file."""
    with open(DEPLOY) as file:
        return re.search(r'^%s = "(.*)"$' % name, file.read(), re.M).group(1)


def render(template, data):
    """Fills in a template as DEPLOY.md describes."""
    def section(match):
        sign, name, inner = match.group(1), match.group(2), match.group(3)
        value = look_up(data, name)
        if sign == "^":
            return "" if value else render(inner, data)
        if isinstance(value, list):
            return "".join(
                render(inner.replace("{{,}}", "," if i + 1 < len(value) else ""),
                       dict(data, **{".": entry}))
                for i, entry in enumerate(value))
        return render(inner, data) if value else ""

    text = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}|]+)\}\}", lambda m: text_of(look_up(data, m.group(1))), text)


def look_up(data, name):
    if name in data:
        return data[name]
    value = data
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if value is not None else None
    return value


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(v) for v in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


class Gateway:
    def __init__(self, record, folder, name, zone, ip, base, store_address, seeds, bounds):
        self.record, self.folder, self.name, self.zone, self.ip = record, folder, name, zone, ip
        self.front, self.ready = base + FRONT, base + READY
        self.settings = {
            "node_name": name, "role": "gateway", "machine_class": "edge", "bind_ip": ip,
            "zone": zone, "region": "r1", "port_range": [base + PEERS, base + PORTS - 1],
            "seed_addrs": seeds,
            "bootstrap": True, "discovery": "platform", "entry": "directory",
            "beat_interval_ms": 1500,
            "listen_addrs": {"front": "%s:%d" % (ip, self.front),
                             "ready": "%s:%d" % (ip, self.ready),
                             "control": "%s:%d" % (ip, base + CONTROL),
                             "directory": "%s:%d" % (ip, base + DIRECTORY)},
            "limits": {"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": 260, "max_fds": 1024,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "bounds": bounds,
            "platform": {"address": store_address, "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "min_ttl_ms": 1000},
        }
        self.process = None
        self.restarts = True  # a process that ends is started again
        self.ends = []  # (time, return code) of each end that nobody ordered
        self.ordered = False
        self.starts = 0

    def write_settings(self):
        """Fills in the template, as at every start and whenever settings change."""
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(os.path.join(ROOT, deploy_value("template"))) as file:
            text = render(file.read(), self.settings)
        with open(path + ".new", "w") as file:
            file.write(text)
        os.rename(path + ".new", path)
        return path

    def start(self):
        path = self.write_settings()
        self.settings["bootstrap"] = False
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["FESCUESADDLE_NODE_FILE"] = path
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                deploy_value("run").split(), cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.ordered = False
        self.starts += 1
        self.record("gateway_started", gateway=self.name)

    async def watch(self):
        """Notes each end of the process and starts it again, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            if not self.process or self.process.poll() is None:
                continue
            code = self.process.returncode
            self.process = None
            self.record("gateway_ended", gateway=self.name, code=code, ordered=self.ordered)
            if not self.ordered:
                self.ends.append((asyncio.get_event_loop().time(), code))
            if self.restarts:
                await asyncio.sleep(RESTART_S)
                if self.restarts:
                    self.start()

    def signal(self, number):
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.ordered = True
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.record("signal", gateway=self.name, signal=int(number))

    def end(self):
        self.restarts = False
        if self.process and self.process.poll() is None:
            self.ordered = True
            self.process.kill()
            self.process.wait()
