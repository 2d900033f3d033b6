"""Stand-in for the network path to a replica: a proxy that can drop the opening packets of new connections."""

import asyncio
import socket


class Link:
    """Forwards connections to a port. While it is cut, new connections hang, and open ones go on."""

    def __init__(self, port, target_port):
        self.port, self.target_port = port, target_port
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.fillers = []
        self.forwarding = set()
        self.accepting = asyncio.ensure_future(self._accept())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            self.forwarding.add(asyncio.ensure_future(self._forward(reader, writer)))

    async def cut(self):
        self.accepting.cancel()
        await asyncio.sleep(0.05)
        # The kernel drops opening packets while more connections than this wait to be accepted.
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def end_listening(self):
        """New connections are refused, as by a host on which no process listens. Not for a path that is cut."""
        self.accepting.cancel()
        self.listener.close()

    async def close(self):
        self.accepting.cancel()
        for task in self.forwarding:
            task.cancel()
        await asyncio.gather(*self.forwarding, return_exceptions=True)
        for each in [self.listener, *self.fillers]:
            each.close()

    async def _forward(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._copy(target_reader, writer), self._copy(reader, target_writer))

    @staticmethod
    async def _copy(reader, writer):
        """Passes on bytes, and an end as an end, a reset as a reset."""
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
