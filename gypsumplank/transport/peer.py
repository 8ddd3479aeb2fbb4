"""Exchange authenticated messages with the other daemons over pynng."""

import logging
import queue
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import pynng

from gypsumplank.errors import PeerError, PeerTooLargeError
from gypsumplank.log import Event, event
from gypsumplank.protocol.envelope import EVERYONE, MAX_MESSAGE_BYTES, Opener, Sealer
from gypsumplank.protocol.peer import Hello, PeerMessage

SEND_QUEUE = 256
PIPE_QUEUE = 64
RECEIVE_QUEUE = 256
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1_000
JOIN_S = 5.0
CONTACT_S = 15.0
DROP_QUEUE_FULL = "peer-queue-full"
DROP_NO_ROUTE = "peer-no-route"

Receive = Callable[[PeerMessage], None]
Count = Callable[[str], None]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Outgoing:
    """Hold a message and the daemon it is for."""

    message: PeerMessage
    to: str = EVERYONE


@dataclass(frozen=True)
class Contact:
    """Hold where a daemon listens that made itself known; `at` in monotonic seconds."""

    address: str
    at: float


class PynngPeers:
    """Push to each daemon over a socket of its own and pull from all over one."""

    def __init__(
        self,
        own: str,
        listen: str,
        sealer: Sealer,
        opener: Opener,
        count_drop: Count,
        monotonic: Callable[[], float],
    ) -> None:
        self._own = own
        self._listen = listen
        self._sealer = sealer
        self._opener = opener
        self._count_drop = count_drop
        self._monotonic = monotonic
        self._receivers: list[tuple[type[PeerMessage], Receive]] = []
        self._contacts: dict[str, Contact] = {}
        self._lock = threading.Lock()
        self._routes: dict[str, str] = {}
        self._sockets: dict[str, pynng.Push0] = {}
        self._outgoing: queue.Queue[Outgoing | None] = queue.Queue(SEND_QUEUE)
        self._pull = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES, recv_buffer_size=RECEIVE_QUEUE)
        self._threads = (
            threading.Thread(target=self._run_sender, name="peer-sender", daemon=True),
            threading.Thread(target=self._run_receiver, name="peer-receiver", daemon=True),
        )
        self.subscribe(Hello, self._meet)

    def start(self) -> None:
        """Begin to listen, send and receive."""
        self._pull.listen(f"tcp://{self._listen}")
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Send what is queued, then close all sockets."""
        self._outgoing.put(None)
        sender, receiver = self._threads
        sender.join(JOIN_S)
        self._pull.close()
        receiver.join(JOIN_S)
        with self._lock:
            for socket in self._sockets.values():
                socket.close()
            self._sockets.clear()

    def connect(self, sessions: Mapping[str, str], seeds: tuple[str, ...] = ()) -> None:
        """Send from now on to these daemons, by address, to recent contacts and to seeds."""
        oldest = self._monotonic() - CONTACT_S
        met = tuple(self._contacts.items())
        contacts = {name: held.address for name, held in met if held.at > oldest}
        self._contacts = {name: held for name, held in met if held.at > oldest}
        routes = {**contacts, **sessions}
        routes.pop(self._own, None)
        wanted = {*routes.values(), *seeds} - {self._listen}
        with self._lock:
            self._routes = routes
            for address in wanted - set(self._sockets):
                self._sockets[address] = _dial(address)
            for address in set(self._sockets) - wanted:
                self._sockets.pop(address).close()

    @property
    def known(self) -> tuple[str, ...]:
        """Return the names of the daemons that messages go to."""
        return tuple(sorted(self._routes))

    def broadcast(self, message: PeerMessage) -> None:
        """Send to all; never blocks and never raises."""
        self._queue(Outgoing(message))

    def send(self, to: str, message: PeerMessage) -> None:
        """Send to the daemon of this name; never blocks and never raises."""
        self._queue(Outgoing(message, to))

    def subscribe(self, kind: type[PeerMessage], receive: Receive) -> None:
        """Call `receive`, which must be quick, with each message of this kind."""
        self._receivers.append((kind, receive))

    def _queue(self, outgoing: Outgoing) -> None:
        try:
            self._outgoing.put_nowait(outgoing)
        except queue.Full:
            self._count_drop(DROP_QUEUE_FULL)

    def _meet(self, message: PeerMessage) -> None:
        if isinstance(message, Hello):
            self._contacts[message.sender] = Contact(message.address, self._monotonic())

    def _run_sender(self) -> None:
        while (outgoing := self._outgoing.get()) is not None:
            try:
                raw = self._sealer.seal(outgoing.message, outgoing.to)
            except PeerTooLargeError as exc:
                self._count_drop(exc.code)
                continue
            with self._lock:
                self._push(raw, outgoing.to)

    def _push(self, raw: bytes, to: str) -> None:
        addresses = tuple(self._sockets) if to == EVERYONE else (self._routes.get(to, ""),)
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
        """Hand an authentic message to its subscribers; count and drop any other."""
        try:
            message = self._opener.open(raw)
        except PeerError as exc:
            self._count_drop(exc.code)
            event(logger, Event.PEER_DROPPED, logging.DEBUG, code=exc.code, detail=exc.detail)
            return
        for kind, receive in self._receivers:
            if isinstance(message, kind):
                self._hand(message, receive)

    def _hand(self, message: PeerMessage, receive: Receive) -> None:
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
        send_buffer_size=PIPE_QUEUE,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    socket.dial(f"tcp://{address}", block=False)
    return socket
