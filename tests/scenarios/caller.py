"""HTTP client that submits requests to entry hosts and records their responses."""

import http.client
import json
import threading
import time


class Response:
    """The response to one request, filled in while it is received."""

    def __init__(self):
        self.tokens = []
        # Whether the "done" event arrived and its token count equals the number of received tokens.
        self.is_complete = False
        self.refusal = None
        self.error = None
        self.status = 0
        # Tokens that were dropped because their index was not the next one: repeated or after a gap.
        self.out_of_sequence = 0
        self.first_event_s = None
        self.duration_s = None
        self.costs = []

    @property
    def outcome(self):
        if self.is_complete:
            return "whole"
        if self.refusal:
            return "refused"
        return "cut"

    def describe(self):
        return f"{self.outcome} status={self.status} tokens={len(self.tokens)} " \
            f"refusal={self.refusal} error={self.error} duration_s={self.duration_s}"

    def handle_event(self, name, data):
        if name == "token":
            self._append_token(data)
        elif name == "done":
            self.is_complete = data["tokens"] == len(self.tokens)
            self.costs = data.get("costs", [])
        elif name == "refused":
            self.refusal = data

    def _append_token(self, data):
        if data["i"] != len(self.tokens):
            self.out_of_sequence += 1
            return
        self.tokens.append(data["t"])


def _read_events(http_response, response, started_at):
    event_name = None
    for raw_line in http_response:
        line = raw_line.decode().rstrip("\n")
        if line.startswith("event: "):
            event_name = line[len("event: "):]
        elif line.startswith("data: "):
            if response.first_event_s is None:
                response.first_event_s = time.monotonic() - started_at
            response.handle_event(event_name, json.loads(line[len("data: "):]))


def submit(port, pipeline, text, key=None, deadline_ms=None, timeout_s=30, raw_body=None):
    """Sends one request and reads its response to the end."""
    response = Response()
    body = {"input": text}
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Idempotency-Key"] = key
    started_at = time.monotonic()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        payload = raw_body if raw_body is not None else json.dumps(body)
        connection.request("POST", f"/v1/pipelines/{pipeline}/requests", payload, headers)
        http_response = connection.getresponse()
        response.status = http_response.status
        if http_response.getheader("Content-Type") == "text/event-stream":
            _read_events(http_response, response, started_at)
        else:
            response.refusal = json.loads(http_response.read()).get("refusal")
    except (OSError, http.client.HTTPException, ValueError) as error:
        response.error = repr(error)
    finally:
        connection.close()
    response.duration_s = time.monotonic() - started_at
    return response


class Submission(threading.Thread):
    """A request in a thread of its own.

    A refusal that gives a retry time is followed by another attempt, up to `retries` times.
    """

    def __init__(self, retries=0, **arguments):
        super().__init__(daemon=True)
        self.retries = retries
        self.arguments = arguments
        self.response = None
        self.start()

    def run(self):
        response = submit(**self.arguments)
        for _ in range(self.retries):
            if not response.refusal or not response.refusal["retry_after_ms"]:
                break
            time.sleep(response.refusal["retry_after_ms"] / 1000)
            response = submit(**self.arguments)
        self.response = response
