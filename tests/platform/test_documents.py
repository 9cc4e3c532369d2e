"""The operator's documents and endpoints' entries."""

from __future__ import annotations

import msgspec
import pytest

from tests.entries import entry
from threadramp.fleet.model import RouteKind
from threadramp.platform.documents import (
    DocumentError,
    empty_status,
    read_configuration,
    read_empty_request,
    read_endpoint,
    read_weight_target,
)

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "Ficu.example",
            "pathPrefix": "/a/",
            "kind": "safe",
            "timeoutMs": 1500,
            "targetLatencyMs": 199,
            "backend": "p1",
            "maxAttempts": 4,
            "priority": 2,
        },
        {
            "name": "r2",
            "hostname": "ficu.example",
            "pathPrefix": "/a/b/",
            "kind": "rollout",
            "runTargetMs": 7500,
            "queueTtlS": 40,
            "singleVersion": True,
            "trafficSplit": [{"backend": "p1", "weight": 90}, {"backend": "p2", "weight": 10}],
        },
    ],
    "backends": [
        {
            "name": "p1",
            "healthPath": "/healthz",
            "maxConns": 170,
            "engine": {"slots": 12, "kvCapacity": 83311, "models": [{"name": "m"}]},
        }
    ],
    "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
}


@pytest.fixture
def configuration():
    return read_configuration(msgspec.json.encode(CONFIGURATION))


def test_routes_are_decoded(configuration):
    first, second = configuration.routes
    assert (first.host, first.kind, first.timeout_s) == ("ficu.example", RouteKind.REPEATABLE, 1.5)
    assert [(share.pool, share.weight) for share in second.shares] == [("p1", 90), ("p2", 10)]
    assert (second.kind, second.result_target_s, second.give_up_s) == (RouteKind.SAMPLES, 7.5, 40)
    assert second.one_version


def test_pools_and_limits_are_decoded(configuration):
    pool = configuration.pools["p1"]
    assert (pool.slots, pool.memory_tokens, pool.models) == (12, 83311, ("m",))
    assert (configuration.limits.body_bytes, configuration.limits.idle_s) == (1000, 15.0)


def test_the_longest_prefix_wins(configuration):
    assert configuration.route_for("ficu.example", "/a/b/c").name == "r2"
    assert configuration.route_for("ficu.example", "/a/c").name == "r1"
    assert configuration.route_for("ficu.example", "/z/") is None
    assert configuration.route_for("other.example", "/a/") is None


def test_an_unknown_kind_may_not_be_repeated(configuration):
    table = {**CONFIGURATION, "routes": [{**CONFIGURATION["routes"][0], "kind": "of tomorrow"}]}
    (route,) = read_configuration(msgspec.json.encode(table)).routes
    assert not route.may_repeat


def test_an_endpoint_is_decoded():
    found = entry("i-7", "10.0.0.1:80", 12, pool="p1", state="draining", slots=12, born=1700)
    endpoint = read_endpoint(found.key, found.value, found.revision)
    assert (endpoint.instance, endpoint.pool, endpoint.leaving) == ("i-7", "p1", True)
    assert endpoint.revision == 12


def test_named_versions_and_wishes_are_decoded():
    target = read_weight_target(b'{"model":"m","version":3}', 9)
    assert (target.model, target.version, target.revision) == ("m", 3, 9)
    wish = read_empty_request("op/retire/store-a-1", b'{"durationS":8.5}', 4)
    assert (wish.box, wish.within_s, wish.revision) == ("store-a-1", 8.5, 4)
    assert msgspec.json.decode(empty_status(True)) == {"state": "succeeded"}


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version":"x"}', b'{"routes":3}'])
def test_what_cannot_be_read_is_said(value):
    with pytest.raises(DocumentError):
        read_configuration(value)
