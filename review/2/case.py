"""Gateways restart in turn while the store loses answers of writes: do the gateways still share the bound of a cold replica?"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from coldpool import COLD_S, Pool  # noqa: E402
from standins import HEARTBEAT_MS, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# platform_lost (tabaq-rounds: x = 0.35, for_s = 4.5; how = "late": done 1 to 6 s later).
LOST_FOR_S = 4.5
LATE_S = 5.5
LOST_SHARE = 0.35
# roll_term: the machines get SIGTERM one at a time, and start again after a short delay.
RESTART_DELAY_S = 0.3
ROLL_GAP_S = 2.0
# cold_return (tabaq-rounds: for_s = 4.5): the replicas of a zone are down and come back together, cold.
DOWN_S = 4.5
# Round sheets and digests at 2.6 times their usual rate, with the chats: 7.74, 8.56 and 4.53 a second.
USUAL_PER_S = 20
BURST_PER_S = 50


async def play(record, folder, gateways):
    pool = Pool(record, folder, gateways)
    lossy_until = 0.0
    writes = {"all": 0, "lost": 0}

    def lateness(method, key):
        """While answers are lost: the removal of a leaving gateway's entry is done late, within the share of all writes."""
        writes["all"] += 1
        if now() < lossy_until and method == "DELETE" and writes["lost"] + 1 <= LOST_SHARE * expected_writes:
            writes["lost"] += 1
            return LATE_S
        return None

    # Each of the three gateways removes its entry and writes it again.
    expected_writes = 6
    pool.store.lateness = lateness
    await pool.start()
    writes["all"] = 0
    pool.rate_per_s = USUAL_PER_S
    await asyncio.sleep(4)
    for gateway in gateways:
        lossy_until = now() + LOST_FOR_S if TROUBLE else 0.0
        record.add("sigterm", gateway=gateway.name)
        gateway.terminate()
        while gateway.is_running():
            await asyncio.sleep(0.05)
        gateway.popen.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        record.add("restart", gateway=gateway.name)
        gateway.start()
        await gateway.wait_ready()
        await asyncio.sleep(ROLL_GAP_S)
    # Well after the last lost answer, and longer than contactMs after everything that was disrupted.
    await asyncio.sleep(12)
    hosts = [key for key in pool.store.objects if key.startswith("apricot-hosts/")]
    record.add("registered_gateways", hosts=",".join(hosts))
    ended = await pool.crash_engines()
    await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
    for engine in ended:
        await pool.store.delete(f"servers/{engine.name}")
    await asyncio.sleep(DOWN_S - 3 * HEARTBEAT_MS / 1000)
    pool.rate_per_s = BURST_PER_S
    for index, engine in enumerate(ended):
        await pool.start_engine(f"engine-{index}-again", COLD_S, engine.port)
    await asyncio.sleep(COLD_S + 1)
    await pool.stop()
    is_broken, lines = pool.verdict()
    return is_broken, [f"{writes['lost']} of {writes['all']} writes lost their answer and were done {LATE_S} s later",
                       f"gateways that serve: {sum(gateway.is_running() for gateway in gateways)}; entries in the store: "
                       f"{len(hosts)}", *lines]


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER / "record.txt"))
