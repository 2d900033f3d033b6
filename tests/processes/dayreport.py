"""Checks scripts/day-report against a small report and log, also a log with lines that are not readable."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
COUNTS = {"n": 12, "in_aim": 6, "late": 2, "refused": 3, "failed": 1, "not_owed": 2, "worth": 0.625, "p99_ms": 900.4}
REPORT = {
    "G": 0.25, "served": 0.625, "refused": 0.25, "failed": 0.1,
    "parts": [["whole day", 0.4, 0.625]],
    "prices": [["calls", 10.0, 0.05], ["nothing", 0.0, 0.0]],
    "classes": [{"name": "chat", **COUNTS}],
    "windows": [{"name": "0", **COUNTS}, {"name": "2", **COUNTS, "n": 0}],
    "unserved_by": [["503", 3, []]],
    "services": [{"told": "engines", "servers": 4, "arrivals": 9, "not_run": 1, "ran_badly": 0, "busiest_x": 1.5}],
    "nodes": [{"class": "front", "n": 2, "cpu_mean": 0.01, "cpu_peak": 0.02, "mem_peak_mb": 9.6, "fds_peak": 50}],
    "hints": ["a remark"],
    "events": [{"at_s": 1.0, "to_s": 2.0, "kind": "burst", "what": "chat"}],
}
LOG = """built in 1.6 s
  0.5000 host-1 {"event":"request_ended","status":503,"refusal":"poisoned","poisoned":"part-1"}
  0.6000 host-1 {"event":"request_ended","status":503,"refusal":"poisoned"}
  2.1000 host-2 {"event":"request_ended","status":503,"refusal":"overloaded"}
  2.2000 host-2 {"event":"request_ended","status":200}
  2.3000 host-2 {"event":"stage_work_failed","pool":"p","group":7,"end":"late","rank":1,"working_servers":2.0,"waiting_pieces":30}
  2.4000 host-2 {"event":"stage_call_incomplete","pool":"p","answered":true,"pieces":4,"no_room":3,"input_gone":0}
  2.5000 host-2 {"event":"stage_call_incomplete","pool":"p","answered":false,"pieces":4}
  2.6000 host-2 {"event":"cut off
"""
EXPECTED = [
    "worth 0.250, served 0.625, refused 0.250, failed 0.100",
    "| whole day | 0.625 | 0.250 |",
    "| calls | 10.000 | -0.050 |",
    "| chat | 10 | 6 | 2 | 3 | 1 | 0.625 | 900 |",
    "| 503 | 3 |",
    "| engines | 4 | 9 | 1 | 0 | 1.500 |",
    "| front | 2 | 0.010 | 0.020 | 10 | 50 |",
    "From the logs of 2 hosts (1 unreadable lines)",
    "| second | poisoned | overloaded |",
    "| 0 | 2 | 0 |",
    "| 2 | 0 | 1 |",
    "| part-1 | 1 |",
    "| while it waited | 1 |",
    "| p | late | 1 | 1 |",
    "| p | 2 | 1 | 2.000 | 30.000 |",
    "| p | 7 | 1 | host-2 1 |",
    "| p | no_room | 3 |",
    "| p | unanswered | 4 |",
]


def run(*arguments):
    return subprocess.run([sys.executable, "-B", str(ROOT / "scripts" / "day-report"), *arguments],
                          capture_output=True, text=True, check=False)


def main():
    failures = []
    with tempfile.TemporaryDirectory() as folder:
        report, log = os.path.join(folder, "report.json"), os.path.join(folder, "log")
        pathlib.Path(report).write_text(json.dumps(REPORT), encoding="utf-8")
        pathlib.Path(log).write_text(LOG, encoding="utf-8")
        result = run(report, log)
        lines = result.stdout.splitlines()
        failures += [f"missing: {text}" for text in EXPECTED if text not in lines]
        failures += ["a window without requests is listed"] if "| 2 | -2 |" in result.stdout else []
        failures += [f"exit status {result.returncode}: {result.stderr}"] if result.returncode != 0 else []
        without_log = run(report)
        failures += ["a log is expected"] if without_log.returncode != 0 or "logs" in without_log.stdout else []
        broken = run(log)
        if broken.returncode != 1 or "day-report: cannot read the day" not in broken.stderr:
            failures.append(f"exit status {broken.returncode} for a file that is no report: {broken.stderr}")
    for text in failures:
        print(f"FAILED {text}")
    print(f"{0 if failures else 1} passed, {1 if failures else 0} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
