#!/usr/bin/env python3
"""Stand-in of a model engine that holds some of the layers, as PROTOCOL.md describes it.

The first engine of a path opens a connection to each engine behind it, over which it passes the
request on; the last one begins to write the answer. While an engine of its path is gone a stream
stands still; after `stall_ms` it is cut, or, if it has not begun, gets 503 as not run. `repath`
gives it another path.
"""
import argparse
import asyncio
import json
import os
import signal

from engine import Engine
from service import finish_options
from web import head, reply

STALL_S = 2.0
REPORT_LAG_S = 0.2


def parse_path(text):
    stages = []
    for part in text.split(","):
        address, _, span = part.partition("=")
        begin, end = span.split("-")
        stages.append((address, int(begin), int(end)))
    return stages


class Refused(Exception):
    """An engine of the path refuses the request, which has not run."""

    def __init__(self, status, address):
        super().__init__(status, address)
        self.status, self.address = status, address


class Gone(Exception):
    """An engine of the path is gone."""

    def __init__(self, address):
        super().__init__(address)
        self.address = address


class Stream:
    """A stream whose first engine is here, and its connections to the engines behind."""

    def __init__(self, engine, attempt, parts, stages):
        self.engine, self.attempt, self.parts, self.stages = engine, attempt, parts, stages
        self.links = {}
        self.stalled = None
        self.changed = asyncio.Event()

    async def connect(self):
        """Passes the request on to the engines of the path that do not have it yet."""
        wanted = self.stages[1:]
        for stage in [s for s in self.links if s not in wanted]:
            self.links.pop(stage)[1].close()
        for stage in wanted:
            if stage not in self.links:
                self.links[stage] = await self.pass_on(stage, stage == wanted[-1])

    async def pass_on(self, stage, is_last):
        address, begin, end = stage
        host, port = address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            body = json.dumps({"attempt": self.attempt, "parts": self.parts, "from": begin,
                               "to": end, "last": is_last}).encode()
            writer.write(b"POST /pass HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            status = int((await reader.readline()).split()[1])
        except (OSError, IndexError):
            raise Gone(address) from None
        if status != 200:
            writer.close()
            raise Refused(status, address)
        while (await reader.readline()).strip():
            pass
        return reader, writer

    def check(self):
        for stage, (reader, _) in self.links.items():
            if reader.at_eof():
                raise Gone(stage[0])

    async def stand_still(self, address):
        """Waits for another path; returns whether one came in time."""
        for stage in [s for s in self.links if s[0] == address]:
            self.links.pop(stage)[1].close()
        self.changed.clear()
        asyncio.get_running_loop().call_later(REPORT_LAG_S, setattr, self, "stalled", address)
        try:
            await asyncio.wait_for(self.changed.wait(), STALL_S)
            return True
        except asyncio.TimeoutError:
            return False
        finally:
            self.stalled = None

    def close(self):
        for _, writer in self.links.values():
            writer.close()


class ChainEngine(Engine):
    def __init__(self, args):
        super().__init__(args)
        self.streams = {}

    def holds(self, begin, end):
        return self.layers and self.layers[0] <= begin and end <= self.layers[1]

    async def answer(self, request, writer):
        method, target, headers, body = request
        if target == "/pass":
            return await self.take_part(json.loads(body), writer)
        if target == "/report":
            stalled = [{"id": s.attempt, "address": s.stalled} for s in self.streams.values()
                       if s.stalled]
            report = {**self.state(), "busy": self.busy, "queued": 0, "running": self.running,
                      "kvUsed": 0, "kvTotal": 2_000_000, "handles": 0, "stalled": stalled}
            reply(writer, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
            await writer.drain()
            return False
        if target == "/order" and headers.get("x-expect-instance", self.args.id) == self.args.id:
            order = json.loads(body)
            if order.get("op") == "repath":
                stream = self.streams.get(order["id"])
                if stream:
                    stream.stages = parse_path(order["path"])
                    stream.changed.set()
                reply(writer, 200 if stream else 404, {}, b"")
                await writer.drain()
                return False
        return await super().answer(request, writer)

    async def take_part(self, part, writer):
        """Takes part in a stream until the first engine closes the connection."""
        if not self.holds(part["from"], part["to"]):
            reply(writer, 421, {}, b"")
            await writer.drain()
            return True
        self.record("takes part", part["attempt"])
        if part["last"] and self.args.crash_part in part["parts"]:
            asyncio.get_running_loop().call_later(self.args.read_ms / 1000, self.crash, part)
        reply(writer, 200, {}, b"")
        await writer.drain()
        return False

    def crash(self, part):
        self.record("crashes", part["attempt"])
        os.kill(os.getpid(), signal.SIGKILL)

    async def stream(self, request, writer):
        method, target, headers, body = request
        attempt = headers["x-attempt-id"]
        common = {"X-Attempt-Id": attempt, "Versions": "1"}
        stages = parse_path(headers.get("path", "%s=0-80" % self.addr))
        if stages[0][0] != self.addr or not self.holds(*stages[0][1:]):
            reply(writer, 421, {**common, "X-Not-Executed": "1", "At-Server": self.addr}, b"")
            return
        parts = [p.split(":")[0] for p in headers.get("x-prompt-prefix", "").split(",")][:-1]
        self.record("taken", attempt, path=headers.get("path"), body=body.decode("latin-1")[:40])
        stream = self.streams[attempt] = Stream(self, attempt, parts, stages)
        self.running += 1
        begun = False
        number = int(headers.get("last-event-id", 0)) + 1
        try:
            while number <= self.args.events:
                try:
                    await stream.connect()
                    if not begun:
                        # A crash while the prompt is read shows as the end of the connection.
                        until = asyncio.get_running_loop().time() + self.args.read_ms / 1000 + 0.05
                        while asyncio.get_running_loop().time() < until:
                            await asyncio.sleep(0.01)
                            stream.check()
                        common["X-Server-Seal"] = "%s.%d" % (self.args.id, self.born)
                        writer.write(head(200, {**common, "Content-Type": "text/event-stream",
                                                "Transfer-Encoding": "chunked"}))
                        begun = True
                    stream.check()
                    event = b"id: %d\ndata: word-%d\n\n" % (number, number)
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                    number += 1
                    await asyncio.sleep(self.args.pace_ms / 1000)
                except Refused as refused:
                    if begun:
                        writer.transport.abort()
                        return
                    reply(writer, refused.status, {**common, "X-Not-Executed": "1",
                                                   "At-Server": refused.address}, b"")
                    return
                except Gone as gone:
                    if await stream.stand_still(gone.args[0]):
                        continue
                    if begun:
                        writer.transport.abort()
                    else:
                        reply(writer, 503, {**common, "X-Not-Executed": "1",
                                            "At-Server": gone.args[0]}, b"")
                    return
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record("answered", attempt)
        finally:
            stream.close()
            self.streams.pop(attempt, None)
            self.running -= 1


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--kind", default="h100")
    parser.add_argument("--load-ms", type=float, default=500)
    parser.add_argument("--read-ms", type=float, default=100)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--fail-file")
    parser.add_argument("--crash-part", help="part of prompts on which no answer can be begun")
    parser.add_argument("--pace-ms", type=float, default=20)
    await ChainEngine(finish_options(parser)).run()


if __name__ == "__main__":
    asyncio.run(main())
