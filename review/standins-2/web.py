"""HTTP/1.1 for the stand-ins: reads requests, writes answers."""

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


async def read_request(reader):
    """Returns method, target, headers (lower case) and body; None if the connection has ended."""
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def head(status, headers):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % (name, value) for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def reply(writer, status, headers, body):
    """Writes an answer with a length."""
    writer.write(head(status, {**headers, "Content-Length": len(body)}) + body)
