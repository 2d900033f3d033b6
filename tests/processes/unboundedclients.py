"""Checks that clients that keep no limits cannot end a gateway process or shut out other callers.

Each form of misuse is a test of its own, named on the command line. A small crowd keeps its connections open while one
ordinary request is sent. Checked is only what does not depend on the machine's speed: the process lives, its peak of
memory and its open descriptors stay under those of its machine, the ordinary request is served, and no request that was
refused as not run has reached a server.
"""

import asyncio
import os
import pathlib
import random
import subprocess
import sys
import time

from gatewayfleet import GatewayFleet, ScriptedServer

# The machine of the test, and the limits that the configuration states.
MEMORY_MB = 64
MAX_FDS = 600
BODY_BYTES = 2 * 1024 * 1024
HEADER_BYTES = 16384
CROWD = 60
# Bytes that a member of the crowd sends at most.
SENT_BYTES = 4 * 1024 * 1024
NOT_RUN_STATUSES = {408, 413, 429, 431, 503}
PIECE = b"x" * 65536
HEAD = ("POST /again/{path} HTTP/1.1\r\nHost: h\r\nApricotpier-Request-Id: {id}\r\n"
        "Apricotpier-Deadline-Ms: 20000\r\n{fields}\r\n")


class Server(ScriptedServer):
    """Serves paths by their last part: big (a large response), hold (after a while), stall (does not read the body)."""

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        request_id = fields["apricotpier-request-id"]
        path = head.split(" ")[1]
        self.arrivals.append((time.monotonic(), request_id))
        if path.endswith("stall"):
            await asyncio.sleep(60)
            return False
        left = int(fields.get("content-length", 0))
        while left > 0:
            left -= len(await reader.read(min(left, 65536))) or left
        if path.endswith("hold"):
            await asyncio.sleep(4)
        body = PIECE * 48 if path.endswith("big") else b"ok"
        answer = (f"HTTP/1.1 200 OK\r\nApricotpier-Request-Id: {request_id}\r\nApricotpier-Server-Stamp: s\r\n")
        if path.endswith("stream"):
            writer.write((answer + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            for index in range(400):
                event = f"id: {index}\ndata: {'y' * 8000}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        else:
            writer.write((answer + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        await writer.drain()
        return True


class Crowd:
    """Clients on connections that stay open until the test ends."""

    def __init__(self, port):
        self.port = port
        self.writers = []
        self.statuses = {}
        self.random = random.Random(20261205)
        self.count = 0

    async def connect(self):
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), 10)
        self.writers.append(writer)
        return reader, writer

    def head(self, fields, path="x"):
        self.count += 1
        request_id = f"crowd-{self.count}"
        return request_id, HEAD.format(path=path, id=request_id, fields=fields).encode()

    async def send(self, writer, pieces):
        """Sends as far as the process reads; a refused connection ends it."""
        try:
            for piece in pieces:
                writer.write(piece)
                await asyncio.wait_for(writer.drain(), 5)
        except (OSError, asyncio.TimeoutError):
            pass

    async def note_status(self, request_id, reader):
        try:
            line = await asyncio.wait_for(reader.readline(), 1)
            self.statuses[request_id] = int(line.split()[1]) if line else 0
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            self.statuses.setdefault(request_id, 0)

    async def request(self, fields, pieces, path="x", reads=True):
        try:
            reader, writer = await self.connect()
        except (OSError, asyncio.TimeoutError):
            return
        request_id, head = self.head(fields, path)
        await self.send(writer, [head, *pieces])
        if reads:
            await self.note_status(request_id, reader)

    async def many(self, count, make):
        await asyncio.gather(*(make(index) for index in range(count)))


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def pieces_of(count):
    left = count
    while left > 0:
        yield PIECE[:min(left, len(PIECE))]
        left -= len(PIECE)


CHUNKED = "Transfer-Encoding: chunked\r\n"


def length(count):
    return f"Content-Length: {count}\r\n"


async def trailers(crowd):
    line = b"".join(b"T-%d: %s\r\n" % (index, b"v" * 900) for index in range(64))
    await crowd.many(CROWD, lambda _: crowd.request(CHUNKED, [chunk(b"a"), b"0\r\n"] + [line] * (SENT_BYTES // len(line))))


async def trailer_line(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(CHUNKED, [chunk(b"a"), b"0\r\nT: ", *pieces_of(SENT_BYTES)]))


async def chunk_extension(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(CHUNKED, [b"5;e=", *pieces_of(SENT_BYTES)]))


async def bodies_stop_short(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(length(BODY_BYTES), pieces_of(BODY_BYTES - 1), reads=False))


async def chunks_stop_short(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(CHUNKED, map(chunk, pieces_of(BODY_BYTES)), reads=False))


async def whole_bodies(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(length(BODY_BYTES), pieces_of(BODY_BYTES), path="hold"))


async def bodies_in_turns(crowd):
    async def slowly(_):
        async def pieces():
            for piece in pieces_of(BODY_BYTES - 1):
                yield piece
        try:
            _, writer = await crowd.connect()
            writer.write(crowd.head(length(BODY_BYTES))[1])
            async for piece in pieces():
                await crowd.send(writer, [piece])
                await asyncio.sleep(crowd.random.random() * 0.05)
        except (OSError, asyncio.TimeoutError):
            pass
    await crowd.many(CROWD, slowly)


async def announced_terabyte(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(length(2 ** 40), pieces_of(SENT_BYTES)))


async def chunks_without_end(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(CHUNKED, map(chunk, pieces_of(SENT_BYTES))))


async def one_byte_chunks(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(CHUNKED, [chunk(b"z") * 4096] * 20, reads=False))


async def header_without_end(crowd):
    await crowd.many(CROWD, lambda _: crowd.request("X-Long: ", pieces_of(SENT_BYTES)))


async def headers_stop_short(crowd):
    await crowd.many(800, lambda _: crowd.request("X-Short: " + "h" * 12000, [], reads=False))


async def headers_by_the_byte(crowd):
    async def slowly(_):
        try:
            _, writer = await crowd.connect()
            for byte in crowd.head("")[1][:40]:
                await crowd.send(writer, [bytes([byte])])
                await asyncio.sleep(0.02)
        except (OSError, asyncio.TimeoutError):
            pass
    await crowd.many(CROWD, slowly)


async def pipelined(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(length(0), [crowd.head(length(0))[1] for _ in range(200)], reads=False))


async def kept_connections(crowd):
    await crowd.many(800, lambda _: crowd.request(length(0), []))


async def stream_readers(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(length(0), [], path="stream", reads=False))
    await asyncio.sleep(3)


async def response_readers(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(length(0), [], path="big", reads=False))
    await asyncio.sleep(3)


async def stalled_server(crowd):
    await crowd.many(CROWD, lambda _: crowd.request(length(BODY_BYTES), pieces_of(BODY_BYTES), path="stall", reads=False))
    await asyncio.sleep(2)


FORMS = [trailers, trailer_line, chunk_extension, bodies_stop_short, chunks_stop_short, whole_bodies, bodies_in_turns,
         announced_terabyte, chunks_without_end, one_byte_chunks, header_without_end, headers_stop_short,
         headers_by_the_byte, pipelined, kept_connections, stream_readers, response_readers, stalled_server]


async def mix(crowd):
    """All forms in an order by seed, a few members each."""
    for form in crowd.random.sample(FORMS, len(FORMS)):
        await form(crowd)


BY_NAME = {form.__name__: form for form in [*FORMS, mix]}


def memory_peak_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError("no peak of memory")


async def ordinary_request(port):
    """Returns the status of one small request of a caller that keeps the limits."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(HEAD.format(path="x", id="ordinary", fields="Content-Length: 2\r\nConnection: close\r\n").encode() + b"ok")
    line = await asyncio.wait_for(reader.readline(), 30)
    writer.close()
    return int(line.split()[1]) if line else 0


class Descriptors:
    """Polls the largest number of open descriptors of processes."""

    def __init__(self, pids):
        self.pids = pids
        self.most = 0

    async def poll(self):
        while True:
            for pid in self.pids:
                try:
                    self.most = max(self.most, len(os.listdir(f"/proc/{pid}/fd")))
                except OSError:
                    pass
            await asyncio.sleep(0.02)


def limits_of_machine(fleet):
    """The limits of the machine, for a build that takes them from its settings."""
    program = fleet.fleet.program_path("apricot-gateway")
    help_text = subprocess.run([program, "--help_settings"], capture_output=True, text=True, check=False).stdout
    return f"[machine]\nmemory_mb = {MEMORY_MB}\nmax_descriptors = {MAX_FDS}\n" if "max_descriptors" in help_text else ""


async def play(form):
    fleet = GatewayFleet(1, ratio=0.2, slack=28, window_s=5)
    arrivals = []
    servers = [Server(f"server-{index}", arrivals) for index in range(4)]
    try:
        fleet.put_config(body_bytes=BODY_BYTES, header_bytes=HEADER_BYTES)
        for server in servers:
            await server.start()
            fleet.put_server(server)
        for host in fleet.hosts:
            settings = fleet.fleet.folder / f"{host.name}.ini"
            settings.write_text(settings.read_text() + limits_of_machine(fleet))
            host.start()
        await asyncio.get_running_loop().run_in_executor(None, fleet.wait_ready)
        await asyncio.sleep(0.5)
        pids = [host.popen.pid for host in fleet.hosts]
        calm_mb = max(map(memory_peak_mb, pids))
        descriptors = Descriptors(pids)
        poll = asyncio.ensure_future(descriptors.poll())
        crowd = Crowd(fleet.hosts[0].ports["callers"])
        await form(crowd)
        alive = all(host.is_running() for host in fleet.hosts)
        status = 0
        try:
            status = await ordinary_request(fleet.hosts[0].ports["callers"])
        except (OSError, asyncio.TimeoutError) as error:
            print(f"ordinary request: {error!r}")
        peak_mb = max(map(memory_peak_mb, pids)) if alive else float("inf")
        poll.cancel()
        ran = {request_id for _, request_id in arrivals}
        lied = [request for request, code in crowd.statuses.items() if code in NOT_RUN_STATUSES and request in ran]
        counts = {}
        for code in crowd.statuses.values():
            counts[code] = counts.get(code, 0) + 1
        print(f"{form.__name__}: alive {alive}, peak {peak_mb:.0f} MB (in calm {calm_mb:.0f}, allowed {MEMORY_MB}), "
              f"descriptors {descriptors.most} (allowed {MAX_FDS}), ordinary request {status}, "
              f"statuses {counts}, refused and run {len(lied)}")
        return alive and peak_mb <= MEMORY_MB and descriptors.most <= MAX_FDS and status == 200 and not lied
    finally:
        fleet.stop()


def main():
    form = BY_NAME[sys.argv[1]]
    return 0 if asyncio.run(play(form)) else 1


if __name__ == "__main__":
    sys.exit(main())
