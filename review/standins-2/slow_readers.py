"""Requesters that ask for reports at a steady rate and read nothing for PAUSE_MS before they read the answers.

usage: slow_readers.py HOST PORT COUNT PER_SECOND PAUSE_MS

The small segment and receive buffer stand for a link with a small window; loopback would buffer over a megabyte for each
channel. Prints how the channels ended.
"""
import socket
import sys
import time
from collections import Counter

DEADLINE_S = 12.0
SEGMENT_BYTES = 1400
RECEIVE_BUFFER_BYTES = 8192
STEP_S = 0.1


def open_channel(host, port, number):
    channel = socket.socket()
    channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    channel.settimeout(1.0)
    channel.connect((host, port))
    head = (
        f"GET /report/{number} HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: r{number}\r\n"
        f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nAuthorization: Token k1\r\n\r\n"
    )
    channel.sendall(head.encode())
    channel.setblocking(False)
    return channel


class Reader:
    """One requester; its answer is whole once all bytes of its length were read."""

    def __init__(self, channel, now):
        self.channel = channel
        self.sent_at = now
        self.bytes = b""
        self.size = 0
        self.expected = None
        self.status = "no answer"
        self.end = None

    def read(self, now):
        try:
            while self.end is None:
                piece = self.channel.recv(65536)
                if not piece:
                    self.finish("closed early, " + self.status)
                    return
                self.take(piece)
        except BlockingIOError:
            pass
        except OSError:
            self.finish("reset, " + self.status)
            return
        if self.end is None and now - self.sent_at > DEADLINE_S:
            self.finish("given up, " + self.status)

    def take(self, piece):
        self.size += len(piece)
        if self.expected is None:
            self.bytes += piece
            if b"\r\n\r\n" not in self.bytes:
                return
            head = self.bytes.split(b"\r\n\r\n")[0].decode()
            self.status = head.split(" ")[1]
            length = [line.split(":")[1] for line in head.split("\r\n") if line.lower().startswith("content-length")]
            self.expected = len(head) + 4 + int(length[0])
        if self.size >= self.expected:
            self.finish("whole, " + self.status)

    def finish(self, end):
        self.end = end
        self.channel.close()


def main():
    host, port, count, per_second, pause_ms = sys.argv[1], *(int(a) for a in sys.argv[2:6])
    readers = []
    ends = Counter()
    start = time.monotonic()
    opened = 0
    while opened < count or any(r.end is None for r in readers):
        now = time.monotonic()
        while opened < count and opened < (now - start) * per_second:
            try:
                readers.append(Reader(open_channel(host, port, opened), now))
            except OSError:
                ends["not connected"] += 1
            opened += 1
        for reader in readers:
            if reader.end is None and now - reader.sent_at >= pause_ms / 1000:
                reader.read(now)
        time.sleep(max(0.0, STEP_S - (time.monotonic() - now)))
    ends.update(r.end for r in readers)
    print("; ".join(f"{end}: {number}" for end, number in sorted(ends.items())))


main()
