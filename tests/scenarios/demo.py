"""Demonstration for scripts/demo: sends requests of both example deployments, verifies the responses."""

import sys

import answers
from caller import Submission
from fleet import Fleet
from scenario import make_uuid7

DOMAINS = ["fd-1", "fd-2", "fd-3"]
# Name, kind of stage and number of servers of each pool.
POOLS = [("encoders", "encode", 2), ("shelves", "retrieve", 2), ("rerankers", "rerank", 2),
         ("models", "generate", 4), ("ledgers", "call", 3), ("alerts", "call", 3)]
FOUR_STAGES = [{"name": "encode", "kind": "encode", "pool": "encoders"},
               {"name": "retrieve", "kind": "retrieve", "pool": "shelves"},
               {"name": "rerank", "kind": "rerank", "pool": "rerankers"},
               {"name": "generate", "kind": "generate", "pool": "models", "max_tokens": 24}]
PIPELINES = {
    "round-sheet": {"owner": "tabaq-rahma", "class": "urgent", "deadline_ms": 9000,
                    "stages": FOUR_STAGES},
    "meal-charge": {"owner": "tabaq-rahma", "class": "standard", "deadline_ms": 9000,
                    "stages": [{"name": "charge", "kind": "call", "pool": "ledgers",
                                "idempotent": False}]},
    "eligibility-summary": {"owner": "cascade-grantwatch", "class": "standard",
                            "deadline_ms": 9000, "stages": FOUR_STAGES},
    "alert": {"owner": "cascade-grantwatch", "class": "urgent", "deadline_ms": 9000,
              "stages": [*FOUR_STAGES, {"name": "dispatch", "kind": "call", "pool": "alerts",
                                        "idempotent": False}]},
}
REQUESTS = [
    ("round-sheet", "client 17: diabetic, no peanuts, prefers soft food; round 4, Tuesday"),
    ("eligibility-summary", "rural library modernisation notice: filing closes 18 December"),
    ("meal-charge", "client 17, two trays, Tuesday"),
    ("alert", "small municipality water grant: filing closes in 3 days"),
]
ROUNDS = 6


def start_fleet(fleet):
    fleet.start_platform()
    for pool, kind, count in POOLS:
        for index in range(count):
            fleet.add_backend(f"{pool}-{index + 1}", pool, kind, f"machine-{pool}-{index + 1}",
                              DOMAINS[index % len(DOMAINS)], token_ms=5)
    fleet.declare_backends()
    for name, spec in PIPELINES.items():
        fleet.add_pipeline(name, spec)
    for index, domain in enumerate(DOMAINS):
        fleet.add_host(f"host-{index + 1}", domain)
    fleet.wait_ready()
    fleet.wait_homes()


def count_repeated_runs(fleet):
    """Returns how often non-idempotent keys ran after their first run, over all servers."""
    run_counts = {}
    for name, spec in fleet.backends.items():
        if spec["pool"] in ("ledgers", "alerts"):
            for run in fleet.started_runs(name):
                key = run["attempt"].split("/")[0]
                run_counts[key] = run_counts.get(key, 0) + 1
    return sum(count - 1 for count in run_counts.values())


def send_requests(fleet):
    submissions = []
    for round_number in range(ROUNDS):
        for index, (pipeline, text) in enumerate(REQUESTS):
            host = f"host-{(round_number + index) % len(DOMAINS) + 1}"
            submissions.append(Submission(
                port=fleet.entry_port(host), pipeline=pipeline,
                text=f"{text} (sheet {round_number})", key=make_uuid7()))
    for submission in submissions:
        submission.join(30)
    return submissions


def print_report(fleet, submissions):
    complete = lost = duplicates = 0
    for submission in submissions:
        pipeline, response = submission.arguments["pipeline"], submission.response
        expected_tokens = answers.pipeline_tokens(PIPELINES[pipeline]["stages"],
                                                  submission.arguments["text"])
        duplicates += response.out_of_sequence
        if response.is_complete and response.tokens == expected_tokens:
            complete += 1
        else:
            lost += 1
            print(f"{pipeline}: {response.describe()}")
    for submission in submissions[:len(REQUESTS)]:
        text = "".join(submission.response.tokens)
        print(f"{submission.arguments['pipeline']}: {text} ({submission.response.duration_s:.2f} s)")
    duplicates += count_repeated_runs(fleet)
    print(f"demo: {len(submissions)} sent, {complete} whole, {lost} lost, {duplicates} doubled")
    return lost == 0 and duplicates == 0


def main():
    fleet = Fleet()
    try:
        start_fleet(fleet)
        is_correct = print_report(fleet, send_requests(fleet))
        failed_processes = fleet.stop()
        if failed_processes:
            print(f"non-zero exit status: {failed_processes}; logs in {fleet.folder}")
        return 0 if is_correct and not failed_processes else 1
    finally:
        fleet.kill_all()


if __name__ == "__main__":
    sys.exit(main())
