"""Which requests give way when a process holds too much of them; in virtual time."""

from __future__ import annotations

from random import Random

import pytest

from threadramp.policy.request_buffers import (
    OBJECT_BYTES,
    HeldRequest,
    RequestBuffers,
    decoded_bytes,
    max_lot_bytes,
    max_request_bytes,
)

MB = 1_000_000


class Arrivals:
    """Requests that arrive at a process."""

    def __init__(self, max_bytes: int = 10 * MB, elsewhere: int = 0) -> None:
        self.now = 100.0
        self.elsewhere = elsewhere
        self.buffers = RequestBuffers(max_bytes, lambda: self.elsewhere)
        self.refused: list[HeldRequest] = []

    def receive(self, request: HeldRequest, size: int) -> bool:
        """Receive more of a request; false if it is refused."""
        request.record(size, self.now)
        refused = self.buffers.resize(request, request.size + size, self.now)
        self.refused += refused
        return request not in refused

    def arrive(self, size: int) -> HeldRequest:
        request = HeldRequest()
        self.receive(request, size)
        return request


def test_a_caller_that_goes_on_sending_is_served_amid_callers_that_stopped():
    """They had sent more, and faster."""
    all_ = Arrivals()
    stopped = [all_.arrive(4 * MB) for _ in range(2)]
    all_.now += 10.0
    moving = HeldRequest()
    for _ in range(100):
        assert all_.receive(moving, 50_000)
        all_.now += 0.5
    assert all_.refused and set(all_.refused) <= set(stopped)


def test_a_small_request_is_not_refused_while_a_large_one_arrives():
    all_ = Arrivals()
    large = HeldRequest()
    for number in range(40):
        all_.receive(large, MB // 2)
        if number % 4 == 0:
            all_.arrive(500)
        all_.now += 0.01
    assert set(all_.refused) == {large}


def test_small_requests_together_stay_within_the_limit():
    all_ = Arrivals(max_bytes=MB)
    for _ in range(5_000):
        all_.arrive(1_000)
        all_.now += 0.001
        assert all_.buffers.held <= MB


def test_a_request_that_is_served_is_not_refused():
    all_ = Arrivals()
    served = all_.arrive(8 * MB)
    all_.buffers.complete(served)
    all_.now += 60.0
    newer = all_.arrive(4 * MB)
    assert all_.refused == [newer]
    assert not all_.buffers.can_fit(4 * MB)
    assert all_.buffers.can_fit(2 * MB)
    all_.buffers.release(served)
    assert all_.buffers.can_fit(4 * MB)


def test_a_request_of_the_largest_size_fits_in_calm_whatever_else_is_held():
    all_ = Arrivals(max_bytes=MB, elsewhere=20 * MB)
    all_.buffers.largest_request = 4 * MB
    assert all_.receive(HeldRequest(), 4 * MB)
    assert not all_.refused


def test_what_is_held_elsewhere_leaves_less_for_requests():
    all_ = Arrivals(elsewhere=8 * MB)
    all_.arrive(MB)
    all_.now += 5.0
    all_.arrive(3 * MB // 2)
    assert len(all_.refused) == 1


def test_a_refused_request_is_reported_to_the_thread_that_uses_it_then():
    all_ = Arrivals()
    victim = all_.arrive(6 * MB)
    all_.now += 5.0
    all_.arrive(6 * MB)
    assert victim.is_refused
    assert all_.buffers.resize(victim, 100, all_.now) == [victim]
    assert not victim.is_refused


def test_a_reservation_waits_for_others_but_not_for_its_own_size():
    all_ = Arrivals()
    assert all_.buffers.reserve(50 * MB)
    assert not all_.buffers.reserve(1)
    all_.buffers.unreserve(50 * MB)
    assert all_.buffers.reserve(MB)


@pytest.mark.parametrize("seed", range(20))
def test_nothing_is_counted_once_all_requests_have_ended(seed):
    random = Random(seed)
    all_ = Arrivals(max_bytes=MB)
    requests = [HeldRequest() for _ in range(30)]
    for _ in range(2_000):
        request = random.choice(requests)
        step = random.random()
        if step < 0.7:
            all_.receive(request, random.randint(1, 200_000))
        elif step < 0.85:
            all_.buffers.complete(request)
        else:
            all_.buffers.release(request)
        all_.now += random.random()
        arriving = sum(one.size for one in all_.buffers.arriving)
        assert all_.buffers.held == sum(one.size for one in requests)
        assert all_.buffers.fixed == all_.buffers.held - arriving
        assert all_.buffers.held <= MB or not arriving
    for request in requests:
        all_.buffers.release(request)
    assert (all_.buffers.held, all_.buffers.fixed) == (0, 0)
    assert not all_.buffers.arriving


def test_the_smallest_box_has_room_for_a_body_of_the_largest_size():
    """150 MB, and 32 MiB by default."""
    assert max_request_bytes(150) > 33_554_432
    assert max_request_bytes(40) == 0
    assert max_lot_bytes(160) == 20 * MB


def test_strings_and_objects_of_a_lot_count_beside_its_bytes():
    assert decoded_bytes(b'{"requests":[{"id":"a"},{"id":"b"}]}') >= 3 * OBJECT_BYTES
    assert decoded_bytes(b"x" * 1_000) == 0
