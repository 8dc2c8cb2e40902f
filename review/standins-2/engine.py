#!/usr/bin/env python3
"""Stand-in of a model engine, as PROTOCOL.md describes it.

Begins empty, takes `place` orders, tells its state in the store and by `GET /report`, and writes
streams of events with rising ids after it has read the prompt. SIGKILL is its crash. Prints its
address.
"""
import argparse
import asyncio
import json
import os
import signal

from service import Server, finish_options
from web import head, reply


class Engine(Server):
    def __init__(self, args):
        super().__init__(args)
        self.layers = None
        self.orders = 0
        self.busy = False
        self.taken = 0

    def state(self):
        layers = self.layers and {"from": self.layers[0], "targetVersion": self.layers[1],
                                  "version": 1}
        return {"stage": "both", "models": [{"name": "daka510000", "version": 1, "adapters": []}],
                "callSeq": self.orders, "layers": layers, "routeKind": self.args.kind,
                "born": self.born}

    def spec(self):
        return {**super().spec(), **self.state(), "slots": 192}

    async def answer(self, request, writer):
        method, target, headers, body = request
        expected = headers.get("x-expect-instance", self.args.id)
        if target == "/report":
            report = {**self.state(), "busy": self.busy, "queued": 0, "running": self.running,
                      "kvUsed": 0, "kvTotal": 5_000_000, "handles": 0, "stalled": []}
            reply(writer, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        elif target == "/order" and expected == self.args.id:
            status = self.take_order(json.loads(body))
            reply(writer, status, {}, b"")
        elif target == "/health" or expected != self.args.id:
            return await super().answer(request, writer)
        else:
            await self.stream(request, writer)
        await writer.drain()
        return False

    def take_order(self, order):
        if order.get("op") != "place":
            return 404 if order.get("op") == "repath" else 400
        if self.busy or order.get("expectedRevision", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.busy = True
        asyncio.ensure_future(self.load((order["from"], order["targetVersion"])))
        return 202

    async def load(self, layers):
        await asyncio.sleep(self.args.load_ms / 1000)
        self.layers, self.busy = layers, False
        await self.ping_once()

    async def fail(self, attempt, common, writer):
        """Fails a request, and falls silent in the middle of the answer, while the trouble lasts."""
        common["X-Server-Seal"] = "%s.%d" % (self.args.id, self.born)
        writer.write(head(500, {**common, "Content-Length": "400"}) + b"the engine could not ")
        await writer.drain()
        self.record("failed, silent", attempt)
        while os.path.exists(self.args.fail_file):
            await asyncio.sleep(0.05)
        writer.transport.abort()

    async def stream(self, request, writer):
        method, target, headers, body = request
        attempt = headers["x-attempt-id"]
        common = {"X-Attempt-Id": attempt, "Versions": "1"}
        path = headers.get("path", "%s=0-80" % self.addr).split(",")
        first, _, span = path[0].partition("=")
        begin, end = (int(n) for n in span.split("-"))
        holds = self.layers and self.layers[0] <= begin and end <= self.layers[1]
        if first != self.addr or not holds:
            reply(writer, 421, {**common, "X-Not-Executed": "1", "At-Server": self.addr}, b"")
            return
        last = int(headers.get("last-event-id", 0))
        self.record("taken", attempt, request="%s %s" % (method, target), after=last,
                    body=body.decode("latin-1")[:40])
        self.running += 1
        try:
            await asyncio.sleep(self.args.read_ms / 1000)
            if self.args.fail_file and os.path.exists(self.args.fail_file):
                self.taken += 1
                if self.taken % 5 in (3, 0):  # 0.4 of the requests, at no time more
                    return await self.fail(attempt, common, writer)
            parts = [part.split(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")]
            if self.args.crash_part in parts[:-1]:
                self.record("crashes", attempt)
                os.kill(os.getpid(), signal.SIGKILL)
            common["X-Server-Seal"] = "%s.%d" % (self.args.id, self.born)
            writer.write(head(200, {**common, "Content-Type": "text/event-stream",
                                    "Transfer-Encoding": "chunked"}))
            for number in range(last + 1, self.args.events + 1):
                event = b"id: %d\ndata: word-%d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.args.pace_ms / 1000)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record("answered", attempt)
        finally:
            self.running -= 1


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--kind", default="h100")
    parser.add_argument("--load-ms", type=float, default=500)
    parser.add_argument("--read-ms", type=float, default=1000)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--fail-file", help="while it exists, 0.4 of the requests fail")
    parser.add_argument("--crash-part", help="part of prompts on which no answer can be begun")
    parser.add_argument("--pace-ms", type=float, default=20)
    await Engine(finish_options(parser)).run()


if __name__ == "__main__":
    asyncio.run(main())
