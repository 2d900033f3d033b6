"""Checks the retry budget of all hosts together, with gateway processes that leave, restart and freeze.

Guards against retries of one service beyond the bound when callers move from hosts that have used their
permits to others.
"""

import asyncio
import bisect
import random
import signal
import sys
import time

from gatewayfleet import GatewayFleet, ScriptedServer, send_request

HOSTS = 8
SERVERS = 8
RATIO = 0.2
SLACK = 28
WINDOW_S = 5
REQUESTS_PER_S = 60


def count_between(times, begin, end):
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)


def largest_excess(arrivals, requests):
    """Returns by how much the repeats of any window exceed the bound, and these two, where that is largest."""
    seen = set()
    repeats = []
    for arrived_at, request_id in sorted(arrivals):
        if request_id in seen:
            repeats.append(arrived_at)
        seen.add(request_id)
    requests = sorted(requests)
    largest = (float("-inf"), 0, 0)
    for end in repeats:
        count = count_between(repeats, end - WINDOW_S, end)
        most_requests = max(count_between(requests, end - (1 + back) * WINDOW_S, end - back * WINDOW_S)
                            for back in (0, 0.5, 1))
        allowed = RATIO * most_requests + SLACK
        largest = max(largest, (count - allowed, count, allowed))
    return largest


class Play:
    """One deployment under load: every request may be repeated, and servers answer as they are told."""

    def __init__(self):
        self.fleet = GatewayFleet(HOSTS, RATIO, SLACK, WINDOW_S)
        self.arrivals = []
        self.requests = []
        self.servers = [ScriptedServer(f"server-{index}", self.arrivals) for index in range(SERVERS)]
        self.frozen = set()
        self.calls = set()

    async def start(self):
        self.fleet.put_config()
        for server in self.servers:
            await server.start()
            self.fleet.put_server(server)
        for host in self.fleet.hosts:
            host.start()
        self.fleet.wait_ready()

    async def send_load(self):
        number = 0
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            hosts = [host for host in self.fleet.hosts
                     if host.is_running() and not host.is_leaving and host not in self.frozen]
            if not hosts:
                continue
            number += 1
            self.requests.append(time.monotonic())
            call = asyncio.create_task(
                send_request(random.choice(hosts).ports["callers"], f"request-{number}"))
            self.calls.add(call)
            call.add_done_callback(self.calls.discard)

    def fail_servers(self, behaviour):
        for server in self.servers:
            server.behaviour = behaviour

    def stop_host(self, host):
        host.is_leaving = True
        host.request_stop()

    async def start_again(self, host):
        while host.is_running():
            await asyncio.sleep(0.05)
        host.is_leaving = False
        host.start()

    def freeze(self, host):
        self.frozen.add(host)
        host.send_signal(signal.SIGSTOP)

    def thaw(self, host):
        host.send_signal(signal.SIGCONT)
        self.frozen.discard(host)


async def half_of_the_hosts_leave(play):
    play.fail_servers("error")
    await asyncio.sleep(1.5)
    for host in play.fleet.hosts[: HOSTS // 2]:
        play.stop_host(host)
    await asyncio.sleep(WINDOW_S)


async def hosts_restart_in_turn(play):
    play.fail_servers("error")
    await asyncio.sleep(1)
    restarts = []
    for host in play.fleet.hosts:
        play.stop_host(host)
        restarts.append(asyncio.create_task(play.start_again(host)))
        await asyncio.sleep(0.8)
    await asyncio.gather(*restarts)
    await asyncio.sleep(WINDOW_S)


async def half_of_the_hosts_are_killed_and_start_again(play):
    play.fail_servers("reset")
    for _ in range(2):
        await asyncio.sleep(1.5)
        for host in play.fleet.hosts[: HOSTS // 2]:
            host.kill()
        await asyncio.sleep(1)
        for host in play.fleet.hosts[: HOSTS // 2]:
            host.start()
    await asyncio.sleep(WINDOW_S)


async def half_of_the_hosts_freeze_beside_silent_servers(play):
    play.fail_servers("silent")
    await asyncio.sleep(2)
    for host in play.fleet.hosts[: HOSTS // 2]:
        play.freeze(host)
    await asyncio.sleep(WINDOW_S - 1)
    for host in play.fleet.hosts[: HOSTS // 2]:
        play.thaw(host)
    await asyncio.sleep(WINDOW_S)


async def play_case(case):
    play = Play()
    for host in play.fleet.hosts:
        host.is_leaving = False
    try:
        await play.start()
        load = asyncio.create_task(play.send_load())
        # Processes use the slack once a window has passed since they started, and requests count for two.
        await asyncio.sleep(2.2 * WINDOW_S)
        await case(play)
        load.cancel()
        await asyncio.sleep(0.5)
        return largest_excess(play.arrivals, play.requests)
    finally:
        play.fleet.stop()


CASES = [half_of_the_hosts_leave, hosts_restart_in_turn, half_of_the_hosts_are_killed_and_start_again,
         half_of_the_hosts_freeze_beside_silent_servers]


def main():
    random.seed(20261204)
    failed = 0
    cases = [case for case in CASES if len(sys.argv) == 1 or case.__name__ in sys.argv[1:]]
    for case in cases:
        excess, count, allowed = asyncio.run(play_case(case))
        failed += excess > 0
        print(f"{'FAILED' if excess > 0 else 'passed'} {case.__name__}: "
              f"{count} repeats in a window, {allowed:.0f} allowed", flush=True)
    print(f"{len(cases) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
