"""Stand-ins for the platform's store, replicas and clients, and gateway processes, for the cases in review/.

All of them listen on loopback. The store and the replicas run in the process of the case; each gateway is a process of its
own, started with the command and the settings template of the deploy file.
"""

import asyncio
import json
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STARTED = time.monotonic()

# Bounds of the deployment in tabaq-rounds (SYSTEM.md, "Bounds").
BOUNDS = {"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 52, "retryWindowS": 10,
          "coldOvershoot": 1.5, "coldTolerance": 5}
HEARTBEAT_MS = 1200
# How long the store takes to answer (SYSTEM.md: 4 ms an answer).
STORE_ANSWER_S = 0.004


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run to a file, line by line as it happens, and the verdict at its end."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def add(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():9.3f} {what} {text}".rstrip() + "\n")

    def close(self, verdict):
        self.file.write("\n".join(["", *verdict, ""]))
        self.file.close()


_given_ports = set()


def free_port():
    """A port that is free now, below the range from which the kernel assigns ports to clients."""
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port


class HttpMessage:
    def __init__(self, first_line, fields, body):
        self.first_line = first_line
        self.fields = fields
        self.body = body

    def field(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_message(reader, is_response=False):
    """Reads one message with a length or in chunks; None if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked" and not is_response:
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += data[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return HttpMessage(lines[0], fields, body)


def response(status, reason, fields=None, body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpListener:
    """Accepts connections and hands each to serve_connection(reader, writer)."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.listener = None
        self.writers = set()

    async def listen(self):
        self.listener = await asyncio.start_server(self._accept, HOST, self.port)

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve_connection(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def crash(self):
        """Closes the listener and resets all connections, as when the process is killed."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


class Store(HttpListener):
    """The platform's metadata store, as PROTOCOL.md describes it: lists, watches, conditional writes."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        # Called with (method, key); returns the seconds by which an unanswered write is executed late, or None.
        self.lateness = lambda method, key: None
        # While the store is down, it resets its connections and does nothing.
        self.is_down = False

    def go_down(self):
        self.is_down = True
        for writer in list(self.writers):
            writer.transport.abort()

    # --- writes by the operator and the replicas -----------------------------------------------------------
    async def put(self, key, spec):
        """Writes an object as the operator or a replica does; waits while the store is down."""
        while self.is_down:
            await asyncio.sleep(0.1)
        await self._apply(key, spec)

    async def delete(self, key):
        while self.is_down:
            await asyncio.sleep(0.1)
        await self._apply(key, None)

    async def _apply(self, key, spec):
        if spec is None and key not in self.objects:
            return False
        if spec is not None and key in self.objects and self.objects[key]["spec"] == spec:
            return True
        self.revision += 1
        kind, name = key.split("/", 1)
        created = self.objects[key]["metadata"]["created"] if key in self.objects else self.revision
        entry = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                              "deletionPending": False},
                 "spec": spec if spec is not None else self.objects[key]["spec"], "status": None}
        if spec is None:
            del self.objects[key]
        else:
            self.objects[key] = entry
        self.history.append((self.revision, kind, {"deleted": spec is None, "object": entry}))
        self.record.add("store", key=key, change="removed" if spec is None else "written", revision=self.revision)
        async with self.changed:
            self.changed.notify_all()
        return True

    # --- calls ----------------------------------------------------------------------------------------------
    async def serve_connection(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            if self.is_down:
                return
            await asyncio.sleep(STORE_ANSWER_S)
            answer = await self._handle(request)
            if answer is None:
                # The answer is lost, and the connection brings nothing further.
                await asyncio.sleep(3600)
            if self.is_down:
                return
            status, body = answer
            writer.write(response(status, "Answer", {"Content-Type": "application/json"}, json.dumps(body).encode()))
            await writer.drain()

    async def _handle(self, request):
        method, target, _ = request.first_line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        key = urllib.parse.unquote(url.path.removeprefix("/-/objects/"))
        if method == "GET":
            return await self._read(key, query)
        lateness = self.lateness(method, key)
        if lateness is not None:
            self.record.add("store_answer_lost", method=method, key=key, executed_in_s=lateness)
            asyncio.get_running_loop().create_task(self._execute_late(lateness, method, key, request, query))
            return None
        return await self._write(method, key, request, query)

    async def _execute_late(self, lateness, method, key, request, query):
        await asyncio.sleep(lateness)
        status, _ = await self._write(method, key, request, query)
        self.record.add("store_late_write", method=method, key=key, status=status)

    async def _write(self, method, key, request, query):
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        if method == "POST":
            key = f"{key}/{metadata['name']}"
        current = self.objects.get(key)
        if method == "POST" and current:
            return 409, current
        if method != "POST" and not current:
            return 404, {}
        revision = query.get("revision", metadata.get("revision"))
        if method != "POST" and revision is not None and int(revision) != current["metadata"]["revision"]:
            return 409, current
        await self._apply(key, None if method == "DELETE" else body.get("spec"))
        return 200, current if method == "DELETE" else self.objects[key]

    async def _read(self, key, query):
        if "/" in key:
            found = self.objects.get(key)
            return (200, found) if found else (404, {})
        if "watch" in query:
            return await self._watch(key, int(query["watch"]), int(query.get("waitMs", 10_000)) / 1000)
        entries = [entry for name, entry in sorted(self.objects.items()) if name.startswith(key + "/")]
        return 200, {"entries": entries, "hasMore": False, "at": self.revision}

    async def _watch(self, kind, since, wait_s):
        end = time.monotonic() + min(wait_s, 30)
        while True:
            events = [event for revision, of, event in self.history if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except (asyncio.TimeoutError, TimeoutError):
                pass


class Replica(HttpListener):
    """What all replicas have in common: an entry in the store, and the check of Apricotpier-Expect-Instance."""

    def __init__(self, store, record, name, service, zone, slots):
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.cold_until = 0.0

    async def start(self, cold_s=0.0):
        """Starts, cold if a time is given, and registers once the store can be reached."""
        self.born = int(time.time() * 1000)
        self.seq = 1
        self.cold_until = now() + cold_s
        await self.listen()
        self.record.add("replica_started", replica=self.name, cold_s=cold_s)
        asyncio.get_running_loop().create_task(self._register())

    async def _register(self):
        await self.store.put(f"servers/{self.name}", self.entry())

    def entry(self, state="ready"):
        cold_ms = max(0, int((self.cold_until - now()) * 1000))
        return {"service": self.service, "addr": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldLeftMs": cold_ms, "seq": self.seq, "born": self.born}

    async def serve_connection(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            expected = request.field("Apricotpier-Expect-Instance")
            if expected and expected != self.name:
                writer.write(response(421, "Misdirected Request", {"Apricotpier-Replica-Id": self.name}))
                await writer.drain()
                continue
            await self.serve_request(request, writer)
            await writer.drain()


class StageReplica(Replica):
    """A replica that runs pieces: one call at a time, and `queue` that wait."""

    def __init__(self, store, record, name, service, zone, call_s, item_s, queue):
        super().__init__(store, record, name, service, zone, 1)
        self.call_s = call_s
        self.item_s = item_s
        self.queue = queue
        self.turn = asyncio.Lock()
        self.calls = 0
        # The piece that each handle stands for: (request ID, stage, piece).
        self.pieces = {}

    async def serve_request(self, request, writer):
        if request.first_line.startswith("POST /-/stage-run"):
            answer = await self._run(json.loads(request.body)["entries"])
        elif request.first_line.startswith("POST /-/stage-free"):
            for handle in json.loads(request.body)["handles"]:
                self.pieces.pop(handle, None)
            answer = response(200, "OK")
        else:
            answer = response(200, "OK", {"Apricotpier-Replica-Id": self.name})
        writer.write(answer)

    async def _run(self, entries):
        if self.calls > self.queue:
            return response(503, "Full", {"Apricotpier-Not-Executed": "1"})
        self.calls += 1
        try:
            async with self.turn:
                await asyncio.sleep(self.call_s + self.item_s * len(entries))
        finally:
            self.calls -= 1
        made = []
        for entry in entries:
            handle = f"{HOST}:{self.port}/{random.getrandbits(44):011x}"
            self.pieces[handle] = (entry["id"], entry["phase"], entry["segment"])
            STAGE_PIECES[handle] = self.pieces[handle]
            made.append({"handle": handle})
        self.record.add("pieces_made", replica=self.name, of=",".join(
            f"{entry['id']}/{entry['phase']}/{entry['segment']}" for entry in entries))
        return response(200, "OK", {"Content-Type": "application/json"}, json.dumps({"entries": made}).encode())


# What each handle that any stage replica gave out stands for, also after it was released.
STAGE_PIECES = {}


class Engine(Replica):
    """A model replica: streams events, several requests at a time."""

    def __init__(self, store, record, name, service, zone, events=4, first_s=0.05, pause_s=0.02, slots=64):
        super().__init__(store, record, name, service, zone, slots)
        self.events = events
        self.first_s = first_s
        self.pause_s = pause_s
        # (time, request ID, whether the engine was cold) of each request that arrived.
        self.arrivals = []
        # Requests that an engine may receive in a second while it is cold before it ends; None: it never ends.
        self.cold_limit = None
        self.on_request = None

    async def serve_request(self, request, writer):
        request_id = request.field("Apricotpier-Request-Id")
        if request.first_line.startswith("GET /healthz"):
            left_ms = max(0, int((self.cold_until - now()) * 1000))
            writer.write(response(200, "OK", {"Apricotpier-Replica-Id": self.name, "Apricotpier-Cold-Ms": left_ms}))
            return
        if not request_id:
            writer.write(response(400, "Bad Request", {"Apricotpier-Not-Executed": "1"}))
            return
        is_cold = now() < self.cold_until
        self.arrivals.append((now(), request_id, is_cold))
        self.record.add("engine_runs", engine=self.name, request=request_id, cold=int(is_cold))
        if self.on_request:
            self.on_request(self, request)
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"Apricotpier-Request-Id: {request_id}\r\nApricotpier-Server-Stamp: s.{self.name}\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.first_s if number == 1 else self.pause_s)
            event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Gateway:
    """One gateway process with the command and the settings template of the deploy file."""

    def __init__(self, folder, name, zone, store_port, seeds=()):
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        run = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1)
        template = re.search(r'^template = "(.*)"$', deploy, re.MULTILINE).group(1)
        self.name = name
        self.ports = {key: free_port() for key in ("frontend", "readiness", "controlPlane", "first")}
        self.settings = folder / f"{name}.settings"
        self.log = folder / f"{name}.log"
        self.command = [f"--config={self.settings}" if part.startswith("--config=") else part
                        for part in run.split(" ")]
        self.values = {
            "node": name, "zone": zone, "ip": HOST,
            "listen": {key: f"{HOST}:{self.ports[key]}" for key in ("frontend", "readiness", "controlPlane")},
            "portRange": [self.ports["first"], self.ports["first"] + 15], "seeds": list(seeds),
            "platform": {"addr": f"{HOST}:{store_port}"}, "heartbeatMs": HEARTBEAT_MS, "bounds": BOUNDS}
        self.template = (ROOT / template).read_text()
        self.popen = None

    def seed(self):
        return self.values["listen"]["controlPlane"]

    def _value(self, path):
        value = self.values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def start(self):
        text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}",
                      lambda found: found.group(2) if self.values.get(found.group(1)) else "", self.template,
                      flags=re.DOTALL)
        self.settings.write_text(re.sub(r"\{\{([\w.]+)\}\}", lambda found: self._value(found.group(1)), text))
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def terminate(self):
        if self.is_running():
            self.popen.send_signal(signal.SIGTERM)

    def kill(self):
        if self.is_running():
            self.popen.kill()
        if self.popen:
            self.popen.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, self.ports["readiness"]), 1)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: readiness\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError, TimeoutError):
            return False

    async def wait_ready(self, timeout_s=15):
        end = now() + timeout_s
        while now() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready within {timeout_s} s")


class CannotRun(Exception):
    """The case cannot run; its result is 2."""


async def send(gateway, request_id, host, path, deadline_ms, fields=None, body=b"", record=None):
    """Sends one client attempt on a new connection. Returns (status, body, whether the answer is complete)."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, gateway.ports["frontend"]), 1)
    except (OSError, asyncio.TimeoutError, TimeoutError):
        return 0, b"", False
    try:
        lines = [f"POST {path} HTTP/1.1", f"Host: {host}", f"Apricotpier-Request-Id: {request_id}",
                 f"Apricotpier-Deadline-Ms: {deadline_ms}", f"Content-Length: {len(body)}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await asyncio.wait_for(_read_answer(reader), deadline_ms / 1000 + 1)
    except (OSError, asyncio.TimeoutError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b"", False
    finally:
        writer.close()


async def _read_answer(reader):
    head = await read_message(reader, is_response=True)
    if head is None:
        return 0, b"", False
    status = int(head.first_line.split()[1])
    body = head.body
    if head.field("Transfer-Encoding").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line:
                return status, body, False
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += data[:-2]
    return status, body, True


def run_case(play, record_path):
    """Plays a case, writes its record and returns its exit status.

    play(record, temporary folder, gateways) returns (is broken, lines of the verdict).
    """
    record = Record(record_path)
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    gateways = []
    status = 2
    verdict = []
    try:
        is_broken, verdict = asyncio.run(asyncio.wait_for(play(record, temporary, gateways), 115))
        status = 1 if is_broken else 0
    except Exception as error:  # An error of the case itself must not count as a broken rule.
        verdict = [f"the case could not run: {type(error).__name__} {error}"]
    finally:
        for gateway in gateways:
            gateway.kill()
        shutil.rmtree(temporary, ignore_errors=True)
    record.close([f"result: {status}", *verdict])
    print("\n".join([f"result: {status}", *verdict]))
    return status
