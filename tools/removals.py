"""The mechanisms that ``make prove`` takes out, each with the test that should notice."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Edit:
    """One replacement in one file."""

    path: str
    old: str
    new: str


@dataclass(frozen=True)
class Removal:
    """A mechanism that is taken out, and the scenario that should notice."""

    name: str
    test: str
    edits: tuple[Edit, ...]

    @classmethod
    def of_one(cls, name: str, test: str, path: str, old: str, new: str) -> Removal:
        """Return the removal of a mechanism that stands in one place."""
        return cls(name, test, (Edit(path, old, new),))


KEYS = "src/threadramp/core/keys.py"
CALLS = "src/threadramp/gateway/calls.py"
SAMPLES = "src/threadramp/core/samples.py"
STEPS = "src/threadramp/gateway/steps.py"
ENGINE = "src/threadramp/sidecar/engine.py"
ROLLOUTS = "src/threadramp/sidecar/rollouts.py"
SIDECAR = "src/threadramp/core/sidecar.py"
MEMBERSHIP = "src/threadramp/core/membership.py"
BEATS = "src/threadramp/gateway/beats.py"
CONFIGURATION = "src/threadramp/gateway/configuration.py"
HEADERS = "src/threadramp/platform/headers.py"
NAMES = "src/threadramp/lots/scoped_ids.py"
CALLER_SERVER = "src/threadramp/edge/caller_server.py"
REPORTS = "src/threadramp/duties/usage_reports.py"
RIGHTS = "src/threadramp/fleet/fenced_lock.py"
WEIGHTS = "src/threadramp/runner/weight_loader.py"
LATE_BYTES = "src/threadramp/wire/late_bytes.py"
RUNNER_ENGINE = "src/threadramp/runner/engine.py"
TRUE_TIME = "src/threadramp/policy/true_time.py"
CRASH_TRACKER = "src/threadramp/policy/crash_tracker.py"
CRASH_SHARING = "src/threadramp/fleet/crash_sharing.py"
PROXIED_CRASHES = "src/threadramp/policy/proxied_crashes.py"
EXCHANGE = "src/threadramp/edge/exchange.py"
ENDPOINT_PROBE = "src/threadramp/edge/endpoint_probe.py"
WATCHER = "src/threadramp/fleet/watcher.py"
NOT_REFUSED = (
    "if entry is not None and entry.state is not KeyState.REFUSED:\n            return self._r"
)

REMOVALS = (
    Removal(
        "memory of used keys",
        "resent_through_another_gateway",
        (
            Edit(
                KEYS,
                NOT_REFUSED,
                "if False and entry is not None and entry.state is not KeyState.REFUSED:\n"
                "            return self._r",
            ),
            Edit(SIDECAR, "or state not in (None, KeyState.REFUSED)", "or False"),
        ),
    ),
    Removal(
        "binding to one incarnation",
        "sidecar_is_killed_between",
        (
            Edit(KEYS, "if (binding.endpoint, binding.incarnation) !=", "if False and () !="),
            Edit(
                "src/threadramp/core/call.py", "report.incarnation != binding.incarnation", "False"
            ),
            Edit(SIDECAR, "binding.incarnation != self.incarnation or", "False or"),
        ),
    ),
    Removal.of_one(
        "number of a key's refusal",
        "old_gateway_that_wakes_up",
        KEYS,
        "refusal_seen != entry.refusal",
        "False",
    ),
    Removal.of_one(
        "a gateway's care before a sidecar was asked",
        "resend_of_an_own_key",
        CALLS,
        "return replace(refusal, outcome=Outcome.UNKNOWN)",
        "return refusal",
    ),
    Removal.of_one(
        "note of a planned stop",
        "planned_stop_leaves",
        "src/threadramp/sidecar/daemon.py",
        "        self._leave_note()\n",
        "",
    ),
    Removal.of_one(
        "a later call supersedes",
        "same_step_is_sent",
        SAMPLES,
        "if poll.call < step.call:",
        "if False:",
    ),
    Removal(
        "closed steps stay closed",
        "acknowledgement_is_lost",
        (
            Edit(SAMPLES, "if self.closed_steps.is_closed(poll.key):", "if False:"),
            Edit(STEPS, "        if closed:\n", "        if False:\n"),
        ),
    ),
    Removal(
        "closed steps are kept by the platform",
        "every_gateway_and_sidecar",
        (
            Edit(BEATS, "write_mark(self.state, mark)", "pass"),
            Edit(STEPS, "write_mark(self.state, mark)", "pass"),
        ),
    ),
    Removal.of_one(
        "samples of a lost sidecar run elsewhere",
        "sidecar_is_killed_while",
        "src/threadramp/core/step.py",
        "if endpoint_attempt.endpoint != name\n",
        "if True\n",
    ),
    Removal.of_one(
        "labels by piece",
        "weights_are_published_during",
        ROLLOUTS,
        "version = chunk.weight_version if named else before.version",
        "first = self.__dict__.setdefault(task.run_id, chunk.weight_version)\n"
        "            version = first if named else before.version",
    ),
    Removal.of_one(
        "read-back after a sample without named versions",
        "names_no_versions_is_restarted",
        ROLLOUTS,
        "        if not named and self._read_mark(task) != before:\n            self.state.metrics",
        "        if False:\n            self.state.metrics",
    ),
    Removal.of_one(
        "freshness by the newest published version",
        "published_twice",
        STEPS,
        "newest = max(request.version, published.version if published else 0)",
        "newest = request.version",
    ),
    Removal.of_one(
        "verification of swaps",
        "swaps_fail_partway",
        "src/threadramp/core/served_versions.py",
        "        return state.verified != version\n",
        "        return state.verified != version and state.backoff_s < 0.3\n",
    ),
    Removal.of_one(
        "own answers by request id",
        "services_cross",
        ENGINE,
        "        self._check_own(request_id, echoed)\n",
        "",
    ),
    Removal(
        "own streams by request id",
        "engines_cross_and_cut",
        (
            Edit(ENGINE, "            self._check_own(request_id, chunk.id)\n", ""),
            Edit(
                "src/threadramp/standins/engine.py",
                "tag = prompt_tag(prompt)",
                "tag = prompt_tag(prompt if not self.faults['cross'] else 'x')",
            ),
        ),
    ),
    Removal.of_one(
        "the revision at which a resource must stand",
        "two_operators_race",
        CONFIGURATION,
        "edit.expected is not None and",
        "False and",
    ),
    Removal.of_one(
        "changes spread through sidecars",
        "cut_from_the_service",
        BEATS,
        "        self.state.configuration.apply(reply.changes, reply.snapshot)\n"
        "        with self.state.lock:",
        "        with self.state.lock:",
    ),
    Removal.of_one(
        "a lower revision is never applied",
        "no_copy_of_the_chain",
        "src/threadramp/core/chain.py",
        "if snapshot.revision <= self.revision:",
        "if False:",
    ),
    Removal.of_one(
        "repair of a service that forgot",
        "restored_from_an_older",
        CONFIGURATION,
        "        self._repair(head, current.version)\n",
        "",
    ),
    Removal(
        "an operator's drain",
        "operator_drains",
        (
            Edit(SIDECAR, "or endpoint is None or endpoint.drain", "or endpoint is None"),
            Edit(MEMBERSHIP, "return self.spec.drain or", "return"),
        ),
    ),
    Removal.of_one(
        "the box list's word", "box_list_says_late", MEMBERSHIP, "or self.box_leaving or", "or"
    ),
    Removal.of_one(
        "a sidecar's planned stop waits",
        "sidecar_is_asked_to_stop_while",
        "src/threadramp/sidecar/daemon.py",
        "        self._drain()\n",
        "        __import__('os')._exit(0)\n",
    ),
    Removal.of_one(
        "a gateway's planned stop waits",
        "gateway_is_asked_to_stop_in",
        "src/threadramp/gateway/daemon.py",
        "        self._drain()\n",
        "        __import__('os')._exit(0)\n",
    ),
    Removal.of_one(
        "crashes held against the request",
        "crashes_endpoints_is_not_forwarded",
        CRASH_TRACKER,
        "    standing = known.standing\n",
        "    standing = known.standing[:2]\n",
    ),
    Removal.of_one(
        "a trial belongs to one box",
        "one_box_of_all_gets_a_trial",
        CRASH_SHARING,
        "Transaction(expected={key: ABSENT}, puts",
        "Transaction(puts",
    ),
    Removal.of_one(
        "crashes kept in the store",
        "gateway_that_started_later",
        CRASH_SHARING,
        "            self._persist(to_persist)",
        "            pass",
    ),
    Removal.of_one(
        "a good answer acquits",
        "popular_request_that_is_open_during_crashes",
        CRASH_TRACKER,
        "if known is None or not known.standing:",
        "if True:",
    ),
    Removal.of_one(
        "an end told from a cut connection",
        "cut_connection_is_attributed_to_no_request",
        ENDPOINT_PROBE,
        "if response.status >= SERVER_ERROR else EndpointState.LISTENS",
        "if response.status >= SERVER_ERROR else EndpointState.ENDED",
    ),
    Removal.of_one(
        "samples held back",
        "sample_that_crashes_each_engine",
        "src/threadramp/lots/crashing_samples.py",
        "if outcome is RunOutcome.CRASHED:",
        "if False:",
    ),
    Removal.of_one(
        "ends behind a port held against the request",
        "crashes_endpoints_behind_proxies_is_not_forwarded",
        PROXIED_CRASHES,
        "return seen.was_begun and not seen.others_active and not seen.reported_before",
        "return False",
    ),
    Removal.of_one(
        "ends behind a port proven by a birth",
        "crashes_stay_confirmed_after_responses_to_others",
        "src/threadramp/wire/crashes.py",
        "return self.next_born > 0",
        "return False",
    ),
    Removal.of_one(
        "ends behind a port taken back by the same birth",
        "links_that_flap_convict_nobody",
        PROXIED_CRASHES,
        "CrashResolution.CRASHED if 0 < known < reported else CrashResolution.ALIVE",
        "CrashResolution.CRASHED",
    ),
    Removal.of_one(
        "ends behind a port held against the sample",
        "sample_that_crashes_engines_behind_proxies",
        "src/threadramp/runner/crash_detection.py",
        "return may_have_crashed(ConnectionBreak(lived_s, found.took_s))",
        "return False",
    ),
    Removal.of_one(
        "keys stay here",
        "valid_key_is_accepted_and_its_organisation",
        HEADERS,
        "        pairs = _without_identity(pairs)\n",
        "        pass\n",
    ),
    Removal.of_one(
        "lots under their organisation's name",
        "lot_belongs_to_the_organisation",
        NAMES,
        "    if not organisation:\n",
        "    if True:\n",
    ),
    Removal.of_one(
        "all values of a repeated header of credentials",
        "two_different_keys_in_one_request",
        CALLER_SERVER,
        "if name in SINGLE_VALUE_HEADERS and name in self:",
        "if False:",
    ),
    Removal.of_one(
        "what is reported is fixed first",
        "late_write_changes_no_report",
        REPORTS,
        "key: ABSENT}",
        "}",
    ),
    Removal(
        "the proof of the right before each call",
        "suspended_holder_sends_nothing",
        (
            Edit(
                REPORTS,
                "        if not self.verification.verify(self.fencing_token):\n"
                "            return\n",
                "",
            ),
            Edit(LATE_BYTES, "    if not may_send():\n", "    if False:\n"),
        ),
    ),
    Removal.of_one(
        "the wait of the next holder",
        "another_holder_has_a_higher_token_and_waits",
        RIGHTS,
        "usable_from = self.clock.now() + self.takeover_delay_s",
        "usable_from = 0.0",
    ),
    Removal(
        "the store's word for each order",
        "sidecar_that_was_suspended_does_not_order",
        (
            Edit(WEIGHTS, "self.lock.verified_token()", "self.lock.cached_token()"),
            Edit(WEIGHTS, "report.orders, self.lock.is_verified)", "report.orders, lambda: True)"),
        ),
    ),
    Removal.of_one(
        "the look at the proof before an order's bytes",
        "order_is_not_sent_if_its_verification_expires",
        LATE_BYTES,
        "    if not may_send():\n",
        "    if False:\n",
    ),
    Removal.of_one(
        "the age of the store's word",
        "store_response_that_is_processed_late_verifies_nothing",
        RIGHTS,
        "and self.verified_ago_s() <= VERIFICATION_TTL_S",
        "",
    ),
    Removal.of_one(
        "the reset of an order's connection by the kernel",
        "order_delayed_by_a_partition",
        RUNNER_ENGINE,
        "            drop_what_is_late(exchange.connection.sock, ORDER_TIMEOUT_S)\n",
        "",
    ),
    Removal.of_one(
        "the wait from when a take-over is found",
        "late_takeover_write_is_waited_for",
        RIGHTS,
        "found.revision, held, asked_at",
        "found.revision, LockRecord(held.holder, False), asked_at",
    ),
    Removal.of_one(
        "the middle of several clocks",
        "wrong_own_clock_at_the_start",
        TRUE_TIME,
        "return self.own if abs(self.own - median) < MAX_DEVIATION_S else median",
        "return self.own",
    ),
    Removal.of_one(
        "the clock that counts suspensions",
        "deadline_passed_meanwhile",
        "src/threadramp/fleet/clock.py",
        "time.clock_gettime(time.CLOCK_BOOTTIME)",
        "time.monotonic()",
    ),
    Removal.of_one(
        "rejection of calls that overtook their configuration",
        "call_right_after_a_change_is_decided",
        SIDECAR,
        "if request.revision > self.chain.revision:",
        "if False:",
    ),
    Removal.of_one(
        "no samples at a sidecar that lags",
        "sidecar_that_lags_starts_no_samples",
        SIDECAR,
        "not self.leaving and not lags and not",
        "not self.leaving and not",
    ),
    Removal.of_one(
        "skipping of duplicate responses",
        "may_run_once_gets_the_response_behind_a_duplicate",
        EXCHANGE,
        "if not is_duplicate or sock is None or",
        "if True or",
    ),
    Removal.of_one(
        "asking a listening port for a report",
        "whatever_a_proxy_does",
        ENDPOINT_PROBE,
        "return EndpointState.BREAKS if response.status >= SERVER_ERROR else",
        "return",
    ),
    Removal.of_one(
        "dating of a watch by the store's answer",
        "answer_that_is_read_late_does_not_make_the_mirror_newer",
        WATCHER,
        "self._current_as_of(changes, now)",
        "now",
    ),
    Removal.of_one(
        "second question to an engine that was silent once",
        "one_pause_does_not_make_an_engine_lost",
        "src/threadramp/runner/engine.py",
        "and not self._may_have_paused(errors)",
        "",
    ),
    Removal.of_one(
        "limit of the samples that a cold engine receives",
        "cold_engine_receives_no_more",
        "src/threadramp/runner/send_limit.py",
        "        if self.rate is None:\n            return UNLIMITED\n",
        "        return UNLIMITED\n",
    ),
    Removal.of_one(
        "refusal of calls that waited too long",
        "waited_for_its_part_of_the_target",
        "src/threadramp/policy/call_admission.py",
        "if call.latest_start <= now]",
        "if False]",
    ),
    Removal.of_one(
        "limit of the calls sent under load",
        "short_burst_leaves_the_capacity",
        "src/threadramp/policy/concurrency_limit.py",
        "if pool.pressure > self._bound(pool) and not is_uninformed:",
        "if False:",
    ),
)


__all__ = ["REMOVALS", "Edit", "Removal"]
