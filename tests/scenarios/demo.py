"""The demonstration that scripts/demo runs: real requests of both deployments, checked to be whole."""

import sys

import answers
from caller import Submission
from fleet import Fleet
from scenario import make_uuid7

DOMAINS = ["fd-1", "fd-2", "fd-3"]
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


def start(fleet):
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


def count_doubled(fleet):
    """Non-idempotent keys that any server ran more than once."""
    seen = {}
    for name, spec in fleet.backends.items():
        if spec["pool"] in ("ledgers", "alerts"):
            for run in fleet.runs(name):
                key = run["attempt"].split("/")[0]
                seen[key] = seen.get(key, 0) + 1
    return sum(count - 1 for count in seen.values())


def send(fleet):
    submissions = []
    for turn in range(ROUNDS):
        for index, (pipeline, text) in enumerate(REQUESTS):
            host = f"host-{(turn + index) % len(DOMAINS) + 1}"
            submissions.append(Submission(
                port=fleet.entry_port(host), pipeline=pipeline, text=f"{text} (sheet {turn})",
                key=make_uuid7()))
    for submission in submissions:
        submission.join(30)
    return submissions


def report(fleet, submissions):
    whole = lost = doubled = 0
    for submission in submissions:
        pipeline, answer = submission.arguments["pipeline"], submission.answer
        wanted = answers.pipeline_answer(PIPELINES[pipeline]["stages"],
                                         submission.arguments["text"])
        doubled += answer.doubled
        if answer.done and answer.tokens == wanted:
            whole += 1
        else:
            lost += 1
            print(f"{pipeline}: {answer.describe()}")
    for submission in submissions[:len(REQUESTS)]:
        text = "".join(submission.answer.tokens)
        print(f"{submission.arguments['pipeline']}: {text} ({submission.answer.seconds:.2f} s)")
    doubled += count_doubled(fleet)
    print(f"demo: {len(submissions)} sent, {whole} whole, {lost} lost, {doubled} doubled")
    return lost == 0 and doubled == 0


def main():
    fleet = Fleet()
    try:
        start(fleet)
        good = report(fleet, send(fleet))
        failed = fleet.stop()
        if failed:
            print(f"did not stop cleanly: {failed}; logs in {fleet.folder}")
        return 0 if good and not failed else 1
    finally:
        fleet.kill_all()


if __name__ == "__main__":
    sys.exit(main())
