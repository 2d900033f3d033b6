"""A replica fails part of its requests after it has run them, with 503 and without `Apricotpier-Not-Executed`.

The client gets this 503, which promises that its request has not run and never will, and sends the request once more.
"""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
RECORD = CASE / "record.txt"
sys.path.insert(0, str(CASE.parent / "lib-3"))

from deployment import TROUBLE, Deployment, play, request  # noqa: E402

PROMISES = (408, 421, 429, 503)
REQUESTS = 240
REPLICA_ZONES = ["fes-a", "fes-a", "rabat-b", "rabat-b", "tangier-c", "tangier-c", "fes-a"]
GREY_SHARE = 0.4


async def client(deployment, gateway, number, answers):
    """Sends an order, and once more after a promise that it has not run, as clients do."""
    for attempt in range(2):
        request_id = f"c{number:04x}-{attempt}"
        fields = {"Apricotpier-Request-Id": request_id, "Apricotpier-Deadline-Ms": "1000"}
        deployment.note(f"client {number}, attempt {attempt}: sends {request_id} to {gateway.name}")
        answer = await request(gateway.ports["frontend"], "POST", f"/ledger/order-{number}", fields, b"meal")
        answers[request_id] = answer["status"]
        deployment.note(f"client {number}, attempt {attempt}: {request_id} is answered {answer['status']}, "
                        f"stamp {answer['fields'].get('apricotpier-server-stamp')}, "
                        f"not executed: {answer['fields'].get('apricotpier-not-executed')}")
        if answer["status"] not in PROMISES:
            return


async def scenario():
    zones = ["fes-a", "fes-a", "rabat-b", "rabat-b", "rabat-b", "tangier-c"]
    async with Deployment(zones, RECORD) as deployment:
        deployment.put_config(1, [{"name": "commit", "host": "h.example", "pathPrefix": "/ledger/", "service": "rounds-ledger",
                                   "routeKind": "non_idempotent", "timeoutMs": 1000, "sloMs": 100, "maxAttempts": 1}],
                              [{"name": "rounds-ledger", "healthPath": "/healthz", "coldStartS": 0}])
        for index, zone in enumerate(REPLICA_ZONES):
            grey = GREY_SHARE if TROUBLE and index == 0 else 0
            deployment.start_replica(f"i-{index}", "rounds-ledger", zone, grey=grey, status=503)
        for gateway in deployment.gateways:
            gateway.start()
        await deployment.wait_ready()
        await asyncio.sleep(1.5)
        answers = {}
        for begin in range(0, REQUESTS, len(zones)):
            await asyncio.gather(*(client(deployment, gateway, begin + index, answers)
                                   for index, gateway in enumerate(deployment.gateways)))
        ran = {event["request"] for event in deployment.replica_events() if event["event"] == "run"}
        broken = [name for name, status in answers.items() if status in PROMISES and name in ran]
        orders = {}
        for event in deployment.replica_events():
            if event["event"] == "run":
                orders[event["path"]] = orders.get(event["path"], 0) + 1
        deployment.note(f"requests that ran and were answered with a promise that they had not: {broken}")
        deployment.note(f"orders that ran more than once: {sorted(path for path, runs in orders.items() if runs > 1)}")
        return bool(broken)


play(CASE, scenario)
