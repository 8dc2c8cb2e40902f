"""Stand-in of one engine of a plain service, as PROTOCOL.md describes it.

    service.py OPTIONS

OPTIONS are JSON: port, id, service, zone, store, records (a file), work_ms, crash_on (text of a
body: a request with it crashes the engine as it begins to run it). The records get a line for
each request that it ran.
"""

import asyncio
import json
import os
import sys
import time

import net


class Service:
    def __init__(self, options):
        self.options = options
        self.records = open(options["records"], "a", buffering=1)
        self.born = int(time.time() * 1e3)

    async def announce(self):
        o = self.options
        spec = {
            "service": o["service"], "address": f"127.0.0.1:{o['port']}", "zone": o["zone"],
            "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "callSeq": 1,
            "born": self.born, "stage": "both", "models": [],
        }
        entry = {"metadata": {"name": o["id"]}, "spec": spec}
        for method, path in (("PUT", f"/objects/servers/{o['id']}"), ("POST", "/objects/servers")):
            if (await net.call_json(o["store"], method, path, entry))[0] == 200:
                return
        raise SystemExit("the store does not take the entry")

    async def serve(self, reader, writer):
        try:
            while (got := await net.read_head(reader)) is not None:
                await self.handle(got, await net.read_body(reader, got[1]), writer)
        except (net.Broken, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, got, body, writer):
        line, headers = got
        ident, attempt = self.options["id"], headers.get("x-attempt-id", "")
        if line.split(" ")[1] == "/health":
            return writer.write(net.answer(200, b"", {"X-Instance-Id": ident}))
        if headers.get("x-expect-instance", ident) != ident:
            return writer.write(net.answer(421, b"", {"X-Instance-Id": ident}))
        crashes = self.options["crash_on"].encode() in body
        self.records.write(json.dumps({
            "t": time.time(), "engine": ident, "id": attempt, "crashes": crashes}) + "\n")
        if crashes:
            os._exit(134)
        await asyncio.sleep(self.options["work_ms"] / 1e3)
        seal = {"X-Attempt-Id": attempt, "X-Server-Seal": f"seal.{ident}.{attempt}"}
        writer.write(net.answer(200, f"{attempt} ".encode().ljust(800, b"."), seal))
        await writer.drain()


async def main():
    options = json.loads(sys.argv[1])
    service = Service(options)
    server = await asyncio.start_server(service.serve, "127.0.0.1", options["port"])
    await service.announce()
    print("ready", flush=True)
    await server.serve_forever()


asyncio.run(main())
