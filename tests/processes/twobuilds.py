"""Checks a fleet in which hosts of two builds of the gateway serve side by side, as during an upgrade.

Replaces the hosts one after the other, stops half-way for a while, goes on, and goes back, under load and while servers come.
Guards against messages between hosts that the other build does not read, or answers in another way.
"""

import argparse
import asyncio
import http.client
import os
import pathlib
import random
import subprocess
import sys
import time

from gatewayfleet import GatewayFleet, ScriptedServer, send_request

ROOT = pathlib.Path(__file__).resolve().parents[2]
# More hosts than those that each watch the store, so that the builds relay what it contains to each other.
HOSTS = 16
REQUESTS_PER_S = 40
# Requests that may end otherwise than without an upgrade.
ALLOWED_LOSS = 1 / 200
# The configuration has to be in force, and departing servers must get no new work, within two seconds.
LONGEST_NEWS_S = 2
HALF_WAY_PAUSE_S = 4


def build_gateway(commit):
    """Builds the gateway of a commit in a cache folder, unless that is done, and returns the path of the program."""
    sha = subprocess.check_output(["git", "-C", str(ROOT), "rev-parse", commit], text=True).strip()
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"))
    folder = cache / "apricotpier" / "builds" / sha
    program = folder / "target" / "bin" / "apricot-gateway"
    if program.exists():
        return program
    folder.mkdir(parents=True, exist_ok=True)
    archive = subprocess.Popen(["git", "-C", str(ROOT), "archive", sha, "src", "platform", "CMakeLists.txt"],
                               stdout=subprocess.PIPE)
    subprocess.check_call(["tar", "xf", "-", "-C", str(folder)], stdin=archive.stdout)
    subprocess.check_call(["cmake", "-S", str(folder), "-B", str(folder / "target"), "-DCMAKE_BUILD_TYPE=Release",
                           "-DAPRICOT_GATEWAY_ONLY=ON"], stdout=subprocess.DEVNULL)
    subprocess.check_call(["cmake", "--build", str(folder / "target"), "-j4"], stdout=subprocess.DEVNULL)
    return program


class Upgrade:
    """One fleet under load whose hosts are replaced by those of another build and back."""

    def __init__(self, programs):
        self.fleet = GatewayFleet(HOSTS, ratio=0.2, slack=28, window_s=5)
        self.programs = programs
        self.arrivals = []
        self.statuses = []
        self.calls = set()
        self.servers = []
        self.late_news = []
        self.news_checks = 0
        for host in self.fleet.hosts:
            host.is_leaving = False
            host.command[0] = programs["old"]

    async def start(self):
        self.fleet.put_config()
        for _ in range(4):
            await self.add_server()
        for host in self.fleet.hosts:
            host.start()
        self.fleet.wait_ready()

    async def add_server(self):
        server = ScriptedServer(f"server-{len(self.servers)}", self.arrivals)
        await server.start()
        self.servers.append(server)
        self.fleet.put_server(server)

    async def send_load(self):
        number = 0
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            hosts = [host for host in self.fleet.hosts if host.is_running() and not host.is_leaving]
            number += 1
            call = asyncio.create_task(self.send(random.choice(hosts), f"request-{number}"))
            self.calls.add(call)
            call.add_done_callback(self.calls.discard)

    async def send(self, host, request_id):
        self.statuses.append(await send_request(host.ports["callers"], request_id))

    async def replace(self, host, build):
        host.is_leaving = True
        host.request_stop()
        while host.is_running():
            await asyncio.sleep(0.05)
        host.command[0] = self.programs[build]
        host.start()
        end = time.monotonic() + 5
        while time.monotonic() < end and not await asyncio.to_thread(self.is_ready, host):
            await asyncio.sleep(0.05)
        host.is_leaving = False

    def is_ready(self, host):
        try:
            return self.fleet.is_ready(host)
        except (OSError, http.client.HTTPException):
            return False

    async def replace_in_turn(self, hosts, build):
        for first in range(0, len(hosts), 2):
            await asyncio.gather(*(self.replace(host, build) for host in hosts[first:first + 2]))
            await self.check_news()

    async def check_news(self):
        """Adds a server, and records the hosts that do not know of it in time."""
        await self.add_server()
        await asyncio.sleep(LONGEST_NEWS_S)
        self.news_checks += 1
        for host in self.fleet.hosts:
            if host.is_leaving:
                continue
            known = await asyncio.to_thread(self.known_servers, host)
            if known != len(self.servers):
                self.late_news.append(f"{host.name} knows {known} of {len(self.servers)} servers")

    def known_servers(self, host):
        connection = http.client.HTTPConnection("127.0.0.1", host.ports["admin"], timeout=2)
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        finally:
            connection.close()
        return next(int(float(line.split()[1])) for line in text.splitlines()
                    if line.startswith("apricot_backend_servers "))

    async def play(self):
        try:
            await self.start()
            load = asyncio.create_task(self.send_load())
            await asyncio.sleep(2)
            half = HOSTS // 2
            await self.replace_in_turn(self.fleet.hosts[:half], "new")
            await asyncio.sleep(HALF_WAY_PAUSE_S)
            await self.check_news()
            await self.replace_in_turn(self.fleet.hosts[half:], "new")
            await self.replace_in_turn(self.fleet.hosts[::2], "old")
            load.cancel()
            await asyncio.gather(*self.calls)
        finally:
            self.fleet.stop()

    def failures(self):
        lost = sum(status != 200 for status in self.statuses)
        ids = [request_id for _, request_id in self.arrivals]
        print(f"{len(self.statuses)} requests, {lost} not served, {len(ids) - len(set(ids))} sent again, "
              f"{self.news_checks} changes, {len(self.late_news)} of them late at a host", flush=True)
        found = list(self.late_news)
        if lost > ALLOWED_LOSS * len(self.statuses):
            found.append(f"{lost} of {len(self.statuses)} requests were not served")
        # All servers respond, so no request has a reason to be sent again.
        if len(ids) != len(set(ids)):
            found.append("requests were sent to servers again")
        return found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--commit", default="HEAD~1", help="commit of the other build")
    parser.add_argument("--gateway", help="program of the other build, if it is built already")
    parser.add_argument("--seed", type=int, default=20261204)
    arguments = parser.parse_args()
    random.seed(arguments.seed)
    build_folder = pathlib.Path(os.environ.get("APRICOT_BUILD", ROOT / "build"))
    programs = {"old": str(arguments.gateway or build_gateway(arguments.commit)),
                "new": str(build_folder / "src" / "apricot-gateway")}
    upgrade = Upgrade(programs)
    asyncio.run(upgrade.play())
    found = upgrade.failures()
    for text in found:
        print(f"FAILED {text}")
    print(f"{0 if found else 1} passed, {1 if found else 0} failed")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
