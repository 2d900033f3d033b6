"""Gateway processes with the platform emulator, and scripted backend servers and callers on loopback."""

import asyncio
import http.client
import pathlib
import random
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "scenarios"))

from fleet import Fleet, Process, http_json, wait_until  # noqa: E402

SETTINGS = """[process]
host = {name}
failure_domain = zone-{zone}
[listen]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
peers = 127.0.0.1:{peers}
admin = 127.0.0.1:{admin}
[peers]
seeds = {seeds}
[store]
endpoint = 127.0.0.1:{store}
[bounds]
grace_seconds = {grace_s}
retry_ratio = {ratio}
retry_slack = {slack}
retry_window_seconds = {window_s}
"""


# Ports handed out in this process; nothing listens on them yet.
_given_ports = set()


def free_port():
    """Returns a port that is free now, below the range from which the kernel assigns ports to clients."""
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port


class ScriptedServer:
    """A backend server that records the requests that arrive. `behaviour` is ok, reject, error, reset or silent."""

    def __init__(self, name, arrivals):
        self.name = name
        self.port = free_port()
        self.behaviour = "ok"
        self.arrivals = arrivals

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader, writer):
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        request_id = fields["apricotpier-request-id"]
        self.arrivals.append((time.monotonic(), request_id))
        behaviour = self.behaviour
        if behaviour == "silent":
            await asyncio.sleep(30)
            return False
        if behaviour == "reset":
            return False
        await asyncio.sleep(0.005)
        status, extra = {"ok": ("200 OK", ""), "error": ("500 Error", ""),
                         "reject": ("503 Full", "Apricotpier-Not-Executed: 1\r\n")}[behaviour]
        writer.write((f"HTTP/1.1 {status}\r\nApricotpier-Request-Id: {request_id}\r\n{extra}"
                      "Apricotpier-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok").encode())
        await writer.drain()
        return True


class GatewayFleet:
    """Hosts with one gateway process each."""

    def __init__(self, hosts, ratio, slack, window_s, grace_s=3, store_proxy=None):
        """A proxy is started in front of the store, and the hosts call the store through it."""
        self.fleet = Fleet()
        self.fleet.start_platform()
        self.store_port = self.fleet.processes["platform"].ports["port"]
        if store_proxy:
            self.store_port = store_proxy.start(self.store_port)
        self.bounds = {"ratio": ratio, "slack": slack, "window_s": window_s,
                       "grace_s": grace_s}
        ports = [{key: free_port() for key in ("callers", "readiness", "peers", "admin")}
                 for _ in range(hosts)]
        self.seeds = f"127.0.0.1:{ports[0]['peers']}"
        self.hosts = [self._add_host(index, host_ports) for index, host_ports in enumerate(ports)]

    def _add_host(self, index, ports):
        name = f"host-{index}"
        settings = self.fleet.folder / f"{name}.ini"
        settings.write_text(SETTINGS.format(name=name, zone=index % 3, seeds=self.seeds,
                                            store=self.store_port,
                                            **ports, **self.bounds))
        command = [self.fleet.program_path("apricot-gateway"), f"--config={settings}"]
        process = Process(name, command, self.fleet.folder / f"{name}.port",
                          self.fleet.folder / f"{name}.log")
        process.ports = ports
        self.fleet.processes[name] = process
        return process

    def put_config(self, max_attempts=3, body_bytes=4194304, header_bytes=16384):
        route = {"name": "again", "host": "h", "pathPrefix": "/again/", "routeKind": "idempotent",
                 "timeoutMs": 2500, "sloMs": 150, "service": "plain", "maxAttempts": max_attempts,
                 "public": True}
        self.fleet.put_object("config/main", {
            "version": 1, "routes": [route], "services": [{"name": "plain"}], "tenants": [],
            "limits": {"maxHeaderBytes": header_bytes, "maxBodyBytes": body_bytes, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})

    def put_server(self, server, start=1):
        self.fleet.put_object(f"servers/{server.name}", {
            "service": "plain", "addr": f"127.0.0.1:{server.port}", "zone": "zone-0", "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1_700_000_000_000 + start})

    def is_ready(self, host):
        connection = http.client.HTTPConnection("127.0.0.1", host.ports["readiness"], timeout=1)
        try:
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        finally:
            connection.close()

    def wait_ready(self):
        for host in self.hosts:
            wait_until(lambda host=host: self.is_ready(host), 10, f"{host.name} is ready")

    def stop(self):
        for process in self.fleet.processes.values():
            process.kill()


async def send_request(port, request_id, timeout_s=2.5):
    """Sends one request on a new connection; returns its status, or zero if there was no response."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write((f"GET /again/x HTTP/1.1\r\nHost: h\r\nApricotpier-Request-Id: {request_id}\r\n"
                      f"Apricotpier-Deadline-Ms: {int(timeout_s * 1000)}\r\nConnection: close\r\n\r\n").encode())
        line = await asyncio.wait_for(reader.readline(), timeout_s + 1)
        writer.close()
        return int(line.split()[1]) if line else 0
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0
