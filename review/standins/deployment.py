"""Starts a small deployment: the store's stand-in, boxes by the deploy file's command, others.

All processes end with `close`, also if the script is ended.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

import net

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
BOX = os.path.join(ROOT, "target", "release", "ashgauged")


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Box:
    """A box, started as the deploy file says."""

    def __init__(self, deployment, name, zone, bounds, link_mbps):
        self.deployment, self.name, self.bounds = deployment, name, bounds
        ports = [net.free_port() for _ in range(4)]
        front, ready, metrics, peer = (f"127.0.0.1:{p}" for p in ports)
        self.front, self.ready, self.metrics = front, ready, metrics
        # As `deploy/settings.json.tmpl` fills them.
        self.settings = {
            "id": name, "data_centre": zone, "caller": front, "ready": ready,
            "metrics": metrics, "peer": peer, "store": deployment.store,
            "link_mbps": link_mbps, "bounds": bounds,
        }
        self.process = None
        self.started_at = None

    def start(self, fresh):
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path, "w") as f:
            json.dump({**self.settings, "fresh_fleet": fresh}, f)
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "a")
        self.process = self.deployment.spawn([BOX, "relay", "--settings", path], log)
        self.started_at = time.time()

    async def is_ready(self):
        try:
            return (await net.call(self.ready, "GET", "/ready", limit=1.0))[0] == 200
        except net.Broken:
            return False


class Deployment:
    def __init__(self, record):
        self.folder = tempfile.mkdtemp(prefix="ashgauge-review-")
        self.processes = []
        self.record_file = open(record, "w")
        self.began = time.time()
        if not os.path.exists(BOX):
            raise CannotRun("target/release/ashgauged is not built")

    def log(self, text):
        line = f"{time.time() - self.began:8.3f} {text}"
        print(line, file=self.record_file, flush=True)

    def say(self, text):
        self.log(text)
        print(text, flush=True)

    def spawn(self, command, log):
        process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT
        )
        self.processes.append(process)
        return process

    async def standin(self, script, *args):
        """Starts a stand-in and waits until it is ready."""
        command = [sys.executable, os.path.join(HERE, script), *map(str, args)]
        process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, cwd=HERE
        )
        self.processes.append(process)
        line = await asyncio.get_running_loop().run_in_executor(None, process.stdout.readline)
        if line.strip() != b"ready":
            raise CannotRun(f"{script} did not start")
        return process

    async def start_store(self):
        port = net.free_port()
        self.store = f"127.0.0.1:{port}"
        await self.standin("store.py", port)

    async def set_store_down(self, down):
        await net.call_json(self.store, "PUT", "/admin/down", down)
        self.log(f"platform: the store is {'down' if down else 'back'}")

    async def put_config(self, config, first=False):
        value = {"metadata": {"name": "main"}, "spec": config}
        method, path = ("POST", "/objects/config") if first else ("PUT", "/objects/config/main")
        status, _ = await net.call_json(self.store, method, path, value)
        if status != 200:
            raise CannotRun(f"the store answered {status} to the config")
        self.log(f"operator: config version {config['version']} acknowledged")
        return time.time()

    async def wait_ready(self, boxes, limit_s=30):
        until = time.time() + limit_s
        for box in boxes:
            while not await box.is_ready():
                if time.time() > until:
                    raise CannotRun(f"{box.name} is not ready")
                if box.process.poll() is not None:
                    log = open(os.path.join(self.folder, box.name + ".log")).read()
                    raise CannotRun(f"{box.name} has ended: {box.process.poll()} {log[-600:]}")
                await asyncio.sleep(0.1)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record_file.close()
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def run(record, play):
    """Runs `play(deployment, trouble)`, which returns the violations of the rule that it found.

    The file `record` gets what was sent, answered and run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        deployment = Deployment(record)
    except CannotRun as e:
        print(f"cannot run: {e}")
        sys.exit(2)
    code = 2
    try:
        violations = asyncio.run(asyncio.wait_for(play(deployment, trouble), 115))
        code = 1 if violations else 0
        deployment.say(f"{'rule broken' if violations else 'rule held'}: {violations} violations")
    except (CannotRun, net.Broken, OSError, asyncio.TimeoutError) as e:
        deployment.say(f"cannot run: {type(e).__name__}: {e}")
    finally:
        deployment.close()
    sys.exit(code)
