"""The platform's store as a stand-in: keys with revisions, ranges in pages,
watches, transactions and leases, behind one port a node, so that it can turn
away single nodes. Faults: down, slow, answers lost, history dropped, restored from
a copy some seconds old, which begins a new era."""

import asyncio
import base64
import json
import time
import urllib.parse

import wire

PAGE = 40  # items of a range, so that lists take several calls
WATCH_MAX_S = 30.0
COPY_EVERY_S = 0.25
COPIES_S = 12.0  # copies are kept for so long


class Store:
    def __init__(self, rng):
        self.rng = rng
        self.items = {}  # key to item
        self.history = []  # events, oldest first
        self.dropped = 0  # revisions up to this are forgotten
        self.rev = 1
        self.era = 1
        self.restoring = False
        self.lost_revisions = 0  # at the last restoration
        self.copies = []  # (time, items, revision), oldest first
        self.leases = {}  # id to [ends_at, ttl_s, keys]
        self.changed = asyncio.Event()
        self.down = None  # None, "reset", "silent" or "503"
        self.refused = {}  # node name to the same
        self.slow_s = 0.0
        self.lost = 0.0  # share of calls whose answer is lost
        self.calls = 0
        self.gone_answers = 0  # 410
        self.disturbed_at = 0.0  # last moment of a fault
        self.servers = []

    async def serve(self, node):
        server = await asyncio.start_server(
            lambda r, w: self._connection(node, r, w), "127.0.0.1", 0, limit=4 << 20
        )
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def copy(self):
        """Takes copies of itself, from which it may be restored."""
        while True:
            now = time.monotonic()
            self.copies = [c for c in self.copies if now - c[0] < COPIES_S]
            self.copies.append((now, dict(self.items), self.rev))
            await asyncio.sleep(COPY_EVERY_S)

    async def restore(self, before, away_s):
        """Goes away, and comes back as it was: with the newest copy that is older
        than a time. Leases are not in a copy."""
        _, items, rev = [c for c in self.copies if c[0] <= before][-1]
        self.restoring = True
        await asyncio.sleep(away_s)
        self.items = {k: item for k, item in items.items() if not item["lease"]}
        self.leases.clear()
        self.lost_revisions, self.rev = self.rev - rev, rev
        self.history = [e for e in self.history if e["rev"] <= rev]
        self.dropped = min(self.dropped, rev)
        self.era += 1
        self.restoring = False
        print("restored to revision %d, %d lost" % (rev, self.lost_revisions), flush=True)
        self.disturbed_at = time.monotonic()

    def close(self):
        for server in self.servers:
            server.close()

    def put(self, key, value, lease=0):
        """Writes for the operator or a server; returns False if it is away."""
        if self.down or self.restoring:
            return False
        self._write(key, value.encode(), lease)
        return True

    def delete(self, key):
        if self.down or self.restoring:
            return False
        self._delete(key)
        return True

    def compact(self):
        self.dropped = self.rev
        self.history.clear()

    def calm_for(self, seconds):
        busy = self.restoring or self.down or self.refused or self.slow_s or self.lost
        return not busy and time.monotonic() - self.disturbed_at >= seconds

    def _write(self, key, value, lease):
        self.rev += 1
        created = self.items[key]["created"] if key in self.items else self.rev
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.rev,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._event(item)

    def _delete(self, key):
        if self.items.pop(key, None):
            self.rev += 1
            self._event({"key": key, "rev": self.rev, "is_gone": True})

    def _event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [k for k, v in self.leases.items() if v[0] < now]:
            for key in self.leases.pop(lease)[2]:
                self._delete(key)

    async def _connection(self, node, reader, writer):
        try:
            while True:
                start, fields = await wire.read_head(reader)
                body = await wire.read_body(reader, fields)
                self.calls += 1
                if not await self._call(node, start, body, writer):
                    return
        except (wire.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _call(self, node, start, body, writer):
        how = "reset" if self.restoring else self.down or self.refused.get(node)
        era = self.era
        if how == "reset":
            wire.reset(writer)
            return False
        if how == "silent":
            await asyncio.sleep(60)
            return False
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if how == "503":
            status, answer = 503, {}
        else:
            self._expire()
            status, answer = await self._answer(start, body)
        if era != self.era or self.restoring:  # what was under way is cut
            wire.reset(writer)
            return False
        if self.lost and self.rng.random() < self.lost:
            wire.reset(writer)
            return False
        text = json.dumps(answer).encode()
        writer.write(
            wire.message(
                "HTTP/1.1 %d X" % status,
                {"Content-Type": "application/json", "Store-Era": str(era)},
                text,
            )
        )
        await writer.drain()
        return True

    async def _answer(self, start, body):
        method, target = start.split(" ")[:2]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if method == "GET" and url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if method == "GET" and url.path == "/kv-range":
            return self._range(query)
        if method == "GET" and url.path == "/kv-watch":
            return await self._watch(query)
        if method == "POST" and url.path == "/kv-txn":
            return self._txn(json.loads(body))
        if method == "POST" and url.path == "/kv-lease":
            ttl_ms = max(1000, json.loads(body)["ttl_ms"])
            lease = self.rng.randrange(1, 1 << 40)
            self.leases[lease] = [time.monotonic() + ttl_ms / 1000, ttl_ms / 1000, []]
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if method == "POST" and url.path.startswith("/kv-keep/"):
            lease = self.leases.get(int(url.path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[0] = time.monotonic() + lease[1]
            return 200, {"ttl_ms": int(lease[1] * 1000)}
        return 404, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {
            "items": [self.items[k] for k in keys[:PAGE]],
            "has_more": len(keys) > PAGE,
            "at_rev": self.rev,
        }

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends = time.monotonic() + min(int(query.get("wait_ms", 0)) / 1000, WATCH_MAX_S)
        while True:
            if after < self.dropped or after > self.rev:
                self.gone_answers += 1
                return 410, {}
            events = [
                e for e in self.history if e["rev"] > after and e["key"].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0 or self.down or self.restoring:
                return 200, {"events": events, "at_rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                self._expire()

    def _txn(self, txn):
        expected = txn.get("expected") or []
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        if any((current[r["key"]] or {"rev": 0})["rev"] != r["rev"] for r in expected):
            return 412, {"items": [item for item in current.values() if item]}
        for row in txn.get("writes") or []:
            lease = row.get("lease") or 0
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if lease and lease not in self.leases:
                return 404, {}
            if lease:
                self.leases[lease][2].append(row["key"])
            self._write(row["key"], base64.b64decode(row["value"]), lease)
        for key in txn.get("deletes") or []:
            self._delete(key)
        return 200, {"rev": self.rev}
