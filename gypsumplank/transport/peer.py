"""Exchange authenticated messages with the other daemons over pynng sockets."""

import logging
import queue
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import pynng

from gypsumplank.errors import ListenError, PeerError, PeerTooLargeError
from gypsumplank.log import Event, event
from gypsumplank.protocol.envelope import (
    BROADCAST,
    MAX_MESSAGE_BYTES,
    MessageSigner,
    MessageVerifier,
)
from gypsumplank.protocol.peer import Hello, PeerMessage
from gypsumplank.settings import check_address

# Maximum number of messages, to all daemons together, that wait for the sender thread.
SEND_QUEUE_MESSAGES = 256
# Maximum number of messages to one daemon that wait in its socket.
SOCKET_QUEUE_MESSAGES = 64
RECEIVE_QUEUE_MESSAGES = 256
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1_000
JOIN_TIMEOUT_S = 5.0
# Time after its last Hello for which a daemon without a session still receives messages.
DISCOVERED_PEER_TTL_S = 15.0
DROP_QUEUE_FULL = "peer-queue-full"
DROP_NO_ROUTE = "peer-no-route"

Subscriber = Callable[[PeerMessage], None]
CountDrop = Callable[[str], None]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class OutgoingMessage:
    """Store a queued message and the name of its recipient."""

    message: PeerMessage
    to: str = BROADCAST


@dataclass(frozen=True)
class DiscoveredPeer:
    """Store the address from a daemon's last Hello, received at `seen_at_s` (monotonic)."""

    address: str
    seen_at_s: float


class PynngPeers:
    """Push to each daemon over its own socket; pull from all daemons over one socket."""

    def __init__(
        self,
        own_name: str,
        listen: str,
        signer: MessageSigner,
        verifier: MessageVerifier,
        count_drop: CountDrop,
        monotonic: Callable[[], float],
    ) -> None:
        self._own_name = own_name
        self._listen = listen
        self._signer = signer
        self._verifier = verifier
        self._count_drop = count_drop
        self._monotonic = monotonic
        self._subscribers: list[tuple[type[PeerMessage], Subscriber]] = []
        self._discovered: dict[str, DiscoveredPeer] = {}
        self._lock = threading.Lock()
        self._routes: dict[str, str] = {}
        self._sockets: dict[str, pynng.Push0] = {}
        self._outgoing: queue.Queue[OutgoingMessage | None] = queue.Queue(SEND_QUEUE_MESSAGES)
        self._pull = pynng.Pull0(
            recv_max_size=MAX_MESSAGE_BYTES, recv_buffer_size=RECEIVE_QUEUE_MESSAGES
        )
        self._threads = (
            threading.Thread(target=self._run_sender, name="peer-sender", daemon=True),
            threading.Thread(target=self._run_receiver, name="peer-receiver", daemon=True),
        )
        self.subscribe(Hello, self._record_hello)

    def start(self) -> None:
        """Start listening, sending and receiving; raise ListenError if the address is taken."""
        try:
            self._pull.listen(f"tcp://{self._listen}")
        except pynng.NNGException as exc:
            raise ListenError(f"peers at {self._listen}: {exc}") from exc
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Send all queued messages, then close the sockets."""
        self._outgoing.put(None)
        sender, receiver = self._threads
        sender.join(JOIN_TIMEOUT_S)
        self._pull.close()
        receiver.join(JOIN_TIMEOUT_S)
        with self._lock:
            for socket in self._sockets.values():
                socket.close()
            self._sockets.clear()

    def set_peers(self, sessions: Mapping[str, str], seeds: tuple[str, ...] = ()) -> None:
        """Set the recipients: `sessions` by name, recently discovered daemons and `seeds`."""
        oldest = self._monotonic() - DISCOVERED_PEER_TTL_S
        known = tuple(self._discovered.items())
        discovered = {name: peer.address for name, peer in known if peer.seen_at_s > oldest}
        self._discovered = {name: peer for name, peer in known if peer.seen_at_s > oldest}
        routes = {**discovered, **sessions}
        routes.pop(self._own_name, None)
        named = {*routes.values(), *seeds} - {self._listen}
        addresses = {address for address in named if check_address(address) is None}
        with self._lock:
            self._routes = routes
            for address in addresses - set(self._sockets):
                self._sockets[address] = _dial(address)
            for address in set(self._sockets) - addresses:
                self._sockets.pop(address).close()

    @property
    def peer_names(self) -> tuple[str, ...]:
        """Return the names of the daemons that messages are sent to, without seeds."""
        return tuple(sorted(self._routes))

    def broadcast(self, message: PeerMessage) -> None:
        """Queue a message for all daemons; never block or raise."""
        self._enqueue(OutgoingMessage(message))

    def send(self, to: str, message: PeerMessage) -> None:
        """Queue a message for the named daemon; never block or raise."""
        self._enqueue(OutgoingMessage(message, to))

    def subscribe(self, kind: type[PeerMessage], receive: Subscriber) -> None:
        """Call `receive`, which must be fast, with each message of this type."""
        self._subscribers.append((kind, receive))

    def _enqueue(self, outgoing: OutgoingMessage) -> None:
        try:
            self._outgoing.put_nowait(outgoing)
        except queue.Full:
            self._count_drop(DROP_QUEUE_FULL)

    def _record_hello(self, message: PeerMessage) -> None:
        if isinstance(message, Hello):
            self._discovered[message.sender] = DiscoveredPeer(message.address, self._monotonic())

    def _run_sender(self) -> None:
        while (outgoing := self._outgoing.get()) is not None:
            try:
                raw = self._signer.sign(outgoing.message, outgoing.to)
            except PeerTooLargeError as exc:
                self._count_drop(exc.code)
                continue
            with self._lock:
                self._push(raw, outgoing.to)

    def _push(self, raw: bytes, to: str) -> None:
        addresses = tuple(self._sockets) if to == BROADCAST else (self._routes.get(to, ""),)
        for address in addresses:
            socket = self._sockets.get(address)
            if socket is None:
                self._count_drop(DROP_NO_ROUTE)
                continue
            try:
                socket.send(raw, block=False)
            except pynng.NNGException:
                self._count_drop(DROP_QUEUE_FULL)

    def _run_receiver(self) -> None:
        while True:
            try:
                raw = self._pull.recv()
            except pynng.Closed:
                return
            self.receive(raw)

    def receive(self, raw: bytes) -> None:
        """Deliver an authentic message to its subscribers; count and drop any other."""
        try:
            message = self._verifier.verify(raw)
        except PeerError as exc:
            self._count_drop(exc.code)
            event(logger, Event.PEER_DROPPED, logging.DEBUG, code=exc.code, detail=exc.detail)
            return
        for kind, receive in self._subscribers:
            if isinstance(message, kind):
                self._deliver(message, receive)

    def _deliver(self, message: PeerMessage, receive: Subscriber) -> None:
        try:
            receive(message)
        except Exception as exc:  # noqa: BLE001
            kind, error = type(message).__name__, type(exc).__name__
            event(
                logger,
                Event.PEER_FAILED,
                logging.ERROR,
                kind=kind,
                sender=message.sender,
                error=error,
                detail=str(exc),
            )


def _dial(address: str) -> pynng.Push0:
    socket = pynng.Push0(
        send_buffer_size=SOCKET_QUEUE_MESSAGES,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    socket.dial(f"tcp://{address}", block=False)
    return socket
