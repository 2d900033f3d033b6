"""Two replicas become cold again, one shortly after the other. The gateways learn of the second one late.

The second replica gets requests at the usual rate while it is cold, and crashes.
"""

import asyncio
import pathlib
import signal
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-3"))

from deployment import TROUBLE, Deployment, exchange, play  # noqa: E402

# As in the site tabaq-rounds.
COLD_S = 3.0
COLD_PER_S = 8.8
COLD_OVERSHOOT = 1.5
COLD_TOLERANCE = 5
BOUND = COLD_PER_S * COLD_OVERSHOOT + COLD_TOLERANCE
# "crashes at a rate well above that"
CRASH_RATE = 2 * BOUND
REPLICA_ZONES = ["fes-a", "fes-a", "rabat-b", "tangier-c"]
CLIENTS_PER_GATEWAY = 5
# All clients together send some 200 requests a second, so each replica gets 50.
PAUSE_S = 0.14
GAP_S = 0.1


async def client(deployment, gateway, name, statuses, until):
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["frontend"])
    number = 0
    while asyncio.get_running_loop().time() < until:
        number += 1
        fields = {"Apricotpier-Request-Id": f"{name}-{number}", "Apricotpier-Deadline-Ms": "1000"}
        try:
            answer = await asyncio.wait_for(exchange(reader, writer, "POST", "/ledger/commit", fields, b"meal"), 3)
            status = answer["status"]
        except (OSError, EOFError, asyncio.TimeoutError):
            status = 0
        statuses[status] = statuses.get(status, 0) + 1
        if status == 0 or answer["fields"].get("connection", "").lower() == "close":
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["frontend"])
        await asyncio.sleep(PAUSE_S)
    writer.close()


def most_in_a_second(events, name):
    """The most requests that reached a replica within one second, from when the store had accepted that it is cold."""
    cold = [event["at"] for event in events if event["replica"] == name and event["event"] == "cold"]
    if not cold:
        return 0
    times = sorted(event["at"] for event in events if event["replica"] == name and event["event"] in ("run", "refused")
                   and cold[0] <= event["at"] < cold[0] + COLD_S)
    return max((sum(1 for other in times if begin <= other < begin + 1) for begin in times), default=0)


async def scenario():
    zones = ["fes-a", "fes-a", "rabat-b", "rabat-b", "rabat-b", "tangier-c"]
    async with Deployment(zones) as deployment:
        deployment.put_config(1, [{"name": "commit", "host": "h.example", "pathPrefix": "/ledger/", "service": "rounds-ledger",
                                   "routeKind": "non_idempotent", "timeoutMs": 1000, "sloMs": 100, "maxAttempts": 1}],
                              [{"name": "rounds-ledger", "healthPath": "/healthz", "coldStartS": COLD_S,
                                "coldPerS": COLD_PER_S}])
        for index, zone in enumerate(REPLICA_ZONES):
            deployment.start_replica(f"i-{index}", "rounds-ledger", zone, cold_s=COLD_S, cold_limit=CRASH_RATE)
        for gateway in deployment.gateways:
            gateway.start()
        await deployment.wait_ready()
        await asyncio.sleep(2)
        statuses = {}
        until = asyncio.get_running_loop().time() + 8
        clients = [asyncio.ensure_future(client(deployment, gateway, f"{gateway.name}-{number}", statuses, until))
                   for gateway in deployment.gateways for number in range(CLIENTS_PER_GATEWAY)]
        await asyncio.sleep(3)
        if TROUBLE:
            for name in ("i-0", "i-1"):
                deployment.note(f"replica {name} becomes cold again")
                deployment.replicas[name][0].send_signal(signal.SIGUSR1)
                await asyncio.sleep(GAP_S)
        await asyncio.gather(*clients)
        events = deployment.replica_events()
        worst = {name: most_in_a_second(events, name) for name in deployment.replicas}
        deployment.note(f"answers by status: {statuses}")
        deployment.note(f"most requests in a second while cold: {worst}; bound {BOUND:.1f}")
        deployment.write_record(CASE)
        print(worst, statuses)
        return max(worst.values()) > BOUND


play(CASE, scenario)
