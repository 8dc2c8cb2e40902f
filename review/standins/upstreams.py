"""Stand-ins of the upstreams of a plain service, several in one process, as PROTOCOL.md says.

    upstreams.py CONTROL_PORT RECORDS WORK_MS

Control calls start them, each with a port, an id and an entry in the store of its own; tell which
processes are which machines; cut a machine off from them, whose connections are then reset; and
let one leave: it says `Server-Leaving` in its answers, announces `draining` as soon as the store
takes that, serves on, and ends. RECORDS gets a line for each request that one of them ran, with
the machine that sent it, and for each step of one that leaves.
"""

import asyncio
import json
import os
import socket
import struct
import sys
import time

import net


def inode_of(port, to_port):
    """Returns the inode of the socket of a connection on loopback, asked of the kernel."""
    ip = socket.inet_aton("127.0.0.1") + bytes(12)
    any_cookie = 2**32 - 1
    ends = struct.pack("!HH", port, to_port) + ip + ip
    ends += struct.pack("=III", 0, any_cookie, any_cookie)
    wanted = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 2**32 - 1) + ends
    sock_diag, by_family, request = 4, 20, 1
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, sock_diag) as s:
        s.send(struct.pack("=IHHII", 16 + len(wanted), by_family, request, 1, 0) + wanted)
        got = s.recv(65536)
    if struct.unpack("=H", got[4:6])[0] != by_family:
        return None
    return struct.unpack("=I", got[84:88])[0]


def owner(port, to_port, pids):
    """Returns which of the processes has the connection from this local port."""
    link = f"socket:[{inode_of(port, to_port)}]"
    for pid in pids:
        try:
            fds = os.listdir(f"/proc/{pid}/fd")
        except OSError:
            continue
        for fd in fds:
            try:
                if os.readlink(f"/proc/{pid}/fd/{fd}") == link:
                    return pid
            except OSError:
                pass
    return None


class Upstream:
    def __init__(self, host, ident, service, zone):
        self.host, self.id, self.service, self.zone = host, ident, service, zone
        self.leaving = False
        self.running = 0
        self.born = int(time.time() * 1e3)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=64)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        if await self.announce("POST", "/objects/servers") != 200:
            raise SystemExit(f"the store does not take the entry of {self.id}")

    async def announce(self, method, path):
        spec = {
            "service": self.service, "address": self.addr, "zone": self.zone, "version": "v1",
            "slots": 6, "state": "draining" if self.leaving else "ready", "coldRemainingMs": 0,
            "callSeq": 1, "born": self.born, "stage": "both", "models": [],
        }
        entry = {"metadata": {"name": self.id}, "spec": spec}
        try:
            return (await net.call_json(self.host.store, method, path, entry, 1.0))[0]
        except net.Broken:
            return None

    async def leave(self, serve_on_s):
        self.leaving = True
        self.host.record(what="says that it leaves", upstream=self.id)
        while await self.announce("PUT", f"/objects/servers/{self.id}") != 200:
            await asyncio.sleep(0.2)
        self.host.record(what="draining acknowledged", upstream=self.id)
        await asyncio.sleep(serve_on_s)
        self.host.record(what="ends", upstream=self.id)
        self.server.close()
        await net.call_json(self.host.store, "DELETE", f"/objects/servers/{self.id}")

    async def serve(self, reader, writer):
        ends = [writer.get_extra_info(end)[1] for end in ("peername", "sockname")]
        machine = self.host.machines.get(owner(*ends, self.host.machines))
        if machine is not None and machine == self.host.cut:
            return writer.transport.abort()
        try:
            while (got := await net.read_head(reader)) is not None:
                await self.handle(got, await net.read_body(reader, got[1]), writer, machine)
        except (net.Broken, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, got, body, writer, machine):
        line, headers = got
        leaving = {"Server-Leaving": "1", "Connection": "close"} if self.leaving else {}
        if line.split(" ")[1] == "/health":
            status = 503 if self.leaving else 200
            return writer.write(net.answer(status, b"", {"X-Instance-Id": self.id, **leaving}))
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            return writer.write(net.answer(421, b"", {"X-Instance-Id": self.id, **leaving}))
        self.host.record(what="run", upstream=self.id, id=attempt, machine=machine)
        self.running += 1
        try:
            await asyncio.sleep(self.host.work_s)
        finally:
            self.running -= 1
        seal = {"X-Attempt-Id": attempt, "X-Server-Seal": f"seal.{self.id}.{attempt}"}
        text = f"{attempt} by {self.id} ".encode()
        writer.write(net.answer(200, text.ljust(800, b"."), {**seal, **leaving}))
        await writer.drain()


class Host:
    def __init__(self, records, work_ms):
        self.records = open(records, "w", buffering=1)
        self.work_s = work_ms / 1e3
        self.store = None
        self.upstreams = {}
        self.machines = {}  # process id -> machine
        self.cut = None

    def record(self, **line):
        self.records.write(json.dumps({"t": time.time(), **line}) + "\n")

    async def control(self, reader, writer):
        got = await net.read_head(reader)
        order = json.loads(await net.read_body(reader, got[1]))
        if "start" in order:
            self.store = order["store"]
            for ident, zone in order["start"]:
                upstream = Upstream(self, ident, order["service"], zone)
                await upstream.start()
                self.upstreams[ident] = upstream
        if "machines" in order:
            self.machines = {int(pid): name for pid, name in order["machines"].items()}
        if "cut" in order:
            self.cut = order["cut"]
        if "leave" in order:
            leaving = self.upstreams[order["leave"]].leave(order["serve_on_s"])
            self.task = asyncio.create_task(leaving)
        writer.write(net.answer(200, b"{}"))
        writer.close()


async def main():
    host = Host(sys.argv[2], float(sys.argv[3]))
    await asyncio.start_server(host.control, "127.0.0.1", int(sys.argv[1]))
    print("ready", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
