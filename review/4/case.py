"""Gateways restart in turn while replicas are cold: do the leaving gateways and the others still share the bound?"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from coldpool import COLD_S, Pool  # noqa: E402
from standins import HEARTBEAT_MS, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# roll_term (tabaq-rounds: share = 1.0 and gap_s = 1.0 to 2.0; one machine at a time): here two of three machines.
STOPPED = 2
ROLL_GAP_S = 1.0
RESTART_DELAY_S = 0.3
# cold_return (tabaq-rounds: for_s = 4.5): the replicas of a zone are down and come back together, cold.
DOWN_S = 4.5
# Round sheets and digests at 2.6 times their usual rate, with the chats: 7.74, 8.56 and 4.53 a second.
USUAL_PER_S = 20
BURST_PER_S = 50


async def play(record, folder, gateways):
    pool = Pool(record, folder, gateways)
    await pool.start()
    pool.rate_per_s = USUAL_PER_S
    await asyncio.sleep(5)
    ended = await pool.crash_engines()
    await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
    for engine in ended:
        await pool.store.delete(f"servers/{engine.name}")
    await asyncio.sleep(DOWN_S - 3 * HEARTBEAT_MS / 1000)
    pool.rate_per_s = BURST_PER_S
    for index, engine in enumerate(ended):
        await pool.start_engine(f"engine-{index}-again", COLD_S, engine.port)
    restarts = [asyncio.create_task(restart(record, gateway, index * ROLL_GAP_S))
                for index, gateway in enumerate(gateways[:STOPPED if TROUBLE else 0])]
    await asyncio.sleep(COLD_S + 1)
    await asyncio.gather(*restarts)
    await pool.stop()
    return pool.verdict()


async def restart(record, gateway, delay_s):
    await asyncio.sleep(delay_s)
    record.add("sigterm", gateway=gateway.name)
    gateway.terminate()
    while gateway.is_running():
        await asyncio.sleep(0.05)
    gateway.popen.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    record.add("restart", gateway=gateway.name)
    gateway.start()
    await gateway.wait_ready()


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER / "record.txt"))
