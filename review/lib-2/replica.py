"""A replica in a process of its own: replica.py PORT ID RUNS_FILE MODE. It runs each request once and writes down what it
received. MODE unframed answers in parts, without a length, and ends each answer with its connection; MODE plain answers
after a short time, with a length; MODE early answers once it has read the head, keeps the connection and reads the body
slowly; MODE upload reads the body at once and then answers."""

import asyncio
import json
import socket
import sys
import time

PORT, NAME, RUNS, MODE = int(sys.argv[1]), sys.argv[2], sys.argv[3], sys.argv[4]
PARTS, PART_S = 10, 0.1
WORK_S = {"plain": 0.015, "upload": 0.015, "slow": 0.15}
# Time in which MODE early reads a body, whatever its size.
READ_S = 30


def line_of(request_id, number):
    return f"{request_id} {number} of {PARTS}\n"


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    fields = {}
    for line in head.split("\r\n")[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return head.split("\r\n")[0], fields


async def read_body(reader, length):
    left = length
    while left:
        part = await reader.read(min(left, 65_536))
        if not part:
            raise OSError("the body broke off")
        left -= len(part)
        if MODE == "early":
            await asyncio.sleep(READ_S * len(part) / length)


async def serve(reader, writer):
    try:
        while True:
            first, fields = await read_head(reader)
            length = int(fields.get("content-length", 0))
            if MODE != "early":
                await read_body(reader, length)
            request_id = fields.get("apricotpier-request-id", "")
            if fields.get("apricotpier-expect-instance", NAME) != NAME:
                writer.write((f"HTTP/1.1 421 Misdirected\r\nApricotpier-Request-Id: {request_id}\r\n"
                              "Apricotpier-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
                continue
            with open(RUNS, "a") as runs:
                runs.write(json.dumps({"at": time.monotonic(), "replica": NAME, "id": request_id, "request": first,
                                       "key": fields.get("authorization"), "tenant": fields.get("apricotpier-tenant")}) + "\n")
            head = f"HTTP/1.1 200 OK\r\nApricotpier-Request-Id: {request_id}\r\nApricotpier-Server-Stamp: {NAME}\r\n"
            if MODE != "unframed":
                await asyncio.sleep(WORK_S.get(MODE, 0))
                body = "".join(line_of(request_id, number) for number in range(1, PARTS + 1))
                writer.write((head + f"Content-Length: {len(body)}\r\n\r\n" + body).encode())
                if MODE == "early":
                    await read_body(reader, length)
                continue
            writer.write((head + "Connection: close\r\n\r\n").encode())
            for number in range(1, PARTS + 1):
                await asyncio.sleep(PART_S)
                writer.write(line_of(request_id, number).encode())
                await writer.drain()
            break
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if MODE == "early":
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    listener.bind(("127.0.0.1", PORT))
    server = await asyncio.start_server(serve, sock=listener, limit=16_384)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
