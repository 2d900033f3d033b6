"""Checks that hosts of a larger fleet end a planned stop as soon as they have nothing left to do.

Guards against a stop that lasts until the peers of the host have no more requests for its view, which wait at it for news.
"""

import signal
import sys
import time

from gatewayfleet import GatewayFleet, ScriptedServer

# More hosts than those that each watch the store, so that most of them wait for news at others.
HOSTS = 14
GRACE_S = 8
# Callers are given 2.5 s to notice that a host leaves.
LONGEST_STOP_S = 4


def main():
    fleet = GatewayFleet(HOSTS, ratio=0.2, slack=28, window_s=5, grace_s=GRACE_S)
    try:
        fleet.put_config()
        fleet.put_server(ScriptedServer("server-0", []))
        for host in fleet.hosts:
            host.start()
        fleet.wait_ready()
        time.sleep(2)
        longest = 0
        for host in fleet.hosts:
            host.send_signal(signal.SIGTERM)
        started_at = time.monotonic()
        for host in fleet.hosts:
            host.wait_stopped()
            longest = max(longest, time.monotonic() - started_at)
        print(f"longest stop of {HOSTS} hosts: {longest:.1f} s, allowed {LONGEST_STOP_S} s")
        return 0 if longest <= LONGEST_STOP_S else 1
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
