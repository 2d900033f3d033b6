"""Starts and stops the programs of a small deployment on loopback, on ports chosen by the kernel."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20
# How long hosts have to be ready, and homes unchanged, before a deployment counts as started.
STABLE_PERIOD_S = 1.0


def http_json(port, method, path, body=None, timeout=5):
    """Sends one JSON request; returns the status and the decoded response body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else None
    finally:
        connection.close()


def wait_until(condition, timeout_s, description):
    """Polls a condition and returns its value once it is true; raises TimeoutError otherwise.

    Connection errors and malformed responses count as false.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            value = condition()
        except (OSError, http.client.HTTPException, ValueError):
            value = None
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {timeout_s} s waiting until {description}")


class Process:
    """A program of the deployment, which can be started again with the same command line."""

    def __init__(self, name, command, port_file, log_file):
        self.name = name
        self.command = command
        self.port_file = pathlib.Path(port_file)
        self.log_file = log_file
        self.popen = None
        self.ports = {}
        # Whether kill() ended the process; its exit status is then not checked.
        self.is_killed = False

    def start(self):
        self.is_killed = False
        self.port_file.unlink(missing_ok=True)
        with open(self.log_file, "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log)

    def wait_listening(self):
        text = wait_until(self._read_ports, START_TIMEOUT_S, f"{self.name} listens")
        ports = json.loads(text)
        self.ports = ports if isinstance(ports, dict) else {"port": ports}

    def _read_ports(self):
        if self.popen.poll() is not None:
            raise RuntimeError(
                f"{self.name} exited with status {self.popen.returncode} before it listened")
        return self.port_file.read_text() if self.port_file.exists() else None

    def send_signal(self, signal_number):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def stop(self, timeout_s=15):
        """Requests a graceful shutdown; returns the exit status as wait_stopped() does."""
        self.request_stop()
        return self.wait_stopped(timeout_s)

    def request_stop(self):
        # A frozen process would handle SIGTERM only after SIGCONT.
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def wait_stopped(self, timeout_s=15):
        """Returns the exit status, or None if the process had to be killed after the timeout."""
        try:
            return self.popen.wait(timeout_s)
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
    """A platform emulator, backend emulators, and hosts with one entry and one dispatch daemon each."""

    def __init__(self, build_folder=None):
        self.build_folder = pathlib.Path(
            build_folder or os.environ.get("APRICOT_BUILD", ROOT / "build"))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="apricot-"))
        self.processes = {}
        self.hosts = {}
        self.backends = {}
        self.pipelines = {}
        self.dispatch_settings = {}

    def program_path(self, name):
        return str(self.build_folder / "src" / name)

    def _start_process(self, name, command):
        process = Process(name, command, self.folder / f"{name}.port", self.folder / f"{name}.log")
        self.processes[name] = process
        process.start()
        return process

    def start_platform(self, *flags):
        name = "platform"
        process = self._start_process(name, [self.program_path("apricot-platform-emulator"),
                                             f"--port_file={self.folder / name}.port", *flags])
        process.wait_listening()

    def call_platform(self, method, path, body=None):
        return http_json(self.processes["platform"].ports["port"], method, path, body)

    def put_object(self, key, value):
        kind, name = key.split("/", 1)
        document = {"metadata": {"name": name}, "spec": value}
        status, response_body = self.call_platform("PUT", f"/-/objects/{key}", document)
        if status == 404:
            status, response_body = self.call_platform("POST", f"/-/objects/{kind}", document)
        if status != 200:
            raise RuntimeError(
                f"writing {key}: platform status {status}, expected 200: {response_body}")

    def add_backend(self, name, pool, kind, host, domain, **options):
        """Starts a backend server; declare_backends() adds it to the catalogue."""
        flags = {"cold_cap": 2, "warm_cap": 8, "token_ms": 5, "load_lag_ms": 300,
                 "cold_requests": 8, "checks_orders": "true", **options}
        command = [self.program_path("apricot-backend-emulator"), f"--id={name}", f"--kind={kind}",
                   f"--port_file={self.folder / name}.port",
                   f"--log_file={self.folder / name}.runs"]
        command += [f"--{flag}={value}" for flag, value in flags.items()]
        self._start_process(name, command)
        self.backends[name] = {"pool": pool, "host": host, "failure_domain": domain,
                               "cold_cap": int(flags["cold_cap"]), "warm_cap": int(flags["warm_cap"]),
                               "checks_orders": flags["checks_orders"] == "true"}

    def declare_backends(self):
        for name, spec in self.backends.items():
            process = self.processes[name]
            process.wait_listening()
            port = process.ports["port"]
            # A restarted server has to use the same port, because its address is in the catalogue.
            process.command.append(f"--port={port}")
            self.put_object(f"servers/{name}", {**spec, "address": "127.0.0.1", "port": port})

    def add_pipeline(self, name, spec):
        self.pipelines[name] = spec
        self.put_object(f"catalogue/{name}", spec)

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
        """Starts the dispatch daemon of a host and then its entry daemon."""
        self.hosts[host] = domain
        settings = {
            "process": self._process_section("dispatch", host, domain),
            "peer": {"port": 0}, "control": {"port": 0},
            "platform": {"address": "127.0.0.1", "port": self.processes["platform"].ports["port"]},
        }
        for section, values in self.dispatch_settings.items():
            settings.setdefault(section, {}).update(values)
        file = self._write_settings("dispatch", host, settings)
        dispatch = self._start_process(f"dispatch-{host}",
                                       [self.program_path("apricot-dispatch"), f"--config={file}"])
        dispatch.wait_listening()
        # With its ports in the settings, a restarted daemon uses the same ones, as on a real host.
        settings["peer"]["port"] = dispatch.ports["peer"]
        settings["control"]["port"] = dispatch.ports["control"]
        self._write_settings("dispatch", host, settings)
        settings = {
            "process": self._process_section("entry", host, domain),
            "http": {"port": 0}, "control": {"port": 0},
            "dispatch": {"address": "127.0.0.1", "port": dispatch.ports["peer"]},
        }
        file = self._write_settings("entry", host, settings)
        entry = self._start_process(f"entry-{host}",
                                    [self.program_path("apricot-entry"), f"--config={file}"])
        entry.wait_listening()
        settings["http"]["port"] = entry.ports["http"]
        settings["control"]["port"] = entry.ports["control"]
        self._write_settings("entry", host, settings)

    def entry_port(self, host):
        return self.processes[f"entry-{host}"].ports["http"]

    def is_ready(self, host):
        return http_json(self.entry_port(host), "GET", "/health")[0] == 200

    def wait_ready(self, hosts=None, timeout_s=START_TIMEOUT_S):
        """Waits until every host has been ready for STABLE_PERIOD_S without interruption."""
        host_names = list(hosts or self.hosts)
        ready_since = None

        def are_stable():
            nonlocal ready_since
            if not all(self.is_ready(host) for host in host_names):
                ready_since = None
                return False
            ready_since = ready_since or time.monotonic()
            return time.monotonic() - ready_since >= STABLE_PERIOD_S
        wait_until(are_stable, timeout_s, f"the hosts {host_names} are ready")

    def homes(self):
        _, cell = self.call_platform("GET", "/-/objects/cells/cell-1")
        return cell["spec"]["homes"]

    def wait_homes(self, timeout_s=START_TIMEOUT_S):
        """Waits until every server has a home and no home has changed for STABLE_PERIOD_S."""
        last_change = {"homes": None, "since": 0.0}

        def are_stable():
            homes = self.homes()
            if homes != last_change["homes"]:
                last_change.update(homes=homes, since=time.monotonic())
            return set(self.backends) <= set(homes) \
                and not any("unconfirmed_home" in home for home in homes.values()) \
                and time.monotonic() - last_change["since"] >= STABLE_PERIOD_S
        wait_until(are_stable, timeout_s, "every backend server has a confirmed home")

    def home_of(self, server):
        return self.homes()[server]["home"]

    def daemon_state(self, name):
        return http_json(self.processes[name].ports["control"], "GET", "/state")[1]

    def call_backend(self, name, method, path, body=None):
        return http_json(self.processes[name].ports["port"], method, path, body)[1]

    def started_runs(self, name):
        """Returns all runs that a backend server started, over all its incarnations, from its log."""
        file = self.folder / f"{name}.runs"
        lines = file.read_text().splitlines() if file.exists() else []
        events = [json.loads(line) for line in lines]
        return [event for event in events if event.get("end") == "running"]

    def stop(self):
        """Stops entry daemons, then dispatch daemons, then all other processes.

        Returns the exit status by name of the processes that did not exit with status 0.
        """
        failed_processes = {}
        remaining = [name for name in self.processes if name.startswith("entry-")]
        remaining += [name for name in self.processes if name.startswith("dispatch-")]
        remaining += [name for name in self.processes if name not in remaining]
        for prefix in ("entry-", "dispatch-", ""):
            batch = [name for name in remaining if name.startswith(prefix)]
            remaining = [name for name in remaining if name not in batch]
            for name in batch:
                self.processes[name].request_stop()
            for name in batch:
                if self.processes[name].popen is None or self.processes[name].is_killed:
                    continue
                status = self.processes[name].wait_stopped()
                if status != 0:
                    failed_processes[name] = status
        return failed_processes

    def kill_all(self):
        for process in self.processes.values():
            process.kill()
