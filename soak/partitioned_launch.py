"""Starts a daemon whose connections to targets a file can cut.

The file at `CUT_FILE_VARIABLE` names the cut and the ports of all other systems, which
stay reachable. It is read anew when it changes.
"""

from __future__ import annotations

import json
import os
import pathlib
import runpy
import sys

import anyio

from zinniastand_standins import partition

CUT_FILE_VARIABLE = "SOAK_CUT_FILE"
"""Environment variable with the path of the file."""


class CutFile:
    """The cut that a file asks for.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._changed_at = 0
        self._cut = ""
        self._uncut_ports: frozenset[int] = frozenset()

    def find_cut(self, port: int) -> partition.Cut | None:
        """Return what happens to connections to a port; None if they are not cut."""
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._changed_at:
            values = json.loads(self._path.read_text())
            self._changed_at = changed_at
            self._cut = values["cut"]
            self._uncut_ports = frozenset(values["uncut_ports"])
        if not self._cut or port in self._uncut_ports:
            return None
        return partition.Cut(self._cut)


def main() -> None:
    """Start the script that the command line names."""
    program = pathlib.Path(sys.argv[1])
    cut_file = CutFile(pathlib.Path(os.environ[CUT_FILE_VARIABLE]))
    connector = partition.Partition(cut_file.find_cut)
    anyio.connect_tcp = connector.connect_tcp  # type: ignore[assignment]
    sys.path.insert(0, str(program.parent))
    runpy.run_path(str(program), run_name="__main__")


if __name__ == "__main__":
    main()
