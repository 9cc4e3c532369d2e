"""Headers between callers, us and endpoints, read and written in one place."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

REQUEST_ID = "X-Attempt-Id"  # misleading: one try of a caller, not one of ours
TIME_LEFT = "X-Deadline-Ms"  # misleading: milliseconds left, not a time of day
SIGNATURE = "X-Server-Stamp"  # misleading: signs the body; no time in it
EXPECT_INSTANCE = "X-Expect-Instance"
INSTANCE = "X-Instance-Id"
LOAD = "X-Instance-Load"
NOT_RUN = "X-Not-Executed"
RETRY_AFTER = "Retry-After"
WAIT = "X-Wait-Ms"
VERSIONS = "X-Weight-Versions"  # misleading: a single number
RESUME_AFTER = "Last-Event-Id"
LENGTH_GUESS = "X-Length-Hint"
PIN = "X-Pin-Ms"
PRIORITY = "X-Request-Priority"
ORGANISATION = "X-Tenant"
CREDENTIALS = "Authorization"
KEY_SCHEME = "bearer"
KEY_IN_TEXT_LEAST = 8  # characters of a key that is looked for within other headers
MS_PER_S = 1000.0
LOAD_FIGURES_LEAST = 3  # requests running, requests waiting, slots
LOAD_FIGURES_MOST = 4  # and how long work takes right now, in percent
LOAD_DIGITS_MOST = 9
EVENT_STREAM_TYPE = "text/event-stream"
LAST_RANK = 9  # the least urgent that endpoints know
OTHER_INSTANCE_STATUS = 421
REJECTED_STATUSES = (421, 429, 503)
NOT_RUN_STATUSES = (408, 421, 429, 503)  # with these, callers are promised that nothing has run

_ONE_CONNECTION = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# What tells whose request it is; two callers' requests are never taken for the same one.
_NAMES_CALLER = frozenset(("authorization", "cookie", "x-api-key", "x-tenant"))
_ID_LINE = re.compile(rb"(?i)\r\n" + REQUEST_ID.encode() + rb":[ \t]*([^\r\n]*?)[ \t]*\r\n")
_STATUS_LINE = rb"HTTP/1\.[01] \d{3}[^\r\n]*\r\n"
_SET_BY_ENDPOINTS = f"(?i:{REQUEST_ID}|{SIGNATURE}):".encode()
_HEAD = re.compile(_STATUS_LINE + rb"(?:[^\r\n]+\r\n)*?" + _SET_BY_ENDPOINTS)
_HEAD_BEGUN = re.compile(
    rb"HTTP/1\.[01] \d(?:\d{0,2}|\d{2}[^\r\n]*\r?|\d{2}[^\r\n]*(?:\r\n[^\r\n]+)*(?:\r\n?)?)\Z"
)
_IDENTITY = frozenset((CREDENTIALS.lower(), ORGANISATION.lower()))
_SET_BY_US = frozenset(name.lower() for name in (TIME_LEFT, EXPECT_INSTANCE, PRIORITY))
# Of one attempt, or about memory and order at an engine; they don't change what it generates.
_NOT_OF_PROMPT = frozenset(
    name.lower() for name in (REQUEST_ID, RESUME_AFTER, LENGTH_GUESS, PIN, "Host")
)


@dataclass(frozen=True)
class EndpointLoad:
    """What an endpoint reports about its load in an answer.

    :param work_percent: how long work takes right now, 100 as usual
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = 100


@dataclass(frozen=True)
class AnswerHead:
    """What the head of an endpoint's answer says.

    :param request_id: of the request that it answers, empty if it names none
    :param signature: of the body, empty if there is none
    :param not_run: whether the endpoint promises that it did not run the request
    :param version: of the weights, 0 if it names none
    """

    status: int
    request_id: str
    signature: str
    not_run: bool
    load: EndpointLoad | None
    version: int
    leaving: bool

    @property
    def promises_too_much(self) -> bool:
        """Return whether callers would take its status for a promise that it does not give."""
        return self.status in NOT_RUN_STATUSES and not self.not_run


def request_id(headers: Mapping[str, str]) -> str:
    """Return the id of a caller's request, empty if it has none."""
    return headers.get(REQUEST_ID, "")


def sent_id(headers: Mapping[str, str]) -> str:
    """Return the id of a request that goes to an endpoint, empty if it has none.

    The header keeps the spelling of its caller.
    """
    name = REQUEST_ID.lower()
    return next((value for key, value in headers.items() if key.lower() == name), "")


def named_id(answer: bytes) -> str:
    """Return the id that the head of an answer names, as far as its bytes are there."""
    found = _ID_LINE.search(answer)
    return found[1].decode("latin-1") if found else ""


def holds_head(body: bytes) -> bool:
    """Return whether the head of an endpoint's answer stands in a body, by a header that it sets.

    What other text tells of answers, or repeats of a request, lacks one of the two.
    """
    return _HEAD.search(body) is not None


def ends_in_head(body: bytes) -> bool:
    """Return whether a body ends within the head of an answer."""
    return _HEAD_BEGUN.search(body) is not None


def time_left_s(headers: Mapping[str, str]) -> float | None:
    """Return the seconds that the caller waits, none if it does not say."""
    return _seconds(headers.get(TIME_LEFT, ""))


def wait_s(headers: Mapping[str, str]) -> float:
    """Return the seconds for which a reader of results lets us wait."""
    return _seconds(headers.get(WAIT, "")) or 0.0


def length_guess(headers: Mapping[str, str]) -> int:
    """Return the trainer's guess at the tokens of an answer, 0 if there is none."""
    return whole_number(headers.get(LENGTH_GUESS, ""))


def caller_of(incoming: Iterable[tuple[str, str]]) -> str:
    """Return what the headers of a request say of its caller, empty if they say nothing."""
    pairs = [(name.lower(), value) for name, value in incoming]
    return "\n".join(f"{name}: {value}" for name, value in sorted(pairs) if name in _NAMES_CALLER)


def caller_key(headers: Mapping[str, str]) -> bytes | None:
    """Return the key that a caller sent; empty if what it sent is none, none if it sent nothing.

    Several of them are none: nobody can tell which one was meant.
    """
    sent = headers.get(CREDENTIALS)
    return None if sent is None else _key_in(sent)


def _key_in(sent: str) -> bytes:
    """Return the key in a value of the header for credentials, empty if there is none."""
    scheme, _, key = sent.strip(" ").partition(" ")
    key = key.strip(" ")
    if scheme.lower() != KEY_SCHEME or not key or not key.isascii() or not key.isprintable():
        return b""
    return b"" if " " in key or "," in key else key.encode()


def to_endpoint(
    incoming: Iterable[tuple[str, str]],
    time_left: float,
    instance: str,
    organisation: str | None = None,
) -> dict[str, str]:
    """Return the headers with which a caller's request goes on to an endpoint.

    :param time_left: seconds, never more than what the caller has left
    :param instance: any other start of an endpoint refuses the request
    :param organisation: whose request it is, empty if nobody's in particular; its key and what the
        caller says of it stay here then. None where the configuration names no organisations.
    """
    pairs = [(name, value) for name, value in incoming]
    # The id names the request at its endpoint, so a caller cannot restrict it to one connection.
    by_caller = _named_by_connection(pairs) - {REQUEST_ID.lower()}
    dropped = by_caller | _ONE_CONNECTION | _SET_BY_US
    if organisation is not None:
        pairs = _without_identity(pairs)
    headers = {name: value for name, value in pairs if name.lower() not in dropped}
    if organisation:
        headers[ORGANISATION] = organisation
    headers[TIME_LEFT] = str(max(1, int(time_left * MS_PER_S)))
    headers[EXPECT_INSTANCE] = instance
    return headers


def stream_headers(
    incoming: Iterable[tuple[str, str]],
    time_left: float,
    instance: str,
    after: int,
    rank: int,
    organisation: str | None = None,
) -> dict[str, str]:
    """Return the headers with which a caller's stream begins or goes on at an endpoint.

    :param after: events that the caller has; the endpoint goes on behind them
    :param rank: of the route, 0 is the most urgent
    :param organisation: as in ``to_endpoint``
    """
    headers = to_endpoint(incoming, time_left, instance, organisation)
    headers[PRIORITY] = str(min(LAST_RANK, max(0, rank)))
    if after:
        headers[RESUME_AFTER] = str(after)
    return headers


def resume_after(headers: Mapping[str, str]) -> int:
    """Return the number of the last event that a caller has, 0 if it has none."""
    return whole_number(headers.get(RESUME_AFTER, ""))


def sample_headers(
    given: Iterable[tuple[str, str]],
    sample: str,
    time_left: float,
    instance: str,
    after: int,
    rank: int,
    organisation: str | None = None,
) -> dict[str, str]:
    """Return the headers with which a sample goes to an engine.

    :param after: events that are already here; the engine goes on behind them
    :param rank: of its lot's route, 0 is the most urgent
    :param organisation: whose lot it is, as in ``to_endpoint``
    """
    own = [(name, value) for name, value in given if name.lower() != REQUEST_ID.lower()]
    headers = stream_headers(own, time_left, instance, after, rank, organisation)
    headers[REQUEST_ID] = sample
    return headers


def prompt_headers(
    given: Iterable[tuple[str, str]], organisation: str | None
) -> tuple[tuple[str, str], ...]:
    """Return the headers of a sample on which its text depends, in an order of their own.

    An unknown header counts as one of them.

    :param organisation: whose lot it is, as in ``to_endpoint``
    """
    own = list(given)
    lowered = [
        (name.lower(), value)
        for name, value in (own if organisation is None else _without_identity(own))
    ]
    dropped = _ONE_CONNECTION | _SET_BY_US | _NOT_OF_PROMPT
    return tuple(sorted(pair for pair in lowered if pair[0] not in dropped))


def reward_headers(call_id: str, host: str) -> tuple[tuple[str, str], ...]:
    """Return the headers of a call that scores a sample."""
    return (("Host", host), (REQUEST_ID, call_id))


def order_headers(host: str, instance: str, length: int) -> dict[str, str]:
    """Return the headers of an order to an engine.

    :param length: of its body, in bytes
    """
    return {
        "Host": host,
        "Content-Type": "application/json",
        "Content-Length": str(length),
        EXPECT_INSTANCE: instance,
    }


def to_caller(answer: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's answer that go back to the caller."""
    pairs = [(name, value) for name, value in answer]
    dropped = _named_by_connection(pairs) | _ONE_CONNECTION | {"date", "server"}
    return [(name, value) for name, value in pairs if name.lower() not in dropped]


def read_answer(status: int, headers: Mapping[str, str]) -> AnswerHead:
    """Decode the head of an endpoint's answer."""
    marked = NOT_RUN in headers
    return AnswerHead(
        status=status,
        request_id=headers.get(REQUEST_ID, ""),
        signature=headers.get(SIGNATURE, ""),
        not_run=marked or status == OTHER_INSTANCE_STATUS,
        load=_load(headers.get(LOAD, "")),
        version=whole_number(headers.get(VERSIONS, "")),
        leaving=headers.get("Connection", "").lower() == "close",
    )


def is_event_stream(headers: Mapping[str, str]) -> bool:
    """Return whether the head of an answer announces a stream of events."""
    return headers.get("Content-Type", "").startswith(EVENT_STREAM_TYPE)


def version_line(line: str) -> int:
    """Return the version that a line of an event names, 0 if it is no such line."""
    name, colon, value = line.partition(":")
    return whole_number(value) if colon and name == VERSIONS.lower() else 0


def whole_number(text: str) -> int:
    """Return a whole number, 0 if the text is none."""
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() else 0


def _named_by_connection(pairs: list[tuple[str, str]]) -> set[str]:
    values = [value for name, value in pairs if name.lower() == "connection"]
    return {part.strip().lower() for value in values for part in value.split(",")}


def _without_identity(pairs: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return headers without what tells who calls, or repeats the key that tells it.

    Some endpoints read an underscore in a header's name as a hyphen, so both spellings go.
    """
    sent = [value for name, value in pairs if _spelled(name) == CREDENTIALS.lower()]
    keys = [key.decode() for key in map(_key_in, sent) if key]
    return [
        (name, value)
        for name, value in pairs
        if _spelled(name) not in _IDENTITY
        and (name.lower() == "host" or not any(_repeats(key, value) for key in keys))
    ]


def _repeats(key: str, value: str) -> bool:
    """Return whether a header carries a key as well; a short one may be part of a word."""
    return key in value if len(key) >= KEY_IN_TEXT_LEAST else key == value.strip()


def _spelled(name: str) -> str:
    return name.strip().lower().replace("_", "-")


def _load(text: str) -> EndpointLoad | None:
    parts = [part.strip() for part in text.split(",")]
    figures = parts[:LOAD_FIGURES_MOST]  # a later version may add more
    if len(figures) < LOAD_FIGURES_LEAST or not all(
        part.isascii() and part.isdigit() for part in figures
    ):
        return None
    return EndpointLoad(*(int(part[:LOAD_DIGITS_MOST]) for part in figures))


def _seconds(text: str) -> float | None:
    try:
        return max(0.0, float(text) / MS_PER_S)
    except ValueError:
        return None


__all__ = [
    "EXPECT_INSTANCE",
    "INSTANCE",
    "OTHER_INSTANCE_STATUS",
    "REJECTED_STATUSES",
    "RETRY_AFTER",
    "AnswerHead",
    "EndpointLoad",
    "caller_key",
    "caller_of",
    "ends_in_head",
    "holds_head",
    "is_event_stream",
    "length_guess",
    "named_id",
    "order_headers",
    "prompt_headers",
    "read_answer",
    "request_id",
    "resume_after",
    "reward_headers",
    "sample_headers",
    "sent_id",
    "stream_headers",
    "time_left_s",
    "to_caller",
    "to_endpoint",
    "version_line",
    "wait_s",
    "whole_number",
]
