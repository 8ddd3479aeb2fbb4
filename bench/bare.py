"""Serve as the baseline: forward with waitress and urllib3 and nothing else."""

import argparse
from collections.abc import Iterable
from typing import Any

import urllib3
import waitress

THREADS = 128
CONNECTIONS = 64


def main() -> None:
    """Forward every request to one endpoint until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--endpoint", required=True)
    args = parser.parse_args()
    host, _, port = args.endpoint.rpartition(":")
    pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=CONNECTIONS)

    def forward(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        resp = pool.urlopen(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            body=environ["wsgi.input"].read(),
            retries=False,
        )
        start(f"{resp.status} OK", [("Content-Length", str(len(resp.data)))])
        return (resp.data,)

    waitress.serve(forward, listen=args.listen, threads=THREADS)


if __name__ == "__main__":
    main()
