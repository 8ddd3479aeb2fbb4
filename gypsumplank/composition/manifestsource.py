"""Read manifests for the operators' command line: from files, or from the platform's store."""

from pathlib import Path

from gypsumplank.errors import EntryInvalidError, Fault, RecordsError
from gypsumplank.platform.client import Client
from gypsumplank.platform.directory import KEY_MANIFEST, TABLE_OPERATOR
from gypsumplank.platform.manifestdraft import decode_draft
from gypsumplank.platform.settings import load_platform_settings, settings_path
from gypsumplank.platform.table import RowTable
from gypsumplank.protocol.manifestdraft import ManifestDraft

STORE_TIMEOUT_S = 5.0


class ManifestSource:
    """Read manifests; implements `porcelain_config.ManifestReader`."""

    def read_file(self, path: Path) -> ManifestDraft:
        """Return the manifest in a file; raise RecordsError."""
        try:
            raw = path.read_bytes()
        except OSError as exc:
            raise RecordsError((Fault("unreadable", "$", str(exc), str(path)),)) from exc
        return _decode(raw, str(path))

    def read_version(self, version: int) -> ManifestDraft:
        """Return the manifest in the store; raise RecordsError if it has another version.

        The store keeps the newest version only. Its address comes from the daemon's settings file,
        so that this works on an entry host only; other errors of the settings or the store pass.
        """
        settings = load_platform_settings(settings_path())
        rows = RowTable(Client(settings.store_address, STORE_TIMEOUT_S, 1), "")
        row = rows.get(TABLE_OPERATOR, KEY_MANIFEST)
        if row is None:
            raise RecordsError((Fault("version-missing", "$", "the store has none", "store"),))
        draft = _decode(row.value, "store")
        if draft.version != version:
            detail = f"the store has version {draft.version}, not {version}"
            raise RecordsError((Fault("version-missing", "version", detail, "store"),))
        return draft


def _decode(raw: bytes, source: str) -> ManifestDraft:
    try:
        return decode_draft(raw)
    except EntryInvalidError as exc:
        raise RecordsError((Fault("not-json", "$", exc.detail, source),)) from exc
