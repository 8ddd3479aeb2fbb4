"""Run a minimal HTTP proxy on waitress and urllib3, the baseline for the daemon's cost."""

import argparse
from collections.abc import Iterable
from typing import Any

import urllib3
import waitress

SERVER_THREADS = 128
POOLED_CONNECTIONS = 64


def main() -> None:
    """Forward every request to one endpoint until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--endpoint", required=True)
    args = parser.parse_args()
    host, _, port = args.endpoint.rpartition(":")
    http_pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=POOLED_CONNECTIONS)

    def forward(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        resp = http_pool.urlopen(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            body=environ["wsgi.input"].read(),
            retries=False,
        )
        start_response(f"{resp.status} OK", [("Content-Length", str(len(resp.data)))])
        return (resp.data,)

    waitress.serve(forward, listen=args.listen, threads=SERVER_THREADS)


if __name__ == "__main__":
    main()
