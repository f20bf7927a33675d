import json
import os
import subprocess
import sys
import time

from toucanfold import calls, decisionlog


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            data += os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return data


def test_writer_does_not_wait_for_a_stalled_reader():
    """Guards against a full output pipe that blocks the event loop."""
    reader, descriptor = os.pipe()
    writer = decisionlog.NonBlockingWriter(descriptor)
    line = b"x" * 999 + b"\n"
    started_at = time.monotonic()
    accepted_count = sum(writer.write(line) for _ in range(2000))
    assert time.monotonic() - started_at < 2
    assert 0 < accepted_count < 2000 and writer.dropped_lines == 2000 - accepted_count
    received = read_all(reader)
    while len(received) < accepted_count * len(line):
        writer.flush()
        received += read_all(reader)
    assert received == line * accepted_count
    os.close(reader)
    os.close(descriptor)


def test_next_line_reports_the_dropped_lines():
    reader, descriptor = os.pipe()
    writer = decisionlog.NonBlockingWriter(descriptor)
    writer.dropped_lines = 7
    log = decisionlog.DecisionLog("d1", writer)
    log.log_decision("refused", "r1", always=True, kind="overloaded")
    (line,) = [json.loads(text) for text in read_all(reader).splitlines()]
    assert line["lines_dropped"] == 7 and writer.dropped_lines == 0
    assert (line["request_id"], line["kind"]) == ("r1", "overloaded")
    os.close(reader)
    os.close(descriptor)


def test_all_hops_sample_the_same_requests():
    """Guards against requests that only some of their hops log."""
    reader, descriptor = os.pipe()
    logs = [
        decisionlog.DecisionLog(name, decisionlog.NonBlockingWriter(descriptor))
        for name in ("d1", "d2")
    ]
    ids = [calls.new_root_id() for _ in range(2000)]
    sampled_ids = [[item for item in ids if log.is_sampled(item)] for log in logs]
    assert sampled_ids[0] == sampled_ids[1]
    assert 5 < len(sampled_ids[0]) < 100
    os.close(reader)
    os.close(descriptor)


def test_lines_go_to_one_stream_only():
    """Guards against a second copy on standard error, which blocks if nobody reads it.

    By default absl also copies each line there, so every line is written twice.
    Seen on pendulum-mesh quiet-1: each line of the watch was written twice.
    """
    program = (
        "import io, sys; from absl import logging; from toucanfold import logs\n"
        "stream = io.StringIO(); logs.configure('p', 'info', stream)\n"
        "logging.info('started'); logging.warning('slow')\n"
        "print(stream.getvalue().count('message'))"
    )
    ran = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert ran.stdout.strip() == "2"
    assert ran.stderr == ""
