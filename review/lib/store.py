"""Stand-in of the platform's metadata store (PROTOCOL.md): items with revisions,
ranges in pages, watches, transactions and leases. One port for each gateway, so
that it can turn single machines away."""

import asyncio
import base64
import json
import time
import urllib.parse

import wire

PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
HISTORY_S = 20.0
WATCH_MAX_S = 30.0
ANSWER_S = 0.004


class Store:
    def __init__(self, record):
        self.record = record
        self.items = {}  # key to item
        self.events = []  # (time, event), oldest first
        self.dropped = 0  # history up to this revision is gone
        self.rev = 100
        self.leases = {}  # id to [ends, ttl, keys]
        self.last_lease = 7000
        self.changed = asyncio.Event()
        self.down = None  # None, "busy" (503), "reset" or "silent"
        self.turned_away = {}  # port name to the same
        self.servers = []
        self.calls = 0

    async def listen(self, ip, name):
        server = await asyncio.start_server(
            lambda r, w: self._connection(name, r, w), ip, 0, limit=4 << 20)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self):
        for server in self.servers:
            server.close()

    # What the operator and the servers write

    def put(self, key, value, lease=0):
        """Returns the time of the acknowledgement, or None if the store is down."""
        if self.down:
            return None
        self._write(key, value if isinstance(value, bytes) else value.encode(), lease)
        return time.monotonic()

    def put_server(self, key, entry):
        """A server's write: the entry changes when more than call_seq changes."""
        if self.down:
            return None
        known = self.items.get(key)
        if known:
            known = json.loads(base64.b64decode(known["value"]))
            if dict(known, call_seq=0) == dict(entry, call_seq=0):
                return time.monotonic()
        return self.put(key, json.dumps(entry))

    def delete(self, key):
        if self.down or key not in self.items:
            return None
        self._delete(key)
        return time.monotonic()

    def _write(self, key, value, lease):
        self.rev += 1
        created = self.items[key]["created"] if key in self.items else self.rev
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.rev,
                "created": created, "lease": lease}
        self.items[key] = item
        self._event(item)

    def _delete(self, key):
        if self.items.pop(key, None):
            self.rev += 1
            self._event({"key": key, "rev": self.rev, "is_gone": True})

    def _event(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events and now - self.events[0][0] > HISTORY_S:
            self.dropped = self.events.pop(0)[1]["rev"]
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [k for k, v in self.leases.items() if v[0] < now]:
            for key in self.leases.pop(lease)[2]:
                self._delete(key)

    # The wire

    async def _connection(self, name, reader, writer):
        try:
            while True:
                start, fields = await wire.read_head(reader)
                if start is None:
                    return
                body, _ = await wire.read_body(reader, fields)
                self.calls += 1
                how = self.down or self.turned_away.get(name)
                if how == "reset":
                    writer.transport.abort()
                    return
                if how == "silent":
                    await asyncio.sleep(600)
                await asyncio.sleep(ANSWER_S)
                status, answer = (503, {}) if how == "busy" else await self._answer(start, body)
                writer.write(wire.message("HTTP/1.1 %d X" % status,
                                          [("Content-Type", "application/json")],
                                          json.dumps(answer).encode()))
                await writer.drain()
        except (wire.Broken, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, start, body):
        method, target = start.split(" ")[:2]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        self._expire()
        if method == "GET" and url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, at_rev=self.rev)) if item else (404, {})
        if method == "GET" and url.path == "/kv-range":
            return self._range(query)
        if method == "GET" and url.path == "/kv-watch":
            return await self._watch(query)
        args = json.loads(body or b"{}")
        if method == "POST" and url.path == "/kv-lease":
            self.last_lease += 1
            ttl = max(args["ttl_ms"], 1000) / 1000.0
            self.leases[self.last_lease] = [time.monotonic() + ttl, ttl, set()]
            return 200, {"lease": self.last_lease, "ttl_ms": int(ttl * 1000)}
        if method == "POST" and url.path.startswith("/kv-keep/"):
            lease = self.leases.get(int(url.path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[0] = time.monotonic() + lease[1]
            return 200, {"ttl_ms": int(lease[1] * 1000)}
        if method == "POST" and url.path == "/kv-txn":
            return self._txn(args)
        return 400, {}

    def _range(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
        out, size = [], 0
        for key in keys:
            item = self.items[key]
            size += len(item["value"])
            if out and (len(out) == PAGE_ITEMS or size > PAGE_BYTES):
                break
            out.append(item)
        return 200, {"items": out, "has_more": len(out) < len(keys), "at_rev": self.rev}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        ends = time.monotonic() + min(int(query.get("wait_ms", 0)) / 1000.0, WATCH_MAX_S)
        while True:
            if after < self.dropped:
                return 410, {}
            events = [e for _, e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, args):
        for row in args.get("expected", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [self.items[r["key"]] for r in args["expected"]
                                       if r["key"] in self.items]}
        keys = [w["key"] for w in args.get("writes", [])] + args.get("deletes", [])
        if any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, {}
        for write in args.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            if lease:
                self.leases[lease][2].add(write["key"])
            self._write(write["key"], base64.b64decode(write["value"]), lease)
        for key in args.get("deletes", []):
            self._delete(key)
        return 200, {"rev": self.rev}
