"""Gateway processes started as the deploy file says, and small stand-ins for the platform's store, its replicas and its
clients, on loopback addresses only. Everything runs until its process ends; nothing is written outside a temporary
folder and the record of the case."""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The sheet of tabaq-rounds: hosts by zone, and bounds.
ZONES = ["fes-a", "fes-a", "rabat-b", "rabat-b", "rabat-b", "tangier-c"]
BOUNDS = {"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 52, "retryWindowS": 10, "coldOvershoot": 1.5,
          "coldTolerance": 5}
HEARTBEAT_MS = 1200
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}

_given_ports = set()
# Connections that end while something is written to them are part of the cases.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


def free_port():
    """A port that is free now, below the range that the kernel gives to connecting sockets. Cases that run side by side
    mostly take theirs from different parts of it."""
    begin = 12_000 + os.getpid() % 10 * 2_000
    while True:
        port = random.SystemRandom().randrange(begin, begin + 2_000)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


def render(template, fields):
    """Fills in a template as far as the project's template needs it: values, lists and sections."""
    def find(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    def section(match):
        return match[2] if find(match[1]) not in (None, False) else ""

    def value_of(match):
        value = find(match[1])
        return "" if value is None else ",".join(value) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


class Record:
    """What was sent, answered and run, a line of JSON each."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()

    def write(self, what, **fields):
        line = {"s": round(time.monotonic() - self.begin, 3), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


# --- the platform's store

class Store:
    """Objects by kind and name, with lists and watches. It loses nothing and is never slow."""

    def __init__(self, record):
        self.port = free_port()
        self.record = record
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects.get((kind, name))
        metadata = {"name": name, "revision": self.revision, "created": old["metadata"]["created"] if old else self.revision,
                    "finalizers": [], "deletionPending": False}
        self.objects[kind, name] = {"metadata": metadata, "spec": spec, "status": old["status"] if old else None}
        self._announce(kind, self.objects[kind, name], False)
        return self.objects[kind, name]

    def remove(self, kind, name):
        found = self.objects.pop((kind, name), None)
        if found:
            self.revision += 1
            metadata = {**found["metadata"], "revision": self.revision}
            self._announce(kind, {**found, "metadata": metadata}, True)

    def _announce(self, kind, entry, deleted):
        self.history.append((self.revision, kind, {"object": json.loads(json.dumps(entry)), "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ConnectionError):
            while True:
                method, target, _, body = await read_request(reader)
                status, answer = await self._answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(part) for part in path.removeprefix("/-/objects/").split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            return await self._watch(kind, parameters) if "watch" in parameters else (200, self._list(kind, parameters))
        found = self.objects.get((kind, name))
        if method == "GET":
            return (200, found) if found else (404, {})
        content = json.loads(body) if body else {}
        if method == "POST":
            name = content["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self.put(kind, name, content.get("spec"))
        if not found:
            return 404, {}
        expected = parameters.get("revision") or content.get("metadata", {}).get("revision")
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if content.get("spec") == found["spec"]:
            return 200, found
        return 200, self.put(kind, name, content.get("spec"))

    def _list(self, kind, parameters):
        names = sorted(name for other, name in self.objects if other == kind and name > parameters.get("after", ""))
        return {"entries": [self.objects[kind, name] for name in names], "hasMore": False, "at": self.revision}

    async def _watch(self, kind, parameters):
        since, until = int(parameters["watch"]), time.monotonic() + int(parameters.get("waitMs", 0)) / 1000
        while True:
            events = [event for revision, other, event in self.history if other == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    method, target, _ = head.split("\r\n")[0].split(" ")
    fields = {}
    for line in head.split("\r\n")[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return method, target, fields, body


# --- gateways

class Gateway:
    def __init__(self, fleet, index, zone):
        self.name, self.zone = f"edge-{zone}-{index + 1}", zone
        self.ports = {key: free_port() for key in ("frontend", "readiness", "controlPlane", "admin")}
        self.fleet = fleet
        self.process = None

    def start(self):
        fleet = self.fleet
        fields = {"node": self.name, "zone": self.zone, "ip": HOST,
                  "listen": {key: f"{HOST}:{self.ports[key]}" for key in ("frontend", "readiness", "controlPlane")},
                  "portRange": [self.ports["admin"], self.ports["admin"]],
                  "seeds": [f"{HOST}:{gateway.ports['controlPlane']}" for gateway in fleet.gateways[:3]],
                  "platform": {"addr": f"{HOST}:{fleet.store.port}"}, "heartbeatMs": HEARTBEAT_MS,
                  "limits": {"memoryMb": 260, "maxFds": 4100}, "bounds": BOUNDS}
        settings = fleet.folder / f"{self.name}.ini"
        settings.write_text(render((ROOT / fleet.role["template"]).read_text(), fields))
        command = fleet.role["run"].split(" ")
        command = [str(ROOT / command[0])] + [word.replace("/etc/apricotpier/settings.json", str(settings))
                                              for word in command[1:]]
        log = open(fleet.folder / f"{self.name}.log", "a")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        fleet.processes.append(self.process)

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ports["readiness"])
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    def __init__(self, record_file, zones=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))
        self.record = Record(record_file)
        # The deploy file has one role; each of its fields is on a line of its own.
        deploy = (ROOT / "deploy/system.toml").read_text()
        self.role = {name: re.search(rf'^{name} = "(.*)"$', deploy, re.M)[1] for name in ("run", "template")}
        self.processes = []
        self.store = Store(self.record)
        self.gateways = []
        for index, zone in enumerate(zones or ZONES):
            self.gateways.append(Gateway(self, index, zone))

    async def start(self):
        if not (ROOT / self.role["run"].split(" ")[0]).exists():
            raise RuntimeError("the program of the deploy file is not built")
        await self.store.start()
        for gateway in self.gateways:
            gateway.start()
        until = time.monotonic() + 20
        while not all([await gateway.is_ready() for gateway in self.gateways]):
            if time.monotonic() > until:
                raise RuntimeError("the gateways did not become ready")
            await asyncio.sleep(0.1)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# --- clients

class Answer:
    def __init__(self):
        self.status, self.fields, self.body, self.whole, self.error = 0, {}, b"", False, ""


# The record of the case that runs; run() sets it.
record = None


async def request(port, method, path, request_id, deadline_ms, fields=(), body=b"", host="h.example"):
    """Sends one request on a new connection and reads its answer to the end."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), 1)
        head = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Apricotpier-Request-Id: {request_id}",
                f"Apricotpier-Deadline-Ms: {deadline_ms}", *fields]
        if body:
            head.append(f"Content-Length: {len(body)}")
        if record:
            record.write("sent", id=request_id, port=port, request=f"{method} {path}", body_bytes=len(body))
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(_read_answer(reader, answer), deadline_ms / 1000 + 1.5)
    except asyncio.TimeoutError:
        answer.error = "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        if writer:
            writer.close()
    return answer


async def _read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    answer.fields = {line.split(":", 1)[0].strip().lower(): line.split(":", 1)[1].strip() for line in head[1:] if ":" in line}
    if answer.fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        answer.body = await reader.readexactly(int(answer.fields["content-length"]))
    answer.whole = True


def run(case, record_file, zones=None):
    """Runs a case and writes its record to a file; ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    global record
    fleet = Fleet(record_file, zones)
    record = fleet.record

    async def main():
        return await asyncio.wait_for(case(fleet), 115)

    try:
        result = asyncio.run(main())
    except Exception as error:  # whatever it is, the case did not run
        fleet.record.write("not run", error=repr(error))
        print("not run:", repr(error))
        result = NOT_RUN
    finally:
        fleet.stop()
    sys.stdout.flush()
    # Connections that are still open are not worth a message each.
    os._exit(result)
