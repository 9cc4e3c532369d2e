"""Headers between callers, us and endpoints."""

from __future__ import annotations

import pytest
from urllib3 import HTTPHeaderDict

from threadramp.platform.headers import (
    EndpointLoad,
    read_answer,
    sample_headers,
    sent_id,
    time_left_s,
    to_caller,
    to_endpoint,
    version_line,
)


def test_headers_of_one_connection_do_not_go_on():
    given = [("Host", "h"), ("Connection", "close, X-Hop"), ("X-Hop", "1"), ("X-Mine", "2")]
    assert to_endpoint(given, 1.5, "i-1") == {
        "Host": "h",
        "X-Mine": "2",
        "X-Deadline-Ms": "1500",
        "X-Expect-Instance": "i-1",
    }


def test_a_caller_can_not_set_what_we_set():
    given = [("x-expect-instance", "i-9"), ("X-Deadline-Ms", "99999")]
    headers = to_endpoint(given, 0.25, "i-1")
    assert headers == {"X-Deadline-Ms": "250", "X-Expect-Instance": "i-1"}


def test_a_sample_goes_on_behind_its_events():
    headers = sample_headers([("X-Model", "m")], "s1", 10.0, "i-1", 7, 2)
    assert (headers["X-Attempt-Id"], headers["Last-Event-Id"]) == ("s1", "7")
    assert "Last-Event-Id" not in sample_headers([], "s1", 10.0, "i-1", 0, 2)


def test_a_sample_goes_under_its_own_id_alone():
    """Sent beside one that its trainer wrote in another spelling, either could be echoed."""
    headers = sample_headers([("x-attempt-id", "other")], "s1", 10.0, "i-1", 0, 2)
    assert [value for name, value in headers.items() if name.lower() == "x-attempt-id"] == ["s1"]
    assert sent_id(headers) == "s1"


def test_an_answers_head_is_decoded():
    headers = HTTPHeaderDict({"x-attempt-id": "r", "X-Instance-Load": "3,0,8"})
    head = read_answer(200, headers)
    assert (head.request_id, head.not_run, head.load.slots) == ("r", False, 8)
    assert read_answer(503, HTTPHeaderDict({"X-Not-Executed": "1"})).not_run
    assert not read_answer(503, HTTPHeaderDict()).not_run
    assert read_answer(421, HTTPHeaderDict()).not_run
    assert read_answer(200, HTTPHeaderDict({"X-Instance-Load": "x"})).load is None


@pytest.mark.parametrize(
    ("text", "figures"),
    [
        ("3,1,6", (3, 1, 6, 100)),
        ("3, 1, 6, 250", (3, 1, 6, 250)),
        ("3,1,6,100,7", (3, 1, 6, 100)),
        ("3,1", None),
        ("3,1,-6", None),
        ("3,1,6,x", None),
        ("3,1,6,\u0663", None),
    ],
)
def test_a_load_of_three_figures_or_more_is_decoded(text, figures):
    """A load of four figures was ignored as a whole."""
    load = read_answer(200, HTTPHeaderDict({"X-Instance-Load": text})).load
    expected = None if figures is None else EndpointLoad(*figures)
    assert load == expected


def test_an_answer_goes_back_without_its_connections_headers():
    answer = [("Connection", "close"), ("X-Server-Stamp", "s"), ("Content-Length", "3")]
    assert to_caller(answer) == [("X-Server-Stamp", "s")]


def test_odd_numbers_are_no_numbers():
    assert time_left_s({"X-Deadline-Ms": "soon"}) is None
    assert time_left_s({"X-Deadline-Ms": "-5"}) == 0.0
    assert version_line("x-weight-versions: 12") == 12
    assert version_line("data: 12") == 0
    assert version_line("x-weight-versions: ²") == 0
