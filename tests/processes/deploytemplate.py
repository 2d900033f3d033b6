"""Checks that the gateway accepts its settings template as the platform fills it in, with and without optional values.

Guards against a gateway that does not start because the platform states no limits of the machine, and against placeholders
that are left in the settings because a section has a dotted name, which the platform's pages do not show.
"""

import os
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
REQUIRED_FIELDS = {
    "node": "edge-1", "zone": "zone-a", "ip": "127.0.0.1",
    "listen": {"frontend": "127.0.0.1:8625", "readiness": "127.0.0.1:8621", "controlPlane": "127.0.0.1:8628"},
    "portRange": [7740, 7755], "seeds": [], "platform": {"addr": "127.0.0.1:8624"},
    "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 52, "retryWindowS": 10, "coldOvershoot": 1.5,
               "coldTolerance": 5}}
OPTIONAL_FIELDS = {
    "heartbeatMs": 1200, "limits": {"cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100},
    "seeds": ["127.0.0.1:8628", "127.0.0.2:8628"], "bounds": {**REQUIRED_FIELDS["bounds"], "canaryShare": 0.25}}


def value_of(fields, path):
    value = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
    return value


def fill(template, fields):
    """Fills in a template: a section is repeated for each entry of a list or table, and rendered once for other values."""
    def section(match):
        value = fields.get(match[1])
        count = len(value) if isinstance(value, (list, dict)) else int(value not in (None, False))
        return match[2] * count

    def text(match):
        value = value_of(fields, match[1])
        return "" if value is None else ",".join(value) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", text, re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S))


def check(name, fields, folder):
    settings = folder / f"{name}.ini"
    settings.write_text(fill((ROOT / "deploy" / "gateway.ini.template").read_text(), fields))
    program = pathlib.Path(os.environ.get("APRICOT_BUILD", ROOT / "build")) / "src" / "apricot-gateway"
    result = subprocess.run([program, f"--config={settings}", "--check"], capture_output=True, text=True, timeout=30)
    if result.returncode == 0 and "{{" not in settings.read_text():
        return True
    print(f"{name}: exit status {result.returncode}\n{result.stdout}{result.stderr}{settings.read_text()}")
    return False


def main():
    cases = {"required": REQUIRED_FIELDS, "all": {**REQUIRED_FIELDS, **OPTIONAL_FIELDS}}
    for name, value in OPTIONAL_FIELDS.items():
        cases[name] = {**REQUIRED_FIELDS, name: value}
    with tempfile.TemporaryDirectory() as folder:
        results = [check(name, fields, pathlib.Path(folder)) for name, fields in cases.items()]
    return 0 if all(results) else 1


sys.exit(main())
