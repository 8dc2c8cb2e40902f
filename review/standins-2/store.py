#!/usr/bin/env python3
"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Objects by kind and name, one counter of revisions, lists in pages, watches, conditional writes.
An entry of kind `servers` is removed after three pings of silence. Prints its address.
"""
import argparse
import asyncio
import json
import time
import urllib.parse

from web import read_request, reply

HEARTBEAT_S = 1.2
SILENT_PINGS = 3


class Store:
    def __init__(self, answer_ms, page):
        self.answer_s = answer_ms / 1000
        self.page = page
        self.revision = 0
        self.objects = {}
        self.history = []
        self.pings = {}
        self.changed = asyncio.Condition()

    async def record(self, kind, name, obj, gone):
        self.revision += 1
        obj["metadata"]["revision"] = self.revision
        self.history.append((self.revision, kind, json.loads(json.dumps(obj)), gone))
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for name, at in list(self.pings.items()):
                if now - at > SILENT_PINGS * HEARTBEAT_S:
                    del self.pings[name]
                    obj = self.objects.pop(("servers", name), None)
                    if obj:
                        await self.record("servers", name, obj, True)

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[2:]]
        if not url.path.startswith("/objects/") or not 1 <= len(parts) <= 3:
            return 404, None
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        await asyncio.sleep(self.answer_s)
        if method == "GET" and name is None:
            names = sorted(n for k, n in self.objects if k == kind)
            names = [n for n in names if n > query.get("afterRevision", "")]
            items = [self.objects[kind, n] for n in names[: self.page]]
            return 200, {"items": items, "more": len(names) > self.page, "at": self.revision}
        if method == "GET":
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, None)
        if method == "DELETE":
            obj = self.objects.pop((kind, name), None)
            if not obj:
                return 404, None
            self.pings.pop(name, None)
            await self.record(kind, name, obj, True)
            return 200, obj
        return await self.write(method, kind, name, json.loads(body))

    async def write(self, method, kind, name, new):
        name = name or new["metadata"]["name"]
        old = self.objects.get((kind, name))
        if kind == "servers":
            self.pings[name] = time.monotonic()
        if method == "POST":
            if old:
                return 409, old
            meta = {"name": name, "made": self.revision + 1, "finalizers": [], "deleting": False}
            obj = {"metadata": meta, "spec": new.get("spec"), "status": None}
            self.objects[kind, name] = obj
            await self.record(kind, name, obj, False)
            return 200, obj
        if not old:
            return 404, None
        wanted = new["metadata"].get("revision")
        if wanted is not None and wanted != old["metadata"]["revision"]:
            return 409, old
        if new.get("spec") != old["spec"]:
            old["spec"] = new.get("spec")
            await self.record(kind, name, old, False)
        return 200, old

    async def watch(self, kind, after, wait_ms):
        until = time.monotonic() + min(wait_ms, 30000) / 1000
        if after > self.revision:
            return 410, None
        while True:
            past = [h for h in self.history if h[0] > after and h[1] == kind]
            events = [{"gone": gone, "object": obj} for _, _, obj, gone in past]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                method, target, _, body = request
                status, answer = await self.handle(method, target, body)
                text = json.dumps(answer).encode() if answer is not None else b""
                headers = {"Content-Type": "application/json", "Store-Era": "0"}
                reply(writer, status, headers, text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--answer-ms", type=float, default=4)
    parser.add_argument("--page", type=int, default=500)
    args = parser.parse_args()
    store = Store(args.answer_ms, args.page)
    host, port = args.listen.split(":")
    server = await asyncio.start_server(store.serve, host, int(port))
    print("%s:%s" % server.sockets[0].getsockname(), flush=True)
    await store.expire()


if __name__ == "__main__":
    asyncio.run(main())
