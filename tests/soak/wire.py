"""A little HTTP/1.1 for the soak: enough to read and write what its processes
speak. Limits: heads of 64 KiB, bodies with a length, in chunks or to the end."""

import asyncio
import socket
import struct

HEAD_MAX = 64 * 1024


class Broken(Exception):
    """The peer closed or reset the connection, or sent what is no HTTP."""


async def read_head(reader):
    """Returns the start line and the header fields, names in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Broken(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, to_end=False):
    """Returns a body; one that is cut, or framed in two ways, raises Broken."""
    if "content-length" in fields and "transfer-encoding" in fields:
        raise Broken("two framings")
    try:
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"]))
        if fields.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    return b"".join(parts)
        return await reader.read() if to_end else b""
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError) as error:
        raise Broken(str(error)) from error


def framing(fields):
    """Returns what ends the body, by the head."""
    if "transfer-encoding" in fields:
        return "chunks"
    return "length" if "content-length" in fields else "connection"


def message(start, fields, body=b""):
    """Returns the bytes of a message with a length."""
    lines = [start] + ["%s: %s" % item for item in fields.items()]
    lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def unread(reader):
    """Returns if bytes have arrived that nobody has read."""
    return bool(reader._buffer)


def reserve(ip, port=0):
    """Takes a port for the whole soak: the kernel gives it to no other process
    that asks for any free port, also while nobody listens on it."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((ip, port))
    return held


def reset(writer):
    """Closes a connection with a reset: an abort alone ends it in order."""
    held = writer.get_extra_info("socket")
    if held and held.fileno() >= 0:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
