"""Stand-in for a backend server, a process of its own: registers in the store, serves HTTP/1.1, logs what it ran.

usage: replica.py ID PORT STORE_PORT SERVICE ZONE LOG [NAME=VALUE...]

  body=BYTES       size of a response body (800)
  pace_s=SECONDS   time over which the body is sent, in 20 parts (0)
  framing=NAME     length, or end: the answer has no length and ends with its connection; a path that ends in /framed
                   gets an answer with a length at once
  address_port=N   port that its entry in the store names (its own)
  grey=SHARE       share of the requests that fail after they have run, with a status of the replica (0)
  status=CODE      status of these failures (500)
  work_s=SECONDS   work before an answer (0.01)
"""

import asyncio
import json
import random
import sys
import time

PARTS = 20


class Replica:
    def __init__(self, name, port, store_port, service, zone, log, options):
        self.name, self.port, self.store_port = name, port, store_port
        self.service, self.zone = service, zone
        self.log = open(log, "a", buffering=1)
        self.body = int(options.get("body", 800))
        self.pace_s = float(options.get("pace_s", 0))
        self.framing = options.get("framing", "length")
        self.status = int(options.get("status", 500))
        self.address_port = int(options.get("address_port", self.port))
        self.grey = float(options.get("grey", 0))
        self.work_s = float(options.get("work_s", 0.01))
        self.born = int(time.time() * 1000)
        self.seq = 0

    def write(self, **event):
        self.log.write(json.dumps({"at": time.time(), "replica": self.name, "born": self.born, **event}) + "\n")

    async def run(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.write(event="started")
        asyncio.ensure_future(self.report())
        async with server:
            await server.serve_forever()

    async def report(self):
        while True:
            try:
                await self.put()
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(1.2)

    async def put(self):
        self.seq += 1
        spec = {"service": self.service, "addr": f"127.0.0.1:{self.address_port}", "zone": self.zone, "version": "v1",
                "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": self.seq, "born": self.born}
        for method, path in (("PUT", f"/-/objects/servers/{self.name}"), ("POST", "/-/objects/servers")):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.store_port)
            body = json.dumps({"metadata": {"name": self.name}, "spec": spec}).encode()
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            status = int((await reader.readline()).split()[1])
            writer.close()
            if status != 404:
                return

    async def serve(self, reader, writer):
        try:
            while await self.serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:] if ":" in line}
        await reader.readexactly(int(fields.get("content-length", 0)))
        method, path, _ = lines[0].split(" ", 2)
        if path == "/healthz":
            writer.write(f"HTTP/1.1 200 OK\r\nApricotpier-Replica-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        request = fields.get("apricotpier-request-id", "")
        if fields.get("apricotpier-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 No\r\nApricotpier-Request-Id: {request}\r\nApricotpier-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        self.write(event="run", request=request, method=method, path=path, tenant=fields.get("apricotpier-tenant"))
        await asyncio.sleep(self.work_s)
        body = (f"{request}:".encode() * (self.body // (len(request) + 1) + 1))[:self.body]
        is_framed = self.framing == "length" or path.endswith("/framed")
        status = self.status if random.random() < self.grey else 200
        text = f"HTTP/1.1 {status} S\r\nApricotpier-Request-Id: {request}\r\nApricotpier-Server-Stamp: {self.born}.{request}\r\n"
        text += f"Content-Length: {len(body)}\r\n\r\n" if is_framed else "Connection: close\r\n\r\n"
        writer.write(text.encode())
        pace_s = 0 if path.endswith("/framed") else self.pace_s
        size = -(-len(body) // PARTS) if pace_s else len(body)
        for begin in range(0, len(body), max(size, 1)):
            writer.write(body[begin:begin + size])
            await writer.drain()
            if pace_s:
                await asyncio.sleep(pace_s / PARTS)
        self.write(event="sent", request=request, bytes=len(body), status=status)
        return is_framed


if __name__ == "__main__":
    arguments = sys.argv[1:]
    settings = dict(argument.split("=", 1) for argument in arguments[6:])
    asyncio.run(Replica(arguments[0], int(arguments[1]), int(arguments[2]), *arguments[3:6], settings).run())
