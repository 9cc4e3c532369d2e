"""Counting the calls to the store by cause."""

from __future__ import annotations

from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import Put, StoreError, Transaction
from threadramp.report import store_call_counter
from threadramp.report.metrics import Metrics
from threadramp.report.store_call_counter import StoreCallCounter


def test_calls_are_counted_and_logged_once(monkeypatch):
    logged = []
    monkeypatch.setattr(
        store_call_counter, "log_state", lambda what, **fields: logged.append(fields)
    )
    metrics = Metrics("t")
    counter = StoreCallCounter(metrics, "gateway")
    for cause in ("write lot", "write lot", "watch op"):
        counter.record(cause)
    counter.log_counts()
    counter.log_counts()
    assert logged == [{"role": "gateway", "calls": {"write lot": 2, "watch op": 1}}]
    assert b'kind="store_call",label="write lot"} 2.0' in metrics.text()


def test_each_call_is_counted_by_cause_even_if_it_fails():
    causes = []
    client = StoreClient("127.0.0.1:1", count=causes.append)  # no process listens on this port
    calls = [
        lambda: client.get("lot/a"),
        lambda: client.list("servers/"),
        lambda: client.transact(Transaction(puts=(Put("lot-text/a/1", b""),))),
        lambda: client.transact(Transaction(removals=("lot-text/a/1",))),
        lambda: client.renew_lease(3),
        lambda: client.watch("op/", 1, 0.1, client.watch_line()),
    ]
    for call in calls:
        try:
            call()
        except StoreError:
            continue
    assert causes == [
        "read lot",
        "list servers",
        "write lot-text",
        "remove lot-text",
        "renew lease",
        "watch op",
    ]
