"""Stand-in for the platform's store: objects by kind and name, lists, watches, and the expiry of silent servers."""

import asyncio
import json
import time
import urllib.parse

# A server's entry is removed after this many heartbeat intervals without a report.
MISSED_HEARTBEATS = 3


class Store:
    """Runs in the event loop of the test. Every change increments one revision counter."""

    def __init__(self, heartbeat_s=1.2):
        self.heartbeat_s = heartbeat_s
        self.revision = 1
        self.objects = {}
        self.history = []
        self.reported_at = {}
        self.changed = asyncio.Event()
        self.writers = set()
        self.is_closed_to = lambda head: False

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.ensure_future(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            limit = time.monotonic() - MISSED_HEARTBEATS * self.heartbeat_s
            for name, reported_at in list(self.reported_at.items()):
                if reported_at < limit:
                    self.delete("servers", name)

    def _record(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"object": json.loads(json.dumps(item)), "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Creates or replaces an object; returns it. A report that changes only `seq` is no change."""
        known = self.objects.setdefault(kind, {}).get(name)
        if kind == "servers":
            self.reported_at[name] = time.monotonic()
        if known:
            old, new = dict(known["spec"] or {}), dict(spec)
            if kind == "servers":
                old.pop("seq", None)
                new.pop("seq", None)
            if old == new:
                return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        item = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                             "deletionPending": False}, "spec": spec, "status": known["status"] if known else None}
        self.objects[kind][name] = item
        self._record(kind, item, False)
        return item

    def delete(self, kind, name):
        self.reported_at.pop(name, None)
        item = self.objects.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            self._record(kind, item, True)
        return item

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:] if ":" in line}
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                status, answer = await self._answer(method, target, json.loads(body) if body else None)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                             .encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        parts = [urllib.parse.unquote(part) for part in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)) / 1000)
        known = self.objects.get(kind, {}).get(name)
        if method == "GET" and name is None:
            entries = [self.objects.get(kind, {})[key] for key in sorted(self.objects.get(kind, {}))]
            return 200, {"entries": [e for e in entries if e["metadata"]["name"] > query.get("after", "")],
                         "hasMore": False, "at": self.revision}
        if method == "GET":
            return (200, known) if known else (404, {})
        if method == "POST":
            name = body["metadata"]["name"]
            known = self.objects.get(kind, {}).get(name)
            return (409, known) if known else (201, self.put(kind, name, body["spec"]))
        if not known:
            return 404, {}
        wanted = query.get("revision") or (body or {}).get("metadata", {}).get("revision")
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, self.delete(kind, name)
        if len(parts) > 2:
            self.revision += 1
            known["status"] = body["status"]
            known["metadata"]["revision"] = self.revision
            self._record(kind, known, False)
            return 200, known
        return 200, self.put(kind, name, body["spec"])

    async def _watch(self, kind, since, wait_s):
        until = time.monotonic() + wait_s
        while True:
            changed = self.changed
            events = [event for revision, of, event in self.history if of == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
