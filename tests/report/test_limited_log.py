"""The number of lines that a crowd of clients can bring about."""

from __future__ import annotations

from threadramp.report.limited_log import INTERVAL_S, MAX_LINES, LimitedLog


class Log:
    """Keeps the lines of a limited log, whose clock tests set."""

    def __init__(self) -> None:
        self.now = 100.0
        self.lines: list[tuple[str, dict]] = []
        self.limited = LimitedLog(lambda: self.now)

    def write(self, kind: str, **fields) -> None:
        self.limited.log(lambda kind, **given: self.lines.append((kind, given)), kind, **fields)


def test_a_few_lines_of_a_kind_are_logged_in_full():
    log = Log()
    for number in range(MAX_LINES):
        log.write("refused", number=number)
    assert log.lines == [("refused", {"number": number}) for number in range(MAX_LINES)]


def test_the_lines_left_out_are_counted_in_the_next_one():
    log = Log()
    for number in range(1_000):
        log.write("refused", number=number)
    assert len(log.lines) == MAX_LINES
    log.now += INTERVAL_S
    log.write("refused", number=0)
    assert log.lines[-1] == ("refused", {"number": 0, "left_out_before": 1_000 - MAX_LINES})


def test_each_kind_has_its_own_lines():
    log = Log()
    for _ in range(100):
        log.write("refused")
    log.write("other")
    assert log.lines[-1] == ("other", {})
