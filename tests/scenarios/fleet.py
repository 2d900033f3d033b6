"""Starts the programs of a small deployment on loopback, with ports from the kernel, and ends them."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_SECONDS = 20
SETTLED_SECONDS = 1.0


def http_json(port, method, path, body=None, timeout=5):
    """One JSON call; gives the status and the decoded answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else None
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    """Waits until a condition holds, and gives its value; raises TimeoutError otherwise."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            value = condition()
        except (OSError, http.client.HTTPException, ValueError):
            value = None
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"not within {seconds} s: {what}")


class Process:
    """One program of the deployment, started again under the same name and ports when asked."""

    def __init__(self, name, command, port_file, log_file):
        self.name = name
        self.command = command
        self.port_file = pathlib.Path(port_file)
        self.log_file = log_file
        self.popen = None
        self.ports = {}
        # Whether the process was ended by kill(), so that its exit status says nothing.
        self.is_killed = False

    def start(self):
        self.is_killed = False
        self.port_file.unlink(missing_ok=True)
        with open(self.log_file, "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log)

    def wait_started(self):
        text = wait_until(self._read_ports, START_SECONDS, f"{self.name} listens")
        found = json.loads(text)
        self.ports = found if isinstance(found, dict) else {"port": found}

    def _read_ports(self):
        if self.popen.poll() is not None:
            raise RuntimeError(f"{self.name} ended with {self.popen.returncode}")
        return self.port_file.read_text() if self.port_file.exists() else None

    def signal(self, number):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(number)

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def stop(self, seconds=15):
        """Asks for a graceful shutdown and gives the exit status."""
        self.ask_to_stop()
        return self.wait_stopped(seconds)

    def ask_to_stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)

    def wait_stopped(self, seconds=15):
        """Gives the exit status, or nothing when the process had to be killed."""
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
            return None

    def kill(self):
        if self.popen and self.popen.poll() is None:
            self.popen.kill()
            self.is_killed = True
        if self.popen:
            self.popen.wait()


class Fleet:
    """A platform emulator, backend emulators, and hosts that each run an entry and a dispatch daemon."""

    def __init__(self, build=None):
        self.build = pathlib.Path(build or os.environ.get("APRICOT_BUILD", ROOT / "build"))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="apricot-"))
        self.processes = {}
        self.hosts = {}
        self.backends = {}
        self.pipelines = {}
        self.dispatch_settings = {}

    def program(self, name):
        return str(self.build / "src" / name)

    def _add(self, name, command):
        process = Process(name, command, self.folder / f"{name}.port", self.folder / f"{name}.log")
        self.processes[name] = process
        process.start()
        return process

    def start_platform(self, *flags):
        name = "platform"
        process = self._add(name, [self.program("apricot-platform-emulator"),
                                   f"--port_file={self.folder / name}.port", *flags])
        process.wait_started()

    def platform(self, method, path, body=None):
        return http_json(self.processes["platform"].ports["port"], method, path, body)

    def put(self, key, value):
        kind, name = key.split("/", 1)
        written = {"metadata": {"name": name}, "spec": value}
        status, answer = self.platform("PUT", f"/-/objects/{key}", written)
        if status == 404:
            status, answer = self.platform("POST", f"/-/objects/{kind}", written)
        if status != 200:
            raise RuntimeError(f"PUT {key}: {status} {answer}")

    def add_backend(self, name, pool, kind, host, domain, **options):
        """Starts a backend server; declare_backend() makes it known."""
        flags = {"cold_cap": 2, "warm_cap": 8, "token_ms": 5, "load_lag_ms": 300,
                 "cold_requests": 8, "checks_orders": "true", **options}
        command = [self.program("apricot-backend-emulator"), f"--id={name}", f"--kind={kind}",
                   f"--port_file={self.folder / name}.port",
                   f"--log_file={self.folder / name}.runs"]
        command += [f"--{flag}={value}" for flag, value in flags.items()]
        self._add(name, command)
        self.backends[name] = {"pool": pool, "host": host, "failure_domain": domain,
                               "cold_cap": int(flags["cold_cap"]), "warm_cap": int(flags["warm_cap"]),
                               "checks_orders": flags["checks_orders"] == "true"}

    def declare_backends(self):
        for name, spec in self.backends.items():
            process = self.processes[name]
            process.wait_started()
            port = process.ports["port"]
            # A restarted server keeps its port, as its address is declared.
            process.command.append(f"--port={port}")
            self.put(f"servers/{name}", {**spec, "address": "127.0.0.1", "port": port})

    def add_pipeline(self, name, spec):
        self.pipelines[name] = spec
        self.put(f"catalogue/{name}", spec)

    def _write_settings(self, program, host, sections):
        file = self.folder / f"{program}-{host}.ini"
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        file.write_text("\n".join(lines) + "\n")
        return file

    def _process_section(self, program, host, domain):
        return {"host": host, "failure_domain": domain,
                "port_file": self.folder / f"{program}-{host}.port"}

    def add_host(self, host, domain):
        """Starts the dispatch daemon of a host, and then its entry daemon."""
        self.hosts[host] = domain
        settings = {
            "process": self._process_section("dispatch", host, domain),
            "peer": {"port": 0}, "control": {"port": 0},
            "platform": {"address": "127.0.0.1", "port": self.processes["platform"].ports["port"]},
        }
        for section, values in self.dispatch_settings.items():
            settings.setdefault(section, {}).update(values)
        file = self._write_settings("dispatch", host, settings)
        dispatch = self._add(f"dispatch-{host}",
                             [self.program("apricot-dispatch"), f"--config={file}"])
        dispatch.wait_started()
        # A restart keeps the ports, as the settings of a real host do.
        settings["peer"]["port"] = dispatch.ports["peer"]
        settings["control"]["port"] = dispatch.ports["control"]
        self._write_settings("dispatch", host, settings)
        settings = {
            "process": self._process_section("entry", host, domain),
            "http": {"port": 0}, "control": {"port": 0},
            "dispatch": {"address": "127.0.0.1", "port": dispatch.ports["peer"]},
        }
        file = self._write_settings("entry", host, settings)
        entry = self._add(f"entry-{host}", [self.program("apricot-entry"), f"--config={file}"])
        entry.wait_started()
        settings["http"]["port"] = entry.ports["http"]
        settings["control"]["port"] = entry.ports["control"]
        self._write_settings("entry", host, settings)

    def entry_port(self, host):
        return self.processes[f"entry-{host}"].ports["http"]

    def is_ready(self, host):
        return http_json(self.entry_port(host), "GET", "/health")[0] == 200

    def wait_ready(self, hosts=None, seconds=START_SECONDS):
        """Waits until every host has been ready for SETTLED_SECONDS without a break."""
        wanted = list(hosts or self.hosts)
        since = None

        def settled():
            nonlocal since
            if not all(self.is_ready(host) for host in wanted):
                since = None
                return False
            since = since or time.monotonic()
            return time.monotonic() - since >= SETTLED_SECONDS
        wait_until(settled, seconds, f"{wanted} are ready")

    def homes(self):
        _, cell = self.platform("GET", "/-/objects/cells/cell-1")
        return cell["spec"]["homes"]

    def wait_homes(self, seconds=START_SECONDS):
        """Waits until every server has a home and no home has moved for SETTLED_SECONDS."""
        seen = {"homes": None, "since": 0.0}

        def settled():
            homes = self.homes()
            if homes != seen["homes"]:
                seen.update(homes=homes, since=time.monotonic())
            return set(self.backends) <= set(homes) \
                and not any("unconfirmed_home" in home for home in homes.values()) \
                and time.monotonic() - seen["since"] >= SETTLED_SECONDS
        wait_until(settled, seconds, "every replica has a home")

    def home_of(self, server):
        return self.homes()[server]["home"]

    def state(self, name):
        return http_json(self.processes[name].ports["control"], "GET", "/state")[1]

    def backend_call(self, name, method, path, body=None):
        return http_json(self.processes[name].ports["port"], method, path, body)[1]

    def runs(self, name):
        """Every run that a backend server began, over all its incarnations, from its log file."""
        file = self.folder / f"{name}.runs"
        lines = file.read_text().splitlines() if file.exists() else []
        events = [json.loads(line) for line in lines]
        return [event for event in events if event.get("end") == "running"]

    def stop(self):
        """Stops everything gracefully, hosts first; gives names and exit status of what did not."""
        failed = {}
        order = [name for name in self.processes if name.startswith("entry-")]
        order += [name for name in self.processes if name.startswith("dispatch-")]
        order += [name for name in self.processes if name not in order]
        for prefix in ("entry-", "dispatch-", ""):
            group = [name for name in order if name.startswith(prefix)]
            order = [name for name in order if name not in group]
            for name in group:
                self.processes[name].ask_to_stop()
            for name in group:
                if self.processes[name].popen is None or self.processes[name].is_killed:
                    continue
                status = self.processes[name].wait_stopped()
                if status != 0:
                    failed[name] = status
        return failed

    def kill_all(self):
        for process in self.processes.values():
            process.kill()
