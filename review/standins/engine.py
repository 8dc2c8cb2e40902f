"""Stand-in of one model engine, as PROTOCOL.md describes it.

    engine.py OPTIONS

OPTIONS are JSON: port, id, service, zone, store, records (a file), kind (of accelerator), events
and pace_ms (of a stream), most_layers (that its memory holds), load_s (to load all layers) and
layers (of the model), and framing: how the length of a stream is given, `chunked`, or `close`
for a stream that has neither a length nor chunks and ends with its connection. The records get a
line when a stream begins, when it has been written to its last event, and for each order.
"""

import asyncio
import json
import os
import sys
import time

import net

EVENT_BYTES = 65
REPORT_LAG_S = 0.2


class Engine:
    def __init__(self, options):
        self.addr = f"127.0.0.1:{options['port']}"
        self.id, self.service, self.zone = options["id"], options["service"], options["zone"]
        self.store, self.kind = options["store"], options["kind"]
        self.records = open(options["records"], "w", buffering=1)
        self.events, self.pace_s = options["events"], options["pace_ms"] / 1e3
        self.framing = options["framing"]
        self.most_layers = options["most_layers"]
        self.layer_s = options["load_s"] / options["layers"]
        self.born = int(time.time() * 1e3)
        self.layers = None
        self.orders = 0
        self.busy = False
        self.states = []  # (time, busy, orders), for the report, which lags
        self.running = {}  # attempt -> chain

    def record(self, **line):
        self.records.write(json.dumps({"t": time.time(), "engine": self.id, **line}) + "\n")

    async def announce(self, method="PUT"):
        spec = {
            "service": self.service, "address": self.addr, "zone": self.zone, "version": "v1",
            "slots": 192, "state": "ready", "coldRemainingMs": 0, "stage": "both",
            "models": [{"name": "m0", "version": 1, "adapters": []}], "callSeq": self.orders,
            "born": self.born, "routeKind": self.kind,
            "layers": self.layers and {
                "from": self.layers[0], "targetVersion": self.layers[1], "version": 1},
        }
        path = "/objects/servers" + ("" if method == "POST" else f"/{self.id}")
        await net.call_json(self.store, method, path, {"metadata": {"name": self.id}, "spec": spec})

    async def serve(self, reader, writer):
        try:
            while (got := await net.read_head(reader)) is not None:
                body = await net.read_body(reader, got[1])
                if not await self.handle(got, body, reader, writer):
                    break
        except (net.Broken, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, got, body, reader, writer):
        line, headers = got
        path = line.split(" ")[1]
        born = {"Born": self.born}
        if path == "/report":
            past = [st for st in self.states if st[0] <= time.time() - REPORT_LAG_S]
            _, busy, orders = past[-1] if past else (0, False, 0)
            stalled = [
                {"id": id, "address": by} for id, (_, by) in self.running.items() if by]
            report = {
                "stage": "both", "models": [{"name": "m0", "version": 1, "adapters": []}],
                "busy": busy, "callSeq": orders, "queued": 0, "running": len(self.running),
                "kvUsed": 0, "kvTotal": 8000000, "handles": 0, "born": self.born,
                "stalled": stalled,
            }
            writer.write(net.answer(200, json.dumps(report).encode()))
            return True
        if path == "/order":
            status = await self.order(json.loads(body), headers)
            self.record(what="answers order", status=status)
            writer.write(net.answer(status, b"{}"))
            return True
        if path == "/health":
            writer.write(net.answer(200, b"", {"X-Instance-Id": self.id}))
            return True
        attempt = headers.get("x-attempt-id", "")
        chain = [part.split("=") for part in headers.get("path", "").split(",") if part]
        own = [tuple(map(int, r.split("-"))) for a, r in chain if a == self.addr]
        first, end = self.layers or (0, 0)
        holds = len(own) == 1 and first <= own[0][0] < own[0][1] <= end
        if headers.get("x-expect-instance", self.id) != self.id or not holds:
            refusal = {"X-Instance-Id": self.id, "At-Server": self.addr}
            writer.write(net.answer(421, b"", refusal))
            return True
        return await self.stream(attempt, chain, int(headers.get("last-event-id", 0)), writer)

    async def order(self, order, headers):
        expected = headers.get("x-expect-instance", self.id)
        self.record(what="order", order=order, expected=expected)
        if expected != self.id:
            return 421
        if order.get("op") == "repath":
            if order.get("id") not in self.running:
                return 404
            chain = [part.split("=") for part in order["path"].split(",")]
            self.running[order["id"]] = (chain, None)
            return 200
        if order.get("op") != "place":
            return 400
        layers = [order["from"], order["targetVersion"]]
        if self.layers == layers:
            return 200
        if order.get("expectedRevision", self.orders) != self.orders or self.busy:
            return 409
        if layers[1] - layers[0] > self.most_layers:
            # An engine ordered beyond its memory falls.
            self.record(what="falls")
            os._exit(134)
        self.orders += 1
        self.set_busy(True)
        asyncio.create_task(self.load(layers))
        return 202

    def set_busy(self, busy):
        self.busy = busy
        self.states.append((time.time(), busy, self.orders))

    async def load(self, layers):
        held = self.layers or [0, 0]
        new = [n for n in range(*layers) if not held[0] <= n < held[1]]
        # Layers being given up accept nothing new.
        self.layers = None
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.layer_s * len(new))
        self.layers = layers
        self.set_busy(False)
        await self.announce()

    async def lost_part(self, chain):
        for addr, _ in chain:
            if addr == self.addr:
                continue
            try:
                host, port = addr.split(":")
                _, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 0.1)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                return addr
        return None

    async def stream(self, attempt, chain, last, writer):
        chunked = self.framing == "chunked"
        headers = {
            "Content-Type": "text/event-stream", "X-Attempt-Id": attempt, "Versions": 1,
            "X-Server-Seal": f"seal.{self.id}.{attempt}", "Born": self.born,
            "X-Server-Load": f"{len(self.running)},0,192",
            **({"Transfer-Encoding": "chunked"} if chunked else {"Connection": "close"}),
        }
        self.running[attempt] = (chain, None)
        self.record(what="begins", id=attempt, after=last)
        try:
            writer.write(net.head("HTTP/1.1 200 OK", headers))
            for event in range(last + 1, self.events + 1):
                await asyncio.sleep(self.pace_s)
                # What depends on an engine that is dead stands still.
                while (by := await self.lost_part(self.running[attempt][0])) is not None:
                    self.running[attempt] = (self.running[attempt][0], by)
                    await asyncio.sleep(0.02)
                text = f"id: {event}\ndata: {attempt} {event} ".encode()
                text = text.ljust(EVENT_BYTES - 2, b".") + b"\n\n"
                writer.write(b"%x\r\n%s\r\n" % (len(text), text) if chunked else text)
                await writer.drain()
                if writer.transport.is_closing():
                    raise ConnectionError("the caller left")
            if chunked:
                writer.write(b"0\r\n\r\n")
            self.record(what="complete", id=attempt, events=self.events)
        except ConnectionError:
            self.record(what="caller left", id=attempt)
            raise
        finally:
            self.running.pop(attempt, None)
        return chunked


async def main():
    options = json.loads(sys.argv[1])
    engine = Engine(options)
    server = await asyncio.start_server(engine.serve, "127.0.0.1", options["port"])
    await engine.announce("POST")
    print("ready", flush=True)
    await server.serve_forever()


asyncio.run(main())
