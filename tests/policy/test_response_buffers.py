"""How many bytes a process holds of responses that it is reading."""

from __future__ import annotations

from threadramp.policy.response_buffers import (
    ALWAYS_HELD_BYTES,
    ResponseBuffers,
    max_read_bytes,
)

STEP = 10_000


def grown(buffers: ResponseBuffers, limit: int = 10**9) -> int:
    """Return the size at which a response may not grow any more."""
    size = 0
    while size < limit and buffers.grow(size, size + STEP):
        size += STEP
    return size


def test_one_response_may_hold_half():
    buffers = ResponseBuffers(2_000_000)
    size = grown(buffers)
    assert size == 1_000_000 + ALWAYS_HELD_BYTES - ALWAYS_HELD_BYTES % STEP
    assert size <= buffers.max_response_bytes


def test_a_response_fits_beside_several_that_grow_without_end():
    """Else those would take all memory, or all room of the others."""
    buffers = ResponseBuffers(2_000_000)
    for _ in range(9):
        grown(buffers)
    assert buffers.held < 2_000_000
    assert grown(buffers) >= ALWAYS_HELD_BYTES + STEP - ALWAYS_HELD_BYTES % STEP


def test_small_responses_always_fit():
    buffers = ResponseBuffers(0)
    assert buffers.grow(0, ALWAYS_HELD_BYTES)
    assert not buffers.grow(ALWAYS_HELD_BYTES, ALWAYS_HELD_BYTES + 1)


def test_what_was_read_is_released():
    buffers = ResponseBuffers(2_000_000)
    buffers.release(grown(buffers))
    assert buffers.held == 0


def test_the_room_follows_from_the_memory_of_the_process():
    assert max_read_bytes(160) == 20_000_000
