#!/usr/bin/env python3
"""Stand-in of a server of a plain service, as PROTOCOL.md describes it.

Records itself in the store and pings there every `heartbeatMs`; answers 421 to a request that
expects another instance; echoes the attempt's id and adds its receipt. With `--unframed` its
answers carry neither a length nor chunks and end with their connections. SIGTERM ends it, after
its entry has gone. Prints its address.
"""
import argparse
import asyncio
import hashlib
import json
import time

from web import head, read_request, reply

HEARTBEAT_S = 1.2


def content(size, seed):
    """Returns `size` bytes that depend on `seed`."""
    block = b"".join(hashlib.sha256(b"%s %d" % (seed.encode(), i)).digest() for i in range(1024))
    return (block * (size // len(block) + 1))[:size]


class Server:
    def __init__(self, args):
        self.args = args
        self.born = int(time.time() * 1000)
        self.addr = None
        self.running = 0

    def record(self, what, attempt, **fields):
        line = {"at": round(time.time(), 3), "server": self.args.id, "born": self.born,
                "what": what, "attempt": attempt, **fields}
        with open(self.args.records, "a") as file:
            file.write(json.dumps(line) + "\n")

    def spec(self):
        return {"service": self.args.service, "address": self.addr, "zone": self.args.zone,
                "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "callSeq": 0,
                "born": self.born}

    async def ping(self):
        while True:
            await self.ping_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def ping_once(self):
        body = {"metadata": {"name": self.args.id}, "spec": self.spec()}
        for method, path in (("PUT", "/objects/servers/" + self.args.id),
                             ("POST", "/objects/servers")):
            if await self.call_store(method, path, body) != 404:
                break

    async def call_store(self, method, path, body):
        host, port = self.args.store.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            text = json.dumps(body).encode()
            lines = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n"
            writer.write((lines % (method, path, self.args.store, len(text))).encode() + text)
            status = int((await reader.readline()).split()[1])
            writer.close()
            return status
        except (OSError, IndexError):
            return None

    async def serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                if await self.answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        """Answers a request; returns whether the connection ends with the answer."""
        method, target, headers, _ = request
        attempt = headers.get("x-attempt-id", "")
        common = {"X-Attempt-Id": attempt} if attempt else {}
        common["X-Server-Load"] = "%d,0,6" % self.running
        expected = headers.get("x-expect-instance", self.args.id)
        if expected != self.args.id:
            reply(writer, 421, {**common, "X-Instance-Id": self.args.id, "X-Not-Executed": "1"}, b"")
            await writer.drain()
            return False
        if target == "/health":
            reply(writer, 200, {**common, "X-Instance-Id": self.args.id}, b"")
            await writer.drain()
            return False
        self.record("ran", attempt, request="%s %s" % (method, target))
        self.running += 1
        try:
            await asyncio.sleep(self.args.work_ms / 1000)
            body = content(self.args.bytes, target)
            common["X-Server-Seal"] = "%s.%d" % (self.args.id, self.born)
            if self.args.unframed:
                writer.write(head(200, {**common, "Connection": "close"}))
            else:
                writer.write(head(200, {**common, "Content-Length": len(body)}))
            for at in range(0, len(body), 65536):
                writer.write(body[at:at + 65536])
                await writer.drain()
                if self.args.rate:
                    await asyncio.sleep(65536 / self.args.rate)
            self.record("answered", attempt, bytes=len(body))
            return self.args.unframed
        finally:
            self.running -= 1


    async def run(self):
        host, port = self.args.listen.split(":")
        listener = await asyncio.start_server(self.serve, host, int(port), backlog=1024)
        self.addr = "%s:%s" % listener.sockets[0].getsockname()
        print(self.addr, flush=True)
        await self.ping()


def finish_options(parser):
    for name in ("id", "service", "zone", "store", "records"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--listen", default="127.0.0.1:0")
    return parser.parse_args()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bytes", type=int, default=800)
    parser.add_argument("--work-ms", type=float, default=20)
    parser.add_argument("--rate", type=float, help="bytes a second at which an answer is made")
    parser.add_argument("--unframed", action="store_true")
    await Server(finish_options(parser)).run()


if __name__ == "__main__":
    asyncio.run(main())
