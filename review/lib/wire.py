"""HTTP/1.1 as the stand-ins need it: heads, bodies, and how an answer ended."""

import asyncio


class Broken(Exception):
    """The peer closed or reset the connection, or sent what is no message."""


async def read_head(reader):
    """Returns the first line and a list of (name, value); None at a clean end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None, []
        raise Broken("cut in the head")
    except (OSError, asyncio.LimitOverrunError) as error:
        raise Broken(repr(error))
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


def field(fields, name):
    for key, value in fields:
        if key == name:
            return value
    return None


async def read_chunked(reader):
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        if not size:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, fields, to_end=False):
    """Returns (body, complete): complete as far as the framing tells."""
    parts = b""
    try:
        if "chunked" in (field(fields, "transfer-encoding") or "").lower():
            return await read_chunked(reader), True
        length = field(fields, "content-length")
        if length is not None:
            return await reader.readexactly(int(length)), True
        if not to_end:
            return b"", True
        while True:
            part = await reader.read(65536)
            if not part:
                return parts, True
            parts += part
    except asyncio.IncompleteReadError as error:
        return parts + error.partial, False
    except (OSError, ValueError):
        return parts, False


def message(start, fields, body=b"", length=True):
    lines = [start] + ["%s: %s" % item for item in fields]
    if length:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
