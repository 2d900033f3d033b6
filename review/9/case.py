"""The last tenant is removed by a new version of the configuration. From then on its keys, and keys that no configuration
ever held, must be refused with 401 on a route that is not public."""

import asyncio
import json
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import fleet2  # noqa: E402
from fleet2 import BROKEN, HELD, HOST, TROUBLE  # noqa: E402

CONFIG_APPLY_S = 2.0
DROPPED_KEY, UNKNOWN_KEY = "9dnn2ctnfzs989anu6ws", "neverheldbyanyversion"


def config(version, tenants):
    route = {"name": "commit", "host": "h.example", "pathPrefix": "/commit/", "routeKind": "non_idempotent",
             "timeoutMs": 1000, "sloMs": 100, "service": "ledger", "maxAttempts": 1, "priority": 1, "public": False}
    return {"version": version, "routes": [route], "services": [{"name": "ledger"}], "limits": fleet2.LIMITS,
            "tenants": tenants}


async def send(fleet, gateway, request_id, key, phase):
    fields = [f"Authorization: Bearer {key}"] if key else []
    answer = await fleet2.request(gateway.ports["frontend"], "POST", "/commit/x", request_id, 1000, fields, b"charge")
    fleet.record.write("answer", phase=phase, id=request_id, key=key, at=gateway.name, status=answer.status,
                       error=answer.error)
    return answer.status


async def case(fleet):
    runs = fleet.folder / "runs"
    runs.touch()
    port = fleet2.free_port()
    replica = subprocess.Popen([sys.executable, str(pathlib.Path(fleet2.__file__).with_name("replica.py")), str(port),
                                "i-7f3a91c2", str(runs), "plain"], stdin=subprocess.DEVNULL)
    fleet.processes.append(replica)
    tenant = {"name": "bozi300", "apiKeys": [DROPPED_KEY], "priority": 1}
    fleet.store.put("config", "main", config(3, [tenant]))
    fleet.store.put("servers", "i-7f3a91c2", {"service": "ledger", "addr": f"{HOST}:{port}", "zone": "fes-a",
                                              "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 1,
                                              "born": int(time.time() * 1000)})
    await fleet.start()
    await asyncio.sleep(4)
    for index, gateway in enumerate(fleet.gateways):
        before = [await send(fleet, gateway, f"a{index}", DROPPED_KEY, "before"),
                  await send(fleet, gateway, f"b{index}", UNKNOWN_KEY, "before")]
        if before != [200, 401]:
            raise RuntimeError(f"expected 200 and 401 before the change, got {before}")
    if TROUBLE:
        fleet.store.put("config", "main", config(7, []))
        fleet.record.write("acknowledged", version=7, tenants=0)
    await asyncio.sleep(CONFIG_APPLY_S + 3)
    for number in range(20):
        for index, gateway in enumerate(fleet.gateways):
            await send(fleet, gateway, f"c{number:02d}{index}", DROPPED_KEY if TROUBLE else UNKNOWN_KEY, "after")
            await send(fleet, gateway, f"d{number:02d}{index}", UNKNOWN_KEY, "after")
        await asyncio.sleep(0.1)
    run = [json.loads(line)["id"] for line in runs.read_text().splitlines()]
    for request_id in run:
        fleet.record.write("run", id=request_id)
    dropped = sum(request_id.startswith("c") for request_id in run)
    unknown = sum(request_id.startswith("d") for request_id in run)
    print(f"run later than configApplyMs after the change: {dropped} of 120 requests with the dropped key, "
          f"{unknown} of 120 with a key that no configuration held")
    return BROKEN if dropped or unknown else HELD


fleet2.run(case, pathlib.Path(__file__).resolve().with_name("record.txt"))
