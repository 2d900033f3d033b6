"""A pool of two model replicas behind three gateways, and the count of what a cold replica gets (RULES.md, FAILBACK)."""

import asyncio
import collections
import random

from standins import BOUNDS, Engine, Gateway, Store, now, send

ZONES = ("fes-a", "rabat-b", "tangier-c")
# pier-models of tabaq-rounds: 8.8 requests a second while cold, cold for 3 s.
COLD_PER_S = 8.8
COLD_S = 3.0
BOUND = COLD_PER_S * BOUNDS["coldOvershoot"] + BOUNDS["coldTolerance"]
# A cold replica ends when it gets more than this in one second: the rules say that it bears the bound, 18.2.
FATAL_PER_S = 20
DEADLINE_MS = 6000


def config():
    route = {"name": "digests", "host": "digests.example", "pathPrefix": "/digests/", "routeKind": "streaming",
             "timeoutMs": DEADLINE_MS, "sloMs": 2300, "priority": 0, "service": "pier-models", "maxAttempts": 1,
             "stages": [], "public": True, "sticky": True, "resumable": False, "itlTargetMs": 800}
    return {"version": 1, "routes": [route], "tenants": [],
            "services": [{"name": "pier-models", "healthPath": "/healthz", "maxConns": 360, "coldStartS": COLD_S,
                          "coldPerS": COLD_PER_S, "runtime": {"slots": 64, "kvCapacity": 308065}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class Pool:
    """The deployment and its traffic."""

    def __init__(self, record, folder, gateways):
        self.record = record
        self.store = Store(record)
        self.folder = folder
        self.gateways = gateways
        self.engines = []
        self.all_engines = []
        self.answers = collections.Counter()
        self.cut = 0
        self.ended_by_load = 0
        self.calls = set()
        self.number = 0
        self.rate_per_s = 0
        # Gateways that the balancer sends clients to.
        self.in_rotation = set()

    async def start(self):
        await self.store.listen()
        await self.store.put("config/main", config())
        for index in range(2):
            await self.start_engine(f"engine-{index}", cold_s=0.0)
        for index, zone in enumerate(ZONES):
            self.gateways.append(Gateway(self.folder, f"edge-{index}", zone, self.store.port,
                                         [self.gateways[0].seed()] if self.gateways else []))
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.tasks = [asyncio.create_task(self.balance()), asyncio.create_task(self.send_traffic())]

    async def start_engine(self, name, cold_s, port=None):
        engine = Engine(self.store, self.record, name, "pier-models", ZONES[0], events=8, first_s=0.1, pause_s=0.05)
        if port:
            engine.port = port
        engine.on_request = self.on_engine_request
        await engine.start(cold_s)
        self.engines.append(engine)
        self.all_engines.append(engine)
        return engine

    def on_engine_request(self, engine, request):
        last_second = [at for at, _, is_cold in engine.arrivals[-100:] if is_cold and at > now() - 1]
        if now() < engine.cold_until and len(last_second) > FATAL_PER_S and engine in self.engines:
            self.engines.remove(engine)
            self.ended_by_load += 1
            self.record.add("cold_replica_ends", replica=engine.name, requests_in_last_second=len(last_second))
            asyncio.get_running_loop().create_task(engine.crash())

    async def crash_engines(self):
        """The replicas of the zone end; the store removes their entries after three heartbeats of silence."""
        ended, self.engines = self.engines, []
        for engine in ended:
            self.record.add("replica_crashed", replica=engine.name)
            await engine.crash()
        return ended

    async def balance(self):
        """Asks each gateway once a second; two misses take it out."""
        misses = collections.Counter()
        while True:
            for gateway in self.gateways:
                misses[gateway.name] = 0 if await gateway.is_ready() else misses[gateway.name] + 1
                if misses[gateway.name] == 0:
                    self.in_rotation.add(gateway)
                elif misses[gateway.name] >= 2:
                    self.in_rotation.discard(gateway)
            await asyncio.sleep(1)

    async def send_traffic(self):
        while True:
            await asyncio.sleep(random.expovariate(self.rate_per_s) if self.rate_per_s else 0.1)
            if self.rate_per_s and self.in_rotation:
                call = asyncio.create_task(self.ask(random.choice(sorted(self.in_rotation, key=lambda g: g.name))))
                self.calls.add(call)
                call.add_done_callback(self.calls.discard)

    async def ask(self, gateway):
        self.number += 1
        request_id = f"{self.number:016x}"
        self.record.add("sent", request=request_id, gateway=gateway.name)
        fields = {"Apricotpier-Model": "m", "Apricotpier-Token-Usage": "700,48",
                  "Apricotpier-Prefix-Hash": f"{self.number % 40:08x}:172,{self.number + 1000:08x}:528"}
        status, _, complete = await send(
            gateway, request_id, "digests.example", "/digests/x", DEADLINE_MS, fields, b"{}")
        self.answers[status] += 1
        self.cut += status == 200 and not complete
        self.record.add("answered", request=request_id, status=status, complete=int(complete))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.calls)

    def verdict(self):
        """The most requests that a cold replica got in one second, against the bound."""
        most, where = 0, "none"
        for engine in self.all_engines:
            times = [at for at, _, is_cold in engine.arrivals if is_cold]
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - 1:
                    first += 1
                if last - first + 1 > most:
                    most, where = last - first + 1, f"{engine.name} until {at:.3f}"
        return most > BOUND, [
            f"{self.number} requests, answers by status {dict(self.answers)}, {self.cut} streams cut",
            f"FAILBACK: most requests to a cold replica in one second: {most} ({where}), bound {BOUND:.1f}",
            f"{self.ended_by_load} cold replicas ended under more than {FATAL_PER_S} requests in one second"]
