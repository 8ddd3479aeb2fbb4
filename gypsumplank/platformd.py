"""Run the job-scheduling daemon on the users' platform."""

import sys

from gypsumplank.composition.platform import PlatformDaemon
from gypsumplank.errors import SettingsError
from gypsumplank.log import configure_logging
from gypsumplank.logbuffer import BufferedHandler
from gypsumplank.platform.settings import settings_path

EXIT_SETTINGS = 2


def main() -> int:
    """Run until SIGTERM; return the exit code."""
    handler = BufferedHandler(sys.stdout)
    configure_logging("json", "info", handler=handler)
    try:
        daemon = PlatformDaemon(settings_path())
    except SettingsError as exc:
        sys.stderr.write(f"{exc}\n")
        return EXIT_SETTINGS
    exit_code = daemon.run()
    handler.close()
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
