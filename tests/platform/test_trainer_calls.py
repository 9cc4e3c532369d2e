"""Trainers' calls about lots."""

from __future__ import annotations

import base64

import msgspec
import pytest

from threadramp.config.findings import FindingsError
from threadramp.lots.model import Result, ResultState
from threadramp.platform.trainer_calls import LotCallKind, read_call, read_lot, results_body

ITEM = {
    "id": "s1",
    "path": "/p/1",
    "headers": {"X-Model": "m", "X-Length-Hint": "420"},
    "body": base64.b64encode(b"prompt").decode(),
    "tokens": 940,
    "group": "g1",
    "scoringEndpoint": {"id": "r1", "hostname": "Scores.example", "path": "/s/1", "body": "eA=="},
}
LOT = {"step": 7, "model": "m", "minVersion": 6, "desired": 12, "requests": [ITEM]}


def hand_in(table):
    return read_lot("lot", "models.example", "/p/", msgspec.json.encode(table))


def test_a_lot_is_decoded():
    lot = hand_in(LOT)
    assert (lot.step, lot.min_version, lot.wanted_groups) == (7, 6, 12)
    (sample,) = lot.samples
    assert (sample.body, sample.group, sample.expected_tokens) == (b"prompt", "g1", 420)
    assert (sample.reward.host, sample.reward.body) == ("scores.example", b"x")
    assert ("X-Model", "m") in sample.headers


@pytest.mark.parametrize(
    ("table", "place"),
    [
        ({}, "body"),
        ({"requests": 3}, "body"),
        ({"requests": []}, "requests"),
        ({"requests": [{**ITEM, "body": "%%%"}]}, "requests[0].body"),
        ({"requests": [ITEM, ITEM]}, "requests"),
    ],
)
def test_what_is_no_lot_is_told_with_its_place(table, place):
    with pytest.raises(FindingsError) as raised:
        hand_in(table)
    assert [finding.place for finding in raised.value.findings] == [place]


def test_calls_are_told_apart():
    assert read_call("GET", "/threadramp/lots/a?after=12").after == 12
    assert read_call("GET", "/threadramp/lots/a").kind is LotCallKind.RESULTS
    assert read_call("DELETE", "/threadramp/lots/a").kind is LotCallKind.END
    call = read_call("GET", "/threadramp/items/a?id=s%201")
    assert (call.kind, call.lot, call.sample) == (LotCallKind.BODY, "a", "s 1")
    assert read_call("PUT", "/threadramp/lots/a") is None
    assert read_call("GET", "/threadramp/else") is None


def test_results_are_encoded_with_the_next_position():
    results = [
        Result("a", ResultState.SUCCEEDED, "x\ny", (6, 7), "signature"),
        Result("b", ResultState.DEAD, "", (), ""),
    ]
    page = msgspec.json.decode(results_body(40, 12, results))
    assert (page["total"], page["nextToken"]) == (40, 14)
    first, second = page["results"]
    assert first["versions"] == [6, 7]
    assert (first["state"], first["score"]) == ("succeeded", "signature")
    assert second["state"] == "dead"
    assert "score" not in second
