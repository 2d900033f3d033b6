"""Runs emulators and hosts under open-loop load, optionally with a fault, and prints the figures."""

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
# Name, kind of stage and number of servers of each pool.
POOLS = [("encoders", "encode", 2), ("shelves", "retrieve", 2), ("rerankers", "rerank", 2),
         ("models", "generate", 6)]
TOKEN_MS = 30
STAGES = [{"name": "encode", "kind": "encode", "pool": "encoders"},
          {"name": "retrieve", "kind": "retrieve", "pool": "shelves"},
          {"name": "rerank", "kind": "rerank", "pool": "rerankers"},
          {"name": "generate", "kind": "generate", "pool": "models", "max_tokens": 16}]
# Requests/s that the generating pool can serve: 18 slots, about 13 tokens for each request.
CAPACITY = 46
DURATION_MS = 15000
LIMIT_SHARE_WAIT_S = 7


def pipeline_spec(owner, service_class, limits=None):
    return {"owner": owner, "class": service_class, "deadline_ms": 5000, "stages": STAGES,
            **({"limits": limits} if limits else {})}


# Weight in the load and catalogue entry of each pipeline.
PIPELINES = {
    "round-sheet": (3, pipeline_spec("tabaq-rahma", "urgent")),
    "eligibility-summary": (2, pipeline_spec("cascade-grantwatch", "standard")),
    "archive": (1, pipeline_spec("cascade-grantwatch", "bulk")),
}
GREEDY_PIPELINES = {
    "round-sheet": (1, pipeline_spec("tabaq-rahma", "standard")),
    "flood": (4, pipeline_spec("greedy", "standard", {"requests_per_second": 10})),
}


class Experiment:
    """Request rates, pipelines and the fault, if any, of one run."""

    def __init__(self, description, schedule, fault=None, pipelines=None, duration_ms=DURATION_MS,
                 has_warm_up=True):
        self.description = description
        self.schedule = schedule
        self.fault = fault
        self.pipelines = pipelines or PIPELINES
        self.duration_ms = duration_ms
        self.has_warm_up = has_warm_up


def constant_schedule(percent):
    return f"0:{CAPACITY * percent / 100:.0f}"


def slow_down_replica(fleet):
    """Makes one generating replica run at a quarter of its speed."""
    fleet.call_backend("models-1", "POST", "/faults", {"straggle_factor": 4})


def remove_and_restore_domain(fleet):
    fleet.put_object("domains/fd-3", {"state": "out"})
    time.sleep(5)
    fleet.put_object("domains/fd-3", {"state": "in"})


def restart_third_of_replicas(fleet):
    """Restarts a third of the generating replicas, which makes them cold."""
    for name in ("models-1", "models-2"):
        fleet.processes[name].kill()
        fleet.processes[name].start()


def freeze_platform(fleet):
    fleet.processes["platform"].send_signal(signal.SIGSTOP)
    time.sleep(6)
    fleet.processes["platform"].send_signal(signal.SIGCONT)


EXPERIMENTS = {
    "steady-50": Experiment("50 % of capacity", constant_schedule(50)),
    "steady-80": Experiment("80 % of capacity", constant_schedule(80)),
    "steady-100": Experiment("100 % of capacity", constant_schedule(100)),
    "steady-130": Experiment("130 % of capacity", constant_schedule(130)),
    "burst": Experiment("three times the rate from 5 s to 8 s",
                        f"0:{CAPACITY * 0.5:.0f},5000:{CAPACITY * 1.5:.0f},8000:{CAPACITY * 0.5:.0f}"),
    "straggler": Experiment("one of six replicas slows down at 5 s", constant_schedule(60),
                            slow_down_replica),
    "domain-out": Experiment("a failure domain is out from 5 s to 10 s", constant_schedule(50),
                             remove_and_restore_domain, duration_ms=20000),
    "cold-third": Experiment("a third of the replicas restart at 5 s", constant_schedule(50),
                             restart_third_of_replicas),
    "platform-outage": Experiment("the platform is frozen from 5 s to 11 s", constant_schedule(50),
                                  freeze_platform),
    "greedy": Experiment("one owner sends several times its limit of 10/s", constant_schedule(100),
                         pipelines=GREEDY_PIPELINES),
}


def start_fleet(fleet, experiment, options):
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
    # A new cell grants shares of the owners' limits only after its first members have settled.
    time.sleep(LIMIT_SHARE_WAIT_S)


def load_command(fleet, experiment, schedule, duration_ms, report_file):
    workload_file = fleet.folder / "workload.json"
    workload_file.write_text(json.dumps({"pipelines": {
        name: {"weight": weight, "entry": spec}
        for name, (weight, spec) in experiment.pipelines.items()}}))
    entry_addresses = ",".join(f"127.0.0.1:{fleet.entry_port(host)}" for host in fleet.hosts)
    return [fleet.program_path("apricot-load"), f"--entries={entry_addresses}",
            f"--workload={workload_file}", f"--schedule={schedule}", f"--length_ms={duration_ms}",
            f"--json={report_file}"]


def run_experiment(fleet, experiment, options):
    if experiment.has_warm_up:
        subprocess.run(load_command(fleet, experiment, constant_schedule(30), 4000,
                                    fleet.folder / "warm.json"),
                       check=True, stdout=subprocess.DEVNULL)
    fault_timer = None
    if experiment.fault:
        fault_timer = threading.Timer(5, experiment.fault, [fleet])
        fault_timer.start()
    report_file = pathlib.Path(options.json) if options.json else fleet.folder / "report.json"
    subprocess.run(load_command(fleet, experiment, experiment.schedule, experiment.duration_ms,
                                report_file),
                   check=True)
    if fault_timer:
        fault_timer.join()
    server_counts = {name: fleet.call_backend(name, "GET", "/counts") for name in fleet.backends}
    cold_violations = sum((counts or {}).get("cold_violations", 0)
                          for counts in server_counts.values())
    print(f"cold violations: {cold_violations}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", nargs="?", choices=sorted(EXPERIMENTS))
    parser.add_argument("--routing", default="power_of_two")
    parser.add_argument("--no-admission", action="store_true")
    parser.add_argument("--json", default="")
    options = parser.parse_args()
    if not options.name:
        for name, experiment in EXPERIMENTS.items():
            print(f"{name}: {experiment.description}")
        return 0
    experiment = EXPERIMENTS[options.name]
    print(f"{options.name}: {experiment.description}; routing {options.routing}, "
          f"admission {'off' if options.no_admission else 'on'}, "
          f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} processors")
    fleet = Fleet()
    try:
        start_fleet(fleet, experiment, options)
        run_experiment(fleet, experiment, options)
        failed_processes = fleet.stop()
        if failed_processes:
            print(f"non-zero exit status: {failed_processes}; logs in {fleet.folder}")
        return 1 if failed_processes else 0
    finally:
        fleet.kill_all()


if __name__ == "__main__":
    sys.exit(main())
