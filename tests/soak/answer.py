"""One answer of a target as the pieces that it writes: head, parts of the body, end.
Its body has a length, is in chunks, or ends with the connection."""

FRAMINGS = ("length", "chunks", "connection")
PARTS_MAX = 5
INFORMATIONAL = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\nX-Request-Id: e0e0e0e0e0e0e0e0\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n",
)


class Answer:
    def __init__(self, rng, status, fields, body=b"", framing=None, old=False, informational=False):
        self.framing = framing or rng.choice([f for f in FRAMINGS if not (old and f == "chunks")])
        self.closes = self.framing == "connection" or (old and rng.random() < 0.5)
        ahead = {}
        if self.framing == "length":
            ahead["Content-Length"] = len(body)
        elif self.framing == "chunks":
            ahead["Transfer-Encoding"] = "chunked"
        if self.closes:
            ahead["Connection"] = "close"
        elif old:
            ahead["Connection"] = "keep-alive"
        own, framing = list(fields.items()), list(ahead.items())
        lines = ["HTTP/%s %d X" % ("1.0" if old else "1.1", status)]
        lines += ["%s: %s" % item for item in rng.choice((own + framing, framing + own))]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.pieces = [head] + self._parts(rng, body)
        self.before = rng.choice(INFORMATIONAL) if informational else b""

    def _parts(self, rng, body):
        ends = sorted(rng.randrange(len(body) + 1) for _ in range(rng.randrange(PARTS_MAX)))
        parts = [body[a:b] for a, b in zip([0] + ends, ends + [len(body)]) if a < b]
        if self.framing == "chunks":
            parts = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]
        return parts

    def cut(self, size):
        """The pieces of its first bytes."""
        out = []
        for piece in self.pieces:
            out.append(piece[:size])
            size -= len(out[-1])
        return [piece for piece in out if piece]

    def __len__(self):
        return sum(map(len, self.pieces))
