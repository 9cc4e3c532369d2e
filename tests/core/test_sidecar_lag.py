"""Requests whose sender has a newer configuration revision than the sidecar."""

from __future__ import annotations

import pytest

from threadramp.config.settings import SidecarSettings
from threadramp.core.keys import Binding
from threadramp.core.sidecar import CallRequest, SidecarCore
from threadramp.wire.messages import CallStamp, Change, SampleSpec, StepKey, StepPoll, SyncRequest
from threadramp.wire.outcomes import Outcome, Reason, Refusal

ADDRESS = "127.0.0.1:1"
NOW = 100.0
ENDPOINT = {
    "pool": "p",
    "data_centre": "dc",
    "address": ADDRESS,
    "sidecar_http": ADDRESS,
    "sidecar_sync": ADDRESS,
}
DRAIN = Change(3, "c3", "endpoint", "bank-0", ENDPOINT | {"drain": True})


@pytest.fixture
def core() -> SidecarCore:
    settings = SidecarSettings("bank-0", ADDRESS, ADDRESS, ADDRESS, "dc")
    made = SidecarCore(settings, "incarnation", 7, NOW)
    made.chain.apply(
        (
            Change(1, "c1", "pool", "p", {"type": "service"}),
            Change(2, "c2", "endpoint", "bank-0", ENDPOINT),
        )
    )
    return made


def call(revision: int, name: str = "call") -> CallRequest:
    binding = Binding("k", "p", "bank-0", "incarnation", 0)
    return CallRequest(name, 0, 5.0, revision, binding, "digest", 0)


def poll(revision: int) -> StepPoll:
    sample = SampleSpec("s0", "prompt", 8, 0, 1)
    key, stamp = StepKey("trainer", "run", 0), CallStamp(1, 0, "nonce")
    return StepPoll(key, stamp, revision, "m", 0, submit=(sample,))


def test_a_call_of_a_newer_revision_is_refused_as_receiver_behind(core: SidecarCore) -> None:
    """Guards against running a call under a revision older than its gateway's."""
    refused = core.begin_call(call(revision=3), NOW)
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.RECEIVER_BEHIND
    assert refused.outcome is Outcome.NOT_RUN


def test_the_key_of_such_a_call_runs_after_the_sidecar_has_caught_up(core: SidecarCore) -> None:
    """A refusal because of the revision must not be recorded for the key."""
    core.begin_call(call(revision=3), NOW)
    unchanged = Change(3, "c3", "pool", "p", {"type": "service", "echoes_request_id": False})
    core.handle(SyncRequest("gateway", 3, (unchanged,)), NOW)
    assert not isinstance(core.begin_call(call(revision=3, name="again"), NOW), Refusal)


def test_a_sidecar_that_lags_starts_no_samples(core: SidecarCore) -> None:
    """Guards against samples that start at an endpoint after its gateway has accepted its drain."""
    reply = core.handle(poll(revision=3), NOW)
    assert not reply.takes_work
    assert not reply.running
    core.handle(SyncRequest("gateway", 2), NOW)
    assert core.handle(poll(revision=2), NOW).takes_work


def test_a_sidecar_that_caught_up_with_a_drain_refuses_as_leaving(core: SidecarCore) -> None:
    """With the change on both sides, the refusal states the drain, not the revision."""
    core.handle(SyncRequest("gateway", 3, (DRAIN,)), NOW)
    assert core.begin_call(call(revision=3), NOW).reason is Reason.LEAVING
