"""Replicas of stages and model replicas, as coroutines of the script's own process. A handle names what it was made of, so
that a model replica sees whose results it is given."""

import asyncio
import json
import socket
import time

import fleet2
from fleet2 import HOST


def handle_parts(handle):
    """Request, stage and piece that a handle stands for."""
    return tuple(handle.split("/")[1].rsplit(".", 3)[:3])


class Listener:
    """Accepts a number of connections; while they are open it resets all others, by not listening."""

    def __init__(self, max_connections):
        self.port, self.max_connections, self.open = fleet2.free_port(), max_connections, 0
        self.socket = None

    async def run(self, serve):
        while True:
            if self.open < self.max_connections and self.socket is None:
                self.socket = socket.socket()
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                self.socket.bind((HOST, self.port))
                self.socket.listen(min(self.max_connections, 100))
                self.socket.setblocking(False)
            try:
                if self.socket is None:
                    await asyncio.sleep(0.005)
                    continue
                connection, _ = await asyncio.get_running_loop().sock_accept(self.socket)
            except OSError:
                continue
            self.open += 1
            if self.open >= self.max_connections:
                self.socket.close()
                self.socket = None
            reader, writer = await asyncio.open_connection(sock=connection)
            asyncio.ensure_future(self._serve(serve, reader, writer))

    async def _serve(self, serve, reader, writer):
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            self.open -= 1


class StageReplica:
    """Makes one call at a time. With `copy_share`, this share of its answers at most comes a second time: at the point
    where the next answer to a call is expected on that connection, a part of a second after it came first."""

    LATE_S = (0.25, 1.0)

    def __init__(self, fleet, service, index, call_s, item_s, max_connections):
        self.fleet, self.service, self.id = fleet, service, f"i-{service}{index}"
        self.call_s, self.item_s = call_s, item_s
        self.listener = Listener(max_connections)
        self.zone = ["fes-a", "rabat-b", "tangier-c"][index % 3]
        self.copy_share, self.answers, self.copies, self.made = 0, 0, 0, 0
        self.turn = asyncio.Lock()

    def start(self):
        asyncio.ensure_future(self.listener.run(self._serve))
        self.fleet.store.put("servers", self.id, {
            "service": self.service, "addr": f"{HOST}:{self.listener.port}", "zone": self.zone, "version": "v1", "slots": 1,
            "state": "ready", "coldLeftMs": 0, "seq": 1, "born": int(time.time() * 1000)})

    async def _serve(self, reader, writer):
        answer, answered_at = b"", 0
        while True:
            _, path, fields, body = await fleet2.read_request(reader)
            if fields.get("apricotpier-expect-instance", self.id) != self.id:
                writer.write(b"HTTP/1.1 421 Misdirected Request\r\nApricotpier-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                continue
            if path == "/-/stage-free":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
                continue
            entries = json.loads(body)["entries"]
            is_late = answer and self.LATE_S[0] <= time.monotonic() - answered_at <= self.LATE_S[1]
            if is_late and self.copies + 1 <= self.copy_share * self.answers:
                self.copies += 1
                writer.write(answer)
                self.fleet.record.write("answer again", replica=self.id, to=[entry["id"] for entry in entries])
            async with self.turn:
                await asyncio.sleep(self.call_s + self.item_s * len(entries))
            results = []
            for entry in entries:
                self.made += 1
                results.append({"handle": f"{HOST}:{self.listener.port}/{entry['id']}.{entry['phase']}.{entry['segment']}."
                                          f"{self.made:x}"})
                self.fleet.record.write("piece", replica=self.id, id=entry["id"], stage=entry["phase"],
                                        piece=entry["segment"], key=entry.get("key"), inputs=entry.get("inputs"))
            text = json.dumps({"entries": results}).encode()
            answer = (b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nApricotpier-Server-Load: 0,0,1\r\n"
                      b"Content-Length: %d\r\n\r\n" % len(text)) + text
            writer.write(answer)
            answered_at = time.monotonic()
            self.answers += 1


class ModelReplica:
    def __init__(self, fleet, index):
        self.fleet, self.id, self.index = fleet, f"i-models{index}", index
        self.listener = Listener(1000)
        self.runs = []

    def start(self):
        asyncio.ensure_future(self.listener.run(self._serve))
        self.fleet.store.put("servers", self.id, {
            "service": "models", "addr": f"{HOST}:{self.listener.port}", "zone": fleet2.ZONES[2 * self.index], "version": "v1",
            "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": int(time.time() * 1000)})

    async def _serve(self, reader, writer):
        while True:
            _, _, fields, _ = await fleet2.read_request(reader)
            request_id = fields["apricotpier-request-id"]
            handles = [handle for handle in fields.get("apricotpier-input-count", "").split(",") if handle]
            self.runs.append((request_id, handles))
            self.fleet.record.write("run", replica=self.id, id=request_id, inputs=handles)
            writer.write((f"HTTP/1.1 200 OK\r\nApricotpier-Request-Id: {request_id}\r\nApricotpier-Server-Stamp: {self.id}\r\n"
                          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            for number in (1, 2, 3):
                await asyncio.sleep(0.02)
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
