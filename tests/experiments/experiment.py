"""Runs a fleet of emulators and hosts under an open-loop load, with one fault, and prints the figures."""

import argparse
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "scenarios"))
from fleet import Fleet  # noqa: E402

DOMAINS = ["fd-1", "fd-2", "fd-3"]
POOLS = [("encoders", "encode", 2), ("shelves", "retrieve", 2), ("rerankers", "rerank", 2),
         ("models", "generate", 6)]
TOKEN_MS = 30
STAGES = [{"name": "encode", "kind": "encode", "pool": "encoders"},
          {"name": "retrieve", "kind": "retrieve", "pool": "shelves"},
          {"name": "rerank", "kind": "rerank", "pool": "rerankers"},
          {"name": "generate", "kind": "generate", "pool": "models", "max_tokens": 16}]
# Requests a second that the generating pool carries: 18 places, about 13 tokens each.
CAPACITY = 46
LENGTH_MS = 15000
SETTLE_SECONDS = 7


def pipeline(owner, service_class, limits=None):
    return {"owner": owner, "class": service_class, "deadline_ms": 5000, "stages": STAGES,
            **({"limits": limits} if limits else {})}


PIPELINES = {
    "round-sheet": (3, pipeline("tabaq-rahma", "urgent")),
    "eligibility-summary": (2, pipeline("cascade-grantwatch", "standard")),
    "archive": (1, pipeline("cascade-grantwatch", "bulk")),
}
GREEDY = {
    "round-sheet": (1, pipeline("tabaq-rahma", "standard")),
    "flood": (4, pipeline("greedy", "standard", {"requests_per_second": 10})),
}


class Experiment:
    """One run: its rates, its pipelines and the fault in its middle."""

    def __init__(self, what, schedule, fault=None, pipelines=None, length_ms=LENGTH_MS,
                 warm=True):
        self.what = what
        self.schedule = schedule
        self.fault = fault
        self.pipelines = pipelines or PIPELINES
        self.length_ms = length_ms
        self.warm = warm


def steady(percent):
    return f"0:{CAPACITY * percent / 100:.0f}"


def slow_replica(fleet):
    """One generating replica runs at a quarter of its speed."""
    fleet.backend_call("models-1", "POST", "/faults", {"straggle_factor": 4})


def domain_out_and_back(fleet):
    fleet.put("domains/fd-3", {"state": "out"})
    time.sleep(5)
    fleet.put("domains/fd-3", {"state": "in"})


def restart_third(fleet):
    """A third of the generating replicas begin again with a cold start."""
    for name in ("models-1", "models-2"):
        fleet.processes[name].kill()
        fleet.processes[name].start()


def platform_outage(fleet):
    fleet.processes["platform"].signal(signal.SIGSTOP)
    time.sleep(6)
    fleet.processes["platform"].signal(signal.SIGCONT)


EXPERIMENTS = {
    "steady-50": Experiment("50 % of capacity", steady(50)),
    "steady-80": Experiment("80 % of capacity", steady(80)),
    "steady-100": Experiment("100 % of capacity", steady(100)),
    "steady-130": Experiment("130 % of capacity", steady(130)),
    "burst": Experiment("three times the rate from 5 s to 8 s",
                        f"0:{CAPACITY * 0.5:.0f},5000:{CAPACITY * 1.5:.0f},8000:{CAPACITY * 0.5:.0f}"),
    "straggler": Experiment("one of six replicas slows down at 5 s", steady(60), slow_replica),
    "domain-out": Experiment("a failure domain is out from 5 s to 10 s", steady(50),
                             domain_out_and_back, length_ms=20000),
    "cold-third": Experiment("a third of the replicas restart at 5 s", steady(50), restart_third),
    "platform-outage": Experiment("the platform is frozen from 5 s to 11 s", steady(50),
                                  platform_outage),
    "greedy": Experiment("one owner sends several times its limit of 10/s", steady(100),
                         pipelines=GREEDY),
}


def start(fleet, experiment, options):
    fleet.dispatch_settings = {"load": {"routing": options.routing,
                                        "admission": "false" if options.no_admission else "true"}}
    fleet.start_platform()
    for pool, kind, count in POOLS:
        for index in range(count):
            fleet.add_backend(f"{pool}-{index + 1}", pool, kind, f"machine-{pool}-{index + 1}",
                              DOMAINS[index % len(DOMAINS)],
                              token_ms=TOKEN_MS if kind == "generate" else 2,
                              warm_cap=3 if kind == "generate" else 64, cold_requests=4)
    fleet.declare_backends()
    for name, (_, spec) in experiment.pipelines.items():
        fleet.add_pipeline(name, spec)
    for index, domain in enumerate(DOMAINS):
        fleet.add_host(f"host-{index + 1}", domain)
    fleet.wait_ready()
    fleet.wait_homes()
    # Shares of the owners' limits are granted once the members of the new cell have settled.
    time.sleep(SETTLE_SECONDS)


def load_command(fleet, experiment, schedule, length_ms, report):
    workload = fleet.folder / "workload.json"
    workload.write_text(json.dumps({"pipelines": {
        name: {"weight": weight, "entry": spec}
        for name, (weight, spec) in experiment.pipelines.items()}}))
    entries = ",".join(f"127.0.0.1:{fleet.entry_port(host)}" for host in fleet.hosts)
    return [fleet.program("apricot-load"), f"--entries={entries}", f"--workload={workload}",
            f"--schedule={schedule}", f"--length_ms={length_ms}", f"--json={report}"]


def run(fleet, experiment, options):
    if experiment.warm:
        subprocess.run(load_command(fleet, experiment, steady(30), 4000, fleet.folder / "warm.json"),
                       check=True, stdout=subprocess.DEVNULL)
    fault = None
    if experiment.fault:
        fault = threading.Timer(5, experiment.fault, [fleet])
        fault.start()
    report = pathlib.Path(options.json) if options.json else fleet.folder / "report.json"
    subprocess.run(load_command(fleet, experiment, experiment.schedule, experiment.length_ms, report),
                   check=True)
    if fault:
        fault.join()
    violations = {name: fleet.backend_call(name, "GET", "/counts") for name in fleet.backends}
    cold = sum((stats or {}).get("cold_violations", 0) for stats in violations.values())
    print(f"cold violations: {cold}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", nargs="?", choices=sorted(EXPERIMENTS))
    parser.add_argument("--routing", default="power_of_two")
    parser.add_argument("--no-admission", action="store_true")
    parser.add_argument("--json", default="")
    options = parser.parse_args()
    if not options.name:
        for name, experiment in EXPERIMENTS.items():
            print(f"{name}: {experiment.what}")
        return 0
    experiment = EXPERIMENTS[options.name]
    print(f"{options.name}: {experiment.what}; routing {options.routing}, "
          f"admission {'off' if options.no_admission else 'on'}, "
          f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} processors")
    fleet = Fleet()
    try:
        start(fleet, experiment, options)
        run(fleet, experiment, options)
        failed = fleet.stop()
        if failed:
            print(f"did not stop cleanly: {failed}; logs in {fleet.folder}")
        return 1 if failed else 0
    finally:
        fleet.kill_all()


if __name__ == "__main__":
    sys.exit(main())
