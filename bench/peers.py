"""Simulate the peer connections of other daemons to one daemon under measurement."""

import argparse
import time

from gypsumplank.protocol.envelope import MessageSigner, MessageVerifier
from gypsumplank.protocol.peer import Hello
from gypsumplank.transport.peer import PynngPeers

BOOT_NUMBER = 1


def make_peer(name: str, address: str, key: str, daemon: str) -> PynngPeers:
    """Return a started peer that is connected to the daemon."""
    signer, verifier = MessageSigner(key, BOOT_NUMBER), MessageVerifier(key, name, time.monotonic)
    peer = PynngPeers(name, address, signer, verifier, lambda _reason: None, time.monotonic)
    peer.start()
    peer.set_peers({"entry-0": daemon})
    return peer


def main() -> None:
    """Send a Hello message from every peer at each interval until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, action="append")
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--key", required=True)
    parser.add_argument("--period-s", type=float, required=True)
    args = parser.parse_args()
    peers = {
        f"other-{number}": make_peer(f"other-{number}", address, args.key, args.daemon)
        for number, address in enumerate(args.address)
    }
    hellos = {
        name: Hello(name, 1, address, 1, True)
        for (name, address) in zip(peers, args.address, strict=True)
    }
    while True:
        for name, peer in peers.items():
            peer.broadcast(hellos[name])
        time.sleep(args.period_s)


if __name__ == "__main__":
    main()
