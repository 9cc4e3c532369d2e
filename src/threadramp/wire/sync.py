"""Message exchange between processes over pynng request and reply sockets."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, Any

import msgspec
from pynng import Context, Rep0, Req0
from pynng.exceptions import Closed, NNGException

from threadramp.fleet.clock import steady_s
from threadramp.report.log import log_state
from threadramp.wire.messages import Reply, Request

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from threadramp.wire.packing import Packing
    from threadramp.wire.seal import Seal

NO_RESEND_MS = 3_600_000  # the sender itself repeats a request that is still needed
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
OLD_S = 0.5  # beyond the timeout, for scheduling delays on a busy processor
CLOSE_POLL_S = 0.01
CLOSE_TIMEOUT_S = 0.5  # for the replies to requests that are handled when a server is closed
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

_requests = msgspec.msgpack.Decoder(Request)
_replies = msgspec.msgpack.Decoder(Reply)
_encoder = msgspec.msgpack.Encoder()


class SyncClient:
    """Exchanges messages with many peers at once from one thread.

    :param decode: turns the bytes of a reply into the reply
    :param redial: whether a connection without a reply in time is closed; after a network partition
        it would otherwise stay unresponsive long after the partition has healed
    """

    def __init__(
        self,
        seal: Seal | Packing,
        decode: Callable[[bytes], Any] = _replies.decode,
        redial: bool = False,
    ) -> None:
        self.seal = seal
        self.decode = decode
        self.redial = redial
        self.loop = asyncio.new_event_loop()
        self.sockets: dict[str, Req0] = {}
        self.contexts: dict[str, list[Context]] = {}
        self.is_closing = False
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self.loop.run_forever, name="sync", daemon=True)
        self.thread.start()

    def ask(self, address: str, request: Any, timeout_s: float) -> Any | None:
        """Send a request to one address; none if no reply arrives in time."""
        return self._run(self._exchange_one, address, request, timeout_s)

    def exchange(self, requests: dict[str, Request], timeout_s: float) -> dict[str, Reply]:
        """Send each address its request and collect the replies that arrive in time.

        :param requests: by ``ip:port``
        :returns: replies by address; addresses without a reply in time are left out
        """
        answers = self.exchange_each(list(requests.items()), timeout_s)
        pairs = zip(requests, answers, strict=True)
        return {address: reply for address, reply in pairs if reply is not None}

    def exchange_each(
        self, requests: list[tuple[str, Request]], timeout_s: float
    ) -> list[Reply | None]:
        """Send requests, also several to one address; none where no reply arrives in time.

        :param requests: with the address, ``ip:port``, of each
        """
        replies = self._run(self._exchange_each, requests, timeout_s)
        return [None] * len(requests) if replies is None else replies

    def forget(self, address: str) -> None:
        """Close the socket to an address that is no longer wanted."""
        self.loop.call_soon_threadsafe(self._close, address)

    def close(self) -> None:
        """Close all sockets and end the thread; open requests end without a reply."""
        with self.lock:
            if self.is_closing:
                return
            self.is_closing = True
        asyncio.run_coroutine_threadsafe(self._end_requests(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _end_requests(self) -> None:
        """Close all sockets until no request is open; one may have just begun to connect."""
        while True:
            for address in list(self.sockets):
                self._close(address)
            open_requests = asyncio.all_tasks() - {asyncio.current_task()}
            if not open_requests:
                return
            await asyncio.wait(open_requests, timeout=CLOSE_POLL_S)

    def _run(self, exchange: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any) -> Any:
        """Run an exchange in the loop and return its result; none if this client is closed."""
        with self.lock:
            if self.is_closing:
                return None
            result = asyncio.run_coroutine_threadsafe(exchange(*arguments), self.loop)
        return result.result()

    def _close(self, address: str) -> None:
        socket = self.sockets.pop(address, None)
        for context in self.contexts.pop(address, []):
            _close_quietly(context)
        if socket is not None:
            socket.close()

    def _dial(self, address: str) -> Req0:
        """Open a socket to an address; it connects and reconnects in the background."""
        socket = Req0(resend_time=NO_RESEND_MS)
        socket.reconnect_time_min = RECONNECT_MIN_MS
        socket.reconnect_time_max = RECONNECT_MAX_MS
        socket.recv_max_size = MAX_MESSAGE_BYTES
        socket.dial(f"tcp://{address}", block=False)
        self.sockets[address] = socket
        self.contexts[address] = []
        return socket

    async def _exchange_each(
        self, requests: list[tuple[str, Request]], timeout_s: float
    ) -> list[Reply | None]:
        tasks = [self._exchange_one(address, body, timeout_s) for address, body in requests]
        return await asyncio.gather(*tasks)

    async def _exchange_one(self, address: str, request: Request, timeout_s: float) -> Reply | None:
        socket = self.sockets.get(address) or self._dial(address)
        free = self.contexts[address]
        # A context whose request timed out can be reused: the next request cancels that one.
        context = free.pop() if free else socket.new_context()
        begun = steady_s()
        try:
            sealed = self.seal.wrap(_encoder.encode(request))
            async with asyncio.timeout(timeout_s):
                await context.asend(sealed)
                answer = await context.arecv()
            if _is_old(address, begun, timeout_s):
                return None
            body = self.seal.unwrap(answer)
            return None if body is None else self.decode(body)
        except TimeoutError:
            if self.redial and self.sockets.get(address) is socket:
                self._close(address)
            return None
        except (NNGException, msgspec.DecodeError):
            return None
        finally:
            if self.sockets.get(address) is socket:
                free.append(context)
            else:
                _close_quietly(context)


def _is_old(address: str, begun: float, timeout_s: float) -> bool:
    """Return whether a reply was queued here while this process was paused or its box suspended.

    Its content is outdated by that time, and the clock of the loop may have stopped as well.
    """
    took_s = steady_s() - begun
    if took_s <= timeout_s + OLD_S:
        return False
    log_state("reply_old", peer=address, took_s=round(took_s, 1))
    return True


def _close_quietly(context: Context) -> None:
    """Close a context whose socket may have been closed meanwhile."""
    try:
        context.close()
    except Closed:
        return


class SyncServer:
    """Replies to messages at one address from a few threads.

    :param handle: turns a request into its reply
    :param decode: turns the bytes of a request into the request
    """

    def __init__(
        self,
        address: str,
        seal: Seal | Packing,
        handle: Callable[[Any], Any],
        threads: int,
        decode: Callable[[bytes], Any] = _requests.decode,
    ) -> None:
        self.seal = seal
        self.decode = decode
        self.handle = handle
        self.socket = Rep0(listen=f"tcp://{address}")
        self.socket.recv_max_size = MAX_MESSAGE_BYTES
        self.rejected = 0
        self.is_closing = False
        self.handling: set[Context] = set()
        self.lock = threading.Lock()
        self.contexts = [self.socket.new_context() for _ in range(threads)]
        self.threads = [
            threading.Thread(target=self._serve, args=(context,), name="sync", daemon=True)
            for context in self.contexts
        ]
        for thread in self.threads:
            thread.start()

    def close(self) -> None:
        """Stop listening; requests that are being handled get their replies if these are soon."""
        with self.lock:
            self.is_closing = True
            idle = [context for context in self.contexts if context not in self.handling]
        for context in idle:
            context.close()
        deadline = steady_s() + CLOSE_TIMEOUT_S
        for thread in self.threads:
            thread.join(max(0.0, deadline - steady_s()))
        for context in self.contexts:
            context.close()
        self.socket.close()

    def _serve(self, context: Context) -> None:
        while not self.is_closing:
            try:
                self._serve_one(context)
            except Closed:
                return
            except (NNGException, msgspec.DecodeError):
                self.rejected += 1
            except Exception as error:  # the sender times out and retries; this thread continues
                if self.is_closing:  # pynng raises a TypeError for a context that is closed
                    return
                self.rejected += 1
                log_state("sync_failed", error=repr(error))

    def _serve_one(self, context: Context) -> None:
        body = self.seal.unwrap(context.recv())
        if body is None:
            self.rejected += 1  # not from this fleet: no reply, so the sender times out
            return
        if not self._start_handling(context):
            return
        try:
            reply = self.handle(self.decode(body))
            context.send(self.seal.wrap(_encoder.encode(reply)))
        finally:
            with self.lock:
                self.handling.discard(context)

    def _start_handling(self, context: Context) -> bool:
        """Return whether a request may still be handled; its context is kept open meanwhile."""
        with self.lock:
            if not self.is_closing:
                self.handling.add(context)
            return not self.is_closing


__all__ = ["SyncClient", "SyncServer"]
