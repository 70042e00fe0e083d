"""Parts that the cases of the second review share: the gateway as a separate process
with the settings that deploy/gateway.yaml gives, and small stand-ins around it. The
store is the one of the project's soak (tests/soak/store.py)."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
GATEWAY = os.path.join(ROOT, "target", "fescuesaddle-gateway")


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(text, fields):
    """Fills in a template as DEPLOY.md describes: values, sections, the commas between."""

    def section(match):
        sign, name, inner = match.group(1), match.group(2), match.group(3)
        value = lookup(fields, name)
        if sign == "^":
            return "" if value else render(inner, fields)
        if not value:
            return ""
        if not isinstance(value, list):
            return render(inner, fields)
        parts = []
        for i, entry in enumerate(value):
            part = inner.replace("{{.}}", str(entry))
            parts.append(part.replace("{{,}}", "," if i + 1 < len(value) else ""))
        return "".join(parts)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

    def value_of(match):
        value = lookup(fields, match.group(1))
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


def free_base(ip, count=24):
    """Returns the first of some ports that are free at an address."""
    for base in range(20000, 30000, count):
        held = []
        try:
            for port in range(base, base + count):
                held.append(socket.socket())
                held[-1].bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise RuntimeError("no free ports")


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, folder, name, zone, ip, store_port, seeds, base, limits=None, bounds=None):
        self.folder, self.name, self.ip, self.base = folder, name, ip, base
        self.fields = {
            "node_name": name, "region": "r", "zone": zone, "bind_ip": ip,
            "bootstrap": True, "seed_addrs": seeds,
            "port_range": [base + 8, base + 20],
            "listen_addrs": {
                "front": "%s:%d" % (ip, base), "ready": "%s:%d" % (ip, base + 1),
                "control": "%s:%d" % (ip, base + 2), "directory": "%s:%d" % (ip, base + 3),
            },
            "limits": dict({"memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0}, **(limits or {})),
            "bounds": dict({"grace_s": 6, "retry_budget_ratio": 0.2, "retry_slack": 62,
                            "retry_window_s": 10}, **(bounds or {})),
            "platform": {"address": "127.0.0.1:%d" % store_port},
        }
        self.process = None
        self.log = open(os.path.join(folder, name + ".log"), "ab")

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy", "gateway.yaml"), encoding="utf-8") as f:
            text = render(f.read(), self.fields)
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path + ".new", "w", encoding="utf-8") as out:
            out.write(text)
        os.rename(path + ".new", path)
        return path

    def start(self):
        env = {"PATH": os.environ["PATH"], "FESCUESADDLE_NODE_FILE": self.write_settings()}
        self.process = subprocess.Popen(
            [os.environ.get("GATEWAY", GATEWAY)], env=env, cwd=ROOT, stdout=self.log, stderr=self.log)
        self.fields["bootstrap"] = False

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def rss_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as f:
                for line in f:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def ready(self, limit_s=15.0):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends and self.running():
            if await status_of(self.ip, self.base + 1, "/ready") == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()
        self.log.close()


async def status_of(ip, port, target):
    try:
        reader, writer = await asyncio.open_connection(ip, port)
    except OSError:
        return 0
    try:
        writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % target.encode())
        line = await asyncio.wait_for(reader.readline(), 1.0)
        return int(line.split()[1])
    except (OSError, IndexError, ValueError, asyncio.TimeoutError):
        return 0
    finally:
        writer.close()


async def watch_ready(gateways, ends):
    """Asks /ready once a second, as the platform does; returns the questions and the 200s."""
    asked = good = 0
    while time.monotonic() < ends:
        for gateway in gateways:
            asked += 1
            good += await status_of(gateway.ip, gateway.base + 1, "/ready") == 200
        await asyncio.sleep(1.0)
    return asked, good


def config(version, routes, services, limits=None):
    """The text of a configuration; routes: (name, prefix, kind, service, timeout_ms, attempts)."""
    return json.dumps({
        "version": version,
        "routes": {
            "columns": ["name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms",
                        "priority", "service", "max_attempts", "split"],
            "rows": [[n, "h.example", p, k, t, t // 3, 1, s, a, None] for n, p, k, s, t, a in routes]},
        "services": {"columns": ["name", "health_path", "max_conns", "protocol", "tls"],
                     "rows": [[s, "/health", 390, "h1", False] for s in services]},
        "limits": dict({"max_header_bytes": 16384, "max_body_bytes": 67108864,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, **(limits or {})),
    })


def entry(service, address, zone, slots=4, state="ready", seq=1, born=1):
    return json.dumps({"service": service, "address": address, "zone": zone, "version": "v1",
                       "capacity": slots, "state": state, "cold_left_ms": 0, "call_seq": seq,
                       "born": born})
