"""Run the job-scheduling daemon on the users' platform."""

import logging
import sys

from gypsumplank.composition.platform import PlatformDaemon
from gypsumplank.errors import ListenError, SettingsError
from gypsumplank.log import Event, configure_logging, event
from gypsumplank.logbuffer import BufferedHandler
from gypsumplank.platform.settings import settings_path

EXIT_SETTINGS = 2
EXIT_LISTEN = 4

logger = logging.getLogger("gypsumplank.daemon")


def main() -> int:
    """Run until SIGTERM; return the exit code."""
    handler = BufferedHandler(sys.stdout)
    configure_logging("json", "info", handler=handler)
    try:
        daemon = PlatformDaemon(settings_path())
    except SettingsError as exc:
        sys.stderr.write(f"{exc}\n")
        return EXIT_SETTINGS
    except ListenError as exc:
        event(logger, Event.LISTEN_FAILED, logging.ERROR, code=exc.code, detail=exc.detail)
        handler.close()
        return EXIT_LISTEN
    exit_code = daemon.run()
    handler.close()
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
