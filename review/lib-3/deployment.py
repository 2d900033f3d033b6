"""A small deployment on loopback: gateways with the command of the deploy file, the store, replicas and clients."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target" / "bin" / "apricot-gateway"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

# What deploy/gateway.ini.template gives for a machine of the site tabaq-rounds.
SETTINGS = """[process]
host = {name}
failure_domain = {zone}

[listen]
callers = 127.0.0.1:{frontend}
readiness = 127.0.0.1:{readiness}
peers = 127.0.0.1:{control}
admin = 127.0.0.1:{admin}

[peers]
seeds = {seeds}

[store]
endpoint = 127.0.0.1:{store}
server_heartbeat_seconds = 1200e-3
[machine]
memory_mb = 260
max_descriptors = 4100
[bounds]
grace_seconds = 8
retry_ratio = 0.2
retry_slack = 52
retry_window_seconds = 10
cold_overshoot = 1.5
cold_tolerance = 5
"""

_given = set()


def free_port():
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port


class Gateway:
    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.ports = {key: free_port() for key in ("frontend", "readiness", "control", "admin")}
        self.process = None

    def start(self):
        folder = self.deployment.folder
        settings = folder / f"{self.name}.ini"
        seeds = ",".join(f"127.0.0.1:{gateway.ports['control']}" for gateway in self.deployment.gateways[:3])
        settings.write_text(SETTINGS.format(name=self.name, zone=self.zone, seeds=seeds,
                                            store=self.deployment.store.port, **self.ports))
        with open(folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen([str(GATEWAY), f"--config={settings}"], cwd=ROOT, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)


class Deployment:
    """Use as `async with Deployment(...)`; ends all processes that it started."""

    def __init__(self, zones, record):
        """`record` is the file for what was sent, answered and run; it is written at the end, also of a run that fails."""
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.gateways = []
        for index, zone in enumerate(zones):
            self.gateways.append(Gateway(self, f"edge-{zone}-{index}", zone))
        self.replicas = {}
        self.started = []
        self.lines = []
        self.began = time.time()

    async def __aenter__(self):
        self.store = Store()
        await self.store.start()
        return self

    async def __aexit__(self, *failure):
        # Handlers of connections that are cancelled at the end are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for process in self.started + [gateway.process for gateway in self.gateways if gateway.process]:
            if process.poll() is None:
                process.kill()
                process.wait()
        self.write_record()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    def note(self, text):
        self.lines.append(f"{time.time() - self.began:8.3f}  {text}")

    def put_config(self, version, routes, services, **fields):
        self.store.put("config", "main", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": 30000}, **fields})

    def start_replica(self, name, service, zone, port=None, **options):
        port = port or free_port()
        command = [sys.executable, str(ROOT / "review/lib-3/replica.py"), name, str(port), str(self.store.port), service, zone,
                   str(self.folder / "replicas.log"), *(f"{key}={value}" for key, value in options.items())]
        process = subprocess.Popen(command)
        self.started.append(process)
        self.replicas[name] = (process, port)
        return process

    async def wait_ready(self, gateways=None, timeout_s=15):
        until = time.monotonic() + timeout_s
        for gateway in gateways or self.gateways:
            while await status_of(gateway.ports["readiness"], "/-/readyz") != 200:
                if time.monotonic() > until:
                    raise RuntimeError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.05)

    def replica_events(self):
        path = self.folder / "replicas.log"
        return [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []

    def write_record(self):
        """Writes what was noted, and what the replicas logged, in the order of time."""
        lines = list(self.lines)
        for event in self.replica_events():
            at = event.pop("at") - self.began
            lines.append(f"{at:8.3f}  replica {event.pop('replica')} (start {event.pop('born')}): {json.dumps(event)}")
        self.record.write_text("\n".join(sorted(lines)) + "\n")


async def status_of(port, path):
    try:
        return (await request(port, "GET", path, {}, timeout_s=1))["status"]
    except (OSError, asyncio.TimeoutError, EOFError):
        return 0


async def request(port, method, path, fields, body=b"", timeout_s=10, host="h.example"):
    """Sends one request on a new connection and reads the answer as HTTP/1.1 frames it."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
    try:
        return await asyncio.wait_for(exchange(reader, writer, method, path, fields, body, host), timeout_s)
    finally:
        writer.close()


async def exchange(reader, writer, method, path, fields, body=b"", host="h.example"):
    text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n" + "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    writer.write(text.encode() + b"\r\n" + body)
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        raise EOFError("closed before the answer") from error
    lines = head.split("\r\n")
    answer = {"status": int(lines[0].split()[1]), "complete": True, "fields": {
        line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:] if ":" in line}}
    answer["body"] = b""
    try:
        if answer["status"] in (204, 304):
            pass
        elif answer["fields"].get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer["body"] += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        elif "content-length" in answer["fields"]:
            answer["body"] = await reader.readexactly(int(answer["fields"]["content-length"]))
        else:
            answer["body"] = await reader.read()
    except asyncio.IncompleteReadError as error:
        answer["body"] += error.partial
        answer["complete"] = False
    return answer


def play(case, scenario):
    """Runs a scenario that returns whether the rule was broken, and ends the process with the exit code of the case."""
    try:
        if not GATEWAY.exists():
            raise RuntimeError("the build of the deploy file has not been run")
        code = EXIT_BROKEN if asyncio.run(scenario()) else EXIT_HELD
    except Exception as error:  # The case could not run.
        print(f"could not run: {error!r}")
        code = EXIT_NOT_RUN
    print({EXIT_BROKEN: "rule broken", EXIT_HELD: "rule held", EXIT_NOT_RUN: "not run"}[code])
    sys.exit(code)
