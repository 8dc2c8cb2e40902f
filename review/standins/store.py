"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

    store.py PORT

An answer takes 4 ms. `PUT /admin/down` with `true` or `false` says whether it is down: it then
answers 503, and cuts the connections of watches that wait.
"""

import asyncio
import bisect
import json
import sys
import time
from urllib.parse import parse_qsl, urlsplit

import net

ANSWER_S = 0.004
PAGE = 500


class Store:
    def __init__(self):
        self.down = False
        self.revision = 1
        self.objects = {}  # kind -> name -> (revision, object's JSON text, spec)
        self.names = {}  # kind -> sorted names
        self.history = []  # (revision, kind, gone, object's JSON text)
        self.changed = asyncio.Event()

    def record(self, kind, gone, text):
        self.history.append((self.revision, kind, gone, text))
        self.wake()

    def wake(self):
        """Lets watches that wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, method, kind, name, query, body):
        known = self.objects.setdefault(kind, {})
        names = self.names.setdefault(kind, [])
        if method == "DELETE":
            if name not in known:
                return 404, b""
            wanted = query.get("revision")
            if wanted is not None and int(wanted) != known[name][0]:
                return 409, known[name][1].encode()
            self.revision += 1
            _, _, spec = known.pop(name)
            names.pop(bisect.bisect_left(names, name))
            self.record(kind, True, encode(name, self.revision, spec))
            return 200, b""
        try:
            given = json.loads(body)
            name = name or given["metadata"]["name"]
            wanted = given["metadata"].get("revision")
        except (ValueError, KeyError, TypeError):
            return 400, b""
        wanted = query.get("revision", wanted)
        if method == "POST" and name in known:
            return 409, known[name][1].encode()
        if method == "PUT":
            if name not in known:
                return 404, b""
            if wanted is not None and int(wanted) != known[name][0]:
                return 409, known[name][1].encode()
            if known[name][2] == given.get("spec"):
                return 200, known[name][1].encode()
        self.revision += 1
        text = encode(name, self.revision, given.get("spec"))
        if name not in known:
            bisect.insort(names, name)
        known[name] = (self.revision, text, given.get("spec"))
        self.record(kind, False, text)
        return 200, text.encode()

    def page(self, kind, query):
        names = self.names.get(kind, [])
        after = query.get("afterRevision")
        start = bisect.bisect_right(names, after) if after is not None else 0
        chosen = names[start : start + PAGE]
        known = self.objects.get(kind, {})
        more = "true" if start + PAGE < len(names) else "false"
        items = ",".join(known[n][1] for n in chosen)
        return f'{{"items":[{items}],"more":{more},"at":{self.revision}}}'.encode()

    async def watch(self, kind, query):
        after = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1e3
        if after > self.revision:
            return 410, b""
        while True:
            if self.down:
                raise net.Broken("down")
            start = bisect.bisect_right(self.history, after, key=lambda h: h[0])
            events = [
                f'{{"gone":{"true" if gone else "false"},"object":{text}}}'
                for _, k, gone, text in self.history[start:]
                if k == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                text = f'{{"events":[{",".join(events)}],"at":{self.revision}}}'
                return 200, text.encode()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, target, body):
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        path = parts.path.strip("/").split("/")
        if path == ["admin", "down"]:
            self.down = json.loads(body)
            self.wake()
            return 200, b"{}"
        await asyncio.sleep(ANSWER_S)
        if self.down:
            return 503, b""
        if len(path) < 2 or path[0] != "objects":
            return 404, b""
        kind, name = path[1], path[2] if len(path) > 2 else None
        if method != "GET":
            return self.write(method, kind, name, query, body)
        if name is not None:
            found = self.objects.get(kind, {}).get(name)
            return (200, found[1].encode()) if found else (404, b"")
        if "watch" in query:
            return await self.watch(kind, query)
        return 200, self.page(kind, query)

    async def serve(self, reader, writer):
        try:
            while (got := await net.read_head(reader)) is not None:
                method, target, _ = got[0].split(" ", 2)
                body = await net.read_body(reader, got[1])
                status, text = await self.handle(method, target, body)
                headers = {"Content-Type": "application/json", "Store-Era": 0}
                writer.write(net.answer(status, text, headers))
                await writer.drain()
        except (net.Broken, ConnectionError):
            pass
        finally:
            writer.close()


def encode(name, revision, spec):
    metadata = {"name": name, "revision": revision, "made": 1, "finalizers": [], "deleting": False}
    return json.dumps({"metadata": metadata, "spec": spec, "status": None})


async def main():
    port = int(sys.argv[1])
    store = Store()
    server = await asyncio.start_server(store.serve, "127.0.0.1", port, limit=2 << 20)
    print("ready", flush=True)
    await server.serve_forever()


asyncio.run(main())
