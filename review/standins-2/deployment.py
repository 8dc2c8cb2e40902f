"""Starts a small deployment on loopback addresses, and ends it again.

Boxes are the program of the deploy file with the settings of `deploy/settings.json.tmpl`; the
store and the servers are the stand-ins of this folder.
"""
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/ashgauged"
STANDINS = pathlib.Path(__file__).resolve().parent
HOST = "slips.example"
KEY = "k-review-2"
GRACE_S = 8


class CannotRun(Exception):
    """The case could not be set up."""


# So that the processes are ended, too, if the script is stopped.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


class Deployment:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name)
        self.processes = []
        self.started = time.monotonic()
        record.write_text("")
        self.records = self.path / "servers.jsonl"
        self.records.write_text("")

    def log(self, text):
        line = "%7.3f s  %s" % (time.monotonic() - self.started, text)
        with self.record.open("a") as file:
            file.write(line + "\n")

    def spawn(self, command, log, has_address=True):
        err = open(self.path / log, "a")
        out = subprocess.PIPE if has_address else err
        process = subprocess.Popen([str(c) for c in command], cwd=ROOT, stdout=out, stderr=err,
                                   stdin=subprocess.DEVNULL)
        self.processes.append(process)
        if has_address:
            process.address = process.stdout.readline().decode().strip()
            if not process.address:
                raise CannotRun("no address from %s" % command[1])
        return process

    def start_store(self, **options):
        command = [sys.executable, STANDINS / "store.py"]
        for name, value in options.items():
            command += ["--" + name.replace("_", "-"), value]
        self.store = self.spawn(command, "store.log").address

    def start_server(self, name, service, zone, listen="127.0.0.1:0", flags=(),
                     program="service.py"):
        command = [sys.executable, STANDINS / program, "--id", name, "--service", service,
                   "--zone", zone, "--store", self.store, "--records", self.records,
                   "--listen", listen, *flags]
        return self.spawn(command, "server-%s.log" % name)

    def start_box(self, index, zone):
        ip = "127.0.%d.1" % (10 + index)
        ports = free_ports(ip, 4)
        front, ready, metrics, peer = ("%s:%d" % (ip, port) for port in ports)
        # What deploy/settings.json.tmpl gives for a machine of a small site.
        settings = {
            "id": "edge-%s-%d" % (zone, index), "data_centre": zone, "caller": front,
            "ready": ready, "metrics": metrics, "peer": peer, "store": self.store,
            "link_mbps": 1000.0, "fresh_fleet": True, "shedding": "auto",
            "bounds": {"strict_keys": True, "revoke_ms": 5000, "drain_ms": 2000, "apply_ms": 2000,
                       "stop_s": GRACE_S, "retry_share": 0.2, "retry_extra": 200,
                       "retry_window_s": 10},
        }
        path = self.path / ("box-%d.json" % index)
        path.write_text(json.dumps(settings))
        process = self.spawn([PROGRAM, "relay", "--settings", path], "box-%d.log" % index, False)
        process.front, process.ready, process.name = front, ready, settings["id"]
        return process

    def put_config(self, routes, services):
        config = {
            "version": 7, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
        }
        body = json.dumps({"metadata": {"name": "main"}, "spec": config}).encode()
        url = "http://%s/objects/config" % self.store
        urllib.request.urlopen(urllib.request.Request(url, body, method="POST"), timeout=5).read()

    def await_ready(self, boxes, limit=15):
        for box in boxes:
            until = time.monotonic() + limit
            while not is_ready(box):
                if time.monotonic() > until or box.poll() is not None:
                    raise CannotRun("%s is not ready" % box.name)
                time.sleep(0.1)

    def server_records(self):
        return [json.loads(line) for line in self.records.read_text().splitlines()]

    def end(self, keep_logs=False):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if keep_logs:
            for log in sorted(self.path.glob("*.log")):
                os.replace(log, self.record.parent / log.name)
        self.folder.cleanup()


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((ip, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def is_ready(box):
    try:
        return urllib.request.urlopen("http://%s/ready" % box.ready, timeout=1).status == 200
    except OSError:
        return False


class Answer:
    """What a client has received: status, headers, body, and whether the answer is complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.end = 0, {}, b"", False, ""
        self.received = 0


def request(address, method, target, attempt, deadline_ms, rate=None, mss=None, rcvbuf=None,
            on_progress=None, headers=(), body=b"", patience=None):
    """Sends one request on a new connection and reads the answer at `rate` bytes a second."""
    answer = Answer()
    host, port = address.split(":")
    conn = socket.socket()
    if rcvbuf:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
    if mss:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
    conn.settimeout(patience or deadline_ms / 1000)
    began = time.monotonic()
    raw = bytearray()
    try:
        conn.connect((host, int(port)))
        lines = [method + " " + target + " HTTP/1.1", "Host: " + HOST, "X-Attempt-Id: " + attempt,
                 "X-Deadline-Ms: %d" % deadline_ms, "Authorization: Bearer " + KEY, *headers]
        if body:
            lines.append("Content-Length: %d" % len(body))
        conn.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        step = 16384
        while not parse(raw, answer):
            if time.monotonic() - began > deadline_ms / 1000:
                answer.end = "time budget is over"
                break
            data = conn.recv(step)
            if not data:
                answer.end = "closed by the box"
                break
            raw += data
            if on_progress:
                on_progress(len(raw))
            if rate:
                time.sleep(max(0, began + len(raw) / rate - time.monotonic()))
    except OSError as error:
        answer.end = repr(error)
    conn.close()
    answer.seconds = time.monotonic() - began
    answer.end = "complete" if answer.complete else answer.end
    return answer


def parse(raw, answer):
    """Reads an answer as far as it has come; returns whether it is complete."""
    if not answer.status:
        at = raw.find(b"\r\n\r\n")
        if at < 0:
            return False
        head = raw[:at]
        lines = bytes(head).decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split()[1])
        pairs = (line.partition(":") for line in lines[1:])
        answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
        answer.offset = len(head) + 4
        answer.parts = []
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            line_end = raw.find(b"\r\n", answer.offset)
            if line_end < 0:
                break
            size = int(raw[answer.offset:line_end], 16)
            if len(raw) < line_end + 2 + size + 2:
                break
            answer.parts.append(bytes(raw[line_end + 2:line_end + 2 + size]))
            answer.offset = line_end + 2 + size + 2
            if size == 0:
                answer.complete = True
                break
        answer.body = b"".join(answer.parts) if answer.complete else answer.body
    else:
        length = int(answer.headers.get("content-length", 0))
        answer.complete = len(raw) - answer.offset >= length
        answer.body = bytes(raw[answer.offset:answer.offset + length]) if answer.complete else b""
    answer.received = len(raw)
    return answer.complete
