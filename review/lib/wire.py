"""MessagePack, and HTTP/1.1 with keep-alive connections, on asyncio and the standard library."""

import asyncio
import struct


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(v, out):
    if v is None:
        out.append(0xC0)
    elif v is True:
        out.append(0xC3)
    elif v is False:
        out.append(0xC2)
    elif isinstance(v, int):
        if 0 <= v < 0x80:
            out.append(v)
        elif v < 0:
            out += struct.pack(">Bq", 0xD3, v)
        else:
            out += struct.pack(">BQ", 0xCF, v)
    elif isinstance(v, float):
        out += struct.pack(">Bd", 0xCB, v)
    elif isinstance(v, str):
        b = v.encode()
        n = len(b)
        if n < 32:
            out.append(0xA0 | n)
        elif n < 0x100:
            out += struct.pack(">BB", 0xD9, n)
        elif n < 0x10000:
            out += struct.pack(">BH", 0xDA, n)
        else:
            out += struct.pack(">BI", 0xDB, n)
        out += b
    elif isinstance(v, (list, tuple)):
        n = len(v)
        out += bytes([0x90 | n]) if n < 16 else struct.pack(">BI", 0xDD, n)
        for item in v:
            _pack(item, out)
    elif isinstance(v, dict):
        n = len(v)
        out += bytes([0x80 | n]) if n < 16 else struct.pack(">BI", 0xDF, n)
        for key, item in v.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(v))


_FIXED = {
    0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
    0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q",
}
_SIZES = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I", 0xDC: ">H", 0xDD: ">I", 0xDE: ">H", 0xDF: ">I"}


def unpack(data):
    value, end = _unpack(data, 0)
    if end != len(data):
        raise ValueError("bytes after the value")
    return value


def _unpack(d, at):
    c = d[at]
    at += 1
    if c < 0x80:
        return c, at
    if c >= 0xE0:
        return c - 0x100, at
    if c < 0x90:
        return _map(d, at, c & 0x0F)
    if c < 0xA0:
        return _list(d, at, c & 0x0F)
    if c < 0xC0:
        n = c & 0x1F
        return d[at:at + n].decode(), at + n
    if c == 0xC0:
        return None, at
    if c in (0xC2, 0xC3):
        return c == 0xC3, at
    if c in _FIXED:
        fmt = _FIXED[c]
        return struct.unpack_from(fmt, d, at)[0], at + struct.calcsize(fmt)
    fmt = _SIZES[c]
    n = struct.unpack_from(fmt, d, at)[0]
    at += struct.calcsize(fmt)
    if c <= 0xDB:
        return d[at:at + n].decode(), at + n
    return _list(d, at, n) if c <= 0xDD else _map(d, at, n)


def _list(d, at, n):
    items = []
    for _ in range(n):
        item, at = _unpack(d, at)
        items.append(item)
    return items, at


def _map(d, at, n):
    items = {}
    for _ in range(n):
        key, at = _unpack(d, at)
        items[key], at = _unpack(d, at)
    return items, at


async def _read_message(reader):
    """Returns the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, text = line.split(":", 1)
            headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


async def serve(handler, port=0):
    """Serves on a loopback port. `handler(method, path, body)` returns (status, value or None);
    a status of None closes the connection without an answer. Returns (server, port)."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers, body = await _read_message(reader)
                method, path, _ = line.split(" ")
                status, value = await handler(method, path, unpack(body) if body else None)
                if status is None:
                    return
                content = b"" if value is None else pack(value)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """A client of one address, with keep-alive connections, one request on each at a time."""

    def __init__(self, port):
        self.port = port
        self.idle = []

    async def send(self, method, path, value=None, timeout_s=5.0):
        """Returns (status, value). The status is None without an answer."""
        try:
            return await asyncio.wait_for(self._send(method, path, value), timeout_s)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None, None

    async def _send(self, method, path, value):
        if self.idle:
            reader, writer = self.idle.pop()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 22)
        kept = False
        try:
            body = b"" if value is None else pack(value)
            head = f"{method} {path} HTTP/1.1\r\nHost: service\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            line, headers, body = await _read_message(reader)
            status = int(line.split(" ")[1])
            if headers.get("connection", "").lower() != "close":
                self.idle.append((reader, writer))
                kept = True
            return status, unpack(body) if body else None
        finally:
            if not kept:
                writer.close()
