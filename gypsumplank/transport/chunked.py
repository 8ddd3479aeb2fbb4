"""Decode chunked bodies in time that grows with their length only.

Answers bodies in chunks of one byte, for which waitress copies its input several times a chunk, and
chunk extensions and trailers without end, which it keeps.
"""

from waitress.buffers import OverflowableBuffer
from waitress.receiver import ChunkedReceiver
from waitress.rfc7230 import CHUNK_EXT_RE, ONLY_HEXDIG_RE
from waitress.utilities import BadRequest, Error, RequestEntityTooLarge, RequestHeaderFieldsTooLarge

CRLF = b"\r\n"
# Longest line with the size of a chunk and its extensions, bytes.
MAX_CHUNK_LINE_BYTES = 1024
# Longest extensions of all chunks of a body together, and longest trailer, bytes.
MAX_EXTENSIONS_BYTES = 16_384
MAX_TRAILER_BYTES = 4096


class BoundedChunkedReceiver(ChunkedReceiver):
    """Collect a chunked body of less than `max_body_bytes` in `buf`."""

    def __init__(self, buf: OverflowableBuffer, max_body_bytes: int) -> None:
        super().__init__(buf)
        self.completed = False
        self.error: Error | None = None
        self.chunk_remainder = 0
        self.validate_chunk_end = False
        self.all_chunks_received = False
        self._room = max_body_bytes
        self._extensions_bytes = 0
        self._partial = b""

    @property
    def partial_bytes(self) -> int:
        """Return the length of the line or trailer that is still incomplete."""
        return len(self._partial)

    def received(self, s: bytes) -> int:
        """Decode the next bytes; return how many of them belong to this body."""
        if self.completed:
            return 0
        data = self._partial + s
        pieces: list[bytes] = []
        end = self._decode(data, pieces)
        if pieces:
            self.buf.append(b"".join(pieces))
        if self.error is not None:
            self._partial = b""
            return len(s)
        self._partial = b"" if self.completed else data[end:]
        return len(s) - (len(data) - end) if self.completed else len(s)

    def _decode(self, data: bytes, pieces: list[bytes]) -> int:
        """Append the chunks' contents to `pieces`; return the position of what is undecided."""
        pos, end = 0, len(data)
        while pos < end and self.error is None and not self.completed:
            if self.chunk_remainder:
                piece = data[pos : pos + self.chunk_remainder]
                pieces.append(piece)
                pos += len(piece)
                self.chunk_remainder -= len(piece)
                self.validate_chunk_end = not self.chunk_remainder
            elif self.validate_chunk_end:
                if end - pos < len(CRLF):
                    break
                if not data.startswith(CRLF, pos):
                    self.error = BadRequest("Chunk not properly terminated")
                self.validate_chunk_end = False
                pos += len(CRLF)
            elif not self.all_chunks_received:
                line_end = data.find(CRLF, pos, pos + MAX_CHUNK_LINE_BYTES + len(CRLF))
                if line_end < 0:
                    if end - pos > MAX_CHUNK_LINE_BYTES + 1:
                        self.error = BadRequest("Chunk size line too long")
                    break
                self._start_chunk(data[pos:line_end])
                pos = line_end + len(CRLF)
                chunk_end = pos + self.chunk_remainder
                # A chunk that has arrived whole, the usual case, is taken in one step.
                if pos < chunk_end and self.error is None and data.startswith(CRLF, chunk_end):
                    pieces.append(data[pos:chunk_end])
                    pos = chunk_end + len(CRLF)
                    self.chunk_remainder = 0
            else:
                return self._end_trailer(data, pos)
        return pos

    def _start_chunk(self, line: bytes) -> None:
        digits, semicolon, extensions = line.partition(b";")
        if semicolon:
            self._check_extensions(semicolon + extensions)
        if self.error is not None:
            return
        if not ONLY_HEXDIG_RE.fullmatch(digits):
            self.error = BadRequest("Invalid chunk size")
            return
        self.chunk_remainder = int(digits, 16)
        self.all_chunks_received = not self.chunk_remainder
        self._room -= self.chunk_remainder
        if self._room <= 0:
            self.error = RequestEntityTooLarge("chunked body too long")

    def _check_extensions(self, extensions: bytes) -> None:
        self._extensions_bytes += len(extensions)
        if not CHUNK_EXT_RE.fullmatch(extensions):
            self.error = BadRequest("Invalid chunk extension")
        elif self._extensions_bytes > MAX_EXTENSIONS_BYTES:
            self.error = BadRequest("Chunk extensions too long")

    def _end_trailer(self, data: bytes, pos: int) -> int:
        """Return the position after the trailer, or `pos` if it is incomplete."""
        if data.startswith(CRLF, pos):
            self.completed = True
            return pos + len(CRLF)
        found = data.find(CRLF + CRLF, pos, pos + MAX_TRAILER_BYTES)
        if found >= 0:
            self.completed = True
            return found + 2 * len(CRLF)
        if len(data) - pos > MAX_TRAILER_BYTES:
            self.error = RequestHeaderFieldsTooLarge("trailer too long")
        return pos
