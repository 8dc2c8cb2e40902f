"""HTTP/1.1 over asyncio streams, as far as the stand-ins and clients need it."""

import asyncio
import json
import os
import socket

MAX_HEAD = 65536


class Broken(Exception):
    """The peer closed, reset or did not speak the protocol."""


# Ports below those that the kernel gives to connections, for each script a range of its own.
PORTS = iter(range(20000 + os.getpid() % 120 * 100, 32000))


def free_port():
    """Returns a port of 127.0.0.1 that is free now and that this script has not used."""
    for port in PORTS:
        with socket.socket() as s, socket.socket(type=socket.SOCK_DGRAM) as d:
            try:
                s.bind(("127.0.0.1", port))
                d.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass
    raise OSError("no port is free")


async def read_head(reader):
    """Reads a start line and headers; None if the connection ends before them."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial:
            raise Broken("half a head")
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as e:
        raise Broken(str(e))
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises Broken if it ends before its last one."""
    while True:
        try:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as e:
            raise Broken(f"the body breaks off ({type(e).__name__})")
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers, to_end=False):
    """Reads a whole body; `to_end`: one without a length lasts as long as its connection."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([c async for c in read_chunks(reader)])
    if "content-length" in headers:
        try:
            return await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            raise Broken(f"the body breaks off ({type(e).__name__})")
    if not to_end:
        return b""
    try:
        return await reader.read()
    except ConnectionError as e:
        raise Broken(str(e))


def head(start, headers):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status, body=b"", headers=None):
    """Encodes an answer with a length."""
    all_headers = {"Content-Length": len(body), **(headers or {})}
    return head(f"HTTP/1.1 {status} -", all_headers) + body


async def call(addr, method, path, body=b"", headers=None, limit=10.0):
    """Sends one request on a new connection; returns status, headers and body."""
    host, port = addr.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD)
        try:
            sent = {"Host": addr, "Content-Length": len(body), **(headers or {})}
            writer.write(head(f"{method} {path} HTTP/1.1", sent) + body)
            got = await read_head(reader)
            if got is None:
                raise Broken("closed without an answer")
            status = int(got[0].split()[1])
            return status, got[1], await read_body(reader, got[1], to_end=True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), limit)
    except (OSError, asyncio.TimeoutError) as e:
        raise Broken(f"{type(e).__name__}: {e}")


async def call_json(addr, method, path, value=None, limit=10.0):
    body = b"" if value is None else json.dumps(value).encode()
    status, _, got = await call(
        addr, method, path, body, {"Content-Type": "application/json"}, limit
    )
    return status, json.loads(got) if got else None
