"""Bounds of the log in lines, memory and time.

A stalled reader of the log would block the event loop or let the buffer grow, and
a burst of one event would flood the log.
"""

import json
import os
import threading
import time

import pytest

from bulrushlead.logs import (
    MAX_LINES_PER_S,
    BufferedStream,
    Event,
    EventLogger,
    LineRateLimiter,
    LogFormat,
    build_handler,
)

LINE = "x" * 99 + "\n"


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def read_lines(read_end, count):
    lines = []
    with os.fdopen(os.dup(read_end)) as file:
        while len(lines) < count:
            lines.append(file.readline().strip())
    return lines


def test_lines_arrive_in_order(pipe):
    read_end, write_end = pipe
    stream = BufferedStream(write_end)
    stream.start()
    for number in range(100):
        stream.write(f"line {number}\n")
    assert read_lines(read_end, 100) == [f"line {n}" for n in range(100)]
    stream.close()


@pytest.mark.parametrize("pause_s", [0.0, 0.3], ids=["at-once", "paused"])
def test_stalled_reader_blocks_no_writer_and_memory_stays_bounded(pipe, pause_s):
    """The pipe is full, so the writing thread blocks in the system call.

    The buffer may be emptied into the pipe meanwhile and fill up again, so that
    several notices report the dropped lines.
    """
    read_end, write_end = pipe
    stream = BufferedStream(write_end, max_bytes=10_000)
    stream.start()
    done = threading.Event()

    def write_many():
        for _ in range(10_000):
            stream.write(LINE)
        time.sleep(pause_s)
        for _ in range(10_000):
            stream.write(LINE)
        done.set()

    threading.Thread(target=write_many, daemon=True).start()
    assert done.wait(30), "a write blocked on the reader"
    assert stream.dropped > 0
    assert stream._bytes <= 10_000
    text = b""
    while stream._bytes > 0:
        text += os.read(read_end, 65_536)
    dropped = stream.dropped
    # Once the reader resumes, each dropped line is reported before the next one.
    stream.write("after\n")
    while not text.endswith(b"after\n"):
        text += os.read(read_end, 65_536)
    lines = text.decode().splitlines()
    notices = [json.loads(line) for line in lines if "LINES_DROPPED" in line]
    assert sum(notice["count"] for notice in notices) == dropped
    assert lines.count(LINE.strip()) == 20_000 - dropped
    stream.close()


def test_close_does_not_wait_for_a_stalled_reader(pipe):
    _, write_end = pipe
    stream = BufferedStream(write_end)
    stream.start()
    for _ in range(2_000):
        stream.write(LINE)
    stream.close(timeout_s=0.01)


def test_burst_of_one_event_does_not_suppress_others():
    limiter = LineRateLimiter(10)
    admitted = [limiter.admit(211) for _ in range(500)]
    assert admitted.count(0) == 10
    assert admitted.count(None) == 490
    assert limiter.admit(300) == 0


def test_next_admitted_line_reports_the_suppressed_count():
    limiter = LineRateLimiter(1)
    limiter.admit(211)
    for _ in range(5):
        assert limiter.admit(211) is None
    limiter._window_start_s -= 2
    assert limiter.admit(211) == 5
    assert limiter.admit(211) is None


class LineCounter:
    lines = 0

    def write(self, text):
        self.lines += text.count("\n")

    def flush(self):
        pass


def write_burst(counter, **options):
    with build_handler(LogFormat.JSON, counter, **options).applicationbound():
        logger = EventLogger("gateway")
        for number in range(5_000):
            logger.write(Event.REQUEST_REFUSED, request_id=number)


def test_burst_of_refusals_writes_a_bounded_number_of_lines(monkeypatch):
    monkeypatch.setattr("bulrushlead.logs._rate_limit.time.monotonic", lambda: 1.0)
    counter = LineCounter()
    write_burst(counter, max_lines_per_s=MAX_LINES_PER_S)
    assert counter.lines == MAX_LINES_PER_S


def test_rate_limit_applies_to_one_handler():
    """One handler's lines must not count towards the limit of another."""
    limited, unlimited = LineCounter(), LineCounter()
    write_burst(limited, max_lines_per_s=1)
    write_burst(unlimited)
    assert unlimited.lines == 5_000
